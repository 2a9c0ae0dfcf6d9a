package peer

import (
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// lengthBytes is the size of the length in front of each frame.
	lengthBytes = 4
	// keptBufferBytes is the largest buffer kept between frames.
	keptBufferBytes = 64 << 10
)

// header comes before the body in each frame.
type header struct {
	Method   string `cbor:"1,keyasint,omitempty"`
	Sequence uint64 `cbor:"2,keyasint"`
	Error    string `cbor:"3,keyasint,omitempty"`
}

// Limits of what a peer may send inside a frame, beside its size.
const (
	maxArrayElements = 65536
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

var decoding = mustDecoding()

// mustDecoding panics only when the constants above are out of the library's
// range.
func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// frames reads and writes frames with a deadline on each.
type frames struct {
	conn         net.Conn
	maxBytes     int
	readTimeout  time.Duration
	writeTimeout time.Duration
	// lastRead is the time of the last frame in nanoseconds since 1970.
	lastRead *atomic.Int64
	in, out  []byte
	body     []byte
}

// read reads a frame and decodes its header; the body stays in f.body.
func (f *frames) read(h *header) error {
	if err := f.conn.SetReadDeadline(time.Now().Add(f.readTimeout)); err != nil {
		return errors.Trace(err)
	}
	var length [lengthBytes]byte
	if _, err := io.ReadFull(f.conn, length[:]); err != nil {
		return err // net/rpc compares io.EOF
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > f.maxBytes {
		return &FrameTooLargeError{Bytes: size, Limit: f.maxBytes}
	}
	if cap(f.in) < size {
		f.in = make([]byte, size)
	}
	f.in = f.in[:size]
	if _, err := io.ReadFull(f.conn, f.in); err != nil {
		return err
	}
	f.lastRead.Store(time.Now().UnixNano())
	rest, err := decodeHeader(f.in, h)
	f.body = rest
	if cap(f.in) > keptBufferBytes {
		f.in = nil
	}
	return err
}

func decodeHeader(frame []byte, h *header) ([]byte, error) {
	rest, err := decoding.UnmarshalFirst(frame, h)
	if err != nil {
		return nil, &InvalidFrameError{Part: "header", Cause: err}
	}
	return rest, nil
}

// decodeBody decodes a body into v; nil discards it.
func decodeBody(body []byte, v any) error {
	if v == nil {
		return nil
	}
	if err := decoding.Unmarshal(body, v); err != nil {
		return &InvalidFrameError{Part: "body", Cause: err}
	}
	return nil
}

// write encodes and sends a frame in one write. After an error the connection
// is closed, because a part of the frame may have left.
func (f *frames) write(h *header, body any) error {
	frame, err := appendFrame(f.out[:0], h, body, f.maxBytes)
	if err != nil {
		return err
	}
	if cap(frame) <= keptBufferBytes {
		f.out = frame
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

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	frames
	// onFailure is called when no further answer can be read.
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

// serverCodec implements rpc.ServerCodec. It reads no further request while
// limit requests of the connection are being handled.
type serverCodec struct {
	frames
	slots chan struct{}
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func (s *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	s.slots <- struct{}{}
	var h header
	if err := s.read(&h); err != nil {
		<-s.slots
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Sequence
	return nil
}

func (s *serverCodec) ReadRequestBody(v any) error { return decodeBody(s.body, v) }

func (s *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-s.slots }()
	return s.write(&header{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}, body)
}

func (s *serverCodec) Close() error { return s.conn.Close() }
