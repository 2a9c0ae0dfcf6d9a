package engine

import (
	"net/url"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Paths of an engine's HTTP API.
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

// Headers of an engine's HTTP API.
const (
	// HeaderAttempt carries the attempt ID in requests and responses.
	HeaderAttempt = "Monsooncrank-Attempt"
	// HeaderNotRun is "true" on an error response that guarantees that the
	// request did not run.
	HeaderNotRun = "Monsooncrank-Not-Run"
	// HeaderLeaving is "true" on a refusal by an engine whose Host is leaving
	// the fleet.
	HeaderLeaving = "Monsooncrank-Leaving"
)

// StreamDone is the data of the event that marks the end of a stream.
const StreamDone = "[DONE]"

// ChatBody is the request body for PathChat.
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

// ChunkChoice is the single element of ChunkBody.Choices.
type ChunkChoice struct {
	Index        int       `json:"index"`
	Delta        DeltaBody `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// DeltaBody holds the text that an event appends to the answer.
type DeltaBody struct {
	Content string `json:"content,omitempty"`
}

// UsageBody holds the token counts of an attempt.
type UsageBody struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails holds the number of prompt tokens found in the prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// AttemptBody is the request body for PathCancel and PathKVExport.
type AttemptBody struct {
	Attempt string `json:"attempt"`
}

// ImportBody is the request body for PathKVImport. The engine fetches the KV
// cache with the given handle from the engine at the address Source.
type ImportBody struct {
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// LoadBody is the response body of PathLoad.
type LoadBody struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	KVUsedShare float64   `json:"kv_used_share"`
	MeasuredAt  time.Time `json:"measured_at"`
}

// CacheEventsBody is the response body of PathCacheEvents.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
}

// ErrorBody is the body of an error response. InForce is the fencing number in
// force, if an order was refused because of a lower number.
type ErrorBody struct {
	Error   string `json:"error"`
	InForce uint64 `json:"in_force,omitempty"`
}

// CompletionBody is the response body of PathChat for a request without
// streaming.
type CompletionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   UsageBody          `json:"usage"`
}

// CompletionChoice is the single element of CompletionBody.Choices.
type CompletionChoice struct {
	Index        int         `json:"index"`
	Message      MessageBody `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// MessageBody holds the complete text of an answer.
type MessageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// FetchPath returns the path and query for fetching an exported KV cache.
func FetchPath(handle string) string { return PathKVFetch + "?handle=" + url.QueryEscape(handle) }
