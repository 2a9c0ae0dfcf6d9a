package edge

import (
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/contention"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

const (
	// backlogShare is the mean time that requests may wait at the servers of a contended
	// service, as a fraction of the mean latency target of its routes.
	backlogShare = 0.45
	// levelsMaxAge is how long the limits of a hub are used without a further digest.
	levelsMaxAge = 3 * time.Second
	// loggedChange is the change of a rank's limit, in thousandths, from which on it is logged
	// again.
	loggedChange = 200
	// maxAccountLabels is the number of accounts with metrics of their own. The metrics of
	// further ones are summed under otherAccounts.
	maxAccountLabels = 100
	otherAccounts    = "(other)"
)

// Results of asking for admission, and the reasons of refusals, in metrics.
const (
	admissionAdmitted = "admitted"
	admissionShare    = "refused: share"
)

// contentionState is what the daemon needs to divide services that are contended.
type contentionState struct {
	core *contention.Core
	// logged holds the limits in force that were last logged, in thousandths, by service and
	// rank.
	logged   map[string]map[int]int
	accounts map[string]bool
	metrics  contentionMetrics
	// groupMetrics holds the metrics of each group that has asked. There is a bounded number of
	// account labels.
	groupMetrics map[groupLabels]*groupMetrics
}

// groupLabels are the labels of the metrics of a rank and account of a service.
type groupLabels struct {
	service string
	rank    int
	account string
}

type groupMetrics struct {
	requests   *prometheus.CounterVec
	byResult   map[string]prometheus.Counter
	serverTime prometheus.Counter
	limit      prometheus.Gauge
}

// metricsOf returns the metrics of a group, which are looked up by labels only once.
func (c *contentionState) metricsOf(labels groupLabels) *groupMetrics {
	m, ok := c.groupMetrics[labels]
	if !ok {
		rank := strconv.Itoa(labels.rank)
		m = &groupMetrics{requests: c.metrics.requests.MustCurryWith(prometheus.Labels{"service": labels.service, "rank": rank, "account": labels.account}),
			byResult:   make(map[string]prometheus.Counter),
			serverTime: c.metrics.serverTime.WithLabelValues(labels.service, rank, labels.account),
			limit:      c.metrics.limit.WithLabelValues(labels.service, rank, labels.account)}
		c.groupMetrics[labels] = m
	}
	return m
}

// result returns the counter of the requests with a result.
func (m *groupMetrics) result(result string) prometheus.Counter {
	counter, ok := m.byResult[result]
	if !ok {
		counter = m.requests.WithLabelValues(result)
		m.byResult[result] = counter
	}
	return counter
}

type contentionMetrics struct {
	requests   *prometheus.CounterVec
	serverTime *prometheus.CounterVec
	limit      *prometheus.GaugeVec
	scale      *prometheus.GaugeVec
	waitRatio  *prometheus.HistogramVec
}

func newContentionState() contentionState {
	group := []string{"service", "rank", "account"}
	return contentionState{core: contention.New(), logged: make(map[string]map[int]int), accounts: make(map[string]bool), groupMetrics: make(map[groupLabels]*groupMetrics), metrics: contentionMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_contention_requests_total",
			Help: "Requests that asked for a service, by rank, account and result."}, append(group[:3:3], "result")),
		serverTime: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_contention_asked_server_seconds_total",
			Help: "Server time that requests asked for, by rank and account."}, group),
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "monsooncrank_contention_limit_ratio",
			Help: "Fraction of the requests of a rank and account that is admitted, as of the last request."}, group),
		scale: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "monsooncrank_contention_capacity_ratio",
			Help: "Learned ratio of what the servers of a service can do to what their speeds state."}, []string{"service"}),
		waitRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "monsooncrank_wait_measured_to_expected_ratio",
			Help: "Time to the first event divided by the wait that was expected, by service.", Buckets: prometheus.ExponentialBuckets(1.0/16, 2, 9)}, []string{"service"}),
	}}
}

func (m *contentionMetrics) register(registry prometheus.Registerer) {
	registry.MustRegister(m.requests, m.serverTime, m.limit, m.scale, m.waitRatio)
}

// accountLabel returns the label of an account in metrics.
func (c *contentionState) accountLabel(account string) string {
	if c.accounts[account] {
		return account
	}
	if len(c.accounts) < maxAccountLabels {
		c.accounts[account] = true
		return account
	}
	return otherAccounts
}

// contentionPolicies returns which services are divided: those whose routes have latency
// targets, if accounts or ranks compete for them.
func contentionPolicies(c *catalog.Catalog) (policies map[string]contention.Policy, weights map[string]float64) {
	type routes struct {
		targets time.Duration
		n       int
		ranks   map[int]bool
	}
	byService := make(map[string]*routes)
	for _, r := range c.Routes {
		for _, split := range r.Split {
			if split.Weight <= 0 || r.LatencyTarget <= 0 {
				continue
			}
			s, ok := byService[split.Service]
			if !ok {
				s = &routes{ranks: make(map[int]bool)}
				byService[split.Service] = s
			}
			s.targets += r.LatencyTarget
			s.n++
			s.ranks[r.Priority] = true
		}
	}
	policies, weights = make(map[string]contention.Policy), make(map[string]float64)
	for name, s := range byService {
		if len(s.ranks) > 1 || len(c.Accounts) > 1 {
			policies[name] = contention.Policy{TargetBacklog: time.Duration(backlogShare * float64(s.targets) / float64(s.n))}
		}
	}
	for _, a := range c.Accounts {
		if a.Rate > 0 {
			weights[a.Name] = a.Rate
		}
	}
	return policies, weights
}

// askAdmission decides whether a request may have a part of its service, given the server
// that placement has selected or its refusal. Further attempts and requests that another daemon
// has forwarded have been admitted before.
func (s *state) askAdmission(now time.Time, q *placement.Query, d *placement.Decision, refusal error) error {
	if q.Forwarded || len(q.Exclude) > 0 {
		return nil
	}
	cached := d.CachedTokens
	var refused *placement.RefusedError
	if errors.As(refusal, &refused) {
		cached = refused.CachedTokens
	}
	cost := s.placement.ServerTime(time.Now(), q, cached)
	c := &s.contention
	verdict := c.core.Ask(now, s.clusterTime, &contention.Request{Service: q.Service, Rank: q.Rank, Account: q.Account, Caller: q.Caller,
		ServerTime: cost, Continues: q.AlreadyStarted, Unplaced: refusal != nil})
	result := admissionAdmitted
	switch {
	case refused != nil:
		result = "refused: " + string(refused.Reason)
	case !verdict.Admitted:
		result = admissionShare
	}
	m := c.metricsOf(groupLabels{q.Service, q.Rank, c.accountLabel(q.Account)})
	m.result(result).Inc()
	m.serverTime.Add(cost.Seconds())
	m.limit.Set(verdict.Fraction)
	if verdict.Admitted || refusal != nil {
		return nil
	}
	return &contention.RefusedError{Service: q.Service, Rank: q.Rank, Account: q.Account, Fraction: verdict.Fraction, RetryAfter: verdict.RetryAfter}
}

// updateContention determines the limits of contended services if this daemon knows the demand
// of all, or hears of no other one. In the latter case it divides its equal portion.
func (s *state) updateContention(now time.Time) {
	core := s.contention.core
	if s.peers.OldestFormat(now) < mesh.FormatDemands {
		core.Lift()
		return
	}
	isolated := s.peers.Isolated(now)
	if !isolated && s.usesAdoptedLevels(now) {
		s.logLevels()
		return
	}
	daemons := 1
	if isolated || !s.peers.Collects() {
		if now.Sub(s.startedAt) < levelsMaxAge {
			// It has not had the time to hear of the others.
			return
		}
		daemons = s.peers.Size()
	}
	for _, service := range core.Services() {
		if !core.Due(now, service) {
			continue
		}
		capacity := s.placement.Capacity(time.Now(), service)
		core.Update(now, service, contention.Supply{ServerTimePerSecond: capacity.ServerTimePerSecond / time.Duration(daemons),
			Backlog: s.placement.Backlog(time.Now(), service, core.MaxBacklog(service))})
	}
	s.logLevels()
}

// usesAdoptedLevels reports whether the limits of a hub are in force: on a leaf, and on one that
// has become a hub until the demand of all daemons has arrived.
func (s *state) usesAdoptedLevels(now time.Time) bool {
	return (!s.peers.Collects() || s.placement.SummaryInUse()) && s.contention.core.AdoptedFor(now) < levelsMaxAge
}

// knowsLevels reports whether this daemon knows the limits that the demand of all daemons calls
// for. A hub that has just started does not: it would lift those of its leaves.
func (s *state) knowsLevels(now time.Time) bool {
	since := s.digests.collectingSince
	return s.usesAdoptedLevels(now) || s.peers.Collects() && !since.IsZero() && now.Sub(since) >= collectTime
}

// logLevels logs the limits that have changed much since they were last logged.
func (s *state) logLevels() {
	c := &s.contention
	for _, service := range c.core.Services() {
		ranks, scale := c.core.Limits(service)
		c.metrics.scale.WithLabelValues(service).Set(scale)
		logged := c.logged[service]
		if logged == nil {
			logged = make(map[int]int)
			c.logged[service] = logged
		}
		for rank, l := range ranks {
			if before, ok := logged[rank]; ok && max(before-l.PerMille, l.PerMille-before) < loggedChange {
				continue
			}
			logged[rank] = l.PerMille
			klog.InfoS("service contended", "service", service, "rank", rank, "admittedPerMille", l.PerMille, "accounts", l.Accounts,
				"capacityRatio", scale, "servers", s.placement.Capacity(time.Now(), service).Servers)
		}
		for rank := range logged {
			if _, limited := ranks[rank]; !limited {
				delete(logged, rank)
				klog.InfoS("rank no longer limited", "service", service, "rank", rank, "capacityRatio", scale)
			}
		}
	}
}

// observeWait records the ratio of the measured to the expected wait of an attempt whose first
// event has arrived.
func (s *state) observeWait(now time.Time, attempt string) {
	if service, expected, waited, ok := s.placement.ExpectedOf(now, attempt); ok && expected > 0 {
		s.contention.metrics.waitRatio.WithLabelValues(service).Observe(float64(waited) / float64(expected))
	}
}
