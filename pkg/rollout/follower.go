package rollout

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// maxExcess is the excess of bad answers beyond what the decider has cleared at which a daemon
// stops by itself. It leaves room for what other daemons count before they tell it.
const maxExcess = 20

// InForceTime is how long before an order a version must have been in use to be the one in
// force. Servers that the platform starts for an order may be seen before it.
const InForceTime = 10 * time.Second

// Follower applies the directives to one daemon's requests and counts their answers. It is not
// safe for concurrent use.
type Follower struct {
	bounds   Bounds
	random   *rand.Rand
	services map[string]*service
	// ordersAsOf is the store's version up to which all orders are known.
	ordersAsOf table.Version
	// readAsOf is the store's version up to which this daemon has read all orders itself, and
	// unreadable holds the services whose rows stated no order then.
	readAsOf   table.Version
	unreadable map[string]bool
	// withdrawn holds, by service, a version of the store at which there was no order.
	withdrawn map[string]table.Version
	// told holds the excess of bad answers of all daemons, by service.
	told     map[string]Excess
	attempts map[string]*attempt
	// versions holds, by service and version, the servers in use.
	versions map[string]map[string]*versionInUse
}

// versionInUse is a software version of a service.
type versionInUse struct {
	// since is the store's version at which this daemon first saw the version.
	since table.Version
	// seenAt is when that was.
	seenAt  time.Time
	servers map[string]bool
}

// service is a service for which there is an order.
type service struct {
	entry Entry
	// issuedAt is when the directive was issued; zero means that it is not valid.
	issuedAt time.Time
	counts   Counts
	cells    map[cellKey]*Cell
	// carry holds, by route, the fraction of a request that the new version is due.
	carry map[string]float64
	// group holds the servers of the new version that get the small share.
	group      []string
	groupStale bool
	// inForce is set if the version was in use before the order, other than by an earlier
	// order that was not completed.
	inForce bool
	// stopped holds the servers of other versions at the time when this daemon learned that
	// the roll-out was completed: the platform stops them at once, before their entries go.
	stopped map[string]bool
	// ownExcess is the excess of bad answers that this daemon has counted itself.
	ownExcess int
}

// attempt is an attempt at a server that has not ended.
type attempt struct {
	service   string
	order     table.Version
	route     string
	version   string
	server    string
	startedAt time.Time
	expected  time.Duration
	took      time.Duration
	// failed is set if the server has answered with a failure or has broken off, and excused
	// if that says nothing about its version.
	failed, excused bool
}

// NewFollower returns a Follower that knows no orders.
func NewFollower(bounds Bounds, seed uint64) *Follower {
	return &Follower{bounds: bounds, random: rand.New(rand.NewPCG(seed, 0)), services: make(map[string]*service), withdrawn: make(map[string]table.Version), told: make(map[string]Excess),
		attempts: make(map[string]*attempt), versions: make(map[string]map[string]*versionInUse)}
}

// Enabled reports whether roll-outs are handled.
func (f *Follower) Enabled() bool { return f.bounds.Enabled() }

// Active reports whether any order is known.
func (f *Follower) Active() bool { return len(f.services) > 0 }

// HandleServer applies a change of the fleet that was learned at a version of the store.
func (f *Follower) HandleServer(now time.Time, e *fleet.Event, storeVersion table.Version) {
	if !f.Enabled() {
		return
	}
	for version, v := range f.versions[e.Server.Service] {
		if delete(v.servers, e.Server.ID); len(v.servers) == 0 && version != e.Server.Version {
			delete(f.versions[e.Server.Service], version)
		}
	}
	if e.Change == fleet.ServerJoined {
		all, ok := f.versions[e.Server.Service]
		if !ok {
			all = make(map[string]*versionInUse)
			f.versions[e.Server.Service] = all
		}
		v, ok := all[e.Server.Version]
		if !ok {
			v = &versionInUse{since: storeVersion, seenAt: now, servers: make(map[string]bool)}
			all[e.Server.Version] = v
		}
		v.servers[e.Server.ID] = true
	} else if v, ok := f.versions[e.Server.Service][e.Server.Version]; ok && len(v.servers) == 0 {
		delete(f.versions[e.Server.Service], e.Server.Version)
	}
	if s, ok := f.services[e.Server.Service]; ok {
		s.groupStale = true
		delete(s.stopped, e.Server.ID)
	}
}

// Servers returns how many servers of a version, and of all others, a service has.
func (f *Follower) Servers(service, version string) (of, others int) {
	for name, v := range f.versions[service] {
		if name == version {
			of += len(v.servers)
		} else {
			others += len(v.servers)
		}
	}
	return of, others
}

// SetOrders applies all orders that were read from the store as of a version. An order that is
// no longer there is forgotten. An order without a version to move to stands for a row that
// cannot be read: an earlier order for its service stays.
func (f *Follower) SetOrders(now time.Time, orders []Order, asOf table.Version) {
	if !f.Enabled() || asOf < f.readAsOf {
		return
	}
	f.readAsOf, f.ordersAsOf, f.unreadable = asOf, max(f.ordersAsOf, asOf), make(map[string]bool)
	known := make(map[string]bool)
	for _, o := range orders {
		known[o.Service] = true
		if o.To == "" {
			f.unreadable[o.Service] = true
			continue
		}
		f.order(now, o)
	}
	for name, s := range f.services {
		if !known[name] && s.entry.Order.Revision <= asOf {
			f.withdraw(name, asOf)
		}
	}
}

// LearnOrders applies the orders that another daemon knows, which says that it knows all up to
// a version of the store. It may have none where it can't read one: an order that it does not
// know is kept.
func (f *Follower) LearnOrders(now time.Time, orders []Order, asOf table.Version) {
	if !f.Enabled() {
		return
	}
	f.ordersAsOf = max(f.ordersAsOf, asOf)
	for _, o := range orders {
		if !f.isWithdrawn(o) {
			f.order(now, o)
		}
	}
}

// Withdraw applies what another daemon knows of withdrawn orders: by service, a version of the
// store at which there was none.
func (f *Follower) Withdraw(withdrawn map[string]table.Version) {
	if !f.Enabled() {
		return
	}
	for name, asOf := range withdrawn {
		f.withdraw(name, asOf)
	}
}

// Withdrawn returns what other daemons are told of withdrawn orders.
func (f *Follower) Withdrawn() map[string]table.Version {
	if len(f.withdrawn) == 0 {
		return nil
	}
	return maps.Clone(f.withdrawn)
}

func (f *Follower) withdraw(name string, asOf table.Version) {
	f.withdrawn[name] = max(f.withdrawn[name], asOf)
	if s, ok := f.services[name]; ok && s.entry.Order.Revision <= asOf {
		delete(f.services, name)
	}
}

// isWithdrawn reports whether an order that another daemon knows has been withdrawn. If this
// daemon has read that from the store, it tells all others from then on.
func (f *Follower) isWithdrawn(o Order) bool {
	if o.Revision <= f.withdrawn[o.Service] {
		return true
	}
	if _, known := f.services[o.Service]; known || f.unreadable[o.Service] || o.Revision > f.readAsOf {
		return false
	}
	f.withdraw(o.Service, f.readAsOf)
	return true
}

// order applies an order unless it is outdated.
func (f *Follower) order(now time.Time, o Order) *service {
	s, ok := f.services[o.Service]
	if ok && !o.replaces(s.entry.Order) {
		return s
	}
	next := &service{entry: Entry{Order: o}, counts: Counts{Order: o.Revision}, cells: make(map[cellKey]*Cell), carry: make(map[string]float64), groupStale: true}
	v, used := f.versions[o.Service][o.To]
	next.inForce = used && v.since < o.Revision && now.Sub(v.seenAt) >= InForceTime && (!ok || !slices.Contains(s.denied(""), o.To))
	if ok {
		// Until the decider says what became of the earlier order, its version gets nothing.
		next.entry.Directive.Denied = s.denied(o.To)
	}
	f.services[o.Service] = next
	return next
}

// InForce reports whether the version of the order for a service was in force before it. Only
// a daemon that was up before the order knows that it was not.
func (f *Follower) InForce(service string) bool {
	s, ok := f.services[service]
	return ok && s.inForce
}

// VersionsInUse returns the versions of a service except one.
func (f *Follower) VersionsInUse(service, except string) []string {
	var list []string
	for name := range f.versions[service] {
		if name != except {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// denied returns the versions that no order has completed, except the given one.
func (s *service) denied(except string) []string {
	list := slices.Clone(s.entry.Directive.Denied)
	if s.entry.Directive.State != Completed && !s.inForce {
		list = append(list, s.entry.Order.To)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(v string) bool { return v == except })
}

// OrdersAsOf returns the store's version up to which all orders are known.
func (f *Follower) OrdersAsOf() table.Version { return f.ordersAsOf }

// Unsettled reports whether a version is in use of which it is not known whether an order is
// about to move traffic to it.
func (f *Follower) Unsettled() bool {
	for service := range f.versions {
		if len(f.unsettled(service)) > 0 {
			return true
		}
	}
	return false
}

// unsettled returns the versions of a service that came into use, beside another one, after
// the version of the store up to which all orders are known.
func (f *Follower) unsettled(service string) []string {
	all := f.versions[service]
	if len(all) < 2 {
		return nil
	}
	var list []string
	for name, v := range all {
		if v.since > f.ordersAsOf {
			list = append(list, name)
		}
	}
	if len(list) == len(all) {
		return nil
	}
	slices.Sort(list)
	return list
}

// Merge applies what another daemon, or the decider of this one, says of a roll-out. IssuedAt
// is the earliest time at which its directive can have been issued, or zero if that is not
// known: then only a final state is applied. It reports whether the state has changed.
func (f *Follower) Merge(now time.Time, e Entry, issuedAt time.Time) bool {
	if !f.Enabled() || e.Order.Service == "" {
		return false
	}
	if f.isWithdrawn(e.Order) {
		return false
	}
	s := f.order(now, e.Order)
	own := &s.entry
	if own.Order.Revision != e.Order.Revision {
		return false
	}
	newer := e.Directive.isNewerThan(&own.Directive)
	if e.Directive.State == Running && (issuedAt.IsZero() || !newer && e.Directive.Sequence != own.Directive.Sequence) {
		return false
	}
	if !newer {
		if e.Directive.Term == own.Directive.Term && e.Directive.Sequence == own.Directive.Sequence && issuedAt.After(s.issuedAt) {
			s.issuedAt = issuedAt
		}
		return false
	}
	changed := own.Directive.State != e.Directive.State
	s.groupStale = s.groupStale || own.Directive.Servers != e.Directive.Servers
	own.Directive = e.Directive
	s.issuedAt = issuedAt
	if changed && e.Directive.State == Completed {
		s.stopped = make(map[string]bool)
		for name, v := range f.versions[e.Order.Service] {
			for id := range v.servers {
				if name != e.Order.To {
					s.stopped[id] = true
				}
			}
		}
	}
	return changed
}

// Entries returns what other daemons are told.
func (f *Follower) Entries(now time.Time) []Entry {
	if len(f.services) == 0 {
		return nil
	}
	list := make([]Entry, 0, len(f.services))
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		s := f.services[name]
		e := s.entry
		e.Age = -1
		if !s.issuedAt.IsZero() {
			e.Age = now.Sub(s.issuedAt)
		}
		list = append(list, e)
	}
	return list
}

// Order returns the newest order for a service and the state of its roll-out.
func (f *Follower) Order(service string) (Order, State, bool) {
	s, ok := f.services[service]
	if !ok {
		return Order{}, Running, false
	}
	return s.entry.Order, s.entry.Directive.State, true
}

// Heard returns the directive that this daemon applies to a service and when it was issued at
// the earliest; a term of 0 means that there is none.
func (f *Follower) Heard(service string) (Directive, time.Time) {
	s, ok := f.services[service]
	if !ok {
		return Directive{}, time.Time{}
	}
	return s.entry.Directive, s.issuedAt
}

// Orders returns the newest order for each service.
func (f *Follower) Orders() []Order {
	list := make([]Order, 0, len(f.services))
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		list = append(list, f.services[name].entry.Order)
	}
	return list
}

// IsSpare reports whether a server does not serve the load of its service: it has the version
// of an order that is not completed, or was stopped when one was.
func (f *Follower) IsSpare(server *fleet.Server) bool {
	s, ok := f.services[server.Service]
	if !ok {
		return false
	}
	return s.stopped[server.ID] || slices.Contains(s.denied(""), server.Version)
}

// SetTold applies the excess of bad answers that all daemons have counted, by service.
func (f *Follower) SetTold(told map[string]Excess) {
	if f.Enabled() {
		f.told = told
	}
}

// Started records that an attempt was sent to a server, and reports whether it is counted.
func (f *Follower) Started(now time.Time, id, route string, server *fleet.Server, expected time.Duration) bool {
	s, ok := f.services[server.Service]
	if !ok || s.entry.Directive.State != Running {
		return false
	}
	s.counts.Sent++
	if f.isValid(now, s) && !s.shifting(now) {
		// The bound counts what is sent: attempts that were refused a server add nothing.
		s.carry[route] = s.carryOf(route, f.random) + s.entry.Directive.shareOf(route)
	}
	a := &attempt{service: server.Service, order: s.entry.Order.Revision, route: route, version: server.Version, startedAt: now, expected: max(expected, minExpectedTime)}
	if server.Version == s.entry.Order.To {
		s.counts.SentNew++
		a.server = otherServers
		f.updateGroup(s)
		if slices.Contains(s.group, server.ID) {
			a.server = server.ID
		}
	}
	f.attempts[id] = a
	return true
}

// FirstPart records when the first part of an answer arrived.
func (f *Follower) FirstPart(now time.Time, id string) {
	if a, ok := f.attempts[id]; ok && a.took == 0 {
		a.took = now.Sub(a.startedAt)
	}
}

// Failed records that an attempt failed at its server. Excused is set if the failure says
// nothing about the server's version, as when the server has crashed.
func (f *Follower) Failed(id string, excused bool) {
	if a, ok := f.attempts[id]; ok {
		a.failed, a.excused = true, a.excused || excused
	}
}

// Finished records the end of an attempt. Answered is set for answers that say something about
// the version; callers that left and requests that did not run say nothing.
func (f *Follower) Finished(now time.Time, id string, answered bool) (Answer, bool) {
	a, ok := f.attempts[id]
	if !ok {
		return Answer{}, false
	}
	delete(f.attempts, id)
	s, ok := f.services[a.service]
	if !ok || !answered || a.excused || s.entry.Order.Revision != a.order {
		return Answer{}, false
	}
	answer := Answer{Service: a.service, Version: a.version, Failed: a.failed}
	c, ok := s.cells[cellKey{a.route, a.server}]
	if !ok {
		c = &Cell{Route: a.route, Server: a.server}
		s.cells[cellKey{a.route, a.server}] = c
	}
	c.Answered++
	if a.failed {
		c.Failed++
	} else {
		took := cmp.Or(a.took, now.Sub(a.startedAt))
		for i, factor := range slowFactors {
			if float64(took) >= factor*float64(a.expected) {
				c.Slow[i]++
				answer.Slow = answer.Slow || i == badSlowClass
			}
		}
	}
	if a.server != "" {
		s.updateOwnExcess()
	}
	return answer, true
}

// Answer is an answer that was counted.
type Answer struct {
	Service, Version string
	Failed, Slow     bool
}

// Result returns the name of the result in metrics.
func (a *Answer) Result() string {
	switch {
	case a.Failed:
		return "failed"
	case a.Slow:
		return "slow"
	}
	return "good"
}

// Share returns the fraction of the new requests that the version of an order gets now.
func (f *Follower) Share(now time.Time, name string) float64 {
	s, ok := f.services[name]
	switch {
	case !ok || s.entry.Directive.State == RolledBack:
		return 0
	case s.entry.Directive.State == Completed:
		return 1
	case !f.isValid(now, s):
		return 0
	case s.shifting(now):
		return 1
	}
	return s.entry.Directive.Share
}

// updateOwnExcess computes the excess of bad answers that this daemon has counted.
func (s *service) updateOwnExcess() {
	sum := newSum(s.entry.Order.Revision)
	sum.cells = s.cells
	s.ownExcess = sum.Excess()
}

// Counts returns what this daemon has counted, by service; nil if there are no orders.
func (f *Follower) Counts() map[string]Counts {
	if len(f.services) == 0 {
		return nil
	}
	all := make(map[string]Counts, len(f.services))
	for name, s := range f.services {
		if s.entry.Directive.State != Running {
			continue
		}
		c := s.counts
		c.Cells = make([]Cell, 0, len(s.cells))
		for _, cell := range s.cells {
			c.Cells = append(c.Cells, *cell)
		}
		all[name] = c
	}
	return all
}
