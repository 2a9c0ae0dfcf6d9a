package measure

// maxRecomputedRatio and maxCostRatio are the limits that section 9 of the design
// page sets for the ratios between monsooncrank and the best baseline.
const (
	maxRecomputedRatio = 0.5
	maxCostRatio       = 0.8
)

// Target is a target that section 9 of the design page defines, with its measured
// value.
type Target struct {
	Operator string  `json:"operator"`
	Scenario string  `json:"scenario"`
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Limit    float64 `json:"limit"`
	Met      bool    `json:"met"`
	// Baseline is the best baseline, for targets relative to a baseline.
	Baseline string `json:"baseline,omitempty"`
	Note     string `json:"note,omitempty"`
}

// evaluateTargets compares the results of monsooncrank with the targets in each
// scenario.
func (r *Report) evaluateTargets() {
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

// atMost returns a target that is met if value is at most limit.
func atMost(name string, value, limit float64) Target {
	return Target{Name: name, Value: value, Limit: limit, Met: value <= limit}
}

// recomputedTarget compares the recomputed tokens at 80% load with those of the
// baseline that recomputes least.
func recomputedTarget(own Summary, baselines []Summary) Target {
	best := baselines[0].Cell
	for _, b := range baselines[1:] {
		if b.Cell.RecomputedTokens < best.RecomputedTokens {
			best = b.Cell
		}
	}
	t := atMost("recomputed tokens against best baseline", quotient(own.Cell.RecomputedTokens, best.RecomputedTokens), maxRecomputedRatio)
	t.Baseline = best.Policy
	return t
}

// costTarget compares the cost per 1,000 requests in time with that of the cheapest
// baseline. The cost of each policy is taken at the highest load at which it meets
// the latency target.
func costTarget(own Summary, baselines []Summary) Target {
	var best *Summary
	for i := range baselines {
		b := &baselines[i]
		if b.TargetLoad > 0 && (best == nil || b.CostAtTarget < best.CostAtTarget) {
			best = b
		}
	}
	t := Target{Name: "cost at the latency target against best baseline", Limit: maxCostRatio}
	switch {
	case own.TargetLoad == 0:
		t.Note = "the latency target is met at no measured load"
	case best == nil:
		t.Met, t.Note = true, "no baseline meets the latency target at any measured load"
	default:
		t.Value, t.Baseline = own.CostAtTarget/best.CostAtTarget, best.Cell.Policy
		t.Met = t.Value <= maxCostRatio
	}
	return t
}

// quotient returns a/b, or a if b is zero, so that the result is finite.
func quotient(a, b float64) float64 {
	if b == 0 {
		b = 1
	}
	return a / b
}
