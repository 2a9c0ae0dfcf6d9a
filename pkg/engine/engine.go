// Package engine provides a client for model engines with continuous batching.
//
// The client uses net/http of the standard library, because fasthttp's client
// cannot safely cancel a stream while another goroutine reads it. The transport
// never retries a request, does not follow redirects, and closes every
// connection whose response was not read to its end.
package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Request describes one attempt to generate an answer on an engine.
type Request struct {
	// AttemptID uniquely identifies the attempt. Every event of its stream
	// carries it.
	AttemptID string
	Model     string
	Messages  []api.Message
	MaxTokens int
	// Priority orders requests in the engine's queue. Lower values run first.
	Priority int
	// ResumeTokens are the tokens that an earlier attempt has emitted. The
	// engine prefills the prompt and these tokens and continues after them.
	ResumeTokens []string
	// KVHandle, if set, identifies an imported KV cache that replaces the
	// prefill.
	KVHandle string
	// FreshConnection makes the client open a new connection. It is set after
	// another connection to the same engine has stopped delivering data.
	FreshConnection bool
}

// Event is one event of an attempt's stream.
type Event struct {
	AttemptID string
	// Offset is the position of the token in the whole answer, from 0.
	Offset int
	Text   string
	// FinishReason is set only on the last event, whose Text is empty.
	FinishReason string
	// PromptTokens is the length of the prefill and CachedTokens the part of it
	// that came from the prefix cache. Both are set only on the last event.
	PromptTokens int
	CachedTokens int
}

// Stream returns the events of one attempt. Close releases the connection. A
// connection whose stream was not read to its end is not reused.
type Stream interface {
	// Next waits for the next event. It returns StreamEndedError after the
	// last event, and StreamBrokenError if the connection fails or delivers no
	// data within the client's progress timeout.
	Next(ctx context.Context) (Event, error)
	Close() error
}

// Load is an engine's load at the time MeasuredAt. Engines report it with a
// delay.
type Load struct {
	Running     int
	Waiting     int
	KVUsedShare float64
	MeasuredAt  time.Time
}

// CacheEvent reports that a prefix block was stored in or evicted from an
// engine's cache. Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
	Evicted    bool   `json:"evicted"`
}

// KVExport identifies an exported KV cache by its handle.
type KVExport struct {
	Handle string `json:"handle"`
	Bytes  int64  `json:"bytes"`
	Tokens int    `json:"tokens"`
}

// Order is the complete desired state of an engine. Applying it is idempotent.
// An engine can refuse an order whose fencing number is lower than the one in force.
type Order struct {
	FencingNumber uint64    `json:"fencing_number"`
	Models        []string  `json:"models"`
	Adapters      []string  `json:"adapters"`
	Version       string    `json:"version"`
	Role          string    `json:"role"`
	Deadline      time.Time `json:"deadline"`
}

// Client sends requests to engines, addressed by ip:port. It never retries a
// request.
type Client interface {
	Start(ctx context.Context, address string, req *Request) (Stream, error)
	Cancel(ctx context.Context, address, attemptID string) error
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, address, attemptID string) (KVExport, error)
	// ImportKV makes the engine at address fetch an exported KV cache from the
	// engine at source.
	ImportKV(ctx context.Context, address, source, handle string) error
	Order(ctx context.Context, address string, order Order) error
	// CurrentOrder returns the order that is in force on the engine.
	CurrentOrder(ctx context.Context, address string) (Order, error)
}

// NotSentError reports a request of which no byte can have reached the engine.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("engine %s not reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports that an engine refused a request without running it.
type RefusedError struct {
	Address string
	Status  int
	Reason  string
	// Leaving is true if the engine refused because its Host is leaving the
	// fleet.
	Leaving bool
	// InForce is the fencing number in force. It is set if an order was refused
	// because of a lower number.
	InForce uint64
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine %s refused with status %d: %s", e.Address, e.Status, e.Reason)
}

// StreamBrokenError reports a stream that ended before its last event.
type StreamBrokenError struct {
	Address string
	// Silent is true if the connection stayed open but delivered no data within
	// the progress timeout.
	Silent bool
	Cause  error
}

func (e *StreamBrokenError) Error() string {
	return fmt.Sprintf("stream from engine %s broken (silent %t): %v", e.Address, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *StreamBrokenError) Unwrap() error { return e.Cause }

// StreamEndedError reports a read after the last event of a stream.
type StreamEndedError struct{ Address string }

func (e *StreamEndedError) Error() string { return "stream from engine " + e.Address + " has ended" }

// StaleOrderError reports an order that was refused because its fencing number
// is lower than the one in force.
type StaleOrderError struct {
	Address string
	Sent    uint64
	InForce uint64
}

func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("engine %s refused fencing number %d, in force %d", e.Address, e.Sent, e.InForce)
}
