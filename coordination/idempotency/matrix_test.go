package idempotency_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/faultmatrix"
	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

const (
	reasonRan      = "the call has already run at this step"
	reasonNoAnswer = "no request to the service is in flight at this step"
	reasonNoWrite  = "no write is in flight at this step"
	reasonPair     = "neither fault can occur at this step, or one of the two can occur only before it"
)

// matrixSteps are the steps of a once-only call, in order.
var matrixSteps = []string{"received", "claimed", "dispatched", "running", "answered", "outcome stored", "caller answered"}

// matrixFault is a failure that can be injected. notApplicable maps each step at
// which it cannot occur to the reason.
type matrixFault struct {
	name          string
	inject        func(s *simulation)
	notApplicable map[string]string
}

func serviceFault(name string) matrixFault {
	return matrixFault{name, func(s *simulation) { s.service.fault = name }, map[string]string{
		"running": reasonRan, "answered": reasonRan, "outcome stored": reasonRan, "caller answered": reasonRan,
	}}
}

var matrixFaults = []matrixFault{
	{"store unavailable", func(s *simulation) { s.failNext(memtable.FaultUnavailable, 3) }, nil},
	{"answer lost", func(s *simulation) { s.failNext(memtable.FaultAnswerLost, 1) }, nil},
	{"request lost", func(s *simulation) { s.failNext(memtable.FaultRequestLost, 1) }, nil},
	{"late write", func(s *simulation) { s.loseNamed("transact") }, map[string]string{
		"claimed": reasonNoWrite, "dispatched": reasonNoWrite, "running": reasonNoWrite,
		"outcome stored": reasonNoWrite, "caller answered": reasonNoWrite,
	}},
	{"daemon crashes", func(s *simulation) {
		if s.daemons[0].dead {
			s.start(s.daemons[0])
			s.call(s.daemons[0], 0, "body")
			s.runReady()
		}
		s.daemons[0].dead = true
	}, nil},
	{"daemon paused", func(s *simulation) { s.daemons[0].paused = true; s.runFor(2 * simSettleAfter) }, nil},
	serviceFault("service unreachable"),
	serviceFault("service refuses"),
	serviceFault("service crashes before running"),
	serviceFault("service crashes after running"),
	serviceFault("answer crossed"),
	{"service silent", func(s *simulation) { s.loseNamed("dispatch"); s.loseNamed("answer to dispatch") }, map[string]string{
		"received": reasonNoAnswer, "claimed": reasonNoAnswer,
		"answered": reasonNoAnswer, "outcome stored": reasonNoAnswer, "caller answered": reasonNoAnswer,
	}},
	{"duplicate to another daemon", func(s *simulation) { s.call(s.daemons[1], 0, "body"); s.runFor(time.Second) }, nil},
}

// loseNamed loses the first request or answer with the given name. A lost request
// still arrives after twice the time to dispatch, and its answer is dropped.
func (s *simulation) loseNamed(name string) {
	i := s.find(name)
	if i < 0 {
		return
	}
	t := s.tasks[i]
	if t.execute == nil {
		s.tasks = append(s.tasks[:i], s.tasks[i+1:]...)
	} else {
		t.orphan = true
		t.due = s.now.Add(2 * simTimeToDispatch)
	}
	s.schedule(t.daemon, t.incarnation, 0, t.lost)
}

// reached reports whether an attempt has reached a step.
func (s *simulation) reached(a *attempt, step string) bool {
	state := s.state(a.spec.ID)
	switch step {
	case "received":
		return s.find("transact") >= 0
	case "claimed":
		return state == idempotency.StateClaimed
	case "dispatched":
		return s.find("dispatch") >= 0
	case "running":
		return s.service.ran[a.spec.AttemptID] > 0
	case "answered":
		return s.service.ran[a.spec.AttemptID] > 0 && s.find("transact") >= 0
	case "outcome stored":
		return state == idempotency.StateDone
	default:
		return a.replied != nil
	}
}

func (s *simulation) state(id idempotency.ID) idempotency.State {
	row := s.get(id.RowKey())
	if !row.Exists {
		return ""
	}
	stored, err := idempotency.Decode(id, row.Item)
	if err != nil {
		s.fail("%v", err)
		return ""
	}
	return stored.Record.State
}

// TestFaultMatrixOnceOnlyCalls guards against a call that runs twice or whose
// reply is wrong. It injects each fault and each pair of faults at each step of
// the call.
func TestFaultMatrixOnceOnlyCalls(t *testing.T) {
	var names []string
	for _, f := range matrixFaults {
		names = append(names, f.name)
	}
	rows, positions := faultmatrix.Rows(names)
	matrix := &faultmatrix.Matrix{
		Name:   "once-only calls",
		Faults: rows,
		Steps:  matrixSteps,
		Cell: func(row, step string) faultmatrix.Cell {
			var faults []matrixFault
			for _, i := range positions[row] {
				faults = append(faults, matrixFaults[i])
			}
			return matrixCell(faults, step)
		},
	}
	matrix.Run(t, os.Stdout)
}

// matrixCell returns the cell of one or two faults at a step. The fault that can
// occur at the step is injected first, and the other one at once or at the first
// later step at which it can occur.
func matrixCell(faults []matrixFault, step string) faultmatrix.Cell {
	reason := faults[0].notApplicable[step]
	if reason == "" && len(faults) == 1 {
		return faultmatrix.Cell{Run: func(t *testing.T) { runCell(t, faults, step) }}
	}
	if len(faults) == 1 {
		return faultmatrix.Cell{NotApplicable: reason}
	}
	first, second := faults[0], faults[1]
	if reason != "" {
		first, second = second, first
	}
	if first.notApplicable[step] != "" || !second.appliesFrom(step) {
		return faultmatrix.Cell{NotApplicable: reasonPair}
	}
	return faultmatrix.Cell{Run: func(t *testing.T) { runCell(t, []matrixFault{first, second}, step) }}
}

// appliesFrom reports whether the fault can occur at a step or a later one.
func (f matrixFault) appliesFrom(step string) bool {
	for _, later := range matrixSteps[slices.Index(matrixSteps, step):] {
		if f.notApplicable[later] == "" {
			return true
		}
	}
	return false
}

// runCell injects the faults in three variants: without a look-up, with one, and
// with a look-up after which the service refuses an attempt that it did not find.
func runCell(t *testing.T, faults []matrixFault, step string) {
	for variant := range 3 {
		s := newSimulation(1, 2, 1, variant > 0, newFakeService(false, variant == 2))
		a := s.call(s.daemons[0], 0, "body")
		if !s.runTo(a, func(at string) bool { return at == step }) {
			t.Fatalf("step %s was not reached", step)
		}
		for _, f := range faults {
			// An earlier fault may have ended the call before the step of f. In
			// that case f is injected into whatever runs after the call.
			s.runTo(a, func(at string) bool { return f.notApplicable[at] == "" })
			f.inject(s)
			s.runFirst()
		}
		s.runFor(time.Second)
		s.heal()
		finishAndVerify(s)
		if len(s.failures) > 0 {
			t.Errorf("variant %d: %v", variant, s.failures)
		}
	}
}

// runTo runs tasks until the attempt has reached one of the wanted steps. It
// returns false if that does not happen within 100 tasks.
func (s *simulation) runTo(a *attempt, want func(string) bool) bool {
	for range 100 {
		for _, step := range matrixSteps {
			if want(step) && s.reached(a, step) {
				return true
			}
		}
		s.runFirst()
	}
	return false
}

// runFirst runs the first task that is ready.
func (s *simulation) runFirst() {
	for i, t := range s.tasks {
		if s.ready(t) {
			s.run(i)
			return
		}
	}
}
