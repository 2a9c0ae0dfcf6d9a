package measure

import (
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"
)

// loads are the shares of the capacity at which each policy is measured, and
// tableLoad the one that the table shows.
var loads = []float64{0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2}

const (
	tableLoad = 0.8
	loadStep  = 0.1
)

// Summary is a policy in a scenario: its cell at 80% load, and the highest load
// at which at least 95% of the requests are in time with the cost there.
type Summary struct {
	Cell *Cell `json:"cell"`
	// TargetLoad is 0 when no measured load meets the target.
	TargetLoad   float64 `json:"target_load"`
	CostAtTarget float64 `json:"cost_at_target"`
}

// Report is the outcome of an experiment.
type Report struct {
	Seeds     int         `json:"seeds"`
	Engine    engineModel `json:"engine"`
	Operators []Operator  `json:"operators"`
	Summaries []Summary   `json:"summaries"`
	Targets   []Target    `json:"targets"`
	Cells     []*Cell     `json:"cells"`
}

// consider takes a cell of a higher load if it meets the latency target.
func (s *Summary) consider(c *Cell) {
	if c.ShareInTime >= targetShare && c.Load > s.TargetLoad {
		s.TargetLoad, s.CostAtTarget = c.Load, c.CostPerThousandInTime
	}
}

// Options say what to measure.
type Options struct {
	Seeds     int
	Scenarios []string
	Operators []string
	// Parallel bounds the runs at a time; 0 means half of the processors.
	Parallel int
}

// job is one cell to measure.
type job struct {
	operator Operator
	scenario Scenario
	policy   Policy
	load     float64
}

// key is the same for jobs with the same outcome: baselines take no reports, so
// that the lag of the reports changes nothing for them.
func (j *job) key() string {
	scenario := j.scenario.Name
	if j.policy.Recovery == RecoveryRestart && j.scenario.onlyLag {
		scenario = steadyName
	}
	return fmt.Sprintf("%s/%s/%s/%g", j.operator.Name, scenario, j.policy.Name, j.load)
}

// Run measures all policies.
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
	report.judge()
	return report, nil
}

// measureCells runs all seeds of all jobs. Jobs with the same key are run once.
func measureCells(jobs []job, o *Options) ([]*Cell, error) {
	runs := make([][]*runResult, len(jobs))
	known := make(map[string][]*runResult)
	var group errgroup.Group
	group.SetLimit(o.Parallel)
	for i := range jobs {
		j := &jobs[i]
		if runs[i] = known[j.key()]; runs[i] != nil {
			continue
		}
		runs[i] = make([]*runResult, o.Seeds)
		known[j.key()] = runs[i]
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

// refine measures half a step above the highest load at which each policy meets
// the latency target.
func (r *Report) refine(jobs []job, o *Options) error {
	var finer []job
	var summaries []*Summary
	for i := range r.Summaries {
		s := &r.Summaries[i]
		if s.TargetLoad == 0 {
			continue
		}
		j := jobs[i*len(loads)]
		j.load = s.TargetLoad + loadStep/2
		finer, summaries = append(finer, j), append(summaries, s)
	}
	cells, err := measureCells(finer, o)
	if err != nil {
		return err
	}
	for i, c := range cells {
		summaries[i].consider(c)
	}
	return nil
}

// selectJobs lists the cells of the chosen operators and scenarios.
func selectJobs(o *Options) ([]job, []Operator, error) {
	var jobs []job
	var operators []Operator
	chosen := 0
	for _, operator := range []Operator{Kodiclub(), Ganda()} {
		if len(o.Operators) > 0 && !slices.Contains(o.Operators, operator.Name) {
			continue
		}
		operators = append(operators, operator)
		chosen = 0
		for _, scenario := range Scenarios() {
			if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, scenario.Name) {
				continue
			}
			chosen++
			for _, policy := range Policies() {
				for _, load := range loads {
					jobs = append(jobs, job{operator, scenario, policy, load})
				}
			}
		}
	}
	if len(o.Scenarios) > 0 && chosen != len(o.Scenarios) {
		return nil, nil, &UnknownScenarioError{Names: o.Scenarios}
	}
	return jobs, operators, nil
}

// summarise makes a Summary of the cells of each policy in each scenario.
func (r *Report) summarise() {
	for first := 0; first < len(r.Cells); first += len(loads) {
		var s Summary
		for _, c := range r.Cells[first : first+len(loads)] {
			if c.Load == tableLoad {
				s.Cell = c
			}
			s.consider(c)
		}
		r.Summaries = append(r.Summaries, s)
	}
}
