package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestLatency   = 20 * time.Minute
	histogramDigits  = 3
	percentile95     = 95
	courseResolution = time.Second
)

// runResult is what one run measured after its warm-up.
type runResult struct {
	requests, inTime, lost, refused int
	// others count the requests of all but the largest account.
	others, othersInTime int
	cost                 float64
	firstToken           *hdrhistogram.Histogram
	between              *hdrhistogram.Histogram
	// again counts prefilled tokens whose prefix had been computed by some
	// engine, redone those computed again after a reclaim or death.
	again, redone int
	prompt        int
	actions       map[reclaimAction]int
	// course is the time to first token by second of arrival.
	course []coursePoint
}

type coursePoint struct {
	arrival time.Duration
	first   time.Duration
}

func newRunResult() *runResult {
	return &runResult{firstToken: newHistogram(), between: newHistogram(), actions: make(map[reclaimAction]int)}
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency.Microseconds(), histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), highestLatency).Microseconds())
}

func (r *runResult) recomputedReclaim(x *experiment, tokens int) {
	if x.loop.now >= x.operator.WarmUp {
		r.redone += tokens
	}
}

func (r *runResult) gap(x *experiment, q *request, d time.Duration) {
	if q.arrival >= x.operator.WarmUp {
		record(r.between, d)
	}
}

// prefillStarted counts the prefilled tokens that some engine had computed
// before: those of known prefixes that the cache does not serve, and the
// emitted tokens of a resumed stream.
func (x *experiment) prefillStarted(a *attempt) {
	known := a.cached
	for _, p := range a.request.prefixes {
		if x.computed[p.Hash] {
			known = max(known, p.Tokens)
		}
	}
	if x.loop.now < x.operator.WarmUp {
		return
	}
	x.result.prompt += a.request.promptTokens
	if a.request.attempts > 1 {
		x.result.redone += known - a.cached + a.resumed
		return
	}
	x.result.again += known - a.cached
}

// prefillEnded marks the attempt's prefixes as computed.
func (x *experiment) prefillEnded(a *attempt) {
	for _, p := range a.request.prefixes {
		x.computed[p.Hash] = true
	}
}

// summarise judges the requests that arrived after the warm-up.
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
			r.others++
			if in {
				r.othersInTime++
			}
		}
		switch {
		case q.refused:
			r.refused++
		case !q.done:
			r.lost++
		default:
			record(r.firstToken, q.firstToken-q.arrival)
			r.course = append(r.course, coursePoint{q.arrival, q.firstToken - q.arrival})
		}
	}
}

// inTime says whether the whole answer came before the deadline and, for an
// interactive request, the first token and the mean time between tokens kept
// the latency target.
func (x *experiment) inTime(q *request) bool {
	if !q.done || q.ended > q.deadline {
		return false
	}
	if !x.operator.Interactive {
		return true
	}
	gaps := time.Duration(max(q.outputTokens-1, 1))
	return q.firstToken-q.arrival <= firstTokenTarget && (q.lastToken-q.firstToken)/gaps <= betweenTokensTarget
}
