package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spread is the range of a value over the seeds.
type Spread struct {
	Least    float64 `json:"least"`
	Greatest float64 `json:"greatest"`
}

// Cell holds the results of one policy in one scenario at one load, aggregated
// over the runs of all seeds. Counts are means per run, except Lost, which is the
// total of all runs.
type Cell struct {
	Operator string  `json:"operator"`
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Load     float64 `json:"load"`

	Requests                 float64 `json:"requests"`
	ShareInTime              float64 `json:"share_in_time"`
	OtherAccountsShareInTime float64 `json:"other_accounts_share_in_time"`
	CostPerThousandInTime    float64 `json:"cost_per_1000_in_time"`
	CostSpread               Spread  `json:"cost_spread"`
	P95FirstTokenSeconds     float64 `json:"p95_first_token_seconds"`
	FirstTokenSpread         Spread  `json:"p95_first_token_spread"`
	P95BetweenTokensSeconds  float64 `json:"p95_between_tokens_seconds"`
	PromptTokens             float64 `json:"prompt_tokens"`
	RecomputedTokens         float64 `json:"recomputed_tokens"`
	RecomputedSpread         Spread  `json:"recomputed_spread"`
	// RecomputedAfterLoss is the part of RecomputedTokens that was caused by
	// reclaims, engine failures and preemptions.
	RecomputedAfterLoss float64 `json:"recomputed_after_loss"`
	Lost                int     `json:"lost"`
	// Refused counts requests that were rejected immediately with a definite answer.
	// They count as not in time.
	Refused        float64            `json:"refused"`
	ReclaimActions map[string]float64 `json:"reclaim_actions,omitempty"`
	// firstTokenSeries is taken from the run of the first seed.
	firstTokenSeries []firstTokenPoint
}

// spreadRecorder collects one value per seed in a histogram. unit is the value of
// one histogram step.
type spreadRecorder struct {
	histogram *hdrhistogram.Histogram
	unit      float64
}

const (
	spreadMaxUnits          = 1_000_000_000_000
	spreadSignificantDigits = 4
	// costUnit, tokenUnit and secondUnit are the resolutions of the recorded costs,
	// token counts and seconds.
	costUnit   = 1e-6
	tokenUnit  = 1.0
	secondUnit = 1e-6
)

func newSpreadRecorder(unit float64) *spreadRecorder {
	return &spreadRecorder{histogram: hdrhistogram.New(1, spreadMaxUnits, spreadSignificantDigits), unit: unit}
}

func (s *spreadRecorder) add(value float64) { _ = s.histogram.RecordValue(int64(value / s.unit)) }

func (s *spreadRecorder) result() Spread {
	return Spread{Least: float64(s.histogram.Min()) * s.unit, Greatest: float64(s.histogram.Max()) * s.unit}
}

// newCell aggregates the runs of all seeds into a cell.
func newCell(o *Operator, s *Scenario, p *Policy, load float64, runs []*runResult) *Cell {
	c := &Cell{Operator: o.Name, Scenario: s.Name, Policy: p.Name, Load: load}
	first, betweenTokens := newHistogram(), newHistogram()
	costs, tokens, latencies := newSpreadRecorder(costUnit), newSpreadRecorder(tokenUnit), newSpreadRecorder(secondUnit)
	total := newRunResult()
	for _, r := range runs {
		total.add(r)
		first.Merge(r.firstToken)
		betweenTokens.Merge(r.betweenTokens)
		costs.add(costPerThousand(r))
		tokens.add(float64(r.recomputedOnMiss + r.recomputedAfterLoss))
		latencies.add(p95Seconds(r.firstToken))
	}
	n := float64(len(runs))
	c.Requests = float64(total.requests) / n
	c.ShareInTime = ratio(total.inTime, total.requests)
	c.OtherAccountsShareInTime = ratio(total.otherAccountsInTime, total.otherAccountRequests)
	c.CostPerThousandInTime, c.CostSpread = costPerThousand(total), costs.result()
	c.P95FirstTokenSeconds, c.FirstTokenSpread = p95Seconds(first), latencies.result()
	c.P95BetweenTokensSeconds = p95Seconds(betweenTokens)
	c.PromptTokens = float64(total.attemptPromptTokens) / n
	c.RecomputedTokens, c.RecomputedSpread = float64(total.recomputedOnMiss+total.recomputedAfterLoss)/n, tokens.result()
	c.RecomputedAfterLoss = float64(total.recomputedAfterLoss) / n
	c.Lost, c.Refused = total.lost, float64(total.refused)/n
	c.firstTokenSeries = runs[0].firstTokenSeries
	if len(total.actions) > 0 {
		c.ReclaimActions = make(map[string]float64)
		for action, count := range total.actions {
			c.ReclaimActions[string(action)] = float64(count) / n
		}
	}
	return c
}

// add adds the counts and the cost of another run. Histograms are not merged.
func (r *runResult) add(other *runResult) {
	r.requests += other.requests
	r.inTime += other.inTime
	r.lost += other.lost
	r.refused += other.refused
	r.otherAccountRequests += other.otherAccountRequests
	r.otherAccountsInTime += other.otherAccountsInTime
	r.cost += other.cost
	r.recomputedOnMiss += other.recomputedOnMiss
	r.recomputedAfterLoss += other.recomputedAfterLoss
	r.attemptPromptTokens += other.attemptPromptTokens
	for action, count := range other.actions {
		r.actions[action] += count
	}
}

// costPerThousand returns the cost of all hosts per 1,000 requests in time. A run
// without any request in time is treated as if it had one, so that the result is
// finite.
func costPerThousand(r *runResult) float64 {
	return r.cost / float64(max(r.inTime, 1)) * 1000
}

// p95Seconds returns the 95th percentile of a histogram of microseconds, in
// seconds.
func p95Seconds(h *hdrhistogram.Histogram) float64 {
	return (time.Duration(h.ValueAtQuantile(percentile95)) * time.Microsecond).Seconds()
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
