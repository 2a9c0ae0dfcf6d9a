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

// BuyerOptions configures a Buyer. Zero values select the defaults.
type BuyerOptions struct {
	// SettleTime is how long after a request the cloud may still apply it. A new
	// holder of the lease waits this long before it buys. A start whose answer was
	// lost counts as a Host until a list that was requested after this time shows
	// whether it was applied.
	SettleTime time.Duration
	// ListInterval is the time between lists of the cloud's Hosts.
	ListInterval time.Duration
	// MaxListAge is the maximum age of the list for buying and releasing Hosts.
	MaxListAge time.Duration
	// MaxStartsPerTick is the maximum number of starts requested in one tick.
	MaxStartsPerTick int
	// ScaleDownHold is how long a cheaper plan must be available before it
	// replaces one that still covers the need.
	ScaleDownHold time.Duration
	// MaxDraining is the maximum number of Hosts of a group that drain at the same
	// time.
	MaxDraining int
}

const (
	defaultSettleTime    = 30 * time.Second
	defaultListInterval  = 5 * time.Second
	defaultMaxListAge    = 15 * time.Second
	defaultMaxStarts     = 32
	defaultScaleDownHold = 10 * time.Minute
	defaultMaxDraining   = 4
	// rateLimitedWait is the minimum pause of starts after the cloud has limited
	// their rate or was unavailable.
	rateLimitedWait = time.Second
	// maxReplacementCostRatio is the largest ratio of new to old cost at which a
	// plan replaces one that still covers the need.
	maxReplacementCostRatio = 0.9
)

func (o BuyerOptions) withDefaults() BuyerOptions {
	setDefault(&o.SettleTime, defaultSettleTime)
	setDefault(&o.ListInterval, defaultListInterval)
	setDefault(&o.MaxListAge, defaultMaxListAge)
	setDefault(&o.MaxStartsPerTick, defaultMaxStarts)
	setDefault(&o.ScaleDownHold, defaultScaleDownHold)
	setDefault(&o.MaxDraining, defaultMaxDraining)
	return o
}

// setDefault sets value to fallback if it is zero.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Buyer is the state machine that buys and releases Hosts to reach the desired
// number in each Pool. It does no I/O and reads no clock: Step takes the time and
// an event, and returns the actions for a BuyerDriver.
type Buyer struct {
	o    BuyerOptions
	rand *rand.Rand
	now  time.Time

	lease           LeaseEvent
	acquiredAt      time.Time
	listRequestedAt time.Time // when the newest list was requested
	nextListAt      time.Time
	pausedUntil     time.Time

	groups     []Group
	desired    map[string]*desiredState
	markets    map[string]*market
	hosts      map[string]*trackedHost
	pending    map[string]*pendingStart
	startCount uint64
	// sorted holds the hosts ordered by ID, and heldByPool the number of usable
	// Hosts and pending starts of each Pool. Both are computed once per tick.
	sorted     []*trackedHost
	heldByPool map[string]int

	actions []Action
}

// desiredState holds the number of Hosts of each Pool that a group should have,
// and since when a cheaper plan has been available.
type desiredState struct {
	counts       map[string]int
	cheaperSince time.Time
}

// trackedHost is a Host that was started by a Buyer, of this or an earlier holder
// of the lease.
type trackedHost struct {
	cloud.Host
	pool string
	// startConfirmedAt is when the start was answered. A list that was requested
	// earlier may not contain the Host.
	startConfirmedAt time.Time
	reclaimAt        time.Time
	draining         bool
	idle             bool
	// nextStopAt is the earliest time at which a stop is sent or repeated.
	nextStopAt time.Time
}

// usable reports whether the Host counts towards its Pool: it is not draining,
// not about to be reclaimed and not leaving.
func (h *trackedHost) usable() bool {
	return !h.draining && h.reclaimAt.IsZero() && h.State != cloud.HostLeaving
}

// pendingStart is a start of which it is not yet certain whether the cloud has
// applied it.
type pendingStart struct {
	pool        string
	requestedAt time.Time
}

// NewBuyer returns a Buyer, which emits no actions until it holds the lease.
func NewBuyer(o BuyerOptions, r *rand.Rand) *Buyer {
	return &Buyer{o: o.withDefaults(), rand: r, desired: map[string]*desiredState{}, markets: map[string]*market{},
		hosts: map[string]*trackedHost{}, pending: map[string]*pendingStart{}}
}

// Step processes an event and returns the actions to perform.
func (b *Buyer) Step(now time.Time, event Event) []Action {
	if now.After(b.now) {
		b.now = now
	}
	b.actions = nil
	switch e := event.(type) {
	case TickEvent:
		b.tick()
	case LeaseEvent:
		b.handleLease(e)
	case GroupsEvent:
		b.groups = e.Groups
	case ListEvent:
		b.handleList(e)
	case ListFailedEvent:
		b.nextListAt = b.now.Add(b.o.ListInterval)
	case NoticesEvent:
		b.handleNotices(e.Notices)
	case StartedEvent:
		b.handleStarted(e)
	case StartFailedEvent:
		b.handleStartFailed(e)
	case DrainingEvent:
		b.markDraining(e.HostIDs)
	case IdleEvent:
		if h := b.hosts[e.HostID]; h != nil {
			h.idle = true
		}
	}
	return b.actions
}

func (b *Buyer) emit(a Action) { b.actions = append(b.actions, a) }

// handleLease records the state of the lease. When the lease is acquired, it
// discards all state that another holder may have changed.
func (b *Buyer) handleLease(e LeaseEvent) {
	if e.Held && (!b.lease.Held || e.Number != b.lease.Number) {
		b.acquiredAt = b.now
		b.listRequestedAt, b.nextListAt = time.Time{}, b.now
		b.pending = map[string]*pendingStart{}
		b.hosts = map[string]*trackedHost{}
		b.desired = map[string]*desiredState{}
	}
	b.lease = e
}

func (b *Buyer) tick() {
	if !b.lease.Held {
		return
	}
	if !b.now.Before(b.nextListAt) {
		b.nextListAt = b.now.Add(b.o.ListInterval)
		b.emit(ListAction{})
	}
	if !b.stateIsCurrent() {
		return
	}
	b.sorted, b.heldByPool = b.sortedHosts(), b.countHeld()
	b.updateMarkets()
	startsLeft := b.o.MaxStartsPerTick
	for i := range b.groups {
		g := &b.groups[i]
		choices := b.choices(g)
		d := b.desiredFor(g, choices)
		startsLeft -= b.buy(g, choices, d, startsLeft)
		b.releaseSurplus(g, choices, d)
	}
	b.stopIdle()
}

// stateIsCurrent reports whether the newest list shows the effect of all requests
// of earlier holders and is recent enough. It does if the list was requested
// SettleTime after the lease was acquired and is no older than MaxListAge.
func (b *Buyer) stateIsCurrent() bool {
	settled := b.acquiredAt.Add(b.o.SettleTime)
	return !b.listRequestedAt.Before(settled) && b.now.Sub(b.listRequestedAt) <= b.o.MaxListAge
}

// handleList updates the known Hosts from the cloud's list and removes the pending
// starts whose outcome it shows. It ignores a list older than the newest one.
func (b *Buyer) handleList(e ListEvent) {
	if e.RequestedAt.Before(b.listRequestedAt) || !b.lease.Held {
		return
	}
	b.listRequestedAt = e.RequestedAt
	listed := make(map[string]bool, len(e.Hosts))
	for _, h := range e.Hosts {
		listed[h.ID] = true
		b.updateHost(h, e.RequestedAt)
	}
	for id, h := range b.hosts {
		if !listed[id] && h.startConfirmedAt.Add(b.o.SettleTime).Before(e.RequestedAt) {
			delete(b.hosts, id)
		}
	}
	for token, p := range b.pending {
		if p.requestedAt.Add(b.o.SettleTime).Before(e.RequestedAt) {
			delete(b.pending, token) // not in the list, so it was never applied
		}
	}
}

// updateHost records a listed Host. Hosts without a token of a Buyer, which were
// started by others, are ignored.
func (b *Buyer) updateHost(h cloud.Host, at time.Time) {
	pool, ok := poolFromToken(h.Token)
	if !ok {
		return
	}
	delete(b.pending, h.Token)
	known := b.hosts[h.ID]
	if known == nil {
		known = &trackedHost{pool: pool, startConfirmedAt: at.Add(-b.o.SettleTime)}
		b.hosts[h.ID] = known
	}
	known.Host = h
}

// handleNotices marks Hosts that will be reclaimed and counts each reclaim once.
func (b *Buyer) handleNotices(notices []cloud.Notice) {
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

// markDraining marks Hosts whose BackendServers are already out of use.
func (b *Buyer) markDraining(ids []string) {
	for _, id := range ids {
		if h := b.hosts[id]; h != nil {
			h.draining = true
		}
	}
}

// handleStarted replaces a pending start by the started Host.
func (b *Buyer) handleStarted(e StartedEvent) {
	p := b.pending[e.Token]
	if p == nil {
		return
	}
	delete(b.pending, e.Token)
	b.market(p.pool).recordAccept()
	b.hosts[e.Host.ID] = &trackedHost{Host: e.Host, pool: p.pool, startConfirmedAt: b.now}
}

// handleStartFailed removes a start that was definitely not applied. Any other
// start stays pending until a later list shows whether it was applied.
func (b *Buyer) handleStartFailed(e StartFailedEvent) {
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
		if m := b.market(p.pool); b.now.After(m.retryAt) {
			m.recordRefusal(b.now, b.rand)
		}
	case errors.As(e.Cause, &limited):
		delete(b.pending, e.Token)
		b.pausedUntil = b.now.Add(max(limited.RetryAfter, rateLimitedWait))
	case errors.As(e.Cause, &unavailable):
		delete(b.pending, e.Token)
		b.pausedUntil = b.now.Add(rateLimitedWait)
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

// updateMarkets adds the Host hours since the last tick to the market of each
// offer.
func (b *Buyer) updateMarkets() {
	held := map[string]int{}
	for _, h := range b.hosts {
		held[h.pool]++
	}
	for i := range b.groups {
		for j := range b.groups[i].Offers {
			pool := b.groups[i].Offers[j].Pool
			b.market(pool).addHostHours(b.now, held[pool])
		}
	}
}

// tokenPrefix marks the Hosts that were started by a Buyer.
const tokenPrefix = "monsooncrank/"

// token returns a unique token for a start. It consists of the Pool, the lease's
// fencing number and a counter.
func (b *Buyer) token(pool string) string {
	b.startCount++
	return tokenPrefix + pool + "/" + strconv.FormatUint(b.lease.Number, 10) + "/" + strconv.FormatUint(b.startCount, 10)
}

// poolFromToken returns the Pool of a start's token, or false if the token is not
// one of a Buyer.
func poolFromToken(token string) (string, bool) {
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

// sortedHosts returns the hosts ordered by ID. It sorts only if they have changed.
func (b *Buyer) sortedHosts() []*trackedHost {
	if b.hostsUnchanged() {
		return b.sorted
	}
	hosts := make([]*trackedHost, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// hostsUnchanged reports whether sorted still contains exactly the known hosts.
func (b *Buyer) hostsUnchanged() bool {
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
