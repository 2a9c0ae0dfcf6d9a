package measure

import (
	"strconv"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// streamingPlanner plans with streaming.PlanReclaim.
type streamingPlanner struct {
	costs streaming.ReclaimCosts
}

// newStreamingPlanner counts one byte a token, so that the rate is in tokens.
func newStreamingPlanner(transferPerToken time.Duration, linkShare float64) *streamingPlanner {
	return &streamingPlanner{costs: streaming.ReclaimCosts{
		KVBytesPerToken:        1,
		TransferBytesPerSecond: linkShare / transferPerToken.Seconds(),
		Margin:                 time.Second,
	}}
}

func (p *streamingPlanner) plan(remaining time.Duration, streams []reclaimStream) []reclaimDecision {
	candidates := make([]streaming.Candidate, len(streams))
	for i, s := range streams {
		candidates[i] = streaming.Candidate{
			StreamID: strconv.Itoa(i), ContextTokens: s.tokens,
			RemainingTokens: s.attempt.request.maxTokens - s.attempt.emitted,
			DecodePerToken:  s.attempt.request.observedPerToken(),
		}
	}
	decisions := make([]reclaimDecision, len(streams))
	for i, a := range streaming.PlanReclaim(epoch, epoch.Add(remaining), candidates, p.costs) {
		index, err := strconv.Atoi(a.StreamID)
		if err != nil {
			panic(err)
		}
		decisions[i] = reclaimDecision{stream: streams[index], action: reclaimAction(a.Choice), at: a.StartAt.Sub(epoch)}
	}
	return decisions
}

// observedPerToken is the request's mean time between tokens so far.
func (q *request) observedPerToken() time.Duration {
	if q.delivered < 2 {
		return nominalPerToken
	}
	return (q.lastToken - q.firstToken) / time.Duration(q.delivered-1)
}
