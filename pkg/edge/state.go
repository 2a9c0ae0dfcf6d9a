package edge

import (
	"cmp"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/retry"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/quota"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

const (
	// storeReturnGrace is how long after the store's return living servers take to
	// write their entries again, with the time of one read added.
	storeReturnGrace = 2300 * time.Millisecond
	// retryBudgetFraction is the part of the shared retry budget that is spent; the
	// rest covers daemons that do not know of one another yet, and requests
	// that become fewer after a burst of repeats.
	retryBudgetFraction = 0.8
	// defaultRetryWindow is used when the settings name no window: the
	// platform's example has 10 s.
	defaultRetryWindow = 10 * time.Second
	// crashesBeforeQuarantine is how many servers a request may crash before it is
	// refused everywhere.
	crashesBeforeQuarantine = 2
	// connectionFraction is the part of a server's connections that is used.
	connectionFraction = 0.85
	// defaultMaxConnections bounds the connections to a server whose service
	// states no limit.
	defaultMaxConnections = 64
)

// state holds the cores of the daemon under one lock; each decision takes
// microseconds. It is the desk of the relay.
type state struct {
	settings    Settings
	incarnation uint64
	pool        *backendconn.Pool

	mu           sync.Mutex
	catalog      *catalog.Catalog
	fleet        *fleet.Core
	placement    *placement.Core
	quota        *quota.Core
	usage        *usage.Core
	peers        *mesh.Directory
	quarantine   *quarantine.Core
	retryBudgets map[string]*retry.Window
	storeUp      bool
	// serversReadAt is when the store last told of servers.
	serversReadAt time.Time
	// peerConfirmedAt is when the store confirmed the newest view that a peer
	// has told of.
	peerConfirmedAt time.Time
	// peerCatalogVersion is the newest configuration that a peer has in force, and
	// catalogOutdatedSince is since when a newer one than the own has been known.
	peerCatalogVersion   int64
	catalogOutdatedSince time.Time
	// packed is the source of the configuration in force as peers are sent it,
	// once one was.
	compressed []byte
	// behind are the neighbors that have an older configuration.
	catalogLag map[string]catalogLag
	stopping   bool
	// told are the daemons that are to hear of news at once.
	urgentPeers []mesh.Peer
	// sequence counts the records that this daemon has stated.
	sequence uint64
	// urgent wakes the exchange of messages.
	exchangeWake chan struct{}
}

func newState(settings Settings, pool *backendconn.Pool) *state {
	now := bootNow()
	incarnation := uint64(time.Now().UnixNano())
	options := quarantine.DefaultOptions()
	options.Crashes = crashesBeforeQuarantine
	return &state{
		settings:    settings,
		incarnation: incarnation,
		pool:        pool,
		fleet:       fleet.New(fleet.Options{StoreReturnGrace: storeReturnGrace}),
		placement:   placement.NewCore(placement.Options{Seed: incarnation}),
		quota:       quota.New(now, quota.Options{Window: settings.QuotaWindow, Overage: settings.QuotaOverage, Slack: settings.QuotaSlack}),
		usage:       usage.New(settings.UsageWindow),
		peers: mesh.NewDirectory(settings.Node, settings.Cores, mesh.Options{Interval: exchangeInterval, LeafInterval: leafInterval,
			PeerExpiry: peerExpiry, FullMeshLimit: fullMeshLimit, HubCount: hubCount}),
		quarantine:   quarantine.New(options),
		retryBudgets: make(map[string]*retry.Window),
		catalogLag:   make(map[string]catalogLag),
		exchangeWake: make(chan struct{}, 1),
	}
}

// Catalog returns the configuration in force, or nil.
func (s *state) Catalog() *catalog.Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog
}

// lacks reports whether a version is newer than the one in force.
func (s *state) isNewerCatalog(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog == nil || version > s.catalog.Version
}

// recordPeerCatalogVersion takes the version of a peer's configuration.
func (s *state) recordPeerCatalogVersion(now time.Time, version int64) {
	if s.catalog == nil || version <= s.peerCatalogVersion {
		return
	}
	if s.peerCatalogVersion <= s.catalog.Version {
		s.catalogOutdatedSince = now
	}
	s.peerCatalogVersion = version
}

// catalogOverdue reports whether a configuration that a peer has told of has not
// come in time.
func (s *state) catalogOverdue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog != nil && s.peerCatalogVersion > s.catalog.Version && now.Sub(s.catalogOutdatedSince) >= catalogDeliveryTimeout
}

// activateCatalog takes a configuration unless it is older than the one in force.
func (s *state) activateCatalog(c *catalog.Catalog, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil || s.catalog != nil && c.Version <= s.catalog.Version {
		return
	}
	before := int64(0)
	if s.catalog != nil {
		before = s.catalog.Version
	}
	s.catalog = c
	s.catalogOutdatedSince = bootNow()
	s.compressed = nil
	limits := make(map[string]quota.Limit, len(c.Accounts))
	for _, a := range c.Accounts {
		limits[a.Name] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	s.quota.SetLimits(bootNow(), limits)
	for name, service := range c.Services {
		if service.Engine != nil {
			s.placement.SetEngine(name, service.Engine.Slots, service.Engine.KVCapacityTokens)
		}
	}
	klog.InfoS("configuration in force", "version", c.Version, "before", before, "source", source,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	s.wakeExchange()
}

func (s *state) wakeExchange() {
	s.urgentPeers = append(s.urgentPeers, s.peers.MakeExchangesDue(bootNow())...)
	select {
	case s.exchangeWake <- struct{}{}:
	default:
	}
}

// follow takes changes of servers.
func (s *state) applyServerEvents(events []fleet.Event, source string) {
	for _, e := range events {
		klog.InfoS("server", "server", e.Server.ID, "change", e.Change.String(), "service", e.Server.Service,
			"address", e.Server.Address, "zone", e.Server.AvailabilityZone, "reclaimable", e.Server.Reclaimable,
			"leavesInMs", e.Server.LeavesIn.Milliseconds(), "fleetVersion", s.fleet.Version(), "source", source)
		s.placement.Handle(e)
		if e.Change != fleet.ServerJoined {
			s.pool.Forget(e.Server.ID)
		}
	}
}

// Charge charges an account.
func (s *state) Charge(account string, cost float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	after, ok := s.quota.Take(now, account, cost)
	if !ok {
		klog.InfoS("usage limit", "account", account, "cost", cost, "level", s.quota.Level(now, account), "retryAfterMs", after.Milliseconds())
	}
	return after, ok
}

// Refund gives back the cost of a request that did not run.
func (s *state) Refund(account string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Return(bootNow(), account, cost)
}

// Place chooses a server.
func (s *state) Place(q *placement.Query) (placement.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.Zone = s.settings.AvailabilityZone
	d, err := s.placement.Pick(time.Now(), q)
	d.FleetVersion, d.FleetAge = s.fleet.Version(), s.fleetAge()
	return d, err
}

// Started records an attempt.
func (s *state) Started(attempt string, d *placement.Decision, q *placement.Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Started(time.Now(), attempt, d, q)
}

// FirstEvent records the first part of an answer.
func (s *state) FirstEvent(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.FirstEvent(time.Now(), attempt)
}

// Finished records the end of an attempt.
func (s *state) Finished(attempt string, result placement.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Finished(time.Now(), attempt, result)
}

// Alive records that a server sent something.
func (s *state) Alive(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Alive(time.Now(), server)
}

// SilentFor tells since when a server has sent nothing to this daemon.
func (s *state) SilentFor(server string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placement.SilentFor(time.Now(), server)
}

// Misdirected stops work for a server whose address belongs to another one.
func (s *state) Misdirected(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Misdirected(server)
	klog.InfoS("address belongs to another server", "server", server)
}

// Began counts a request that began to run.
func (s *state) Began(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Began(s.clusterTime(), account)
}

// clusterTime is the time of day that most daemons agree on.
func (s *state) clusterTime() time.Time {
	now := bootNow()
	return now.Add(s.peers.MedianWallOffset(now, time.Now().Round(0).Sub(now)))
}

// Arrived counts a request towards the retry budget of its service.
func (s *state) Arrived(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).Arrived(bootNow())
}

// Retry spends one retry of a service.
func (s *state) Retry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.retryBudget(service).Spend(bootNow(), s.retrySlack())
	if !ok {
		klog.InfoS("retry budget spent", "service", service, "slack", s.retrySlack(), "daemons", s.peers.Size())
	}
	return ok
}

// RetryLeft reports whether a retry of a service could be spent now.
func (s *state) RetryLeft(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Left(bootNow(), s.retrySlack()) >= 1
}

// budget is this daemon's part of a service's retries: what its own requests
// earn, beside an equal share of the slack.
func (s *state) retryBudget(service string) *retry.Window {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = retry.NewWindow(retry.WindowOptions{
			Length: cmp.Or(s.settings.RetryWindow, defaultRetryWindow), Ratio: retryBudgetFraction * s.settings.RetryRatio,
		})
		s.retryBudgets[service] = b
	}
	return b
}

// retrySlack is this daemon's share of the repeats that need no requests.
func (s *state) retrySlack() float64 {
	return retryBudgetFraction * s.settings.RetrySlack / float64(max(s.peers.Size(), minDaemons))
}

// minDaemons is the least number of daemons that shares are taken for, while
// not all of them are known.
const minDaemons = 4

// ConnectionLimit is how many connections this daemon may have to a server.
func (s *state) ConnectionLimit(_, service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := defaultMaxConnections
	if s.catalog != nil {
		if c, ok := s.catalog.Services[service]; ok && c.MaxConnections > 0 {
			limit = c.MaxConnections
		}
	}
	daemons := s.peers.Size()
	// Requests are not spread evenly over daemons; half of them may be idle.
	return max(int(connectionFraction*float64(limit))/max(daemons/2, 1), 1)
}

// Verdict tells whether a request may run.
func (s *state) Verdict(f quarantine.Fingerprint) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Check(time.Now(), f)
}

// Crashed records that a server broke off while it ran a request.
func (s *state) Crashed(f quarantine.Fingerprint, server string, advanced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, quarantined := s.quarantine.Crashed(time.Now(), f, server, advanced)
	if quarantined {
		klog.InfoS("request quarantined", "fingerprint", string(f), "servers", entry.Servers)
		s.wakeExchange()
	}
}

// Cleared forgets suspicions against a request that ran to its end.
func (s *state) Cleared(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, suspected := s.quarantine.Entry(f); suspected {
		s.quarantine.Succeeded(time.Now(), f)
	}
}

// summarize logs what this daemon knows, so that a later failure can be read
// against it.
func (s *state) logSummary(active int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	version := int64(0)
	if s.catalog != nil {
		version = s.catalog.Version
	}
	klog.InfoS("summary", "active", active, "configuration", version, "servers", len(s.fleet.Servers()),
		"fleetVersion", s.fleet.Version(), "fleetAgeMs", s.fleetAge().Milliseconds(), "storeAnswers", s.storeUp,
		"daemons", s.peers.Size(), "hub", s.peers.IsHub(now), "peersAgeMs", s.peers.MaxStaleness().Milliseconds())
}
