package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

const (
	// lengthPrefixBytes is the size of the length prefix of each frame.
	lengthPrefixBytes = 4
	// maxReusedBufferBytes is the size of the largest buffer that is reused for
	// the next frame.
	maxReusedBufferBytes = 64 << 10
)

// header precedes the body in each frame.
type header struct {
	Method   string `cbor:"1,keyasint,omitempty"`
	Sequence uint64 `cbor:"2,keyasint"`
	Error    string `cbor:"3,keyasint,omitempty"`
}

// Limits on the decoded structure of a frame, in addition to its size.
const (
	maxArrayElements = 65536
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

// decodeMode rejects CBOR features that peers do not use and enforces the
// structural limits.
var decodeMode = mustDecodeMode()

// mustDecodeMode returns the CBOR decoding mode. It panics only if one of the
// limits is outside the range that the library accepts.
func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// frameConn reads and writes length-prefixed frames, each with a deadline.
type frameConn struct {
	conn net.Conn
	// held is what the peer makes the process hold, or nil if that is not bounded over all peers.
	held         *intake.Request
	maxBytes     int
	readTimeout  time.Duration
	writeTimeout time.Duration
	// lastRead is the time at which the last frame was read, in nanoseconds since
	// the Unix epoch.
	lastRead                *atomic.Int64
	readBuffer, writeBuffer []byte
	body                    []byte
	// frame is the memory of a large frame until its request has been handled.
	frame *intake.Buffer
}

// read reads a frame and decodes its header. The encoded body stays in f.body.
func (f *frameConn) read(h *header) error {
	if err := f.conn.SetReadDeadline(time.Now().Add(f.readTimeout)); err != nil {
		return errors.Trace(err)
	}
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(f.conn, length[:]); err != nil {
		return err // not wrapped, because net/rpc compares the error with io.EOF
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > f.maxBytes {
		return &FrameTooLargeError{Bytes: size, Limit: f.maxBytes}
	}
	if err := f.readFrame(size); err != nil {
		return err
	}
	f.lastRead.Store(time.Now().UnixNano())
	rest, err := decodeHeader(f.readBuffer, h)
	f.body = rest
	if cap(f.readBuffer) > maxReusedBufferBytes {
		f.readBuffer = nil
	}
	return err
}

// readFrame reads a frame into f.readBuffer. A large one takes memory as it arrives.
func (f *frameConn) readFrame(size int) error {
	if size > maxReusedBufferBytes && f.held != nil {
		return f.readLargeFrame(int64(size))
	}
	if more := size - cap(f.readBuffer); more > 0 {
		if f.held != nil {
			if err := f.held.Reserve(context.Background(), int64(more)); err != nil {
				return err
			}
		}
		f.readBuffer = make([]byte, size)
	}
	f.readBuffer = f.readBuffer[:size]
	_, err := io.ReadFull(f.conn, f.readBuffer)
	return err
}

func (f *frameConn) readLargeFrame(size int64) error {
	frame, err := f.held.ReadAll(context.Background(), intake.PhaseReceiving, io.LimitReader(f.conn, size), size, size)
	if err != nil {
		return err
	}
	if frame.Len() < size {
		f.held.Free(frame)
		return io.ErrUnexpectedEOF
	}
	f.held.Release(int64(cap(f.readBuffer)))
	f.frame, f.readBuffer = frame, frame.Take()
	return nil
}

func decodeHeader(frame []byte, h *header) ([]byte, error) {
	rest, err := decodeMode.UnmarshalFirst(frame, h)
	if err != nil {
		return nil, &InvalidFrameError{Part: "header", Cause: err}
	}
	return rest, nil
}

// decodeBody decodes a body into v. If v is nil, the body is discarded.
func decodeBody(body []byte, v any) error {
	if v == nil {
		return nil
	}
	if err := decodeMode.Unmarshal(body, v); err != nil {
		return &InvalidFrameError{Part: "body", Cause: err}
	}
	return nil
}

// write encodes a frame and sends it in one write. A failed write closes the
// connection, because a part of the frame may have been sent.
func (f *frameConn) write(h *header, body any) error {
	frame, err := appendFrame(f.writeBuffer[:0], h, body, f.maxBytes)
	if err != nil {
		return err
	}
	if cap(frame) <= maxReusedBufferBytes {
		f.writeBuffer = frame
	}
	if err := f.conn.SetWriteDeadline(time.Now().Add(f.writeTimeout)); err != nil {
		return errors.Trace(err)
	}
	if _, err := f.conn.Write(frame); err != nil {
		f.conn.Close()
		return errors.Trace(err)
	}
	return nil
}

func appendFrame(buffer []byte, h *header, body any, maxBytes int) ([]byte, error) {
	head, err := cbor.Marshal(h)
	if err != nil {
		return nil, errors.Trace(err)
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	size := len(head) + len(encoded)
	if size > maxBytes {
		return nil, &FrameTooLargeError{Bytes: size, Limit: maxBytes, Outgoing: true}
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(size))
	buffer = append(buffer, head...)
	return append(buffer, encoded...), nil
}

// clientCodec implements rpc.ClientCodec with CBOR frames.
type clientCodec struct {
	frameConn
	// onFailure is called when reading a response header fails; no later
	// response can be read then.
	onFailure func()
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(&header{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h header
	if err := c.read(&h); err != nil {
		c.onFailure()
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Sequence, h.Error
	return nil
}

func (c *clientCodec) ReadResponseBody(v any) error { return decodeBody(c.body, v) }

func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec with CBOR frames. It stops reading
// requests while every handler slot of the connection is in use.
type serverCodec struct {
	frameConn
	handlerSlots chan struct{}

	mu sync.Mutex
	// frames holds the memory of the large frames whose requests are being handled, by sequence
	// number: what was decoded from a frame is as large.
	frames map[uint64]*intake.Buffer
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func (s *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	s.handlerSlots <- struct{}{}
	var h header
	if err := s.read(&h); err != nil {
		<-s.handlerSlots
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Sequence
	s.keepFrame(h.Sequence)
	return nil
}

// keepFrame keeps the memory of a large frame until its request has been handled.
func (s *serverCodec) keepFrame(sequence uint64) {
	if s.frame == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frames == nil {
		s.frames = make(map[uint64]*intake.Buffer)
	}
	s.held.Free(s.frames[sequence])
	s.frames[sequence], s.frame = s.frame, nil
}

// freeFrame returns the memory of the frame of a request.
func (s *serverCodec) freeFrame(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frame := s.frames[sequence]; frame != nil {
		s.held.Free(frame)
		delete(s.frames, sequence)
	}
}

func (s *serverCodec) ReadRequestBody(v any) error { return decodeBody(s.body, v) }

func (s *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-s.handlerSlots }()
	defer s.freeFrame(r.Seq)
	return s.write(&header{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}, body)
}

func (s *serverCodec) Close() error { return s.conn.Close() }
