package measure

import (
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"
)

// loads lists the request rates, as shares of the capacity, at which each policy is
// measured.
var loads = []float64{0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2}

const (
	// tableLoad is the load that the tables show.
	tableLoad = 0.8
	// loadStep is the difference between adjacent values of loads.
	loadStep = 0.1
)

// Summary summarises a policy in a scenario: its cell at 80% load, and the highest
// load at which at least 95% of the requests are in time, with the cost at that
// load.
type Summary struct {
	Cell *Cell `json:"cell"`
	// TargetLoad is 0 when no measured load meets the target.
	TargetLoad   float64 `json:"target_load"`
	CostAtTarget float64 `json:"cost_at_target"`
}

// Report holds the results of all measured policies and scenarios.
type Report struct {
	Seeds     int         `json:"seeds"`
	Engine    engineModel `json:"engine"`
	Operators []Operator  `json:"operators"`
	Summaries []Summary   `json:"summaries"`
	Targets   []Target    `json:"targets"`
	Cells     []*Cell     `json:"cells"`
}

// updateTargetLoad raises the target load to that of c if c has a higher load and
// meets the latency target.
func (s *Summary) updateTargetLoad(c *Cell) {
	if c.ShareInTime >= targetShareInTime && c.Load > s.TargetLoad {
		s.TargetLoad, s.CostAtTarget = c.Load, c.CostPerThousandInTime
	}
}

// Options selects what to measure. Empty Scenarios or Operators select all.
type Options struct {
	Seeds     int
	Scenarios []string
	Operators []string
	// Parallel is the maximum number of concurrent runs; 0 selects half of the
	// processors.
	Parallel int
}

// job specifies one cell to measure.
type job struct {
	operator Operator
	scenario Scenario
	policy   Policy
	load     float64
}

// key returns a key that is equal for jobs with the same results. Baselines use no
// reports, so scenarios that differ only in the report delay give the same results.
func (j *job) key() string {
	scenario := j.scenario.Name
	if j.policy.Recovery == RecoveryRestart && j.scenario.onlyLag {
		scenario = steadyScenario
	}
	return fmt.Sprintf("%s/%s/%s/%g", j.operator.Name, scenario, j.policy.Name, j.load)
}

// Run measures all policies in the selected scenarios.
func Run(o Options) (*Report, error) {
	jobs, operators, err := selectJobs(&o)
	if err != nil {
		return nil, err
	}
	if o.Parallel == 0 {
		o.Parallel = max(runtime.NumCPU()/2, 1)
	}
	cells, err := measureCells(jobs, &o)
	if err != nil {
		return nil, err
	}
	report := &Report{Seeds: o.Seeds, Engine: defaultEngineModel, Operators: operators, Cells: cells}
	report.summarise()
	if err := report.refine(jobs, &o); err != nil {
		return nil, err
	}
	report.evaluateTargets()
	return report, nil
}

// measureCells runs all seeds of all jobs. Jobs with the same key share their runs.
func measureCells(jobs []job, o *Options) ([]*Cell, error) {
	runs := make([][]*runResult, len(jobs))
	runsByKey := make(map[string][]*runResult)
	var group errgroup.Group
	group.SetLimit(o.Parallel)
	for i := range jobs {
		j := &jobs[i]
		if runs[i] = runsByKey[j.key()]; runs[i] != nil {
			continue
		}
		runs[i] = make([]*runResult, o.Seeds)
		runsByKey[j.key()] = runs[i]
		for seed := range o.Seeds {
			group.Go(func() error {
				runs[i][seed] = run(&j.operator, &j.scenario, &j.policy, j.load, uint64(seed+1))
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	cells := make([]*Cell, len(jobs))
	for i := range jobs {
		j := &jobs[i]
		cells[i] = newCell(&j.operator, &j.scenario, &j.policy, j.load, runs[i])
	}
	return cells, nil
}

// refine measures each policy half a load step above the highest load at which it
// meets the latency target.
func (r *Report) refine(jobs []job, o *Options) error {
	var finerJobs []job
	var summaries []*Summary
	for i := range r.Summaries {
		s := &r.Summaries[i]
		if s.TargetLoad == 0 {
			continue
		}
		j := jobs[i*len(loads)]
		j.load = s.TargetLoad + loadStep/2
		finerJobs, summaries = append(finerJobs, j), append(summaries, s)
	}
	cells, err := measureCells(finerJobs, o)
	if err != nil {
		return err
	}
	for i, c := range cells {
		summaries[i].updateTargetLoad(c)
	}
	return nil
}

// selectJobs returns the jobs of the selected operators and scenarios, and these
// operators.
func selectJobs(o *Options) ([]job, []Operator, error) {
	var jobs []job
	var operators []Operator
	matchedScenarios := 0
	for _, operator := range []Operator{Kodiclub(), Ganda()} {
		if len(o.Operators) > 0 && !slices.Contains(o.Operators, operator.Name) {
			continue
		}
		operators = append(operators, operator)
		matchedScenarios = 0
		for _, scenario := range Scenarios() {
			if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, scenario.Name) {
				continue
			}
			matchedScenarios++
			for _, policy := range Policies() {
				for _, load := range loads {
					jobs = append(jobs, job{operator, scenario, policy, load})
				}
			}
		}
	}
	if len(o.Scenarios) > 0 && matchedScenarios != len(o.Scenarios) {
		return nil, nil, &UnknownScenarioError{Names: o.Scenarios}
	}
	return jobs, operators, nil
}

// summarise adds a Summary for each policy in each scenario.
func (r *Report) summarise() {
	for first := 0; first < len(r.Cells); first += len(loads) {
		var s Summary
		for _, c := range r.Cells[first : first+len(loads)] {
			if c.Load == tableLoad {
				s.Cell = c
			}
			s.updateTargetLoad(c)
		}
		r.Summaries = append(r.Summaries, s)
	}
}
