// Package enginecost expresses the work of requests and the speed of servers in common units,
// for all decisions that compare, sum or divide work. It does no I/O and keeps no state.
package enginecost

import "time"

// Cost is the work of one request at a model engine, in tokens.
type Cost struct {
	// PrefillTokens counts the prompt tokens that the engine has to prefill: those that are
	// not in its KV cache.
	PrefillTokens int
	// OutputTokens is the expected number of tokens to generate.
	OutputTokens int
	// KVTokens counts the tokens that the request occupies in the KV cache while it runs,
	// those of cached prompt parts included.
	KVTokens int
}

// Speed is how fast one engine works.
type Speed struct {
	// PrefillTokensPerMilli is the number of prompt tokens that the engine prefills in a
	// millisecond while it does nothing else.
	PrefillTokensPerMilli float64
	// DecodeTokensPerMilli is the number of tokens that a full batch generates in a
	// millisecond, over all of its requests.
	DecodeTokensPerMilli float64
}

// PrefillTime is how long the engine is busy with the prompt.
func (c Cost) PrefillTime(s Speed) time.Duration {
	return tokenTime(c.PrefillTokens, s.PrefillTokensPerMilli)
}

// ServerTime is how long the request keeps one engine busy, which works on several requests
// at the same time. The server time that an engine offers in a second is one second.
func (c Cost) ServerTime(s Speed) time.Duration {
	return c.PrefillTime(s) + tokenTime(c.OutputTokens, s.DecodeTokensPerMilli)
}

// PlainServerTime is the server time of a request to a plain service: its run time, divided
// by the number of requests that the server runs concurrently.
func PlainServerTime(runTime time.Duration, slots int) time.Duration {
	return runTime / time.Duration(max(slots, 1))
}

func tokenTime(tokens int, tokensPerMilli float64) time.Duration {
	if tokens <= 0 || tokensPerMilli <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / tokensPerMilli * float64(time.Millisecond))
}
