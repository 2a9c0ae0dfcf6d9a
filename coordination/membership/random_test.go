package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
)

const (
	leavingBound  = 2 * time.Second
	convergeBound = 2 * time.Minute
	randomEngines = 8
)

// world is a network with the truth about its BackendServers.
type world struct {
	*network
	t      *rapid.T
	report *randomtest.Report
	// current is the incarnation that runs; left the highest that has left.
	current, left [randomEngines]uint64
	// heard is the highest incarnation whose leaving a daemon has heard of.
	heard map[*node]*[randomEngines]uint64
}

func newWorld(t *rapid.T, report *randomtest.Report, daemons int) *world {
	w := &world{network: newNetwork(daemons, rapid.Uint64().Draw(t, "seed"), Options{}), t: t, report: report,
		heard: map[*node]*[randomEngines]uint64{}}
	for i := range w.current {
		w.current[i] = 1
	}
	w.run(15 * time.Second)
	w.listAll(w.list())
	return w
}

// list is the truth as the host list would show it without lag.
func (w *world) list() []ListEntry {
	var entries []ListEntry
	for i, incarnation := range w.current {
		e := engineEntry(i, incarnation)
		e.Leaving = w.left[i] >= incarnation
		entries = append(entries, e)
	}
	return entries
}

// lagging is a list from before every server left.
func (w *world) lagging() []ListEntry {
	entries := w.list()
	for i := range entries {
		entries[i].Leaving = false
	}
	return entries
}

func (w *world) leave(n *node, i int) {
	w.left[i] = w.current[i]
	w.step(n, LeavingEvent{Name: engineEntry(i, 0).Name, Incarnation: w.current[i]})
}

// check guards I5: a daemon that has heard that a BackendServer is leaving never
// offers that incarnation or an earlier one again.
func (w *world) check() {
	for _, n := range w.nodes {
		if w.heard[n] == nil {
			w.heard[n] = &[randomEngines]uint64{}
		}
		for i := range w.left {
			name := engineEntry(i, 0).Name
			if tomb, ok := n.core.tombstones[name]; ok {
				w.heard[n][i] = max(w.heard[n][i], tomb.incarnation)
			}
			if heard := w.heard[n][i]; heard > 0 && w.offers(n, name, heard) {
				w.t.Fatalf("%s offers %s at incarnation %d or lower after it left", n.name, name, heard)
			}
		}
	}
}

// TestRandomLeaving guards I5: 2 s after the first signal no daemon that can be
// reached gives a leaving BackendServer new work, under loss, duplicates,
// reordering and lagging lists.
func TestRandomLeaving(t *testing.T) {
	faults := []string{"loss", "duplicate", "late", "lagging list", "paused"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		w := newWorld(rt, report, rapid.IntRange(2, 24).Draw(rt, "daemons"))
		w.loss = rapid.Float64Range(0, 0.2).Draw(rt, "loss")
		w.duplicate = rapid.Float64Range(0, 0.3).Draw(rt, "duplicate")
		w.late = rapid.Float64Range(0, 0.3).Draw(rt, "late")
		for _, kind := range faults[:3] {
			report.Fault(kind)
		}
		i := rapid.IntRange(0, randomEngines-1).Draw(rt, "engine")
		w.leave(w.nodes[0], i)
		// The first to hear stays reachable; else no signal has arrived.
		sleeper := rapid.SampledFrom(w.nodes[1:]).Draw(rt, "sleeper")
		sleeper.paused = rapid.Bool().Draw(rt, "paused")
		if sleeper.paused {
			report.Fault("paused")
		}
		for elapsed := time.Duration(0); elapsed < leavingBound; elapsed += w.o.TickInterval {
			w.tick()
			report.Step()
			if rapid.IntRange(0, 4).Draw(rt, "list") == 0 {
				report.Fault("lagging list")
				w.listAll(w.lagging())
			}
			w.check()
		}
		if name := w.anyOffers(engineEntry(i, 0).Name, w.left[i]); name != "" {
			rt.Fatalf("%s offers a BackendServer %v after it left", name, leavingBound)
		}
		report.Outcome("not offered")
	})
}

// TestRandomConvergence guards against daemons that disagree for ever: after
// pauses, partitions, restarts and losses all live daemons agree again, and no
// BackendServer that has left came back on the way.
func TestRandomConvergence(t *testing.T) {
	faults := []string{"partition", "paused", "restart", "loss", "duplicate", "late", "lagging list", "leave", "start", "suspect"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		w := newWorld(rt, report, rapid.IntRange(2, 10).Draw(rt, "daemons"))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			report.Step()
			kind := rapid.SampledFrom(faults).Draw(rt, "fault")
			report.Fault(kind)
			w.inject(kind)
			w.runChecked(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
		}
		w.heal()
		for range int(convergeBound / time.Second) {
			if w.converged() && w.agreeOnServers() {
				break
			}
			w.runChecked(time.Second)
		}
		if !w.converged() || !w.agreeOnServers() {
			rt.Fatalf("no agreement %v after healing: %s", convergeBound, w.describe())
		}
		report.Outcome("converged")
	})
}

func (w *world) inject(kind string) {
	n := rapid.SampledFrom(w.nodes).Draw(w.t, "node")
	i := rapid.IntRange(0, randomEngines-1).Draw(w.t, "engine")
	switch kind {
	case "partition":
		for _, n := range w.nodes {
			n.side = rapid.IntRange(0, 1).Draw(w.t, "side")
		}
	case "paused":
		n.paused = !n.paused
	case "restart":
		index := indexOf(w.nodes, n)
		w.add(index, n.core.Self().Incarnation+10)
	case "loss":
		w.loss = 0.3
	case "duplicate":
		w.duplicate = 0.3
	case "late":
		w.late = 0.3
	case "lagging list":
		w.listAll(w.lagging())
	case "leave":
		if !n.paused {
			w.leave(n, i)
		}
	case "start":
		w.current[i] = max(w.current[i], w.left[i]) + 1
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

func (w *world) heal() {
	w.loss, w.duplicate, w.late = 0, 0, 0
	for _, n := range w.nodes {
		n.side, n.paused = 0, false
	}
	w.listAll(w.list())
}

func (w *world) runChecked(d time.Duration) {
	for range int(d / w.o.TickInterval) {
		w.tick()
		w.check()
	}
}

// agreeOnServers reports whether every daemon offers exactly the servers that
// run and have not left.
func (w *world) agreeOnServers() bool {
	for _, n := range w.nodes {
		for i, incarnation := range w.current {
			want := w.left[i] < incarnation
			if w.offers(n, engineEntry(i, 0).Name, incarnation) != want {
				return false
			}
		}
	}
	return true
}

func (w *world) describe() string {
	text := fmt.Sprintf("current %v, left %v;", w.current, w.left)
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
