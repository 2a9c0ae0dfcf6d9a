package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"time"
)

// Request is what one request of a client makes the process hold. Its bytes are returned when it
// ends.
type Request struct {
	conn *Conn
	// temporary is set if the request has no connection of its own in the budget.
	temporary bool
}

type contextKey struct{}

// ConnContext makes the connection of a request known to Begin. It is meant for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// Begin returns the request whose head has arrived on the connection of a context. End must be
// called at its end.
func (b *Budget) Begin(ctx context.Context, remote string) *Request {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok && c.budget == b {
		return c.Begin()
	}
	return b.beginDetached(remote)
}

// beginDetached returns a request that did not come through a listener of the budget.
func (b *Budget) beginDetached(remote string) *Request {
	c := &Conn{Conn: detached{remote: remote}, budget: b, listener: listenerOther}
	if !b.open(c) {
		c.aborted.Store(true)
	}
	c.beginRequest()
	return &Request{conn: c, temporary: true}
}

// BeginOn returns the request whose head has arrived on a connection, which may wrap one of the
// budget.
func (b *Budget) BeginOn(conn net.Conn, remote net.Addr) *Request {
	if c := Of(conn); c != nil && c.budget == b {
		return c.Begin()
	}
	return b.beginDetached(remote.String())
}

// Begin returns the request whose head has arrived on the connection.
func (c *Conn) Begin() *Request {
	c.beginRequest()
	return &Request{conn: c}
}

// LingerOnClose lets the client read the answer while it still sends.
func (r *Request) LingerOnClose() { r.conn.LingerOnClose() }

// Messages returns the request for a connection that carries messages instead of HTTP requests. It
// ends with its connection.
func (c *Conn) Messages() *Request {
	c.inRequest.Store(true)
	return &Request{conn: c}
}

// End returns all bytes that the request holds.
func (r *Request) End() {
	if r.temporary {
		r.conn.budget.close(r.conn)
		return
	}
	r.conn.endRequest()
}

// beginRequest ends a head. From now on only its text counts, as its handler counts what it was decoded
// into.
func (c *Conn) beginRequest() {
	c.inRequest.Store(true)
	c.setPhase(PhaseServing)
	if extra := c.headBytes.Swap(0) - freeHeadBytes; extra > 0 {
		c.release((headFactor - 1) * extra)
	}
}

func (c *Conn) endRequest() {
	c.mu.Lock()
	c.interrupt = nil
	c.mu.Unlock()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.core.EndRequest(time.Now(), c.id)
}

// SetClient records whose request it is.
func (r *Request) SetClient(name string) {
	c := r.conn
	c.client.Store(&name)
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.core.SetClient(c.id, name)
}

// OnYield sets what ends the wait for something else than the client if the request yields; nil
// means nothing.
func (r *Request) OnYield(interrupt func()) {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.conn.interrupt = interrupt
}

// NoMemoryError reports that there is no memory for a body or an answer beside those of others.
// Yielded is set if it had to yield for another one.
type NoMemoryError struct{ Yielded bool }

func (e *NoMemoryError) Error() string {
	if e.Yielded {
		return "memory is short, and another request goes first"
	}
	return "memory is short"
}

// Reserve takes n bytes for the request and waits for them if others have to yield.
func (r *Request) Reserve(ctx context.Context, n int64) error {
	for {
		switch r.conn.budget.grow(r.conn, n) {
		case Granted:
			return nil
		case Refused:
			return &NoMemoryError{Yielded: r.conn.aborted.Load()}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitInterval):
		}
	}
}

// Count takes n bytes that the request holds already.
func (r *Request) Count(n int64) error {
	if r.conn.budget.growNow(r.conn, n) != Granted {
		return &NoMemoryError{Yielded: r.conn.aborted.Load()}
	}
	return nil
}

// CountAnswer is Count for an answer: bodies that still arrive, and answers of lower precedence, yield
// for it.
func (r *Request) CountAnswer(n int64) error {
	before := r.conn.setPhase(PhaseBuffering)
	defer r.conn.setPhase(before)
	err := r.Count(n)
	var noMemory *NoMemoryError
	if errors.As(err, &noMemory) {
		r.Refused(PhaseBuffering, noMemory)
	}
	return err
}

// Release returns n bytes before the end of the request.
func (r *Request) Release(n int64) { r.conn.release(n) }

func (c *Conn) release(n int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.core.Shrink(c.id, n)
}

// Refused counts and logs that the request was refused for want of memory. One that has yielded is
// counted already.
func (r *Request) Refused(phase Phase, cause *NoMemoryError) {
	if cause.Yielded {
		return
	}
	r.conn.budget.record(r.conn, "refused", phase, reasonMemory, 0)
}

// TooLongError reports a body or an answer of more bytes than its limit.
type TooLongError struct{ Limit int64 }

func (e *TooLongError) Error() string { return "longer than its limit" }

// Segment sizes of a Buffer: the first one unless the announced length is shorter, and the most.
const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
)

// Buffer is a body or an answer in memory. It grows without being copied.
type Buffer struct {
	segments [][]byte
	length   int64
	reserved int64
}

// Len returns the number of bytes.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Segments returns the bytes in order. They must not be changed.
func (b *Buffer) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// WriteTo implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (written int64, err error) {
	for _, segment := range b.Segments() {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Bytes returns the bytes in one slice, which is a copy if there are several segments.
func (b *Buffer) Bytes() []byte {
	switch segments := b.Segments(); len(segments) {
	case 0:
		return nil
	case 1:
		return segments[0]
	default:
		return slices.Concat(segments...)
	}
}

// Take returns the bytes in one slice and forgets them. Their memory stays reserved.
func (b *Buffer) Take() []byte {
	bytes := b.Bytes()
	b.segments = nil
	return bytes
}

// Free returns the memory of a buffer before the end of the request.
func (r *Request) Free(b *Buffer) {
	if b == nil || b.reserved == 0 {
		return
	}
	r.Release(b.reserved)
	b.reserved = 0
}

// ReadAll reads up to limit bytes. length is the announced length, or negative. The buffer stays
// reserved until the request ends or Free is called, and nothing after an error. Memory is taken as
// bytes arrive, not as they are announced.
func (r *Request) ReadAll(ctx context.Context, phase Phase, from io.Reader, length, limit int64) (*Buffer, error) {
	if length > limit {
		return nil, &TooLongError{Limit: limit}
	}
	before := r.conn.setPhase(phase)
	defer r.conn.setPhase(before)
	b := &Buffer{}
	if err := r.fill(ctx, b, from, length, limit); err != nil {
		r.Free(b)
		return nil, err
	}
	return b, nil
}

func (r *Request) fill(ctx context.Context, b *Buffer, from io.Reader, length, limit int64) error {
	var last []byte
	for {
		if len(last) == cap(last) {
			if b.length == length {
				return readEnd(from)
			}
			size := segmentSize(b.length, length, limit)
			if err := r.Reserve(ctx, size); err != nil {
				return err
			}
			b.reserved += size
			last = make([]byte, 0, size)
			b.segments = append(b.segments, last)
		}
		n, err := from.Read(last[len(last):cap(last)])
		last = last[:len(last)+n]
		b.segments[len(b.segments)-1] = last
		if b.length += int64(n); b.length > limit {
			return &TooLongError{Limit: limit}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readEnd reads the end of a body whose announced bytes have all arrived.
func readEnd(from io.Reader) error {
	var one [1]byte
	for {
		n, err := from.Read(one[:])
		if n > 0 {
			return &TooLongError{}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// segmentSize returns the size of the next segment: at most as much as has arrived already. One
// byte over the limit shows that there is more.
func segmentSize(arrived, length, limit int64) int64 {
	left := limit + 1 - arrived
	if length >= 0 {
		left = length - arrived
	}
	return min(max(arrived, minSegmentBytes), maxSegmentBytes, left)
}
