package lease

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	defaultDuration = 10 * time.Second
	// defaultMargin covers the drift between two monotonic clocks during a lease
	// and the time between the check of a lease and the action under it.
	defaultMargin = 2 * time.Second
	// defaultOrderDeadline bounds how long an order to an engine may be in
	// flight.
	defaultOrderDeadline = 5 * time.Second
	// renewalsPerLease is the number of renewals that are due within the
	// duration of a lease. Two may fail before the lease lapses.
	renewalsPerLease = 4
	// maxIdleListFactor bounds the factor by which a daemon lengthens its list
	// interval while it has nothing to acquire.
	maxIdleListFactor = 4
)

// CoreOptions configures a Core. Zero durations select the defaults.
type CoreOptions struct {
	// Holder identifies this daemon and is unique for each start.
	Holder string
	// Daemons is the number of daemons that share the leases at the start; 0
	// means 1. With 1, a daemon acquires all leases and releases its excess once
	// a Peers event reports the others.
	Daemons int
	// Names are the leases that this daemon may acquire.
	Names         []string
	Duration      time.Duration
	Margin        time.Duration
	OrderDeadline time.Duration
	// Random randomizes the order in which the daemon acquires leases and the
	// times at which it lists them, so that daemons do not collide.
	Random   *rand.Rand
	Reporter *invariant.Reporter
}

func (o CoreOptions) withDefaults() CoreOptions {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Margin == 0 {
		o.Margin = min(defaultMargin, o.Duration/renewalsPerLease)
	}
	if o.OrderDeadline == 0 {
		o.OrderDeadline = defaultOrderDeadline
	}
	return o
}

// Core is the state machine that manages the leases of one daemon.
type Core struct {
	options  CoreOptions
	names    []string
	leases   map[string]*leaseState
	daemons  int
	draining bool
	// epoch is that of the last list.
	epoch        table.Epoch
	listing      bool
	listAt       time.Time
	listInterval time.Duration
}

// leaseState is what a daemon has observed of one lease.
type leaseState struct {
	name string
	// version and row are as last read or written. A version that does not exist
	// means that there is no row.
	version table.Version
	row     Row
	// copied is set if the row was not written in the epoch of the version, so that
	// another daemon may hold the lease by a later row that was lost.
	copied bool
	// known is set once the row or its absence has been observed, and unset while
	// the row is corrupt.
	known bool
	// seenAt is when version was first seen unchanged.
	seenAt time.Time
	// takeoverAt is when this daemon may take the lease over, measured from its
	// own first observation of the version.
	takeoverAt time.Time
	// retryAt is when an acquisition may be retried after the table was
	// unavailable.
	retryAt time.Time
	// held is set while this daemon holds the lease until deadline.
	held          bool
	deadline      time.Time
	renewAt       time.Time
	earliestOrder time.Time
	// pending is the write that is in flight or whose result is ambiguous.
	pending *pendingWrite
}

type purpose int

const (
	purposeAcquire purpose = iota
	purposeRenew
	purposeRelease
)

type pendingWrite struct {
	purpose purpose
	row     Row
	// baseVersion is the version of the row that the write replaces.
	baseVersion table.Version
	// sentAt is when the first try of the write, which may have been applied,
	// was sent.
	sentAt        time.Time
	earliestOrder time.Time
	// ambiguous is set when the result of the write is unclear, until a list
	// shows whether it was applied.
	ambiguous bool
	// ambiguousAnswers counts the tries whose result was unclear.
	ambiguousAnswers int
}

// NewCore returns a Core that holds no leases.
func NewCore(options CoreOptions) *Core {
	options = options.withDefaults()
	names := append([]string(nil), options.Names...)
	options.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	c := &Core{
		options:      options,
		names:        names,
		leases:       make(map[string]*leaseState, len(names)),
		daemons:      max(options.Daemons, 1),
		listInterval: options.Duration / renewalsPerLease,
	}
	for _, name := range names {
		c.leases[name] = &leaseState{name: name}
	}
	return c
}

// Handle processes an event and returns the actions to perform, in order. For
// every event, lapsed leases are given up before any other action.
func (c *Core) Handle(now time.Time, event Event) []Action {
	actions := c.expireLeases(now)
	switch e := event.(type) {
	case Listed:
		actions = append(actions, c.listed(now, e)...)
	case Wrote:
		actions = append(actions, c.wrote(now, e)...)
	case Peers:
		c.daemons = max(e.Daemons, 1)
	case EpochKnown:
		if e.Epoch != c.epoch {
			c.listAt = earlier(c.listAt, now)
		}
	case Drain:
		c.draining = true
	}
	actions = append(actions, c.release(now)...)
	actions = append(actions, c.renew(now)...)
	actions = append(actions, c.acquire(now)...)
	return append(actions, c.list(now)...)
}

// Held returns the fencing number of a lease that is held at this moment.
func (c *Core) Held(now time.Time, name string) (uint64, bool) {
	l := c.leases[name]
	if l == nil || !l.held || !now.Before(l.deadline) {
		return 0, false
	}
	return l.row.FencingNumber, true
}

// EarliestOrder returns when the holder may first send orders to engines that
// ignore fencing numbers.
func (c *Core) EarliestOrder(name string) time.Time {
	if l := c.leases[name]; l != nil && l.held {
		return l.earliestOrder
	}
	return time.Time{}
}

// HeldNames returns the leases that are held at this moment, sorted.
func (c *Core) HeldNames(now time.Time) []string {
	var held []string
	for name := range c.leases {
		if _, ok := c.Held(now, name); ok {
			held = append(held, name)
		}
	}
	sort.Strings(held)
	return held
}

// NextWake returns the time by which the next Tick must be handled.
func (c *Core) NextWake(now time.Time) time.Time {
	wake := now.Add(c.options.Duration)
	if !c.listing && !(c.draining && c.Idle()) {
		wake = earlier(wake, c.listAt)
	}
	belowTarget := !c.draining && c.heldOrPending() < c.target()
	for _, l := range c.leases {
		switch {
		case l.held && l.pending == nil:
			wake = earlier(wake, l.renewAt)
		case l.held:
			wake = earlier(wake, l.deadline)
		case belowTarget && l.known && l.pending == nil:
			wake = earlier(wake, later(l.takeoverAt, l.retryAt))
		}
	}
	return wake
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Idle reports whether no lease is held and no write is in flight. A drain is
// complete then.
func (c *Core) Idle() bool {
	for _, l := range c.leases {
		if l.held || (l.pending != nil && !l.pending.ambiguous) {
			return false
		}
	}
	return true
}

// expireLeases gives up the leases whose deadlines have passed.
func (c *Core) expireLeases(now time.Time) []Action {
	var actions []Action
	for _, name := range c.names {
		l := c.leases[name]
		if l.held && !now.Before(l.deadline) {
			l.held = false
			actions = append(actions, Lost{Name: name, FencingNumber: l.row.FencingNumber, Lapsed: true})
		}
	}
	return actions
}

// target returns this daemon's fair share of the leases, rounded up.
func (c *Core) target() int { return (len(c.names) + c.daemons - 1) / c.daemons }

// release releases leases: all of them while draining, otherwise those above the
// fair share, one at a time.
func (c *Core) release(now time.Time) []Action {
	var actions []Action
	excess := c.heldOrPending() - c.target()
	for _, name := range c.names {
		l := c.leases[name]
		if !l.held || l.pending != nil || !(c.draining || excess > 0) {
			continue
		}
		excess--
		l.held = false
		row := Row{FencingNumber: l.row.FencingNumber, DurationMillis: l.row.DurationMillis, OrderDeadlineMillis: l.row.OrderDeadlineMillis}
		actions = append(actions, Lost{Name: name, FencingNumber: l.row.FencingNumber}, c.write(now, l, purposeRelease, row))
		if !c.draining {
			break
		}
	}
	return actions
}

func (c *Core) heldOrPending() int {
	n := 0
	for _, l := range c.leases {
		if l.held || (l.pending != nil && l.pending.purpose == purposeAcquire) {
			n++
		}
	}
	return n
}

func (c *Core) renew(now time.Time) []Action {
	var actions []Action
	for _, name := range c.names {
		l := c.leases[name]
		if l.held && l.pending == nil && !now.Before(l.renewAt) {
			actions = append(actions, c.write(now, l, purposeRenew, l.row))
		}
	}
	return actions
}

// acquire acquires available leases up to the fair share.
func (c *Core) acquire(now time.Time) []Action {
	var actions []Action
	remaining := c.target() - c.heldOrPending()
	for _, name := range c.names {
		l := c.leases[name]
		if remaining <= 0 || c.draining {
			break
		}
		if l.held || l.pending != nil || !l.known || now.Before(l.takeoverAt) || now.Before(l.retryAt) {
			continue
		}
		remaining--
		actions = append(actions, c.write(now, l, purposeAcquire, Row{
			Holder:              c.options.Holder,
			FencingNumber:       l.row.nextFencingNumber(l.version.Epoch()),
			DurationMillis:      c.options.Duration.Milliseconds(),
			OrderDeadlineMillis: c.options.OrderDeadline.Milliseconds(),
		}))
	}
	return actions
}

// write starts a compare-and-set. The lease starts at now, which is before the
// request is sent.
func (c *Core) write(now time.Time, l *leaseState, p purpose, row Row) Action {
	l.pending = &pendingWrite{purpose: p, row: row, baseVersion: l.version, sentAt: now, earliestOrder: l.earliestOrderTime(c.options.OrderDeadline)}
	return Write{Name: l.name, Write: table.Write{Key: RowKey(l.name), Version: l.version, Value: encodeRow(row)}}
}

// earliestOrderTime returns when no order of the row's holder can be in flight
// any more. The holder stops sending orders at the latest when the lease may be
// taken over.
func (l *leaseState) earliestOrderTime(deadline time.Duration) time.Time {
	switch {
	case l.copied:
		return l.takeoverAt.Add(max(l.row.orderDeadline(), deadline))
	case !l.version.Exists():
		return time.Time{}
	}
	return l.takeoverAt.Add(l.row.orderDeadline())
}

// list requests the rows if a list is due.
func (c *Core) list(now time.Time) []Action {
	if c.listing || now.Before(c.listAt) || (c.draining && c.Idle()) {
		return nil
	}
	c.listing = true
	return []Action{List{}}
}
