package edge

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/retry"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/contention"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/quota"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

const (
	// storeReturnGrace is the time that running servers need to write their
	// entries again after a store outage, plus the time of one read.
	storeReturnGrace = 2300 * time.Millisecond
	// retryBudgetFraction is the fraction of the shared retry budget that is
	// spent. The rest covers daemons that have not discovered one another yet,
	// and a request rate that falls after a burst of retries.
	retryBudgetFraction = 0.8
	// defaultRetryWindow applies if the settings contain no window. It equals the
	// window in the platform's example settings.
	defaultRetryWindow = 10 * time.Second
	// connectionFraction is the fraction of a server's connection limit that is
	// used.
	connectionFraction = 0.85
	// defaultMaxConnections is the connection limit for servers whose service
	// configures none.
	defaultMaxConnections = 64
)

// state holds the components that make the daemon's decisions. One lock protects
// all of them; each decision takes microseconds. It implements relay.Controller.
type state struct {
	settings    Settings
	incarnation uint64
	startedAt   time.Time
	pool        *backendconn.Pool

	mu        sync.Mutex
	catalog   *catalog.Catalog
	fleet     *fleet.Core
	placement *placement.Core
	quota     *quota.Core
	usage     *usage.Core
	peers     *mesh.Directory
	limits    *serverlimit.Core
	streams   *streamversion.Core
	// daemonsListed is set once this daemon has read the list of daemons.
	daemonsListed bool
	// endedRuns holds, by the listed runs in place of which others have answered, until when they
	// get no streams that may be taken up.
	endedRuns map[string]time.Time
	// callPeer sends a message about streams to a peer and returns its reply.
	callPeer func(ctx context.Context, address string, payload []byte) ([]byte, error)
	// versionStore holds the software versions in use, and versionsReadAt is when this
	// daemon last read them. versionsReading is held while it reads them, and acquired
	// before mu.
	versionStore   table.Store
	versionsReadAt time.Time
	// versionsReadComplete is set if they were complete then.
	versionsReadComplete bool
	versionsReading      semaphore
	// versionsReadFailedAt is when a read of them because of a stream that was taken up last
	// failed. It is guarded by versionsReading.
	versionsReadFailedAt time.Time
	records              recordsState
	// versionsWake wakes storeNewVersions when a server has joined.
	versionsWake   chan struct{}
	fleetMetrics   *fleetMetrics
	scalingMetrics *scalingMetrics
	limitMetrics   *limitMetrics
	streamMetrics  *streamMetrics
	quarantine     *quarantine.Manager
	forward        forwardState
	rollouts       rolloutState
	retryBudgets   map[string]*retry.Window
	storeUp        bool
	// serversReadAt is when the store last confirmed the view to this daemon, and
	// serversListedAt when this daemon last read all entries.
	serversReadAt   time.Time
	serversListedAt time.Time
	// peerConfirmedAt is when the store confirmed the most recent view of servers
	// received from a peer.
	peerConfirmedAt time.Time
	// viewDisputed is set if a neighbor has other servers and the next full list must
	// show which are right.
	viewDisputed bool
	// peerCatalogVersion is the newest configuration version in force at any
	// peer. catalogOutdatedSince is when this daemon learned that a newer version
	// than its own exists.
	peerCatalogVersion   int64
	catalogOutdatedSince time.Time
	// compressed caches the compressed source of the configuration in force after
	// it is first sent to a peer.
	compressed []byte
	// catalogLag holds the neighbors with an older configuration, by node.
	catalogLag map[string]catalogLag
	stopping   bool
	// membersUpdatedAt is when the senders to servers with a request limit were last
	// chosen.
	membersUpdatedAt time.Time
	digests          digestState
	grants           grantState
	contention       contentionState
	// sequence is the sequence number of this daemon's last record.
	sequence uint64
	// exchangeWake wakes exchangeLoop before its next tick.
	exchangeWake chan struct{}
}

func newState(settings Settings, pool *backendconn.Pool) *state {
	now := bootNow()
	incarnation := uint64(time.Now().UnixNano())
	s := &state{
		settings:    settings,
		incarnation: incarnation,
		startedAt:   now,
		pool:        pool,
		fleet:       fleet.New(fleet.Options{StoreReturnGrace: storeReturnGrace, Run: incarnation}),
		placement:   placement.NewCore(placement.Options{Seed: incarnation}),
		quota:       quota.New(now, quota.Options{Window: settings.QuotaWindow, Overage: settings.QuotaOverage, Slack: settings.QuotaSlack}),
		usage:       usage.New(settings.UsageWindow),
		peers: mesh.NewDirectory(settings.Node, incarnation, settings.Cores, mesh.Options{Interval: exchangeInterval, LeafInterval: leafInterval,
			PeerExpiry: peerExpiry, FullMeshLimit: fullMeshLimit, HubCount: hubCount, DaemonsPerHub: daemonsPerHub, MemberMaxAge: toldMemberMaxAge}),
		grants:         newGrantState(),
		contention:     newContentionState(),
		digests:        digestState{log: mesh.NewDigestLog(incarnation)},
		limits:         serverlimit.New(time.Now(), settings.Node, incarnation),
		endedRuns:      make(map[string]time.Time),
		streams:        streamversion.New(settings.Node, settings.AvailabilityZone, incarnation),
		fleetMetrics:   newFleetMetrics(),
		scalingMetrics: newScalingMetrics(),
		limitMetrics:   newLimitMetrics(),
		streamMetrics:  newStreamMetrics(),
		retryBudgets:   make(map[string]*retry.Window),
		catalogLag:     make(map[string]catalogLag),
		exchangeWake:   make(chan struct{}, 1),
		versionsWake:   make(chan struct{}, 1),
		records:        newRecordsState(settings.Node, incarnation),
		forward:        newForwardState(incarnation),
		rollouts:       newRolloutState(settings.Rollout, incarnation),

		versionsReading: newSemaphore(),
	}
	s.streams.SetCores(settings.Cores)
	s.usage.Started(settings.Node, incarnation)
	return s
}

// Catalog returns the configuration in force, or nil if there is none.
func (s *state) Catalog() *catalog.Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog
}

// isNewerCatalog reports whether a configuration version is newer than the one
// in force.
func (s *state) isNewerCatalog(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog == nil || version > s.catalog.Version
}

// recordPeerCatalogVersion records the configuration version in force at a peer.
func (s *state) recordPeerCatalogVersion(now time.Time, version int64) {
	if s.catalog == nil || version <= s.peerCatalogVersion {
		return
	}
	if s.peerCatalogVersion <= s.catalog.Version {
		s.catalogOutdatedSince = now
	}
	s.peerCatalogVersion = version
}

// catalogOverdue reports whether a configuration announced by a peer has not
// been received within catalogDeliveryTimeout.
func (s *state) catalogOverdue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog != nil && s.peerCatalogVersion > s.catalog.Version && now.Sub(s.catalogOutdatedSince) >= catalogDeliveryTimeout
}

// activateCatalog puts a configuration in force unless it is nil or not newer
// than the current one.
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
	s.contention.core.Configure(contentionPolicies(c))
	s.streams.SetStreamAge(bootNow(), streamAge(c))
	s.streams.SetRoutes(bootNow(), routesOfStreams(c))
	s.wakeStoreNewVersions()
	for name, service := range c.Services {
		if service.Engine != nil {
			s.placement.SetEngine(name, service.Engine.Slots, service.Engine.KVCapacityTokens)
		}
	}
	klog.InfoS("configuration in force", "version", c.Version, "before", before, "source", source,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	s.wakeExchange()
}

// wakeExchange makes all exchanges with peers due immediately.
func (s *state) wakeExchange() {
	s.peers.MakeExchangesDue(bootNow())
	select {
	case s.exchangeWake <- struct{}{}:
	default:
	}
}

// applyServerEvents logs server changes and applies them to the placement and
// the connection pool. Peers are told at once that servers are leaving or gone.
func (s *state) applyServerEvents(events []fleet.Event, source string) {
	tell := false
	for i := range events {
		e := &events[i]
		tell = tell || e.Change != fleet.ServerJoined
		s.fleetMetrics.changes.WithLabelValues(e.Change.String(), changeSource(source)).Inc()
		klog.InfoS("server", "server", e.Server.ID, "change", e.Change.String(), "service", e.Server.Service,
			"address", e.Server.Address, "version", e.Server.Version, "zone", e.Server.AvailabilityZone, "reclaimable", e.Server.Reclaimable,
			"leavesInMs", e.Server.LeavesIn.Milliseconds(), "fleetVersion", s.fleet.Version(), "fleetAgeMs", s.fleetAge().Milliseconds(), "source", source)
		s.placement.Handle(*e)
		s.streams.HandleServer(bootNow(), e)
		s.rollouts.follower.HandleServer(bootNow(), e, s.fleet.NewestVersion())
		s.reportServerChange(e, i+1 < len(events) && events[i+1].Server.ID == e.Server.ID)
		if e.Change == fleet.ServerJoined {
			s.forward.reach.Joined(e.Server.Service)
			s.wakeStoreNewVersions()
		} else {
			s.forward.reach.Left(e.Server.Service, e.Server.ID)
		}
		if e.Change != fleet.ServerJoined {
			s.pool.CloseIdle(e.Server.ID)
		}
		if e.Change == fleet.ServerGone {
			s.limits.Removed(time.Now(), e.Server.RunID())
		} else {
			s.limits.Listed(time.Now(), e.Server.RunID())
		}
	}
	if tell {
		s.wakeExchange()
	}
}

// Refund returns the cost of a request that did not run to the account.
func (s *state) Refund(account string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Return(bootNow(), account, cost)
}

// Place selects a server for a request.
func (s *state) Place(q *placement.Query) (placement.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.Zone = s.settings.AvailabilityZone
	if s.limits.Active() > 0 {
		q.MayUse = s.mayUseFrom(q.Forwarded)
	}
	if q.Resumable {
		s.sendToAnsweringRuns(q)
	}
	if q.Resumable && !q.OnlyVersion {
		s.beginAtStoredVersions(q)
	}
	q.Favoured = s.contention.core.Favours(q.Service, q.Rank)
	d, err := s.pick(q)
	if refused := s.askAdmission(bootNow(), q, &d, err); refused != nil {
		err = refused
	}
	if err == nil {
		if d.Sender = s.senderOf(&d.Server); d.Sender == "" {
			s.usePermit(&d)
		}
	}
	d.FleetVersion, d.FleetAge = s.fleet.Version(), s.fleetAge()
	var refused *placement.RefusedError
	var beyondShare *contention.RefusedError
	if errors.As(err, &refused) || errors.As(err, &beyondShare) {
		s.placement.RefusedForRoom(time.Now(), q)
	}
	if refused != nil && refused.Reason == placement.RefusedNoServer && s.limits.Active() > 0 {
		refused.RetryAfter = cmp.Or(s.pauseLeft(q.Service), refused.RetryAfter)
	}
	return d, err
}

// Accepts reports whether a selected server still accepts requests: it may have begun to leave
// or asked for a pause since.
func (s *state) Accepts(server *fleet.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placement.Accepts(server) && !s.limits.IsPaused(time.Now(), server.RunID())
}

// Started records the start of an attempt at a server.
func (s *state) Started(attempt string, d *placement.Decision, q *placement.Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Started(time.Now(), attempt, d, q)
	// A slow version must not be compared with what its own servers are expected to take, nor
	// with how late it makes the answers of the service.
	expected := time.Duration(float64(d.UncorrectedWait) / max(d.Slowness, 1))
	if s.rollouts.follower.Started(bootNow(), attempt, q.Route, &d.Server, expected) {
		s.rollouts.metrics.requests.WithLabelValues(d.Server.Service, d.Server.Version).Inc()
	}
}

// FirstEvent records the arrival of the first part of a response.
func (s *state) FirstEvent(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeWait(time.Now(), attempt)
	s.placement.FirstEvent(time.Now(), attempt)
	s.rollouts.follower.FirstPart(bootNow(), attempt)
}

// Finished records the end of an attempt.
func (s *state) Finished(attempt string, result placement.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Finished(time.Now(), attempt, result)
	s.finishedVersion(attempt, result)
}

// Alive records that a server sent data.
func (s *state) Alive(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Alive(time.Now(), server)
}

// SilentFor returns the time since a server last sent data to this daemon.
func (s *state) SilentFor(server string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placement.SilentFor(time.Now(), server)
}

// Misdirected stops placements on a server whose address now belongs to another
// server.
func (s *state) Misdirected(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.Misdirected(server)
	klog.InfoS("address belongs to another server", "server", server)
}

// Began counts a request that started to run towards the usage of its account.
func (s *state) Began(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Began(s.clusterTime(), account)
}

// clusterTime returns the median of the wall clocks of this daemon and its
// neighbors.
func (s *state) clusterTime() time.Time {
	now := bootNow()
	return now.Add(s.peers.MedianWallOffset(now, time.Now().Round(0).Sub(now)))
}

// Arrived counts a request towards the retry budget of its service.
func (s *state) Arrived(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).RecordRequest(bootNow())
}

// SpendRetry takes one retry from the budget of a service. It returns false if the
// budget is exhausted.
func (s *state) SpendRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.retryBudget(service).TrySpend(bootNow(), s.retrySlack())
	if !ok {
		klog.InfoS("retry budget spent", "service", service, "slack", s.retrySlack(), "daemons", s.peers.Size())
	}
	return ok
}

// CanRetry reports whether the retry budget of a service allows another retry
// now.
func (s *state) CanRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Remaining(bootNow(), s.retrySlack()) >= 1
}

// retryBudget returns the window that counts this daemon's requests and retries
// for a service. Each of its own requests adds to the budget; its equal share of
// the slack is added when a retry is spent.
func (s *state) retryBudget(service string) *retry.Window {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = retry.NewWindow(retry.WindowOptions{
			Length: cmp.Or(s.settings.RetryWindow, defaultRetryWindow), Ratio: retryBudgetFraction * s.settings.RetryRatio,
			ProcessStart: s.startedAt,
		})
		s.retryBudgets[service] = b
	}
	return b
}

// retrySlack returns this daemon's share of the retries that are allowed
// regardless of the number of requests.
func (s *state) retrySlack() float64 {
	return retryBudgetFraction * s.settings.RetrySlack / float64(max(s.peers.Size(), minDaemons))
}

// minDaemons is the minimum number of daemons among which the retry slack is
// divided, as not all daemons may be known yet.
const minDaemons = 4

// ConnectionLimit returns the maximum number of connections that this daemon may
// open to a server of a service.
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
	// Requests are not spread evenly over the daemons: up to half of the daemons
	// may be idle.
	return max(int(connectionFraction*float64(limit))/max(daemons/2, 1), 1)
}

// logSummary logs a summary of the daemon's state as context for the analysis of
// later failures.
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
