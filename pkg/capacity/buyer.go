package capacity

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// BuyerOptions are the settings of a Buyer. Zero values take the defaults.
type BuyerOptions struct {
	// SettleTime is how long after a request the cloud may still apply it. A
	// new holder of the lease waits this long before it buys, and a start whose
	// answer was lost counts as a Host until a list from after it.
	SettleTime   time.Duration
	ListInterval time.Duration
	// MaxListAge is how old the list may be when Hosts are bought.
	MaxListAge time.Duration
	// MaxStartsPerTick bounds the starts that are asked for at once.
	MaxStartsPerTick int
	// ScaleDownHold is how long a smaller need has to last.
	ScaleDownHold time.Duration
	// MaxDraining bounds the Hosts that are drained at the same time.
	MaxDraining int
}

const (
	defaultSettleTime    = 30 * time.Second
	defaultListInterval  = 5 * time.Second
	defaultMaxListAge    = 15 * time.Second
	defaultMaxStarts     = 32
	defaultScaleDownHold = 10 * time.Minute
	defaultMaxDraining   = 4
	// rateLimitedWait is used when the cloud names no time.
	rateLimitedWait = time.Second
	// worthReplacing is the share of the old cost below which another plan
	// replaces one that still does.
	worthReplacing = 0.9
)

func (o BuyerOptions) withDefaults() BuyerOptions {
	orDefault(&o.SettleTime, defaultSettleTime)
	orDefault(&o.ListInterval, defaultListInterval)
	orDefault(&o.MaxListAge, defaultMaxListAge)
	orDefault(&o.MaxStartsPerTick, defaultMaxStarts)
	orDefault(&o.ScaleDownHold, defaultScaleDownHold)
	orDefault(&o.MaxDraining, defaultMaxDraining)
	return o
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Buyer is the core that keeps the bought Hosts at the desired state. It does no
// I/O and reads no clock.
type Buyer struct {
	o    BuyerOptions
	rand *rand.Rand
	now  time.Time

	lease      LeaseEvent
	acquiredAt time.Time
	listAt     time.Time // when the newest list was asked for
	listDue    time.Time
	pausedTill time.Time

	groups  []Group
	desired map[string]*desiredState
	markets map[string]*market
	hosts   map[string]*heldHost
	pending map[string]*pendingStart
	starts  uint64
	// sorted are the hosts by ID, and held the usable ones and undecided starts
	// by pool; both are built once a tick.
	sorted []*heldHost
	held   map[string]int

	actions []Action
}

// desiredState is the plan of a group that is being brought about.
type desiredState struct {
	counts     map[string]int
	lowerSince time.Time
}

type heldHost struct {
	cloud.Host
	pool string
	// answeredAt is when the start was answered; a list asked for earlier need
	// not show the Host.
	answeredAt time.Time
	reclaimAt  time.Time
	draining   bool
	idle       bool
	// stopDue is when a stop is sent, or sent again.
	stopDue time.Time
}

func (h *heldHost) usable() bool {
	return !h.draining && h.reclaimAt.IsZero() && h.State != cloud.HostLeaving
}

// pendingStart is a start that has no definite answer yet.
type pendingStart struct {
	pool    string
	askedAt time.Time
}

// NewBuyer returns a Buyer that does nothing until it holds the lease.
func NewBuyer(o BuyerOptions, r *rand.Rand) *Buyer {
	return &Buyer{o: o.withDefaults(), rand: r, desired: map[string]*desiredState{}, markets: map[string]*market{},
		hosts: map[string]*heldHost{}, pending: map[string]*pendingStart{}}
}

// Step takes an event and returns what has to be done.
func (b *Buyer) Step(now time.Time, event Event) []Action {
	if now.After(b.now) {
		b.now = now
	}
	b.actions = nil
	switch e := event.(type) {
	case TickEvent:
		b.tick()
	case LeaseEvent:
		b.takeLease(e)
	case GroupsEvent:
		b.groups = e.Groups
	case ListEvent:
		b.takeList(e)
	case ListFailedEvent:
		b.listDue = b.now.Add(b.o.ListInterval)
	case NoticesEvent:
		b.takeNotices(e.Notices)
	case StartedEvent:
		b.started(e)
	case StartFailedEvent:
		b.startFailed(e)
	case DrainingEvent:
		b.left(e.HostIDs)
	case IdleEvent:
		if h := b.hosts[e.HostID]; h != nil {
			h.idle = true
		}
	}
	return b.actions
}

func (b *Buyer) act(a Action) { b.actions = append(b.actions, a) }

// takeLease forgets what another holder may have changed.
func (b *Buyer) takeLease(e LeaseEvent) {
	if e.Held && (!b.lease.Held || e.Number != b.lease.Number) {
		b.acquiredAt = b.now
		b.listAt, b.listDue = time.Time{}, b.now
		b.pending = map[string]*pendingStart{}
		b.hosts = map[string]*heldHost{}
		b.desired = map[string]*desiredState{}
	}
	b.lease = e
}

func (b *Buyer) tick() {
	if !b.lease.Held {
		return
	}
	if !b.now.Before(b.listDue) {
		b.listDue = b.now.Add(b.o.ListInterval)
		b.act(ListAction{})
	}
	if !b.ready() {
		return
	}
	b.sorted, b.held = b.sortedHosts(), b.countHeld()
	b.countMarkets()
	room := b.o.MaxStartsPerTick
	for i := range b.groups {
		g := &b.groups[i]
		choices := b.choices(g)
		d := b.desire(g, choices)
		room -= b.buy(g, choices, d, room)
		b.giveBack(g, choices, d)
	}
	b.stopIdle()
}

// ready reports whether no request of an earlier holder can still be applied,
// and the list is from after that and new enough.
func (b *Buyer) ready() bool {
	settled := b.acquiredAt.Add(b.o.SettleTime)
	return !b.listAt.Before(settled) && b.now.Sub(b.listAt) <= b.o.MaxListAge
}

func (b *Buyer) takeList(e ListEvent) {
	if e.RequestedAt.Before(b.listAt) || !b.lease.Held {
		return
	}
	b.listAt = e.RequestedAt
	listed := make(map[string]bool, len(e.Hosts))
	for _, h := range e.Hosts {
		listed[h.ID] = true
		b.seen(h, e.RequestedAt)
	}
	for id, h := range b.hosts {
		if !listed[id] && h.answeredAt.Add(b.o.SettleTime).Before(e.RequestedAt) {
			delete(b.hosts, id)
		}
	}
	for token, p := range b.pending {
		if p.askedAt.Add(b.o.SettleTime).Before(e.RequestedAt) {
			delete(b.pending, token) // not shown: it was never applied
		}
	}
}

// seen takes a listed Host. Hosts that this duty did not start are left alone.
func (b *Buyer) seen(h cloud.Host, at time.Time) {
	pool, ok := poolOf(h.Token)
	if !ok {
		return
	}
	delete(b.pending, h.Token)
	known := b.hosts[h.ID]
	if known == nil {
		known = &heldHost{pool: pool, answeredAt: at.Add(-b.o.SettleTime)}
		b.hosts[h.ID] = known
	}
	known.Host = h
}

func (b *Buyer) takeNotices(notices []cloud.Notice) {
	for _, n := range notices {
		h := b.hosts[n.HostID]
		if h == nil || !h.reclaimAt.IsZero() {
			continue
		}
		h.reclaimAt = n.ReclaimAt
		if h.Purchase == membership.PurchaseReclaimable {
			b.market(h.pool).reclaims++
		}
	}
}

func (b *Buyer) left(ids []string) {
	for _, id := range ids {
		if h := b.hosts[id]; h != nil {
			h.draining = true
		}
	}
}

func (b *Buyer) started(e StartedEvent) {
	p := b.pending[e.Token]
	if p == nil {
		return
	}
	delete(b.pending, e.Token)
	b.market(p.pool).accept()
	b.hosts[e.Host.ID] = &heldHost{Host: e.Host, pool: p.pool, answeredAt: b.now}
}

// startFailed drops a start that was definitely not applied. Any other stays
// until a later list decides.
func (b *Buyer) startFailed(e StartFailedEvent) {
	p := b.pending[e.Token]
	if p == nil {
		return
	}
	var refused *cloud.CapacityRefusedError
	var limited *cloud.RateLimitedError
	var unavailable *cloud.UnavailableError
	switch {
	case errors.As(e.Cause, &refused):
		delete(b.pending, e.Token)
		if m := b.market(p.pool); b.now.After(m.until) {
			m.refuse(b.now, b.rand)
		}
	case errors.As(e.Cause, &limited):
		delete(b.pending, e.Token)
		b.pausedTill = b.now.Add(max(limited.RetryAfter, rateLimitedWait))
	case errors.As(e.Cause, &unavailable):
		delete(b.pending, e.Token)
		b.pausedTill = b.now.Add(rateLimitedWait)
	}
}

func (b *Buyer) market(pool string) *market {
	m := b.markets[pool]
	if m == nil {
		m = &market{}
		b.markets[pool] = m
	}
	return m
}

func (b *Buyer) countMarkets() {
	held := map[string]int{}
	for _, h := range b.hosts {
		held[h.pool]++
	}
	for i := range b.groups {
		for j := range b.groups[i].Offers {
			pool := b.groups[i].Offers[j].Pool
			b.market(pool).count(b.now, held[pool])
		}
	}
}

// tokenPrefix marks the Hosts that this duty has started.
const tokenPrefix = "monsooncrank/"

// token names a start: the Pool, the lease's number and a count.
func (b *Buyer) token(pool string) string {
	b.starts++
	return tokenPrefix + pool + "/" + strconv.FormatUint(b.lease.Number, 10) + "/" + strconv.FormatUint(b.starts, 10)
}

func poolOf(token string) (string, bool) {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok {
		return "", false
	}
	parts := strings.Split(rest, "/")
	if len(parts) < 3 {
		return "", false
	}
	return strings.Join(parts[:len(parts)-2], "/"), true
}

// sortedHosts returns the hosts by ID; it sorts only when they have changed.
func (b *Buyer) sortedHosts() []*heldHost {
	if b.sameHosts() {
		return b.sorted
	}
	hosts := make([]*heldHost, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// sameHosts reports whether sorted still has exactly the known hosts.
func (b *Buyer) sameHosts() bool {
	if len(b.sorted) != len(b.hosts) {
		return false
	}
	for _, h := range b.sorted {
		if b.hosts[h.ID] != h {
			return false
		}
	}
	return true
}
