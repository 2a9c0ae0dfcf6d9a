package serverlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// maxPauses is the maximum number of servers of which pauses are kept.
const maxPauses = 4096

// pause is the time until which a server wants no request from this daemon.
type pause struct {
	until time.Time
	// startedUntilMilli is the latest start of a run that may have asked for the pause.
	startedUntilMilli int64
}

// Pause records that a server wants no request from this daemon for a time, as it has said in
// the answer to a request that was sent at another. The server may have started again while its
// entry describes the run before, so that the pause is that of any run which began before the
// request was sent. A later end than that of an earlier pause counts, unless only another run
// can have asked for it.
func (c *Core) Pause(now, sentAt time.Time, run string, d time.Duration) {
	id, started, _ := fleet.SplitRunID(run)
	p := pause{until: now.Add(d), startedUntilMilli: max(started, sentAt.UnixMilli())}
	if d <= 0 {
		return
	}
	if before, known := c.pauses[id]; known && started <= before.startedUntilMilli {
		p.startedUntilMilli = max(p.startedUntilMilli, before.startedUntilMilli)
		if before.until.After(p.until) {
			p.until = before.until
		}
	}
	c.pauses[id] = p
	if len(c.pauses) > maxPauses {
		c.dropFirstEnding()
	}
}

// dropFirstEnding drops the pause that ends first.
func (c *Core) dropFirstEnding() {
	ids := make([]string, 0, len(c.pauses))
	for id := range c.pauses {
		ids = append(ids, id)
	}
	delete(c.pauses, slices.MinFunc(ids, func(a, b string) int {
		return cmp.Or(c.pauses[a].until.Compare(c.pauses[b].until), cmp.Compare(a, b))
	}))
}

// IsPaused reports whether a run of a server wants no request now. Past pauses are dropped.
func (c *Core) IsPaused(now time.Time, run string) bool {
	if len(c.pauses) == 0 {
		return false
	}
	id, started, _ := fleet.SplitRunID(run)
	p, ok := c.pauses[id]
	if ok && !now.Before(p.until) {
		delete(c.pauses, id)
		return false
	}
	return ok && started <= p.startedUntilMilli
}

// dropPastPauses drops the pauses that are over.
func (c *Core) dropPastPauses(now time.Time) {
	for id, p := range c.pauses {
		if !now.Before(p.until) {
			delete(c.pauses, id)
		}
	}
}

// PauseLeft returns the time for which a run of a server wants no request, or 0.
func (c *Core) PauseLeft(now time.Time, run string) time.Duration {
	if !c.IsPaused(now, run) {
		return 0
	}
	id, _, _ := fleet.SplitRunID(run)
	return c.pauses[id].until.Sub(now)
}
