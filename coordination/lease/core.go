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
	// defaultMargin covers the drift of two monotonic clocks over a lease and
	// the time between the check of a lease and the action under it.
	defaultMargin = 2 * time.Second
	// defaultOrderDeadline bounds how long an order may be in flight.
	defaultOrderDeadline = 5 * time.Second
	// renewalsPerLease is how many renewals are due within a duration; two may
	// fail before the lease lapses.
	renewalsPerLease = 4
	// maxIdleListFactor bounds how much rarer a daemon lists while there is nothing
	// to acquire.
	maxIdleListFactor = 4
)

// CoreOptions configures a Core. Zero durations take defaults.
type CoreOptions struct {
	// Holder is unique for each start of a daemon.
	Holder string
	// Daemons is how many daemons share the leases at the start; 0 means 1. A
	// daemon that takes itself for the only one takes all leases and gives them
	// back when it learns of the others.
	Daemons int
	// Names are the leases that this daemon takes part in.
	Names         []string
	Duration      time.Duration
	Margin        time.Duration
	OrderDeadline time.Duration
	// Random spreads daemons over the leases and their lists over time.
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

// Core is the core of the leases of one daemon.
type Core struct {
	options      CoreOptions
	names        []string
	leases       map[string]*leaseState
	daemons      int
	draining     bool
	listing      bool
	listAt       time.Time
	listInterval time.Duration
}

// state is what a daemon knows of one lease.
type leaseState struct {
	name string
	// version and row are as last read or written; version 0 means no row.
	version uint64
	row     Row
	known   bool
	// seenAt is when version was first seen unchanged.
	seenAt time.Time
	// free is when the lease may be taken over, from the own observation.
	takeoverAt time.Time
	// retryAt is when an acquisition may be tried again after the table was down.
	retryAt time.Time
	// held is set while this daemon holds the lease until deadline.
	held          bool
	deadline      time.Time
	renewAt       time.Time
	earliestOrder time.Time
	// pending is the write in flight or in doubt.
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
	// over is the version that the write replaces.
	baseVersion uint64
	// sentAt is when the first write that may have applied was sent.
	sentAt        time.Time
	earliestOrder time.Time
	// doubtful is set when the answer was lost; a list decides.
	ambiguous bool
	// doubts counts the lost answers.
	ambiguousAnswers int
}

// NewCore returns a Core that holds nothing.
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

// Handle takes an event and returns what to do. Whatever the event, leases that
// have lapsed are given up before any other action.
func (c *Core) Handle(now time.Time, event Event) []Action {
	actions := c.expireLeases(now)
	switch e := event.(type) {
	case Listed:
		actions = append(actions, c.listed(now, e)...)
	case Wrote:
		actions = append(actions, c.wrote(now, e)...)
	case Peers:
		c.daemons = max(e.Daemons, 1)
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

// EarliestOrder returns when the holder may first give orders to engines that
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

// NextWake returns when the next Tick is due at the latest.
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

// Idle reports whether a drain has nothing left to do.
func (c *Core) Idle() bool {
	for _, l := range c.leases {
		if l.held || (l.pending != nil && !l.pending.ambiguous) {
			return false
		}
	}
	return true
}

// lapse gives up the leases whose time has passed.
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

// target is this daemon's fair share of the leases.
func (c *Core) target() int { return (len(c.names) + c.daemons - 1) / c.daemons }

// release gives leases back: all while draining, else one at a time above the
// fair share.
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

// acquire takes free leases up to the fair share.
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
			FencingNumber:       l.row.FencingNumber + 1,
			DurationMillis:      c.options.Duration.Milliseconds(),
			OrderDeadlineMillis: c.options.OrderDeadline.Milliseconds(),
		}))
	}
	return actions
}

// write starts a compare-and-set. The lease is counted from now, before the
// request is sent.
func (c *Core) write(now time.Time, l *leaseState, p purpose, row Row) Action {
	l.pending = &pendingWrite{purpose: p, row: row, baseVersion: l.version, sentAt: now, earliestOrder: l.earliestOrderTime()}
	return Write{Name: l.name, Write: table.Write{Key: RowKey(l.name), Version: l.version, Value: encodeRow(row)}}
}

// earliestOrderTime returns when no order of the row's holder can be in flight: it
// stops acting at the latest when the lease may be taken over.
func (l *leaseState) earliestOrderTime() time.Time {
	if l.version == 0 {
		return time.Time{}
	}
	return l.takeoverAt.Add(l.row.orderDeadline())
}

// list asks for the rows when due.
func (c *Core) list(now time.Time) []Action {
	if c.listing || now.Before(c.listAt) || (c.draining && c.Idle()) {
		return nil
	}
	c.listing = true
	return []Action{List{}}
}
