package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency                 = 20 * time.Minute
	histogramSignificantDigits = 3
	percentile95               = 95
	seriesResolution           = time.Second
)

// runResult holds the measurements of one run after its warm-up.
type runResult struct {
	requests, inTime, lost, refused int
	// otherAccountRequests and otherAccountsInTime count the requests of all accounts
	// but the largest.
	otherAccountRequests, otherAccountsInTime int
	cost                                      float64
	firstToken                                *hdrhistogram.Histogram
	betweenTokens                             *hdrhistogram.Histogram
	// recomputedOnMiss counts the prefilled tokens of first attempts whose prefix had
	// already been computed by any engine. recomputedAfterLoss counts the tokens that
	// were computed again after a reclaim, a failure or a preemption.
	recomputedOnMiss, recomputedAfterLoss int
	// attemptPromptTokens is the sum of the prompt tokens over all attempts.
	attemptPromptTokens int
	actions             map[reclaimAction]int
	// firstTokenSeries holds the time to first token of each request that finished,
	// in order of arrival.
	firstTokenSeries []firstTokenPoint
}

// firstTokenPoint is the arrival time of a request and its time to first token.
type firstTokenPoint struct {
	arrival          time.Duration
	timeToFirstToken time.Duration
}

func newRunResult() *runResult {
	return &runResult{firstToken: newHistogram(), betweenTokens: newHistogram(), actions: make(map[reclaimAction]int)}
}

// newHistogram returns an empty histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramSignificantDigits)
}

// record adds a duration, limited to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// addRecomputedAfterLoss counts tokens that are computed again because an attempt
// was lost, unless the run is still in its warm-up.
func (r *runResult) addRecomputedAfterLoss(x *experiment, tokens int) {
	if x.loop.now >= x.operator.WarmUp {
		r.recomputedAfterLoss += tokens
	}
}

// addTokenInterval records the time between two tokens of a request that arrived
// after the warm-up.
func (r *runResult) addTokenInterval(x *experiment, q *request, d time.Duration) {
	if q.arrival >= x.operator.WarmUp {
		record(r.betweenTokens, d)
	}
}

// prefillStarted counts the tokens of a prefill that any engine has computed
// before: those of computed prefixes that the engine's cache does not hold, and the
// emitted tokens of a resumed stream.
func (x *experiment) prefillStarted(a *attempt) {
	computedTokens := a.cachedTokens
	for _, p := range a.request.prefixes {
		if x.computedPrefixes[p.Hash] {
			computedTokens = max(computedTokens, p.Tokens)
		}
	}
	if x.loop.now < x.operator.WarmUp {
		return
	}
	x.result.attemptPromptTokens += a.request.promptTokens
	if a.request.attempts > 1 {
		x.result.recomputedAfterLoss += computedTokens - a.cachedTokens + a.resumedTokens
		return
	}
	x.result.recomputedOnMiss += computedTokens - a.cachedTokens
}

// prefillEnded adds the prefixes of the attempt to the computed prefixes.
func (x *experiment) prefillEnded(a *attempt) {
	for _, p := range a.request.prefixes {
		x.computedPrefixes[p.Hash] = true
	}
}

// summarise counts the requests that arrived after the warm-up by their outcome.
func (x *experiment) summarise() {
	r := x.result
	for _, q := range x.requests {
		if q.arrival < x.operator.WarmUp {
			continue
		}
		r.requests++
		in := x.inTime(q)
		if in {
			r.inTime++
		}
		if q.account != 0 {
			r.otherAccountRequests++
			if in {
				r.otherAccountsInTime++
			}
		}
		switch {
		case q.refused:
			r.refused++
		case !q.done:
			r.lost++
		default:
			record(r.firstToken, q.firstToken-q.arrival)
			r.firstTokenSeries = append(r.firstTokenSeries, firstTokenPoint{q.arrival, q.firstToken - q.arrival})
		}
	}
}

// inTime reports whether the answer was complete by the deadline and, for an
// interactive request, whether the time to first token and the mean time between
// tokens met the latency targets.
func (x *experiment) inTime(q *request) bool {
	if !q.done || q.endedAt > q.deadline {
		return false
	}
	if !x.operator.Interactive {
		return true
	}
	gaps := time.Duration(max(q.outputTokens-1, 1))
	return q.firstToken-q.arrival <= firstTokenTarget && (q.lastToken-q.firstToken)/gaps <= betweenTokensTarget
}
