package placement

import (
	"math"
	"time"
)

// score returns the cost of a request at a server, in nanoseconds: all that a choice compares is
// added up here.
func (s *server) score(now time.Time, q *Query, expectedWait time.Duration, cached int) float64 {
	score := float64(expectedWait) + s.penalty(now, q)
	if s.service.kvCapacity == 0 {
		return score
	}
	return score + recomputeCost(q, cached, s.service.prefillRate) + s.generationCost(q)
}

// recomputeCost is the extra cost, in nanoseconds, of prefilling tokens that
// another server may cache.
func recomputeCost(q *Query, cached int, rate float64) float64 {
	if q.PromptTokens == 0 {
		return 0
	}
	return (recomputeWeight - 1) * float64(q.PromptTokens-cached) / rate * float64(time.Millisecond)
}

// generationWeight is the cost of the time to generate the answer as a multiple of that time. A
// caller sees the first event and pauses more than a later end.
const generationWeight = 0.1

// generationCost is the cost, in nanoseconds, of the time to generate the answer.
func (s *server) generationCost(q *Query) float64 {
	return generationWeight * float64(q.OutputTokens) * float64(s.service.tokenTime) / math.Sqrt(s.speed)
}
