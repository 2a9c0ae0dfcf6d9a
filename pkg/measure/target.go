package measure

// Limits of section 9 of the design page.
const (
	recomputedLimit = 0.5
	costLimit       = 0.8
)

// Target is a target of section 9 of the design page with the measured value.
type Target struct {
	Operator string  `json:"operator"`
	Scenario string  `json:"scenario"`
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Limit    float64 `json:"limit"`
	Met      bool    `json:"met"`
	// Baseline is the best baseline of a target that compares with it.
	Baseline string `json:"baseline,omitempty"`
	Note     string `json:"note,omitempty"`
}

// judge compares monsooncrank with the limits in each scenario.
func (r *Report) judge() {
	for first := 0; first < len(r.Summaries); first += len(Policies()) {
		summaries := r.Summaries[first : first+len(Policies())]
		own := summaries[0]
		add := func(t Target) {
			t.Operator, t.Scenario = own.Cell.Operator, own.Cell.Scenario
			r.Targets = append(r.Targets, t)
		}
		add(recomputedTarget(own, summaries[1:]))
		add(costTarget(own, summaries[1:]))
		add(atMost("p95 first token at 80% load, seconds", own.Cell.P95FirstTokenSeconds, firstTokenTarget.Seconds()))
		add(atMost("p95 between tokens at 80% load, seconds", own.Cell.P95BetweenTokensSeconds, betweenTokensTarget.Seconds()))
		add(atMost("accepted requests lost", float64(own.Cell.Lost), 0))
	}
}

func atMost(name string, value, limit float64) Target {
	return Target{Name: name, Value: value, Limit: limit, Met: value <= limit}
}

// recomputedTarget compares recomputed tokens at 80% load with the baseline
// that recomputes least.
func recomputedTarget(own Summary, baselines []Summary) Target {
	best := baselines[0].Cell
	for _, b := range baselines[1:] {
		if b.Cell.RecomputedTokens < best.RecomputedTokens {
			best = b.Cell
		}
	}
	t := atMost("recomputed tokens against best baseline", quotient(own.Cell.RecomputedTokens, best.RecomputedTokens), recomputedLimit)
	t.Baseline = best.Policy
	return t
}

// costTarget compares the cost per 1,000 requests in time, each policy at the
// highest load at which it meets the latency target, with the cheapest baseline.
func costTarget(own Summary, baselines []Summary) Target {
	var best *Summary
	for i := range baselines {
		b := &baselines[i]
		if b.TargetLoad > 0 && (best == nil || b.CostAtTarget < best.CostAtTarget) {
			best = b
		}
	}
	t := Target{Name: "cost at the latency target against best baseline", Limit: costLimit}
	switch {
	case own.TargetLoad == 0:
		t.Note = "the latency target is met at no measured load"
	case best == nil:
		t.Met, t.Note = true, "no baseline meets the latency target at any measured load"
	default:
		t.Value, t.Baseline = own.CostAtTarget/best.CostAtTarget, best.Cell.Policy
		t.Met = t.Value <= costLimit
	}
	return t
}

func quotient(a, b float64) float64 {
	if b == 0 {
		b = 1
	}
	return a / b
}
