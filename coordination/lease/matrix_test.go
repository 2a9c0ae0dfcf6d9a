package lease_test

import (
	"os"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/faultmatrix"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

const lateWrite = "late write"

// matrixFaults are the failures; each injects one at the step that node 0 has
// reached.
var matrixFaults = []struct {
	name   string
	inject func(s *simulation)
}{
	{"store unavailable", func(s *simulation) { s.failNext(memtable.FaultUnavailable, 3) }},
	{"answer lost", func(s *simulation) { s.failNext(memtable.FaultAnswerLost, 1) }},
	{"request lost", func(s *simulation) { s.failNext(memtable.FaultRequestLost, 1) }},
	{lateWrite, func(s *simulation) { s.runUntil(func() bool { return s.writing() }); s.delayWrite() }},
	{"holder paused", func(s *simulation) {
		s.resume(s.nodes[0])
		s.nodes[0].paused = true
		s.advance(2 * simDuration)
	}},
	{"holder crashes", func(s *simulation) {
		if s.nodes[0].dead {
			s.start(s.nodes[0])
			s.runUntil(func() bool { return s.writing() })
		}
		s.kill(s.nodes[0])
	}},
	{"table returns from an older copy", func(s *simulation) { s.drill(1) }},
	{"table returns from an old copy", func(s *simulation) { s.drill(maxCopies) }},
	{"messages delayed", func(s *simulation) { s.advance(simDuration - time.Second) }},
}

// failNext injects a fault into the next count operations of the table.
func (s *simulation) failNext(fault memtable.Fault, count int) {
	s.store.SetFault(func(memtable.Operation) memtable.Fault {
		if count--; count < 0 {
			return memtable.FaultNone
		}
		return fault
	})
}

// delayWrite loses the answer of a write in flight, if there is one, and holds the
// write back until runWithOrders releases it after more than the duration of a
// lease.
func (s *simulation) delayWrite() {
	for i, m := range s.network {
		if s.loseAnswer(i) {
			s.network = append(s.network[:i], s.network[i+1:]...)
			s.lateWrites = append(s.lateWrites, m)
			return
		}
	}
}

// matrixSteps maps each step to a function that runs the simulation until node 0
// has reached it.
var matrixSteps = map[string]func(s *simulation){
	"acquiring":  func(s *simulation) { s.runUntil(func() bool { return s.writing() }) },
	"held":       func(s *simulation) { s.runUntil(func() bool { return s.holds(s.nodes[0]) }) },
	"order sent": func(s *simulation) { s.runUntil(func() bool { s.giveOrders(s.nodes[0]); return s.ordersGiven > 0 }) },
	"renewing": func(s *simulation) {
		s.runUntil(func() bool { return s.holds(s.nodes[0]) })
		s.runUntil(func() bool { return s.writing() })
	},
	"lapsed": func(s *simulation) {
		s.runUntil(func() bool { s.giveOrders(s.nodes[0]); return s.ordersGiven > 0 })
		s.nodes[0].paused = true
		s.advance(simDuration)
	},
}

func (s *simulation) holds(n *node) bool {
	_, ok := n.core.Held(s.clock(n), s.names[0])
	return ok
}

func (s *simulation) writing() bool {
	for _, m := range s.network {
		if m.write != nil {
			return true
		}
	}
	return false
}

// runUntil transmits messages, and advances the time by 100 ms when there are
// none, until a condition holds.
func (s *simulation) runUntil(condition func() bool) {
	for range 10000 {
		if condition() {
			return
		}
		if len(s.network) > 0 {
			s.transmit(0)
			continue
		}
		s.advance(100 * time.Millisecond)
	}
	s.fail("the step was not reached")
}

// runWithOrders runs for four lease durations, in which it transmits all messages
// and every node gives orders. Late writes arrive, and node 0 resumes, after one
// and a half durations.
func (s *simulation) runWithOrders() {
	for tick := range 160 {
		for len(s.network) > 0 {
			s.transmit(0)
		}
		if tick == 60 {
			s.network, s.lateWrites = append(s.network, s.lateWrites...), nil
			s.resume(s.nodes[0])
		}
		for _, n := range s.nodes {
			s.giveOrders(n)
		}
		s.advance(simDuration / 40)
	}
}

// TestFaultMatrixLeases guards against two simultaneous holders, overlapping
// orders and a lease that is never acquired again. It injects each fault and each
// pair of faults at each step.
func TestFaultMatrixLeases(t *testing.T) {
	var names []string
	for _, f := range matrixFaults {
		names = append(names, f.name)
	}
	rows, positions := faultmatrix.Rows(names)
	matrix := &faultmatrix.Matrix{
		Name:   "leases",
		Faults: rows,
		Steps:  []string{"acquiring", "held", "order sent", "renewing", "lapsed"},
		Cell: func(row, step string) faultmatrix.Cell {
			writes := step == "acquiring" || step == "renewing"
			if row == lateWrite && !writes {
				return faultmatrix.Cell{NotApplicable: "no write is in flight at this step"}
			}
			return faultmatrix.Cell{Run: func(t *testing.T) { runCell(t, positions[row], step) }}
		},
	}
	matrix.Run(t, os.Stdout)
}

func runCell(t *testing.T, faults []int, step string) {
	s := newSimulation(1, 1, 1)
	// The second node starts once the first has reached the step.
	if matrixSteps[step](s); len(s.failures) == 0 {
		s.join()
	}
	for _, i := range faults {
		matrixFaults[i].inject(s)
		if len(s.network) > 0 {
			s.transmit(0)
		}
	}
	s.runWithOrders()
	s.heal()
	held := 0
	for _, n := range s.nodes {
		if s.holds(n) {
			held++
		}
	}
	if held != 1 {
		t.Errorf("%d nodes hold the lease at the end, want 1", held)
	}
	if len(s.failures) > 0 {
		t.Errorf("%v", s.failures)
	}
}
