package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
)

const (
	maxLeavingDelay    = 2 * time.Second
	maxConvergenceTime = 2 * time.Minute
	randomEngines      = 8
)

// simulation is a network together with the actual state of its BackendServers.
type simulation struct {
	*network
	t      *rapid.T
	report *randomtest.Report
	// running is the incarnation that runs, leftIncarnation the highest that has
	// left.
	running, leftIncarnation [randomEngines]uint64
	// knownLeft is the highest incarnation that a daemon has recorded as left.
	knownLeft map[*node]*[randomEngines]uint64
}

func newSimulation(t *rapid.T, report *randomtest.Report, daemons int) *simulation {
	w := &simulation{network: newNetwork(daemons, rapid.Uint64().Draw(t, "seed"), Options{}), t: t, report: report,
		knownLeft: map[*node]*[randomEngines]uint64{}}
	for i := range w.running {
		w.running[i] = 1
	}
	w.run(15 * time.Second)
	w.sendListToAll(w.currentList())
	return w
}

// currentList returns the actual state as a host list without lag.
func (w *simulation) currentList() []ListEntry {
	var entries []ListEntry
	for i, incarnation := range w.running {
		e := engineEntry(i, incarnation)
		e.Leaving = w.leftIncarnation[i] >= incarnation
		entries = append(entries, e)
	}
	return entries
}

// laggingList returns a host list that marks no BackendServer as leaving.
func (w *simulation) laggingList() []ListEntry {
	entries := w.currentList()
	for i := range entries {
		entries[i].Leaving = false
	}
	return entries
}

func (w *simulation) leave(n *node, i int) {
	w.leftIncarnation[i] = w.running[i]
	w.step(n, LeavingEvent{Name: engineEntry(i, 0).Name, Incarnation: w.running[i]})
}

// checkNotOffered checks invariant I5: a daemon that has recorded that a
// BackendServer is leaving never offers that incarnation or an earlier one again.
func (w *simulation) checkNotOffered() {
	for _, n := range w.nodes {
		if w.knownLeft[n] == nil {
			w.knownLeft[n] = &[randomEngines]uint64{}
		}
		for i := range w.leftIncarnation {
			name := engineEntry(i, 0).Name
			if entry, ok := n.core.tombstones[name]; ok {
				w.knownLeft[n][i] = max(w.knownLeft[n][i], entry.incarnation)
			}
			if knownLeft := w.knownLeft[n][i]; knownLeft > 0 && w.offers(n, name, knownLeft) {
				w.t.Fatalf("%s offers BackendServer %s at incarnation %d or lower although it has left", n.name, name, knownLeft)
			}
		}
	}
}

// TestRandomLeaving checks invariant I5: 2 s after the first leaving signal, no
// reachable daemon offers a leaving BackendServer for new work, despite lost,
// duplicated and reordered messages and lagging host lists.
func TestRandomLeaving(t *testing.T) {
	faults := []string{"loss", "duplicate", "late", "lagging list", "paused"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		w := newSimulation(rt, report, rapid.IntRange(2, 24).Draw(rt, "daemons"))
		w.lossRate = rapid.Float64Range(0, 0.2).Draw(rt, "loss")
		w.duplicateRate = rapid.Float64Range(0, 0.3).Draw(rt, "duplicate")
		w.lateRate = rapid.Float64Range(0, 0.3).Draw(rt, "late")
		for _, kind := range faults[:3] {
			report.Fault(kind)
		}
		i := rapid.IntRange(0, randomEngines-1).Draw(rt, "engine")
		w.leave(w.nodes[0], i)
		// The daemon that received the signal stays reachable; otherwise the
		// signal would not count as received.
		pausable := rapid.SampledFrom(w.nodes[1:]).Draw(rt, "sleeper")
		pausable.paused = rapid.Bool().Draw(rt, "paused")
		if pausable.paused {
			report.Fault("paused")
		}
		for elapsed := time.Duration(0); elapsed < maxLeavingDelay; elapsed += w.options.TickInterval {
			w.tick()
			report.Step()
			if rapid.IntRange(0, 4).Draw(rt, "list") == 0 {
				report.Fault("lagging list")
				w.sendListToAll(w.laggingList())
			}
			w.checkNotOffered()
		}
		if name := w.anyOffers(engineEntry(i, 0).Name, w.leftIncarnation[i]); name != "" {
			rt.Fatalf("%s still offers a BackendServer %v after it left", name, maxLeavingDelay)
		}
		report.Outcome("not offered")
	})
}

// TestRandomConvergence guards against daemons whose states stay different: after
// pauses, partitions, restarts and message loss, all live daemons agree again, and
// no BackendServer that has left is offered again in the meantime.
func TestRandomConvergence(t *testing.T) {
	faults := []string{"partition", "paused", "restart", "loss", "duplicate", "late", "lagging list", "leave", "start", "suspect"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		w := newSimulation(rt, report, rapid.IntRange(2, 10).Draw(rt, "daemons"))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			report.Step()
			kind := rapid.SampledFrom(faults).Draw(rt, "fault")
			report.Fault(kind)
			w.inject(kind)
			w.runChecked(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
		}
		w.heal()
		for range int(maxConvergenceTime / time.Second) {
			if w.converged() && w.agreeOnServers() {
				break
			}
			w.runChecked(time.Second)
		}
		if !w.converged() || !w.agreeOnServers() {
			rt.Fatalf("daemons still disagree %v after the last fault ended: %s", maxConvergenceTime, w.describe())
		}
		report.Outcome("converged")
	})
}

func (w *simulation) inject(kind string) {
	n := rapid.SampledFrom(w.nodes).Draw(w.t, "node")
	i := rapid.IntRange(0, randomEngines-1).Draw(w.t, "engine")
	switch kind {
	case "partition":
		for _, n := range w.nodes {
			n.partition = rapid.IntRange(0, 1).Draw(w.t, "side")
		}
	case "paused":
		n.paused = !n.paused
	case "restart":
		index := indexOf(w.nodes, n)
		w.addNode(index, n.core.Self().Incarnation+10)
	case "loss":
		w.lossRate = 0.3
	case "duplicate":
		w.duplicateRate = 0.3
	case "late":
		w.lateRate = 0.3
	case "lagging list":
		w.sendListToAll(w.laggingList())
	case "leave":
		if !n.paused {
			w.leave(n, i)
		}
	case "start":
		w.running[i] = max(w.running[i], w.leftIncarnation[i]) + 1
	case "suspect":
		if !n.paused {
			w.step(n, PeerFailedEvent{Name: rapid.SampledFrom(w.nodes).Draw(w.t, "suspect").name})
		}
	}
}

func indexOf(nodes []*node, n *node) int {
	for i := range nodes {
		if nodes[i] == n {
			return i
		}
	}
	return -1
}

func (w *simulation) heal() {
	w.lossRate, w.duplicateRate, w.lateRate = 0, 0, 0
	for _, n := range w.nodes {
		n.partition, n.paused = 0, false
	}
	w.sendListToAll(w.currentList())
}

func (w *simulation) runChecked(d time.Duration) {
	for range int(d / w.options.TickInterval) {
		w.tick()
		w.checkNotOffered()
	}
}

// agreeOnServers reports whether every daemon offers exactly the BackendServers
// that run and have not left.
func (w *simulation) agreeOnServers() bool {
	for _, n := range w.nodes {
		for i, incarnation := range w.running {
			want := w.leftIncarnation[i] < incarnation
			if w.offers(n, engineEntry(i, 0).Name, incarnation) != want {
				return false
			}
		}
	}
	return true
}

func (w *simulation) describe() string {
	text := fmt.Sprintf("running %v, left %v;", w.running, w.leftIncarnation)
	for _, n := range w.nodes {
		text += fmt.Sprintf(" %s: alive %d of %d, digest %x, offers", n.name,
			len(n.core.Daemons(StateAlive)), len(w.nodes)-1, n.core.computeDigest())
		for _, pool := range n.core.Pools() {
			text += fmt.Sprintf(" %d", len(n.core.Available(pool)))
		}
		text += ";"
	}
	return text
}
