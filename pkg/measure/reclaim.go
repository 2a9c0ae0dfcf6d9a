package measure

import (
	"cmp"
	"slices"
	"time"
)

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

// simplePlanner finishes what ends in time, migrates what the daemon's share of
// the transfer link can carry, the longest contexts first, and resumes the rest
// spread over the notice.
type simplePlanner struct {
	betweenTokens    time.Duration
	transferPerToken time.Duration
	// linkShare is the part of the server's export link that this daemon
	// counts on.
	linkShare float64
	// margin is kept before the reclaim.
	margin time.Duration
}

func (p *simplePlanner) plan(remaining time.Duration, streams []reclaimStream) []reclaimDecision {
	usable := max(remaining-p.margin, 0)
	streams = slices.Clone(streams)
	slices.SortStableFunc(streams, func(a, b reclaimStream) int { return cmp.Compare(b.tokens, a.tokens) })
	decisions := make([]reclaimDecision, 0, len(streams))
	var transfer time.Duration
	var resumed []int
	for _, s := range streams {
		d := reclaimDecision{stream: s, action: actionResume}
		cost := time.Duration(float64(s.tokens) * float64(p.transferPerToken) / p.linkShare)
		switch {
		case time.Duration(s.remaining)*p.betweenTokens <= usable:
			d.action = actionFinish
		case transfer+cost <= usable:
			d.action = actionMigrate
			// The stream goes on decoding until its turn on the link.
			d.at = transfer
			transfer += cost
		default:
			resumed = append(resumed, len(decisions))
		}
		decisions = append(decisions, d)
	}
	for i, index := range resumed {
		decisions[index].at = usable * time.Duration(i) / time.Duration(len(resumed))
	}
	return decisions
}
