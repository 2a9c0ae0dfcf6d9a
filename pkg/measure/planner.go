package measure

import (
	"strconv"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// streamingPlanner is a reclaimPlanner that uses streaming.PlanReclaim.
type streamingPlanner struct {
	costs streaming.ReclaimCosts
}

// newStreamingPlanner returns a planner for one daemon that may use linkShare of
// the bandwidth of an export link. It sets one byte per token, so that the
// transfer rate is in tokens per second.
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
			RemainingTokens: s.attempt.request.maxTokens - s.attempt.emittedTokens,
			DecodePerToken:  s.attempt.request.meanTokenInterval(),
		}
	}
	decisions := make([]reclaimDecision, len(streams))
	for i, a := range streaming.PlanReclaim(epoch, epoch.Add(remaining), candidates, p.costs) {
		index, err := strconv.Atoi(a.StreamID)
		if err != nil {
			panic(err)
		}
		decisions[i] = reclaimDecision{stream: streams[index], action: reclaimAction(a.Choice), delay: a.StartAt.Sub(epoch)}
	}
	return decisions
}

// meanTokenInterval returns the mean time between the tokens delivered so far, or
// nominalTokenInterval if there are fewer than two.
func (q *request) meanTokenInterval() time.Duration {
	if q.deliveredTokens < 2 {
		return nominalTokenInterval
	}
	return (q.lastToken - q.firstToken) / time.Duration(q.deliveredTokens-1)
}
