package lease

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// listed updates the state of every lease with the rows of a list.
func (c *Core) listed(now time.Time, e Listed) []Action {
	c.listing = false
	if e.Failed {
		c.scheduleList(now)
		return nil
	}
	c.epoch = e.Epoch
	items := make(map[string]table.Item, len(e.Items))
	for _, item := range e.Items {
		items[item.Key.Sort] = item
	}
	var actions []Action
	for _, name := range c.names {
		item, exists := items[name]
		if !exists {
			item.Version = e.Epoch.At(0)
		}
		actions = append(actions, c.observe(now, e.SentAt, c.leases[name], item)...)
	}
	c.scheduleList(now)
	return actions
}

// scheduleList sets the time of the next list. The interval doubles while this
// daemon has nothing to acquire and no pending write, so that the cost stays low
// when there are many more daemons than leases.
func (c *Core) scheduleList(now time.Time) {
	base := c.options.Duration / renewalsPerLease
	if c.needsFrequentLists() {
		c.listInterval = base
	} else {
		c.listInterval = min(2*c.listInterval, maxIdleListFactor*base)
	}
	if c.anyAmbiguous() {
		c.listAt = now.Add(c.options.Duration / ambiguousListsPerLease)
		return
	}
	jitter := 0.75 + c.options.Random.Float64()/2
	c.listAt = now.Add(time.Duration(float64(c.listInterval) * jitter))
}

// ambiguousListsPerLease is the number of lists within the duration of a lease
// while the result of a write is ambiguous.
const ambiguousListsPerLease = 64

func (c *Core) anyAmbiguous() bool {
	for _, l := range c.leases {
		if l.pending != nil && l.pending.ambiguous {
			return true
		}
	}
	return false
}

func (c *Core) needsFrequentLists() bool {
	for _, l := range c.leases {
		if l.pending != nil {
			return true
		}
	}
	return !c.draining && c.heldOrPending() < c.target() && c.target() > 1
}

// observe processes the row of a lease as read by a request sent at sentAt.
func (c *Core) observe(now, sentAt time.Time, l *leaseState, item table.Item) []Action {
	row := Row{}
	if item.Version.Exists() {
		decoded, err := decodeRow(item)
		if err != nil {
			// A lease whose row is corrupt must not be acquired.
			l.known = false
			return nil
		}
		row = decoded
	}
	if l.pending != nil {
		return c.observePending(now, sentAt, l, item, row)
	}
	if item.Version < l.version {
		// The read is older than the last known write.
		return nil
	}
	return c.recordVersion(now, l, item, row)
}

// recordVersion records a version of a row. The time until the lease may be taken
// over starts when the version is first observed.
func (c *Core) recordVersion(now time.Time, l *leaseState, item table.Item, row Row) []Action {
	if l.known && item.Version == l.version {
		return nil
	}
	sameEpoch := item.Version.Epoch() == l.version.Epoch()
	_ = c.options.Reporter.Check(row.FencingNumber >= l.row.FencingNumber || !sameEpoch, invariant.FencingNumberMonotonic,
		"fencing number of lease %s fell from %d to %d", l.name, l.row.FencingNumber, row.FencingNumber)
	var actions []Action
	if l.held {
		// In the same epoch another daemon can have taken the lease over only if this
		// one did not renew it for longer than its own clock shows.
		_ = c.options.Reporter.Check(!sameEpoch, invariant.LeaseExclusive,
			"lease %s with fencing number %d was taken over by %s while held", l.name, l.row.FencingNumber, row.Holder)
		l.held = false
		actions = append(actions, Lost{Name: l.name, FencingNumber: l.row.FencingNumber, Lapsed: true})
	}
	l.known, l.version, l.row, l.seenAt = true, item.Version, row, now
	// A row that does not exist was not written in the epoch either.
	l.copied = item.Copied()
	l.takeoverAt = now
	switch {
	case l.copied:
		l.takeoverAt = now.Add(max(row.duration(), c.options.Duration))
	case row.Holder != "":
		l.takeoverAt = now.Add(row.duration())
	}
	return actions
}

// observePending resolves a write whose result is ambiguous. A read that was sent
// before the write, or that returns an older version than the write replaces, is
// not evidence of its result.
func (c *Core) observePending(now, sentAt time.Time, l *leaseState, item table.Item, row Row) []Action {
	p, version := l.pending, item.Version
	if !p.ambiguous || sentAt.Before(p.sentAt) || version < p.baseVersion {
		return nil
	}
	if version == p.baseVersion {
		return c.retry(now, l)
	}
	if version == p.baseVersion+1 && row == p.row {
		return c.applied(now, l)
	}
	l.pending = nil
	return c.recordVersion(now, l, item, row)
}

// retry resends a write that has not been applied yet. The earlier try may still
// arrive, so the lease starts at the time of the first try.
func (c *Core) retry(now time.Time, l *leaseState) []Action {
	p := l.pending
	expired := !now.Before(p.sentAt.Add(c.options.Duration - c.options.Margin))
	if p.purpose != purposeRelease && (expired || c.draining) {
		l.pending = nil
		return nil
	}
	p.ambiguous = false
	return []Action{Write{Name: l.name, Write: table.Write{Key: RowKey(l.name), Version: p.baseVersion, Value: encodeRow(p.row)}}}
}

// wrote processes the result of a write.
func (c *Core) wrote(now time.Time, e Wrote) []Action {
	l := c.leases[e.Name]
	if l == nil || l.pending == nil {
		return nil
	}
	switch e.Status {
	case WriteApplied:
		return c.applied(now, l)
	case WriteAmbiguous, WriteRefused:
		// After a refusal, too, the row may contain this daemon's write, from an
		// earlier try whose answer was lost.
		c.markAmbiguous(now, l)
	case WriteUnavailable:
		c.unavailable(now, l)
	}
	return nil
}

// markAmbiguous keeps a write whose result is unclear until a list shows whether
// it was applied. The first list is sent at once.
func (c *Core) markAmbiguous(now time.Time, l *leaseState) {
	l.pending.ambiguous = true
	l.pending.ambiguousAnswers++
	next := now
	if l.pending.ambiguousAnswers > 1 {
		next = now.Add(c.options.Duration / ambiguousListsPerLease)
	}
	c.listAt = earlier(c.listAt, next)
}

// unavailable drops a write that the table did not apply, unless an earlier try
// of it may have been applied.
func (c *Core) unavailable(now time.Time, l *leaseState) {
	p := l.pending
	if p.ambiguousAnswers > 0 {
		c.markAmbiguous(now, l)
		return
	}
	l.pending = nil
	switch p.purpose {
	case purposeRenew:
		l.renewAt = now.Add(c.options.Duration / ambiguousListsPerLease)
	case purposeAcquire:
		l.retryAt = now.Add(c.options.Duration / renewalsPerLease)
	case purposeRelease:
		// The row still names this daemon, so the lease has to lapse; this daemon
		// waits for that like any other.
		l.takeoverAt = now.Add(l.row.duration())
	}
}

// applied updates the state of a lease after its pending write was applied.
func (c *Core) applied(now time.Time, l *leaseState) []Action {
	p := l.pending
	l.pending = nil
	_ = c.options.Reporter.Check(p.row.FencingNumber >= l.row.FencingNumber, invariant.FencingNumberMonotonic,
		"fencing number of lease %s fell from %d to %d", l.name, l.row.FencingNumber, p.row.FencingNumber)
	wasHeld := l.held
	l.known, l.version, l.row, l.copied, l.seenAt = true, p.baseVersion+1, p.row, false, now
	if p.purpose == purposeRelease {
		l.takeoverAt = now
		return nil
	}
	l.takeoverAt = now.Add(l.row.duration())
	deadline := p.sentAt.Add(c.options.Duration - c.options.Margin)
	if !now.Before(deadline) {
		return nil
	}
	if p.purpose == purposeRenew && !wasHeld {
		// The lease lapsed meanwhile and its duties were stopped. They restart
		// only under a new fencing number.
		return nil
	}
	l.held, l.deadline = true, deadline
	l.renewAt = p.sentAt.Add(c.options.Duration / renewalsPerLease)
	if p.purpose == purposeRenew {
		return nil
	}
	l.earliestOrder = p.earliestOrder
	return []Action{Acquired{Name: l.name, FencingNumber: l.row.FencingNumber, EarliestOrder: p.earliestOrder}}
}
