package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spread is the least and the greatest value over the seeds.
type Spread struct {
	Least    float64 `json:"least"`
	Greatest float64 `json:"greatest"`
}

// Cell is a policy in a scenario at a load, over all seeds. Counts are means
// per run.
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
	// RecomputedAfterLoss is the part that a reclaim or death caused.
	RecomputedAfterLoss float64 `json:"recomputed_after_loss"`
	Lost                int     `json:"lost"`
	// Refused requests got a definite answer at once and count as not in time.
	Refused        float64            `json:"refused"`
	ReclaimActions map[string]float64 `json:"reclaim_actions,omitempty"`
	course         []coursePoint
}

// spread collects one value per seed in a histogram of a fixed resolution.
type spread struct {
	histogram *hdrhistogram.Histogram
	unit      float64
}

const (
	spreadHighest = 1_000_000_000_000
	spreadDigits  = 4
	costUnit      = 1e-6
	tokenUnit     = 1.0
	secondUnit    = 1e-6
)

func newSpread(unit float64) *spread {
	return &spread{histogram: hdrhistogram.New(1, spreadHighest, spreadDigits), unit: unit}
}

func (s *spread) add(value float64) { _ = s.histogram.RecordValue(int64(value / s.unit)) }

func (s *spread) result() Spread {
	return Spread{Least: float64(s.histogram.Min()) * s.unit, Greatest: float64(s.histogram.Max()) * s.unit}
}

// newCell merges the runs of all seeds.
func newCell(o *Operator, s *Scenario, p *Policy, load float64, runs []*runResult) *Cell {
	c := &Cell{Operator: o.Name, Scenario: s.Name, Policy: p.Name, Load: load}
	first, between := newHistogram(), newHistogram()
	costs, tokens, latencies := newSpread(costUnit), newSpread(tokenUnit), newSpread(secondUnit)
	total := newRunResult()
	for _, r := range runs {
		total.add(r)
		first.Merge(r.firstToken)
		between.Merge(r.between)
		costs.add(costPerThousand(r))
		tokens.add(float64(r.again + r.redone))
		latencies.add(quantile(r.firstToken))
	}
	n := float64(len(runs))
	c.Requests = float64(total.requests) / n
	c.ShareInTime = ratio(total.inTime, total.requests)
	c.OtherAccountsShareInTime = ratio(total.othersInTime, total.others)
	c.CostPerThousandInTime, c.CostSpread = costPerThousand(total), costs.result()
	c.P95FirstTokenSeconds, c.FirstTokenSpread = quantile(first), latencies.result()
	c.P95BetweenTokensSeconds = quantile(between)
	c.PromptTokens = float64(total.prompt) / n
	c.RecomputedTokens, c.RecomputedSpread = float64(total.again+total.redone)/n, tokens.result()
	c.RecomputedAfterLoss = float64(total.redone) / n
	c.Lost, c.Refused = total.lost, float64(total.refused)/n
	c.course = runs[0].course
	if len(total.actions) > 0 {
		c.ReclaimActions = make(map[string]float64)
		for action, count := range total.actions {
			c.ReclaimActions[string(action)] = float64(count) / n
		}
	}
	return c
}

// add sums the counts of another run.
func (r *runResult) add(other *runResult) {
	r.requests += other.requests
	r.inTime += other.inTime
	r.lost += other.lost
	r.refused += other.refused
	r.others += other.others
	r.othersInTime += other.othersInTime
	r.cost += other.cost
	r.again += other.again
	r.redone += other.redone
	r.prompt += other.prompt
	for action, count := range other.actions {
		r.actions[action] += count
	}
}

// costPerThousand is the cost of all hosts in use per 1,000 requests in time.
// A run without a request in time counts one, so that the figure stays finite.
func costPerThousand(r *runResult) float64 {
	return r.cost / float64(max(r.inTime, 1)) * 1000
}

func quantile(h *hdrhistogram.Histogram) float64 {
	return (time.Duration(h.ValueAtQuantile(percentile95)) * time.Microsecond).Seconds()
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
