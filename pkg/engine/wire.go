package engine

import (
	"net/url"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Paths of an engine's HTTP interface.
const (
	PathChat        = "/v1/chat/completions"
	PathCancel      = "/v1/cancel"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
	PathKVFetch     = "/v1/kv/fetch"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache_events"
	PathOrders      = "/v1/orders"
)

// Headers of an engine's HTTP interface.
const (
	// HeaderAttempt carries the attempt ID in both directions.
	HeaderAttempt = "Monsooncrank-Attempt"
	// HeaderNotRun is "true" on a refusal that proves that nothing ran.
	HeaderNotRun = "Monsooncrank-Not-Run"
	// HeaderLeaving is "true" on a refusal by an engine whose Host is leaving.
	HeaderLeaving = "Monsooncrank-Leaving"
)

// StreamDone is the data of the event that ends a stream.
const StreamDone = "[DONE]"

// ChatBody is the body of a request to PathChat.
type ChatBody struct {
	Model        string        `json:"model"`
	Messages     []api.Message `json:"messages"`
	MaxTokens    int           `json:"max_tokens,omitempty"`
	Stream       bool          `json:"stream"`
	Priority     int           `json:"priority"`
	ResumeTokens []string      `json:"resume_tokens,omitempty"`
	KVHandle     string        `json:"kv_handle,omitempty"`
}

// ChunkBody is one event of a stream. ID is the attempt ID.
type ChunkBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Offset  int           `json:"offset"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *UsageBody    `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a ChunkBody.
type ChunkChoice struct {
	Index        int       `json:"index"`
	Delta        DeltaBody `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// DeltaBody is the text that an event adds.
type DeltaBody struct {
	Content string `json:"content,omitempty"`
}

// UsageBody counts the tokens of an attempt.
type UsageBody struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails splits the prompt tokens.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// AttemptBody names an attempt to cancel or export.
type AttemptBody struct {
	Attempt string `json:"attempt"`
}

// ImportBody tells an engine where to fetch an exported KV cache.
type ImportBody struct {
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// LoadBody is the answer of PathLoad.
type LoadBody struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	KVUsedShare float64   `json:"kv_used_share"`
	MeasuredAt  time.Time `json:"measured_at"`
}

// CacheEventsBody is the answer of PathCacheEvents.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
}

// ErrorBody is the body of a refusal. InForce is the fencing number in force
// when an order was refused for its old one.
type ErrorBody struct {
	Error   string `json:"error"`
	InForce uint64 `json:"in_force,omitempty"`
}

// CompletionBody is the answer to a request without a stream.
type CompletionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   UsageBody          `json:"usage"`
}

// CompletionChoice is the only choice of a CompletionBody.
type CompletionChoice struct {
	Index        int         `json:"index"`
	Message      MessageBody `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// MessageBody is the text of a whole answer.
type MessageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// FetchPath returns the path and query that fetch an exported KV cache.
func FetchPath(handle string) string { return PathKVFetch + "?handle=" + url.QueryEscape(handle) }
