// Package engine is the client of model engines that batch continuously.
//
// The client uses net/http of the standard library, because fasthttp's client
// cannot cancel a stream safely while another goroutine reads it. The transport
// never repeats a request, follows no redirect, and closes every connection
// whose answer was not read to its end.
package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Request starts one attempt of a generation on an engine.
type Request struct {
	// AttemptID is unique for the attempt; every event echoes it.
	AttemptID string
	Model     string
	Messages  []api.Message
	MaxTokens int
	// Priority orders requests in the engine; lower runs first.
	Priority int
	// ResumeTokens are tokens that an earlier attempt has emitted. The engine
	// prefills the prompt and these and continues at their end.
	ResumeTokens []string
	// KVHandle names an imported KV cache that replaces the prefill, if set.
	KVHandle string
	// FreshConnection asks for a new connection, after another one to the
	// same engine has gone silent.
	FreshConnection bool
}

// Event is one event of an attempt's stream.
type Event struct {
	AttemptID string
	// Offset is the position of the token in the whole answer, from 0.
	Offset int
	Text   string
	// FinishReason is set on the last event, whose Text is empty.
	FinishReason string
	// PromptTokens and CachedTokens are set on the last event: the length of
	// the prefill and the part of it that the prefix cache served.
	PromptTokens int
	CachedTokens int
}

// Stream yields the events of one attempt. Close releases the connection; a
// connection whose stream was not read to its end is not reused.
type Stream interface {
	// Next blocks for the next event. It returns StreamEndedError after the
	// last event and StreamBrokenError when the connection fails or makes no
	// progress within the client's progress timeout.
	Next(ctx context.Context) (Event, error)
	Close() error
}

// Load is an engine's lagging load report.
type Load struct {
	Running     int
	Waiting     int
	KVUsedShare float64
	MeasuredAt  time.Time
}

// CacheEvent reports a prefix block stored in or evicted from an engine's
// cache. Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
	Evicted    bool   `json:"evicted"`
}

// KVExport names an exported KV cache.
type KVExport struct {
	Handle string `json:"handle"`
	Bytes  int64  `json:"bytes"`
	Tokens int    `json:"tokens"`
}

// Order is the desired state of an engine. It is absolute, so that applying it
// twice has the same result.
type Order struct {
	FencingNumber uint64    `json:"fencing_number"`
	Models        []string  `json:"models"`
	Adapters      []string  `json:"adapters"`
	Version       string    `json:"version"`
	Role          string    `json:"role"`
	Deadline      time.Time `json:"deadline"`
}

// Client talks to engines by their addresses (ip:port). It never repeats a
// request on its own.
type Client interface {
	Start(ctx context.Context, address string, req *Request) (Stream, error)
	Cancel(ctx context.Context, address, attemptID string) error
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, address, attemptID string) (KVExport, error)
	// ImportKV tells the engine at address to fetch the export from the
	// engine at source.
	ImportKV(ctx context.Context, address, source, handle string) error
	Order(ctx context.Context, address string, order Order) error
	// Orders reads the order in force back.
	CurrentOrder(ctx context.Context, address string) (Order, error)
}

// NotSentError reports that no byte of the request can have reached the engine.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("engine %s not reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports an engine's definite refusal: the request did not run.
type RefusedError struct {
	Address string
	Status  int
	Reason  string
	// Leaving is set when the engine refuses because its Host is leaving.
	Leaving bool
	// InForce is the fencing number in force, where an order was refused for
	// its old number.
	InForce uint64
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine %s refused with status %d: %s", e.Address, e.Status, e.Reason)
}

// StreamBrokenError reports a stream that ended before its last event.
type StreamBrokenError struct {
	Address string
	// Silent is set when the connection stayed open without progress.
	Silent bool
	Cause  error
}

func (e *StreamBrokenError) Error() string {
	return fmt.Sprintf("stream from engine %s broken (silent %t): %v", e.Address, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *StreamBrokenError) Unwrap() error { return e.Cause }

// StreamEndedError reports a read past the last event.
type StreamEndedError struct{ Address string }

func (e *StreamEndedError) Error() string { return "stream from engine " + e.Address + " has ended" }

// StaleOrderError reports an order refused for its old fencing number.
type StaleOrderError struct {
	Address string
	Sent    uint64
	InForce uint64
}

func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("engine %s refused fencing number %d, in force %d", e.Address, e.Sent, e.InForce)
}
