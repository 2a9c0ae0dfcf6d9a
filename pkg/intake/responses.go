package intake

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// responseFraction is the fraction of the host's memory that responses of servers may take while they
// are read.
const responseFraction = 0.125

// Responses bounds the bytes of responses of servers that the clients of a process hold together while
// they read them. It is safe for concurrent use. A nil Responses sets no bound.
type Responses struct {
	limit int64
	held  atomic.Int64
}

// NewResponses returns the bound for a host with a memory.
func NewResponses(memoryBytes int64) *Responses {
	return &Responses{limit: int64(responseFraction * float64(memoryBytes))}
}

// Held returns the bytes that are held.
func (r *Responses) Held() int64 {
	if r == nil {
		return 0
	}
	return r.held.Load()
}

// Register adds the metric of the bytes that are held.
func (r *Responses) Register(registry prometheus.Registerer) error {
	return registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "monsooncrank_responses_bytes",
		Help: "Bytes of responses of servers that are being read."}, func() float64 { return float64(r.Held()) }))
}

// ResponsesTooLargeError reports a response that does not fit beside those that are read at the same
// time.
type ResponsesTooLargeError struct{ Limit int64 }

func (e *ResponsesTooLargeError) Error() string {
	return fmt.Sprintf("responses of servers take more than %d bytes together", e.Limit)
}

// Response counts the bytes of one response that is read.
type Response struct {
	responses *Responses
	bytes     int64
}

// Begin returns the count of one response. Release must be called once it is not held any more.
func (r *Responses) Begin() *Response { return &Response{responses: r} }

// Add counts further bytes, or returns a ResponsesTooLargeError.
func (r *Response) Add(n int64) error {
	if r.responses == nil {
		return nil
	}
	r.bytes += n
	if r.responses.held.Add(n) > r.responses.limit {
		return &ResponsesTooLargeError{Limit: r.responses.limit}
	}
	return nil
}

// Release gives the bytes back. Bytes of another response on the same connection may be counted then.
func (r *Response) Release() {
	if r.responses != nil {
		r.responses.held.Add(-r.bytes)
	}
	r.bytes = 0
}

// Reader returns a reader that counts what is read.
func (r *Response) Reader(from io.Reader) io.Reader { return &countedReader{response: r, from: from} }

type countedReader struct {
	response *Response
	from     io.Reader
}

func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	if tooLarge := c.response.Add(int64(n)); tooLarge != nil {
		return 0, tooLarge
	}
	return n, err
}
