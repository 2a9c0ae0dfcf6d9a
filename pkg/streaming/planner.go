package streaming

import (
	"cmp"
	"slices"
	"time"
)

// ReclaimChoice is the way in which a stream is handled when its engine is
// being reclaimed.
type ReclaimChoice string

// The choices for a stream.
const (
	// ReclaimFinish lets the stream run until its end or the end of the notice
	// period.
	ReclaimFinish ReclaimChoice = "finish"
	// ReclaimMigrate moves the KV cache to another engine.
	ReclaimMigrate ReclaimChoice = "migrate"
	// ReclaimResume starts a new attempt on another engine, which recomputes
	// the prompt and the emitted tokens.
	ReclaimResume ReclaimChoice = "resume"
)

// Candidate is a stream on an engine that is being reclaimed.
type Candidate struct {
	StreamID string
	// ContextTokens is the number of prompt and emitted tokens, which a resume
	// has to prefill again. CachedElsewhere of them are expected in the prefix
	// cache of another engine.
	ContextTokens   int
	CachedElsewhere int
	// RemainingTokens is the largest number of tokens that may follow.
	RemainingTokens int
	// DecodePerToken is the observed time between tokens.
	DecodePerToken time.Duration
}

// ReclaimCosts describe the cost of moving streams off the engine that is being
// reclaimed.
type ReclaimCosts struct {
	KVBytesPerToken int64
	// TransferBytesPerSecond is the bandwidth shared by all transfers of the
	// engine.
	TransferBytesPerSecond float64
	// TransferSetup is the time that each transfer takes in addition to sending
	// its bytes.
	TransferSetup time.Duration
	// Margin is kept free at the end of the notice period.
	Margin time.Duration
}

// Assignment is the choice for one stream.
type Assignment struct {
	StreamID string
	Choice   ReclaimChoice
	// StartAt is when the migration or the resume starts.
	StartAt time.Time
	// SavedTokensPerSecond is the expected number of recomputed tokens that
	// migrating the stream avoids, per second of transfer time.
	SavedTokensPerSecond float64
	Reason               string
}

// scoredCandidate is a Candidate with the values that determine its choice.
type scoredCandidate struct {
	Candidate
	// unfinishedProbability is the probability that the stream does not end
	// within the notice period, assuming that every remaining length up to
	// RemainingTokens is equally likely.
	unfinishedProbability float64
	// tokensWithinNotice is the number of tokens that can be decoded within the
	// notice period.
	tokensWithinNotice float64
	// expectedLoss is the expected number of tokens to recompute if the stream
	// is not migrated.
	expectedLoss float64
	transferTime time.Duration
}

// PlanReclaim chooses how to handle each stream of an engine that is shut down
// at deadline.
//
// A stream that ends within the notice period stays. The available transfer
// time is given to the streams that save the most recomputed tokens per second
// of transfer. The other streams stay until the end of the notice period if
// they are likely enough to finish, and are resumed on another engine at once
// if not.
func PlanReclaim(now, deadline time.Time, candidates []Candidate, costs ReclaimCosts) []Assignment {
	notice := max(deadline.Sub(now)-costs.Margin, 0)
	streams := make([]scoredCandidate, len(candidates))
	for i, c := range candidates {
		streams[i] = scoreCandidate(c, notice, costs)
	}
	slices.SortStableFunc(streams, func(a, b scoredCandidate) int {
		return cmp.Compare(b.savedTokensPerSecond(), a.savedTokensPerSecond())
	})
	plan := make([]Assignment, 0, len(streams))
	scheduledTransfers := time.Duration(0)
	for _, s := range streams {
		a := s.assign(now, notice, scheduledTransfers)
		if a.Choice == ReclaimMigrate {
			scheduledTransfers += s.transferTime
		}
		plan = append(plan, a)
	}
	return plan
}

func scoreCandidate(c Candidate, notice time.Duration, costs ReclaimCosts) scoredCandidate {
	s := scoredCandidate{Candidate: c, transferTime: notice + 1}
	if c.DecodePerToken > 0 {
		s.tokensWithinNotice = float64(notice) / float64(c.DecodePerToken)
	}
	if c.RemainingTokens > 0 {
		s.unfinishedProbability = max(0, 1-s.tokensWithinNotice/float64(c.RemainingTokens))
	}
	s.expectedLoss = s.unfinishedProbability * float64(max(c.ContextTokens-c.CachedElsewhere, 0))
	if costs.TransferBytesPerSecond > 0 {
		bytes := float64(c.ContextTokens) * float64(costs.KVBytesPerToken)
		s.transferTime = costs.TransferSetup + time.Duration(bytes/costs.TransferBytesPerSecond*float64(time.Second))
	}
	return s
}

// savedTokensPerSecond returns the expected loss divided by the transfer time in
// seconds (see Assignment.SavedTokensPerSecond).
func (s scoredCandidate) savedTokensPerSecond() float64 {
	return s.expectedLoss / max(s.transferTime.Seconds(), time.Microsecond.Seconds())
}

// assign returns the choice for a stream. scheduledTransfers is the total time
// of the transfers that start before its own.
func (s scoredCandidate) assign(now time.Time, notice, scheduledTransfers time.Duration) Assignment {
	a := Assignment{StreamID: s.StreamID, Choice: ReclaimFinish, StartAt: now, SavedTokensPerSecond: s.savedTokensPerSecond()}
	switch {
	case s.unfinishedProbability == 0:
		a.Reason = "ends within the notice"
	case s.expectedLoss > 0 && scheduledTransfers+s.transferTime <= notice:
		a.Choice, a.StartAt, a.Reason = ReclaimMigrate, now.Add(scheduledTransfers), "loses most per second of transfer"
	case s.worthWaiting():
		a.Reason = "is likely to end within the notice"
	default:
		a.Choice, a.Reason = ReclaimResume, "no transfer time is left"
	}
	return a
}

// worthWaiting compares the expected prefill saved if the stream ends within
// the notice period with the expected additional tokens that a later resume has
// to prefill.
func (s scoredCandidate) worthWaiting() bool {
	savedTokens := (1 - s.unfinishedProbability) * float64(s.ContextTokens-s.CachedElsewhere)
	return savedTokens > s.unfinishedProbability*s.tokensWithinNotice
}
