package measure

import "time"

// reclaimAction is what becomes of a stream on a server that is leaving.
type reclaimAction string

const (
	actionFinish  reclaimAction = "finish"
	actionMigrate reclaimAction = "migrate"
	actionResume  reclaimAction = "resume"
)

// reclaimStream describes a stream to a planner.
type reclaimStream struct {
	attempt *attempt
	// tokens are the prompt and the emitted tokens; remaining is the expected
	// number of tokens still to come.
	tokens    int
	remaining int
}

// reclaimDecision is the action for a stream. at is how long after the plan it
// is carried out, so that the resumed prefills do not all come at once.
type reclaimDecision struct {
	stream reclaimStream
	action reclaimAction
	at     time.Duration
}

// reclaimPlanner decides about the streams of one daemon on one leaving server.
type reclaimPlanner interface {
	plan(remaining time.Duration, streams []reclaimStream) []reclaimDecision
}
