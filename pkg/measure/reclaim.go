package measure

import "time"

// reclaimAction is the way in which a stream on a server under reclaim is handled.
type reclaimAction string

const (
	// actionFinish lets the stream finish on the server.
	actionFinish reclaimAction = "finish"
	// actionMigrate transfers the KV cache of the stream to another server.
	actionMigrate reclaimAction = "migrate"
	// actionResume continues the stream on another server, which prefills the prompt
	// and the emitted tokens.
	actionResume reclaimAction = "resume"
)

// reclaimStream is the input of a reclaimPlanner for one stream.
type reclaimStream struct {
	attempt *attempt
	// tokens is the number of prompt and emitted tokens. remaining is the expected
	// number of tokens that have not been emitted yet.
	tokens    int
	remaining int
}

// reclaimDecision is the planned action for a stream. delay is the time from the
// plan to the action; it staggers the prefills of resumed streams.
type reclaimDecision struct {
	stream reclaimStream
	action reclaimAction
	delay  time.Duration
}

// reclaimPlanner plans the actions for the streams of one daemon on one server
// that is reclaimed after the remaining time.
type reclaimPlanner interface {
	plan(remaining time.Duration, streams []reclaimStream) []reclaimDecision
}
