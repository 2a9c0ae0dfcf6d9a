package demo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
)

// Bounds of the histograms: 1 ms to 1 minute in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	targetQuantile    = 95
)

// Counts are the outcomes of a run. Lost, Doubled and FalseReports are judged by
// the ledgers of the stand-ins, not by what the daemons say.
type Counts struct {
	Accepted int `json:"accepted"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Lost are accepted requests without their whole answer, and bookings
	// reported as done that never ran.
	Lost int `json:"lost"`
	// Doubled are once-only calls that ran more than once.
	Doubled int `json:"doubled"`
	// FalseReports are requests whose caller was told that they did not run
	// although they did, or was given the answer to another request.
	FalseReports int `json:"false_reports"`
}

func (c *Counts) add(other Counts) {
	c.Accepted += other.Accepted
	c.Answered += other.Answered
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
	c.Lost += other.Lost
	c.Doubled += other.Doubled
	c.FalseReports += other.FalseReports
}

// judge compares what callers were told with what the stand-ins ran.
type judge struct {
	engines  *engine.Ledger
	services *plainservice.Ledger
	times    *times
	// findings describe each fault, for the report.
	findings []string
}

// times are the latencies that callers saw.
type times struct {
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

func newTimes() *times {
	return &times{
		firstToken:    hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		betweenTokens: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
}

func newJudge(engines *engine.Ledger, services *plainservice.Ledger, times *times) *judge {
	return &judge{engines: engines, services: services, times: times}
}

// ranRequests are the requests with at least one attempt at an engine that
// computed something.
func (j *judge) ranRequests() map[string]bool {
	ran := make(map[string]bool)
	for _, e := range j.engines.Entries() {
		if e.PrefilledTokens > 0 || e.Generated > 0 {
			ran[engine.RequestOf(e.AttemptID)] = true
		}
	}
	return ran
}

// judge returns the counts of one operator's records.
func (j *judge) judge(r *records) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts Counts
	ran := j.ranRequests()
	for _, chat := range r.chats {
		counts.add(j.chat(&chat, ran))
	}
	for _, booking := range r.bookings {
		counts.add(j.booking(booking))
	}
	for _, d := range r.deferred {
		counts.add(j.deferred(d))
	}
	j.findings = append(j.findings, r.failures...)
	for outcome, n := range r.checks {
		counts.add(countOutcome(api.Outcome(outcome), n))
	}
	return counts
}

// countOutcome counts requests whose answer is not compared with a ledger. A
// missing answer counts as lost.
func countOutcome(outcome api.Outcome, n int) Counts {
	switch outcome {
	case api.OutcomeDone:
		return Counts{Accepted: n, Answered: n}
	case api.OutcomeNotRun:
		return Counts{NotRun: n}
	case api.OutcomeUnknown:
		return Counts{Accepted: n, Unknown: n}
	default:
		return Counts{Accepted: n, Lost: n}
	}
}

func (j *judge) chat(c *chatRecord, ran map[string]bool) Counts {
	result := c.result
	switch {
	case result.problem != nil && result.problem.Outcome == string(api.OutcomeNotRun):
		counts := Counts{NotRun: 1}
		if ran[result.requestID] {
			j.find("chat " + result.requestID + " was reported as not run, but ran")
			counts.FalseReports = 1
		}
		return counts
	case result.problem != nil:
		return Counts{Accepted: 1, Unknown: 1}
	case result.finished && !result.gap && result.text() == c.expected:
		j.times.record(result)
		return Counts{Accepted: 1, Answered: 1}
	case result.finished:
		j.find("chat " + result.requestID + " got another answer than its own")
		return Counts{Accepted: 1, Lost: 1, FalseReports: 1}
	case result.requestID == "":
		// The connection failed before a daemon had accepted the request.
		return Counts{Unknown: 1}
	default:
		j.find("chat " + result.requestID + " got no whole answer")
		return Counts{Accepted: 1, Lost: 1}
	}
}

// record takes the latencies of a whole answer.
func (t *times) record(result *chatResult) {
	for i, at := range result.arrivals {
		if i == 0 {
			_ = t.firstToken.RecordValue(at.Sub(result.sent).Microseconds())
			continue
		}
		_ = t.betweenTokens.RecordValue(max(at.Sub(result.arrivals[i-1]).Microseconds(), lowestMicros))
	}
}

func (j *judge) booking(b *bookingRecord) Counts {
	runs := j.services.RunsOfKey(b.key)
	counts := Counts{}
	told := make(map[api.Outcome]int)
	for _, outcome := range b.outcomes {
		told[api.Outcome(outcome)]++
	}
	if runs > 1 {
		j.find("booking " + b.key + " ran more than once")
		counts.Doubled = 1
	}
	for _, other := range b.answers {
		if other != b.answers[0] {
			j.find("booking " + b.key + " was answered in two ways")
			counts.FalseReports = 1
		}
	}
	switch {
	case told[api.OutcomeDone] > 0:
		counts.Accepted, counts.Answered = 1, 1
		if runs == 0 {
			j.find("booking " + b.key + " was reported as done, but never ran")
			counts.Lost, counts.Answered = 1, 0
		}
	case told[api.OutcomeNotRun] == len(b.outcomes):
		counts.NotRun = 1
		if runs > 0 {
			j.find("booking " + b.key + " was reported as not run, but ran")
			counts.FalseReports = 1
		}
	case told[""] == len(b.outcomes):
		j.find("booking " + b.key + " got no answer")
		counts.Accepted, counts.Lost = 1, 1
	default:
		counts.Accepted, counts.Unknown = 1, 1
	}
	return counts
}

func (j *judge) deferred(d *deferredRecord) Counts {
	switch {
	case !d.accepted && d.notRun:
		return Counts{NotRun: 1}
	case !d.accepted:
		return Counts{Unknown: 1}
	case d.finished && d.problem == nil && d.text == d.expected:
		return Counts{Accepted: 1, Answered: 1}
	case d.finished && d.problem == nil:
		j.find("deferred request " + d.id + " got another answer than its own")
		return Counts{Accepted: 1, Lost: 1, FalseReports: 1}
	case d.finished:
		j.find("deferred request " + d.id + " failed: " + d.problem.Detail)
		return Counts{Accepted: 1, Lost: 1}
	default:
		j.find("deferred request " + d.id + " did not finish")
		return Counts{Accepted: 1, Lost: 1}
	}
}

func (j *judge) find(finding string) { j.findings = append(j.findings, finding) }

func quantileSeconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return (time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond).Seconds()
}
