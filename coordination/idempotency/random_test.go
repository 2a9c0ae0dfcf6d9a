package idempotency_test

import (
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"pgregory.net/rapid"
)

var storeFaults = []struct {
	name  string
	fault memtable.Fault
}{
	{"store unavailable", memtable.FaultUnavailable},
	{"answer lost", memtable.FaultAnswerLost},
	{"request lost", memtable.FaultRequestLost},
}

var serviceFaults = []string{
	"service unreachable", "service refuses", "service crashes before running", "service crashes after running", "answer crossed",
}

// TestRandomOnceOnlyCalls guards against a call that runs twice, a call that is
// reported as not run but ran, an answer that differs from an earlier one, and a
// claim that stays open. It runs random calls with random faults of the table,
// the service and the daemons.
func TestRandomOnceOnlyCalls(t *testing.T) {
	wanted := append([]string{"late request", "pause", "death", "restart", "duplicate", "another body"}, serviceFaults...)
	for _, f := range storeFaults {
		wanted = append(wanted, f.name)
	}
	randomtest.Check(t, wanted, func(rt *rapid.T, report *randomtest.Report) {
		lookup := rapid.Bool().Draw(rt, "lookup")
		service := newFakeService(rapid.IntRange(0, 3).Draw(rt, "deduplicates") == 0, rapid.Bool().Draw(rt, "bars"))
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 3).Draw(rt, "daemons"), 4, lookup, service)
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			report.Step()
			step(rt, s, report)
		}
		s.heal()
		finishAndVerify(s)
		for _, a := range s.attempts {
			report.Outcome(replyName(a.replied))
		}
		if len(s.failures) > 0 {
			rt.Fatalf("%v", s.failures)
		}
	})
}

// finishAndVerify calls each key once more without faults and verifies the run.
func finishAndVerify(s *simulation) {
	for key := range s.keys {
		s.call(s.daemons[0], key, "body")
		s.runFor(2 * simTimeToDispatch)
	}
	s.verify()
}

func step(rt *rapid.T, s *simulation, report *randomtest.Report) {
	d := s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(rt, "daemon")]
	switch rapid.IntRange(0, 24).Draw(rt, "step") {
	case 0:
		f := storeFaults[rapid.IntRange(0, len(storeFaults)-1).Draw(rt, "fault")]
		report.Fault(f.name)
		s.failNext(f.fault, rapid.IntRange(1, 5).Draw(rt, "count"))
	case 1:
		s.service.fault = rapid.SampledFrom(append([]string{""}, serviceFaults...)).Draw(rt, "service")
		if s.service.fault != "" {
			report.Fault(s.service.fault)
		}
	case 2:
		s.service.fault = ""
	case 3, 4:
		if s.lose(rapid.IntRange(0, 100).Draw(rt, "task")) {
			report.Fault("late request")
		}
	case 5:
		if !d.dead && !d.paused {
			d.paused = true
			report.Fault("pause")
		}
	case 6, 7:
		d.paused = false
	case 8:
		if !d.dead && rapid.Bool().Draw(rt, "death") {
			d.dead = true
			report.Fault("death")
		}
	case 9:
		if d.dead {
			s.start(d)
			report.Fault("restart")
		}
	case 10, 11, 12:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond)
	case 13:
		s.settleOpen(d)
	case 14, 15, 16:
		startRandomCall(rt, s, d, report)
	default:
		for range rapid.IntRange(1, 8).Draw(rt, "tasks") {
			runRandomTask(rt, s)
		}
	}
}

// startRandomCall starts a call under a random key: the first one, a duplicate, or
// one with another body.
func startRandomCall(rt *rapid.T, s *simulation, d *daemon, report *randomtest.Report) {
	if d.dead || d.paused {
		return
	}
	key, body := rapid.IntRange(0, s.keys-1).Draw(rt, "key"), "body"
	if rapid.IntRange(0, 9).Draw(rt, "another body") == 0 && len(s.attempts) > 0 {
		body = "another body"
		report.Fault("another body")
	}
	for _, a := range s.attempts {
		if a.spec.ID.Key == s.key(key) {
			report.Fault("duplicate")
			break
		}
	}
	s.call(d, key, body)
}

func runRandomTask(rt *rapid.T, s *simulation) {
	var ready []int
	for i, t := range s.tasks {
		if s.ready(t) {
			ready = append(ready, i)
		}
	}
	if len(ready) > 0 {
		s.run(ready[rapid.IntRange(0, len(ready)-1).Draw(rt, "task")])
	}
}
