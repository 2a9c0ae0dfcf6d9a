package capacity

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// Engine identifies an engine and describes what it should load.
type Engine struct {
	Name    string
	Address string
	// ChecksFencing is set if the engine refuses orders with an old fencing number.
	ChecksFencing bool
	Models        []string
	Adapters      []string
	Version       string
	Role          string
	// WeightsMiB is the amount that the engine reads from the weight store to
	// apply the order, in units of 2^20 bytes.
	WeightsMiB int
}

// PlacerOptions configures a Placer. Zero values select the defaults.
type PlacerOptions struct {
	// OrderTimeout sets the deadline of each order, after which no engine applies
	// it. It limits how long an order of an earlier holder can be in flight.
	OrderTimeout time.Duration
	// ClockSkew is added to OrderTimeout to find when an order can no longer be
	// applied, because the deadline is a time of day and clocks differ.
	ClockSkew time.Duration
	// ReadInterval is the time between reads of an engine until the wanted order
	// is in force. CheckInterval is the average time between reads after that.
	ReadInterval  time.Duration
	CheckInterval time.Duration
	// WeightsMiBPerSecond is the read rate of the weight store. WeightsBurstMiB is
	// the amount that engines may be ordered to read at once. Both are in units of
	// 2^20 bytes.
	WeightsMiBPerSecond float64
	WeightsBurstMiB     int
	// MaxActionsPerTick is the maximum number of reads and orders in one tick.
	MaxActionsPerTick int
}

const (
	defaultOrderTimeout        = 10 * time.Second
	defaultClockSkew           = 2 * time.Second
	defaultReadInterval        = 2 * time.Second
	defaultCheckInterval       = time.Minute
	defaultWeightsMiBPerSecond = 4096
	defaultWeightsBurstMiB     = 1 << 20
	defaultMaxActions          = 256
)

func (o PlacerOptions) withDefaults() PlacerOptions {
	setDefault(&o.OrderTimeout, defaultOrderTimeout)
	setDefault(&o.ClockSkew, defaultClockSkew)
	setDefault(&o.ReadInterval, defaultReadInterval)
	setDefault(&o.CheckInterval, defaultCheckInterval)
	setDefault(&o.WeightsMiBPerSecond, defaultWeightsMiBPerSecond)
	setDefault(&o.WeightsBurstMiB, defaultWeightsBurstMiB)
	setDefault(&o.MaxActionsPerTick, defaultMaxActions)
	return o
}

// Placer is the state machine that sends each engine the order for the models and
// adapters that it should load. It does no I/O and reads no clock: Step takes the
// time and an event, and returns the actions for a PlacerDriver.
type Placer struct {
	o          PlacerOptions
	rand       *rand.Rand
	now        time.Time
	lease      LeaseEvent
	acquiredAt time.Time
	// supersededFencingNumber is the highest of this daemon's fencing numbers for
	// which an engine has reported a higher one.
	supersededFencingNumber uint64
	weightsLimiter          *rate.Limiter
	engines                 map[string]*engineState
	actions                 []Action
}

// engineState holds the wanted state of one engine, its order in force as last
// read, and the last order sent to it.
type engineState struct {
	Engine
	// read is set when inForce has been read under this lease. It is cleared when
	// the engine is read again or sent an order.
	read         bool
	inForce      engine.Order
	nextActionAt time.Time
	// lastOrder is the last order sent under this lease. It may be applied until
	// inFlightUntil, which is zero once the order was answered.
	lastOrder       engine.Order
	inFlightUntil   time.Time
	weightsReserved bool // weightsLimiter has been charged for the wanted order
}

// NewPlacer returns a Placer, which emits no actions until it holds the lease.
func NewPlacer(o PlacerOptions, r *rand.Rand) *Placer {
	o = o.withDefaults()
	return &Placer{o: o, rand: r, engines: map[string]*engineState{},
		weightsLimiter: rate.NewLimiter(rate.Limit(o.WeightsMiBPerSecond), o.WeightsBurstMiB)}
}

// Step processes an event and returns the actions to perform.
func (p *Placer) Step(now time.Time, event Event) []Action {
	if now.After(p.now) {
		p.now = now
	}
	p.actions = nil
	switch e := event.(type) {
	case TickEvent:
		p.tick()
	case LeaseEvent:
		p.handleLease(e)
	case EnginesEvent:
		p.handleEngines(e.Engines)
	case OrderReadEvent:
		p.handleOrderRead(e)
	case OrderDoneEvent:
		p.handleOrderDone(e)
	case OrderFailedEvent:
		if s := p.engines[e.Name]; s != nil {
			s.nextActionAt = p.now.Add(p.o.ReadInterval)
		}
	}
	return p.actions
}

func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

// handleLease records the state of the lease. With a superseded fencing number
// the lease counts as not held. When the lease is acquired, all engines are read
// again.
func (p *Placer) handleLease(e LeaseEvent) {
	if e.Number <= p.supersededFencingNumber {
		e.Held = false
	}
	if e.Held && (!p.lease.Held || e.Number != p.lease.Number) {
		p.acquiredAt = p.now
		for _, s := range p.engines {
			*s = engineState{Engine: s.Engine, nextActionAt: p.now}
		}
	}
	p.lease = e
}

// handleEngines updates the engines and their wanted state. An engine with a new
// address is treated as a new one.
func (p *Placer) handleEngines(engines []Engine) {
	current := make(map[string]bool, len(engines))
	for i := range engines {
		e := engines[i]
		current[e.Name] = true
		s := p.engines[e.Name]
		if s == nil {
			p.engines[e.Name] = &engineState{Engine: e, nextActionAt: p.now}
			continue
		}
		if s.Address != e.Address {
			*s = engineState{Engine: e, nextActionAt: p.now}
			continue
		}
		changed := !e.satisfiedBy(s.Engine.order())
		s.Engine = e
		if changed {
			s.nextActionAt, s.weightsReserved = p.now, false
		}
	}
	for name := range p.engines {
		if !current[name] {
			delete(p.engines, name)
		}
	}
}

// handleOrderRead records the order in force. A higher fencing number at an engine
// that checks it means that another daemon holds the lease.
func (p *Placer) handleOrderRead(e OrderReadEvent) {
	s := p.engines[e.Name]
	if s == nil || !p.lease.Held {
		return
	}
	if s.ChecksFencing && e.Order.FencingNumber > p.lease.Number {
		p.stepDown()
		return
	}
	s.read, s.inForce = true, e.Order
	s.nextActionAt = p.now
	if s.matches() {
		s.weightsReserved = false
		s.nextActionAt = p.nextCheckAt()
	}
}

// nextCheckAt returns when an engine with the wanted order in force is read again:
// once as soon as no order of an earlier holder can arrive any more, then after
// random times between half and one and a half of CheckInterval.
func (p *Placer) nextCheckAt() time.Time {
	if settled := p.settledAt(); p.now.Before(settled) {
		return settled
	}
	return p.now.Add(p.o.CheckInterval/2 + time.Duration(p.rand.Int64N(int64(p.o.CheckInterval))))
}

// settledAt returns the time after which no order of an earlier holder can be
// applied.
func (p *Placer) settledAt() time.Time { return p.acquiredAt.Add(p.o.OrderTimeout + p.o.ClockSkew) }

// handleOrderDone schedules a read of the engine to verify the answered order.
func (p *Placer) handleOrderDone(e OrderDoneEvent) {
	s := p.engines[e.Name]
	if s == nil {
		return
	}
	if e.Stale {
		p.stepDown()
		return
	}
	s.inFlightUntil, s.read = time.Time{}, false
	s.nextActionAt = p.now.Add(p.o.ReadInterval)
}

// stepDown stops all actions until the lease is held with a higher fencing
// number.
func (p *Placer) stepDown() {
	p.lease.Held, p.supersededFencingNumber = false, p.lease.Number
	p.emit(StepDownAction{Reason: "an engine holds a higher fencing number"})
}

func (p *Placer) tick() {
	if !p.lease.Held {
		return
	}
	for _, name := range p.dueEngines() {
		if len(p.actions) >= p.o.MaxActionsPerTick {
			return
		}
		p.reconcileEngine(p.engines[name])
	}
}

// dueEngines returns the names of the engines whose next action is due, the
// longest overdue first.
func (p *Placer) dueEngines() []string {
	names := make([]string, 0, len(p.engines))
	for name, s := range p.engines {
		if !s.nextActionAt.After(p.now) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := p.engines[names[i]], p.engines[names[j]]
		if !a.nextActionAt.Equal(b.nextActionAt) {
			return a.nextActionAt.Before(b.nextActionAt)
		}
		return names[i] < names[j]
	})
	return names
}

// reconcileEngine reads the engine's order in force, or sends the wanted order if
// the one that was read differs.
func (p *Placer) reconcileEngine(s *engineState) {
	if !s.read || s.matches() {
		p.read(s)
		return
	}
	if wait := p.orderableAt(s); p.now.Before(wait) {
		s.nextActionAt = wait
		return
	}
	// The limiter is charged once per wanted order, even if the order is sent
	// again.
	if !s.weightsReserved && !p.weightsLimiter.AllowN(p.now, min(s.WeightsMiB, p.o.WeightsBurstMiB)) {
		return
	}
	s.weightsReserved = true
	p.order(s)
}

func (p *Placer) read(s *engineState) {
	s.read = false
	s.nextActionAt = p.now.Add(p.o.ReadInterval)
	p.emit(ReadAction{Name: s.Name, Address: s.Address})
}

// orderableAt returns the time from which the engine may be sent an order. An
// engine that checks fencing numbers refuses old orders itself, so it may be
// sent one at any time. For any other engine, the orders of earlier holders and a
// different last order of this holder must have passed their deadlines by
// ClockSkew.
func (p *Placer) orderableAt(s *engineState) time.Time {
	if s.ChecksFencing {
		return time.Time{}
	}
	earlier := p.settledAt()
	if s.inFlightUntil.After(earlier) && !s.satisfiedBy(s.lastOrder) {
		return s.inFlightUntil
	}
	return earlier
}

// order sends the wanted order to an engine.
func (p *Placer) order(s *engineState) {
	order := s.order()
	order.FencingNumber = p.lease.Number
	order.Deadline = p.now.Add(p.o.OrderTimeout)
	s.lastOrder, s.inFlightUntil = order, order.Deadline.Add(p.o.ClockSkew)
	s.read = false
	s.nextActionAt = p.now.Add(p.o.ReadInterval)
	p.emit(OrderAction{Name: s.Name, Address: s.Address, Order: order, Reason: "the order in force differs"})
}

// matches reports whether the order in force is known and is the wanted one.
func (s *engineState) matches() bool { return s.read && s.satisfiedBy(s.inForce) }

// order returns the wanted state as an order without fencing number and deadline.
func (e *Engine) order() engine.Order {
	return engine.Order{Models: slices.Clone(e.Models), Adapters: slices.Clone(e.Adapters), Version: e.Version, Role: e.Role}
}

// satisfiedBy reports whether o has the wanted models, adapters, version and role.
// Its fencing number may be old, because each order describes the full state.
func (e *Engine) satisfiedBy(o engine.Order) bool {
	return sameSet(e.Models, o.Models) && sameSet(e.Adapters, o.Adapters) && e.Version == o.Version && e.Role == o.Role
}

// sameSet reports whether a and b have the same elements in any order.
func sameSet(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// Pending returns the number of engines whose order in force is not known to be
// the wanted one.
func (p *Placer) Pending() int {
	pending := 0
	for _, s := range p.engines {
		if !s.satisfiedBy(s.inForce) {
			pending++
		}
	}
	return pending
}
