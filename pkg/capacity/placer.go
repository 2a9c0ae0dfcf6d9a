package capacity

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// Engine is an engine and what it should load.
type Engine struct {
	Name    string
	Address string
	// ChecksFencing says that the engine refuses an order with an old number.
	ChecksFencing bool
	Models        []string
	Adapters      []string
	Version       string
	Role          string
	// WeightsMiB is what the engine reads from the weight store for the
	// order, in units of 2^20 bytes.
	WeightsMiB int
}

// PlacerOptions are the settings of a Placer. Zero values take the defaults.
type PlacerOptions struct {
	// OrderTimeout is the deadline of each order: after it no engine applies it.
	// It bounds how long an order of an earlier holder can be in flight.
	OrderTimeout time.Duration
	// ClockSkew is added to that bound, because the deadline is a time of day.
	ClockSkew time.Duration
	// ReadInterval is the time between reads until an order is in force;
	// CheckInterval between reads of an engine that matches.
	ReadInterval  time.Duration
	CheckInterval time.Duration
	// WeightsMiBPerSecond is the weight store's rate, and WeightsBurstMiB what may be
	// asked for at once, both in units of 2^20 bytes.
	WeightsMiBPerSecond float64
	WeightsBurstMiB     int
	// MaxActionsPerTick bounds the reads and orders of a tick.
	MaxActionsPerTick int
}

const (
	defaultOrderTimeout     = 10 * time.Second
	defaultClockSkew        = 2 * time.Second
	defaultReadInterval     = 2 * time.Second
	defaultCheckInterval    = time.Minute
	defaultWeightsPerSecond = 4096
	defaultWeightsBurst     = 1 << 20
	defaultMaxActions       = 256
)

func (o PlacerOptions) withDefaults() PlacerOptions {
	orDefault(&o.OrderTimeout, defaultOrderTimeout)
	orDefault(&o.ClockSkew, defaultClockSkew)
	orDefault(&o.ReadInterval, defaultReadInterval)
	orDefault(&o.CheckInterval, defaultCheckInterval)
	orDefault(&o.WeightsMiBPerSecond, defaultWeightsPerSecond)
	orDefault(&o.WeightsBurstMiB, defaultWeightsBurst)
	orDefault(&o.MaxActionsPerTick, defaultMaxActions)
	return o
}

// Placer is the core that keeps the engines at the orders they should have. It
// does no I/O and reads no clock.
type Placer struct {
	o          PlacerOptions
	rand       *rand.Rand
	now        time.Time
	lease      LeaseEvent
	acquiredAt time.Time
	// outranked is the highest of this holder's numbers that an engine has
	// refused as old.
	outranked uint64
	weights   *rate.Limiter
	engines   map[string]*placement
	actions   []Action
}

// placement is what is known of one engine.
type placement struct {
	Engine
	// read is set once the order in force was read under this lease.
	read    bool
	inForce engine.Order
	due     time.Time
	// ordered is the last order under this lease. inFlight is how long it may
	// still be applied, and zero once it was answered.
	ordered  engine.Order
	inFlight time.Time
	paid     bool // the weights of the wanted order are in the store's budget
}

// NewPlacer returns a Placer that does nothing until it holds the lease.
func NewPlacer(o PlacerOptions, r *rand.Rand) *Placer {
	o = o.withDefaults()
	return &Placer{o: o, rand: r, engines: map[string]*placement{},
		weights: rate.NewLimiter(rate.Limit(o.WeightsMiBPerSecond), o.WeightsBurstMiB)}
}

// Step takes an event and returns what has to be done.
func (p *Placer) Step(now time.Time, event Event) []Action {
	if now.After(p.now) {
		p.now = now
	}
	p.actions = nil
	switch e := event.(type) {
	case TickEvent:
		p.tick()
	case LeaseEvent:
		p.takeLease(e)
	case EnginesEvent:
		p.takeEngines(e.Engines)
	case OrderReadEvent:
		p.takeRead(e)
	case OrderDoneEvent:
		p.takeDone(e)
	case OrderFailedEvent:
		if s := p.engines[e.Name]; s != nil {
			s.due = p.now.Add(p.o.ReadInterval)
		}
	}
	return p.actions
}

func (p *Placer) act(a Action) { p.actions = append(p.actions, a) }

func (p *Placer) takeLease(e LeaseEvent) {
	if e.Number <= p.outranked {
		e.Held = false
	}
	if e.Held && (!p.lease.Held || e.Number != p.lease.Number) {
		p.acquiredAt = p.now
		for _, s := range p.engines {
			*s = placement{Engine: s.Engine, due: p.now}
		}
	}
	p.lease = e
}

func (p *Placer) takeEngines(engines []Engine) {
	current := make(map[string]bool, len(engines))
	for i := range engines {
		e := engines[i]
		current[e.Name] = true
		s := p.engines[e.Name]
		if s == nil {
			p.engines[e.Name] = &placement{Engine: e, due: p.now}
			continue
		}
		if s.Address != e.Address {
			*s = placement{Engine: e, due: p.now}
			continue
		}
		changed := !e.wants(s.Engine.order())
		s.Engine = e
		if changed {
			s.due, s.paid = p.now, false
		}
	}
	for name := range p.engines {
		if !current[name] {
			delete(p.engines, name)
		}
	}
}

func (p *Placer) takeRead(e OrderReadEvent) {
	s := p.engines[e.Name]
	if s == nil || !p.lease.Held {
		return
	}
	if s.ChecksFencing && e.Order.FencingNumber > p.lease.Number {
		p.stepDown()
		return
	}
	s.read, s.inForce = true, e.Order
	s.due = p.now
	if s.matches() {
		s.paid = false
		s.due = p.checkAt()
	}
}

// checkAt is when an engine that matches is read again: once after no order of
// the earlier holder can arrive any more, then at times spread around
// CheckInterval.
func (p *Placer) checkAt() time.Time {
	if settled := p.settledAt(); p.now.Before(settled) {
		return settled
	}
	return p.now.Add(p.o.CheckInterval/2 + time.Duration(p.rand.Int64N(int64(p.o.CheckInterval))))
}

// settledAt is when no order of the earlier holder can be applied any more.
func (p *Placer) settledAt() time.Time { return p.acquiredAt.Add(p.o.OrderTimeout + p.o.ClockSkew) }

func (p *Placer) takeDone(e OrderDoneEvent) {
	s := p.engines[e.Name]
	if s == nil {
		return
	}
	if e.Stale {
		p.stepDown()
		return
	}
	s.inFlight, s.read = time.Time{}, false
	s.due = p.now.Add(p.o.ReadInterval)
}

func (p *Placer) stepDown() {
	p.lease.Held, p.outranked = false, p.lease.Number
	p.act(StepDownAction{Reason: "an engine holds a higher fencing number"})
}

func (p *Placer) tick() {
	if !p.lease.Held {
		return
	}
	for _, name := range p.dueNames() {
		if len(p.actions) >= p.o.MaxActionsPerTick {
			return
		}
		p.advance(p.engines[name])
	}
}

// dueNames returns the engines that are due, the longest due first.
func (p *Placer) dueNames() []string {
	names := make([]string, 0, len(p.engines))
	for name, s := range p.engines {
		if !s.due.After(p.now) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := p.engines[names[i]], p.engines[names[j]]
		if !a.due.Equal(b.due) {
			return a.due.Before(b.due)
		}
		return names[i] < names[j]
	})
	return names
}

// advance reads an engine's order, or sends the wanted one.
func (p *Placer) advance(s *placement) {
	if !s.read || s.matches() {
		p.read(s)
		return
	}
	if wait := p.orderableAt(s); p.now.Before(wait) {
		s.due = wait
		return
	}
	// Tokens are taken once per wanted order, also when it is sent again.
	if !s.paid && !p.weights.AllowN(p.now, min(s.WeightsMiB, p.o.WeightsBurstMiB)) {
		return
	}
	s.paid = true
	p.order(s)
}

func (p *Placer) read(s *placement) {
	s.read = false
	s.due = p.now.Add(p.o.ReadInterval)
	p.act(ReadAction{Name: s.Name, Address: s.Address})
}

// orderableAt is when no other order can reach the engine any more. An engine
// that checks the number refuses an old one itself; towards any other, orders of
// the earlier holder and this holder's last one have to be over.
func (p *Placer) orderableAt(s *placement) time.Time {
	if s.ChecksFencing {
		return time.Time{}
	}
	earlier := p.settledAt()
	if s.inFlight.After(earlier) && !s.wants(s.ordered) {
		return s.inFlight
	}
	return earlier
}

func (p *Placer) order(s *placement) {
	order := s.order()
	order.FencingNumber = p.lease.Number
	order.Deadline = p.now.Add(p.o.OrderTimeout)
	s.ordered, s.inFlight = order, order.Deadline.Add(p.o.ClockSkew)
	s.read = false
	s.due = p.now.Add(p.o.ReadInterval)
	p.act(OrderAction{Name: s.Name, Address: s.Address, Order: order, Reason: "the order in force differs"})
}

// matches reports whether the order in force is the wanted one.
func (s *placement) matches() bool { return s.read && s.wants(s.inForce) }

// order returns the wanted state as an order without number and deadline.
func (e *Engine) order() engine.Order {
	return engine.Order{Models: slices.Clone(e.Models), Adapters: slices.Clone(e.Adapters), Version: e.Version, Role: e.Role}
}

// wants reports whether o has the wanted models, adapters, version and role. An
// older number does not matter, because orders are absolute.
func (e *Engine) wants(o engine.Order) bool {
	return sameSet(e.Models, o.Models) && sameSet(e.Adapters, o.Adapters) && e.Version == o.Version && e.Role == o.Role
}

func sameSet(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// Pending returns the number of engines whose order in force is not known to be
// the wanted one.
func (p *Placer) Pending() int {
	pending := 0
	for _, s := range p.engines {
		if !s.wants(s.inForce) {
			pending++
		}
	}
	return pending
}
