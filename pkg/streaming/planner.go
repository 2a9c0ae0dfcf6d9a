package streaming

import (
	"cmp"
	"slices"
	"time"
)

// ReclaimChoice says what becomes of a stream whose engine is leaving.
type ReclaimChoice string

// The choices.
const (
	// ReclaimFinish lets the stream run until it ends or the notice does.
	ReclaimFinish ReclaimChoice = "finish"
	// ReclaimMigrate moves the KV cache to another engine.
	ReclaimMigrate ReclaimChoice = "migrate"
	// ReclaimResume starts again elsewhere from the prompt and the tokens.
	ReclaimResume ReclaimChoice = "resume"
)

// Candidate is a stream on an engine that is leaving.
type Candidate struct {
	StreamID string
	// ContextTokens is the prompt plus the emitted tokens: what a resume has
	// to prefill again. CachedElsewhere of them are expected in the prefix
	// cache of another engine.
	ContextTokens   int
	CachedElsewhere int
	// RemainingTokens is the largest number of tokens still to come.
	RemainingTokens int
	// DecodePerToken is the observed time between tokens.
	DecodePerToken time.Duration
}

// ReclaimCosts describe the engine that is leaving.
type ReclaimCosts struct {
	KVBytesPerToken int64
	// TransferBytesPerSecond is shared by all transfers of the engine.
	TransferBytesPerSecond float64
	// TransferSetup is the fixed time of one transfer.
	TransferSetup time.Duration
	// Margin is kept free at the end of the notice.
	Margin time.Duration
}

// Assignment is the choice for one stream.
type Assignment struct {
	StreamID string
	Choice   ReclaimChoice
	// At is when the migration or the resume starts.
	StartAt time.Time
	// LostPerSecond is the expected number of tokens saved per second of
	// transfer.
	LostPerSecond float64
	Reason        string
}

type weighed struct {
	Candidate
	// unfinished is the probability that the stream outlasts the notice,
	// taking its remaining length as equally likely up to the largest.
	unfinished float64
	// within is how many tokens the notice leaves time for.
	within   float64
	lost     float64
	transfer time.Duration
}

// PlanReclaim decides for each stream of an engine that leaves at deadline.
//
// A stream that ends within the notice stays. The transfer time that the notice
// offers goes to the streams that lose most per second of transfer. The others
// stay until the end of the notice if they are likely enough to finish, and are
// resumed at once if not.
func PlanReclaim(now, deadline time.Time, candidates []Candidate, costs ReclaimCosts) []Assignment {
	notice := max(deadline.Sub(now)-costs.Margin, 0)
	streams := make([]weighed, len(candidates))
	for i, c := range candidates {
		streams[i] = weigh(c, notice, costs)
	}
	slices.SortStableFunc(streams, func(a, b weighed) int {
		return cmp.Compare(b.density(), a.density())
	})
	plan := make([]Assignment, 0, len(streams))
	busy := time.Duration(0)
	for _, s := range streams {
		a := s.assign(now, notice, busy)
		if a.Choice == ReclaimMigrate {
			busy += s.transfer
		}
		plan = append(plan, a)
	}
	return plan
}

func weigh(c Candidate, notice time.Duration, costs ReclaimCosts) weighed {
	s := weighed{Candidate: c, transfer: notice + 1}
	if c.DecodePerToken > 0 {
		s.within = float64(notice) / float64(c.DecodePerToken)
	}
	if c.RemainingTokens > 0 {
		s.unfinished = max(0, 1-s.within/float64(c.RemainingTokens))
	}
	s.lost = s.unfinished * float64(max(c.ContextTokens-c.CachedElsewhere, 0))
	if costs.TransferBytesPerSecond > 0 {
		bytes := float64(c.ContextTokens) * float64(costs.KVBytesPerToken)
		s.transfer = costs.TransferSetup + time.Duration(bytes/costs.TransferBytesPerSecond*float64(time.Second))
	}
	return s
}

// density is the expected loss per second of transfer.
func (s weighed) density() float64 {
	return s.lost / max(s.transfer.Seconds(), time.Microsecond.Seconds())
}

func (s weighed) assign(now time.Time, notice, busy time.Duration) Assignment {
	a := Assignment{StreamID: s.StreamID, Choice: ReclaimFinish, StartAt: now, LostPerSecond: s.density()}
	switch {
	case s.unfinished == 0:
		a.Reason = "ends within the notice"
	case s.lost > 0 && busy+s.transfer <= notice:
		a.Choice, a.StartAt, a.Reason = ReclaimMigrate, now.Add(busy), "loses most per second of transfer"
	case s.worthWaiting():
		a.Reason = "is likely to end within the notice"
	default:
		a.Choice, a.Reason = ReclaimResume, "no transfer time is left"
	}
	return a
}

// worthWaiting weighs the prefill saved when the stream ends in time against
// the tokens that a later resume has to prefill in addition.
func (s weighed) worthWaiting() bool {
	saved := (1 - s.unfinished) * float64(s.ContextTokens-s.CachedElsewhere)
	return saved > s.unfinished*s.within
}
