package lease_test

import (
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"pgregory.net/rapid"
)

var storeFaults = map[string]memtable.Fault{
	"store unavailable": memtable.FaultUnavailable,
	"answer lost":       memtable.FaultAnswerLost,
	"request lost":      memtable.FaultRequestLost,
}

// TestRandomLeases guards against two holders at the same time, a falling fencing
// number, orders that overlap with those of an earlier holder, and leases that
// are never acquired again or unevenly shared. It injects random faults of the
// table, which may also return from an older copy, the messages and the nodes.
func TestRandomLeases(t *testing.T) {
	wanted := []string{"store unavailable", "answer lost", "request lost", "late write", "pause", "death", "restart", "network partition", "peers change", "older copy"}
	randomtest.Check(t, wanted, func(rt *rapid.T, report *randomtest.Report) {
		nodes := rapid.IntRange(2, 4).Draw(rt, "nodes")
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), nodes, 5)
		for range rapid.IntRange(50, 400).Draw(rt, "steps") {
			report.Step()
			step(rt, s, report)
			if len(s.failures) > 0 {
				rt.Fatalf("%v", s.failures)
			}
		}
		for range s.ordersGiven {
			report.Outcome("order given")
		}
		s.heal()
		checkDistribution(rt, s, report)
		if len(s.failures) > 0 {
			rt.Fatalf("%v", s.failures)
		}
	})
}

func step(rt *rapid.T, s *simulation, report *randomtest.Report) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")]
	switch rapid.IntRange(0, 19).Draw(rt, "step") {
	case 0:
		kind := rapid.SampledFrom([]string{"store unavailable", "answer lost", "request lost"}).Draw(rt, "fault")
		remaining := rapid.IntRange(1, 6).Draw(rt, "count")
		report.Fault(kind)
		s.store.SetFault(func(memtable.Operation) memtable.Fault {
			if remaining--; remaining < 0 {
				return memtable.FaultNone
			}
			return storeFaults[kind]
		})
	case 1:
		if len(s.network) > 0 && s.loseAnswer(rapid.IntRange(0, len(s.network)-1).Draw(rt, "message")) {
			report.Fault("late write")
		}
	case 2:
		if !n.dead && !n.paused {
			n.paused = true
			report.Fault("pause")
		}
	case 3:
		s.resume(n)
	case 5:
		if rapid.IntRange(0, 3).Draw(rt, "death") == 0 {
			s.kill(n)
			report.Fault("death")
		}
	case 6:
		if n.dead {
			s.start(n)
			report.Fault("restart")
		}
	case 7:
		n.partitioned = !n.partitioned
		report.Fault("network partition")
	case 8:
		report.Fault("peers change")
		s.deliver(n, lease.Peers{Daemons: rapid.IntRange(1, 5).Draw(rt, "peers")})
	case 13:
		if rapid.IntRange(0, 3).Draw(rt, "drill") == 0 {
			report.Fault("older copy")
			s.drill(rapid.IntRange(0, maxCopies).Draw(rt, "newer copies"))
		}
	case 9, 10, 11, 12:
		s.advance(time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond)
	default:
		for range rapid.IntRange(1, 8).Draw(rt, "messages") {
			s.transmitRandom()
		}
	}
}

// checkDistribution expects that each lease is held and that no node holds more
// than its fair share.
func checkDistribution(rt *rapid.T, s *simulation, report *randomtest.Report) {
	share := (len(s.names) + len(s.nodes) - 1) / len(s.nodes)
	held := 0
	for _, n := range s.nodes {
		names := n.core.HeldNames(s.clock(n))
		held += len(names)
		if len(names) > share {
			rt.Fatalf("%s holds %d leases, its share is %d", n.name, len(names), share)
		}
	}
	if held != len(s.names) {
		rt.Fatalf("%d of %d leases are held after all faults have ended", held, len(s.names))
	}
	report.Outcome("all leases held")
}
