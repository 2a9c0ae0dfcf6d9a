package soak

import (
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// drainLimit is how long after the store has accepted that a server is leaving it may
// still get requests from undisturbed daemons.
const drainLimit = 2 * time.Second

// span is a span of time.
type span struct{ from, to time.Time }

// storeName names the store among the disturbed links.
const storeName = "store"

// disturb records that a link, the store or the servers' links were disturbed from a
// time until now.
func (h *harness) disturb(name string, from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[name] = append(h.faults[name], span{from: from, to: time.Now()})
}

// calm reports whether a link or the store was undisturbed for contactTime before a
// time.
func (h *harness) calm(name string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.faults[name] {
		if f.from.Before(at) && f.to.After(at.Add(-contactTime)) {
			return false
		}
	}
	return true
}

// stableFrom returns when the store was stable after a time: it must have been undisturbed
// for contactTime. A server that left while the store was not is known to have left then.
func (h *harness) stableFrom(at time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	for moved := true; moved; {
		moved = false
		for _, f := range h.faults[storeName] {
			if f.from.Before(at) && f.to.Add(contactTime).After(at) {
				at, moved = f.to.Add(contactTime), true
			}
		}
	}
	return at
}

// inTouch reports whether a daemon, its link to the store and the store itself were
// undisturbed for contactTime before a time.
func (h *harness) inTouch(d *daemon, at time.Time) bool {
	return !d.disturbedBetween(at.Add(-contactTime), at) && h.calm(d.settings.Node, at) && h.calm(storeName, at)
}

// checkLeavingServers checks that servers get no requests later than drainLimit after
// the store has accepted that they are leaving and is stable, from any daemon that is in
// touch.
func (h *harness) checkLeavingServers() {
	left := make(map[string]*standin.Server)
	for _, s := range h.leavingServers {
		left[s.ID] = s
	}
	checked := 0
	defer func() { h.leavingChecked = checked }()
	leftAt := make(map[string]time.Time)
	for id, s := range left {
		leftAt[id] = h.stableFrom(s.LeftAt())
	}
	for id, runs := range h.ledger.All() {
		d := h.receivers[id]
		for _, run := range runs {
			s := left[run.ServerID]
			if s == nil || d == nil || s.LeftAt().IsZero() {
				continue
			}
			late := run.At.Sub(leftAt[s.ID])
			if late > 0 && h.inTouch(d, run.At) {
				checked++
			}
			if late > drainLimit && h.calm(s.ID, run.At) && h.inTouch(d, run.At) {
				h.addFinding("request %s reached server %s from daemon %s %v after it had left", id, s.ID, d.settings.Node, late)
			}
		}
	}
}
