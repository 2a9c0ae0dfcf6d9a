package demo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
)

const (
	// minLatencyMicros and maxLatencyMicros are the range of the latency histograms
	// in microseconds: 1 µs to 1 minute.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	targetPercentile  = 95
)

// Counts are the outcomes of a run. Lost, Doubled and FalseReports are determined
// from the ledgers of the simulated servers, not from the daemons' reports.
type Counts struct {
	Accepted int `json:"accepted"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Lost counts accepted requests without a complete answer, and bookings
	// reported as done that never ran.
	Lost int `json:"lost"`
	// Doubled counts once-only calls that ran more than once.
	Doubled int `json:"doubled"`
	// FalseReports counts requests that were reported as not run although they
	// ran, requests with a wrong answer, such as that of another request, and
	// bookings whose copies received different answers.
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

// verifier compares the outcomes that callers received with the requests that the
// simulated servers ran.
type verifier struct {
	engines   *engine.Ledger
	services  *plainservice.Ledger
	latencies *latencies
	// findings describe each wrong outcome for the report.
	findings []string
}

// latencies are histograms, in microseconds, of the latencies that callers
// measured.
type latencies struct {
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{
		firstToken:    hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		betweenTokens: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

func newVerifier(engines *engine.Ledger, services *plainservice.Ledger, latencies *latencies) *verifier {
	return &verifier{engines: engines, services: services, latencies: latencies}
}

// ranRequests returns the IDs of the requests of which at least one attempt
// prefilled or generated a token at an engine.
func (v *verifier) ranRequests() map[string]bool {
	ran := make(map[string]bool)
	for _, e := range v.engines.Entries() {
		if e.PrefilledTokens > 0 || e.Generated > 0 {
			ran[engine.RequestOf(e.AttemptID)] = true
		}
	}
	return ran
}

// verify classifies one operator's records and returns their counts.
func (v *verifier) verify(r *records) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts Counts
	ran := v.ranRequests()
	for _, chat := range r.chats {
		counts.add(v.classifyChat(&chat, ran))
	}
	for _, booking := range r.bookings {
		counts.add(v.classifyBooking(booking))
	}
	for _, d := range r.deferred {
		counts.add(v.classifyDeferred(d))
	}
	v.findings = append(v.findings, r.checkFailures...)
	for outcome, n := range r.checkOutcomes {
		counts.add(classifyOutcome(api.Outcome(outcome), n))
	}
	return counts
}

// classifyOutcome classifies n requests with the same outcome whose answers are
// not compared with a ledger. A missing answer counts as lost.
func classifyOutcome(outcome api.Outcome, n int) Counts {
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

// classifyChat compares the result of a chat with the expected text and with the
// requests that ran at engines.
func (v *verifier) classifyChat(c *chatRecord, ran map[string]bool) Counts {
	result := c.result
	switch {
	case result.problem != nil && result.problem.Outcome == string(api.OutcomeNotRun):
		counts := Counts{NotRun: 1}
		if ran[result.requestID] {
			v.addFinding("chat " + result.requestID + " was reported as not run, but ran")
			counts.FalseReports = 1
		}
		return counts
	case result.problem != nil:
		return Counts{Accepted: 1, Unknown: 1}
	case result.finished && !result.malformed && result.text() == c.expected:
		v.latencies.record(result)
		return Counts{Accepted: 1, Answered: 1}
	case result.finished:
		v.addFinding("chat " + result.requestID + " received an answer that is wrong or has gaps")
		return Counts{Accepted: 1, Lost: 1, FalseReports: 1}
	case result.requestID == "":
		// The connection failed before a daemon reported a request ID, so that it is
		// unknown whether the request was accepted.
		return Counts{Unknown: 1}
	default:
		v.addFinding("chat " + result.requestID + " received no complete answer")
		return Counts{Accepted: 1, Lost: 1}
	}
}

// record adds the latencies of a complete answer to the histograms.
func (l *latencies) record(result *chatResult) {
	for i, at := range result.arrivalTimes {
		if i == 0 {
			_ = l.firstToken.RecordValue(at.Sub(result.sentAt).Microseconds())
			continue
		}
		_ = l.betweenTokens.RecordValue(max(at.Sub(result.arrivalTimes[i-1]).Microseconds(), minLatencyMicros))
	}
}

// classifyBooking compares the outcomes of all sends of a booking with the number
// of times it ran. All answers to one booking must be equal.
func (v *verifier) classifyBooking(b *bookingRecord) Counts {
	runs := v.services.RunsOfKey(b.key)
	counts := Counts{}
	outcomeCounts := make(map[api.Outcome]int)
	for _, outcome := range b.outcomes {
		outcomeCounts[api.Outcome(outcome)]++
	}
	if runs > 1 {
		v.addFinding("booking " + b.key + " ran more than once")
		counts.Doubled = 1
	}
	for _, other := range b.answers {
		if other != b.answers[0] {
			v.addFinding("booking " + b.key + " received different answers")
			counts.FalseReports = 1
		}
	}
	switch {
	case outcomeCounts[api.OutcomeDone] > 0:
		counts.Accepted, counts.Answered = 1, 1
		if runs == 0 {
			v.addFinding("booking " + b.key + " was reported as done, but never ran")
			counts.Lost, counts.Answered = 1, 0
		}
	case outcomeCounts[api.OutcomeNotRun] == len(b.outcomes):
		counts.NotRun = 1
		if runs > 0 {
			v.addFinding("booking " + b.key + " was reported as not run, but ran")
			counts.FalseReports = 1
		}
	case outcomeCounts[""] == len(b.outcomes):
		v.addFinding("booking " + b.key + " received no answer")
		counts.Accepted, counts.Lost = 1, 1
	default:
		counts.Accepted, counts.Unknown = 1, 1
	}
	return counts
}

// classifyDeferred compares the result of a deferred request with the expected
// text.
func (v *verifier) classifyDeferred(d *deferredRecord) Counts {
	switch {
	case !d.accepted && d.notRun:
		return Counts{NotRun: 1}
	case !d.accepted:
		return Counts{Unknown: 1}
	case d.finished && d.problem == nil && d.text == d.expected:
		return Counts{Accepted: 1, Answered: 1}
	case d.finished && d.problem == nil:
		v.addFinding("deferred request " + d.id + " received a wrong answer")
		return Counts{Accepted: 1, Lost: 1, FalseReports: 1}
	case d.finished:
		v.addFinding("deferred request " + d.id + " failed: " + d.problem.Detail)
		return Counts{Accepted: 1, Lost: 1}
	default:
		v.addFinding("deferred request " + d.id + " did not finish")
		return Counts{Accepted: 1, Lost: 1}
	}
}

func (v *verifier) addFinding(finding string) { v.findings = append(v.findings, finding) }

// percentileSeconds returns a percentile of a histogram of microseconds in seconds.
func percentileSeconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return (time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond).Seconds()
}
