package membership

import (
	"os"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/faultmatrix"
)

const (
	matrixDaemons = 6
	matrixEngine  = "engine-0000"
)

// matrixSteps holds the operations that are in progress when the fault begins.
// done reports whether the step has succeeded at every running daemon.
var matrixSteps = map[string]struct {
	begin func(w *network)
	done  func(w *network) bool
}{
	"join": {
		begin: func(w *network) { w.addNode(matrixDaemons, 1) },
		done:  func(w *network) bool { return w.reachableConverged() },
	},
	"leaving notice": {
		begin: func(w *network) { w.step(w.nodes[0], LeavingEvent{Name: matrixEngine, Incarnation: 1}) },
		done:  func(w *network) bool { return w.anyOffers(matrixEngine, 1) == "" },
	},
	"server restart": {
		begin: func(w *network) {
			w.step(w.nodes[0], LeavingEvent{Name: matrixEngine, Incarnation: 1})
			for _, n := range w.nodes[:2] {
				w.step(n, HostListEvent{Entries: engineList(4, 2)})
			}
		},
		done: func(w *network) bool {
			for _, n := range w.nodes {
				if !n.paused && (w.offers(n, matrixEngine, 1) || !w.offers(n, matrixEngine, 2)) {
					return false
				}
			}
			return true
		},
	},
	"revision": {
		begin: func(w *network) { w.step(w.nodes[0], RevisionEvent{Revision: 4, BodyHash: "h"}) },
		done: func(w *network) bool {
			for _, n := range w.nodes {
				if !n.paused && n.core.Revision().Revision != 4 {
					return false
				}
			}
			return true
		},
	},
}

// reachableConverged reports whether every running daemon lists all other running
// daemons as alive.
func (w *network) reachableConverged() bool {
	running := 0
	for _, n := range w.nodes {
		if !n.paused {
			running++
		}
	}
	for _, n := range w.nodes {
		if !n.paused && len(n.core.Daemons(StateAlive)) != running-1 {
			return false
		}
	}
	return true
}

// matrixFaults holds functions that begin a fault. Each returns a function that
// ends the fault, or nil if the fault is permanent.
var matrixFaults = map[string]func(w *network) func(){
	"message lost":       func(w *network) func() { w.lossRate = 0.3; return nil },
	"message duplicated": func(w *network) func() { w.duplicateRate = 1; return nil },
	"message reordered":  func(w *network) func() { w.lateRate = 0.5; return nil },
	"daemon crashes":     func(w *network) func() { w.nodes[3].paused = true; return nil },
	"daemon paused 30 s": func(w *network) func() {
		w.nodes[3].paused = true
		return func() { w.nodes[3].paused = false }
	},
	"daemon restarts": func(w *network) func() {
		w.addNode(3, 7)
		w.step(w.nodes[3], HostListEvent{Entries: engineList(4, 1)})
		return nil
	},
	"partition 30 s": func(w *network) func() {
		for i, n := range w.nodes {
			n.partition = i % 2
		}
		return func() {
			for _, n := range w.nodes {
				n.partition = 0
			}
		}
	},
	"host list lags": func(w *network) func() { w.sendListToAll(engineList(4, 1)); return nil },
	"host list empty": func(w *network) func() {
		w.sendListToAll(nil)
		return nil
	},
}

func TestFaultMatrixMembership(t *testing.T) {
	m := faultmatrix.Matrix{
		Name: "membership",
		Faults: []string{"message lost", "message duplicated", "message reordered", "daemon crashes",
			"daemon paused 30 s", "daemon restarts", "partition 30 s", "host list lags", "host list empty"},
		Steps: []string{"join", "leaving notice", "server restart", "revision"},
		Cell: func(fault, step string) faultmatrix.Cell {
			return faultmatrix.Cell{Run: func(t *testing.T) { runCell(t, fault, step) }}
		},
	}
	m.Run(t, os.Stdout)
}

// runCell guards against a step that never completes because of a fault, or that a
// lagging host list reverts.
func runCell(t *testing.T, fault, step string) {
	w := newNetwork(matrixDaemons, 11, Options{})
	w.run(15 * time.Second)
	w.sendListToAll(engineList(4, 1))
	w.run(2 * time.Second)
	s := matrixSteps[step]
	s.begin(w)
	w.tick()
	end := matrixFaults[fault](w)
	w.run(30 * time.Second)
	if end != nil {
		end()
	}
	w.lossRate = 0
	if _, ok := w.runUntil(time.Minute, func() bool { return s.done(w) }); !ok {
		t.Fatalf("step %q has not completed one minute after fault %q", step, fault)
	}
	if step == "leaving notice" {
		w.sendListToAll(engineList(4, 1))
		w.run(2 * time.Second)
		if !s.done(w) {
			t.Fatalf("a lagging host list made a leaving BackendServer available again")
		}
	}
}
