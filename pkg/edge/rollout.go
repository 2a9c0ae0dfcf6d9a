package edge

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/rollout"
)

const (
	// rolloutCheckInterval is how often a daemon checks what it lacks of roll-outs.
	rolloutCheckInterval = 200 * time.Millisecond
	// outcomeReadInterval is the least time between two reads of stored outcomes by a daemon
	// that has heard of no decider.
	outcomeReadInterval = time.Second
)

// rolloutState is what a daemon knows of roll-outs.
type rolloutState struct {
	follower *rollout.Follower
	// totals sums what all daemons have counted, at daemons that receive all records.
	totals *rollout.Totals
	// seenAt is when this daemon first saw the order of each service.
	seenAt  map[string]orderSeen
	metrics *rolloutMetrics
}

// orderSeen is when an order was first seen.
type orderSeen struct {
	revision table.Version
	at       time.Time
}

func newRolloutState(bounds rollout.Bounds, seed uint64) rolloutState {
	return rolloutState{follower: rollout.NewFollower(bounds, seed), totals: rollout.NewTotals(), seenAt: make(map[string]orderSeen),
		metrics: newRolloutMetrics()}
}

// rolloutMetrics shows what each version gets.
type rolloutMetrics struct {
	requests *prometheus.CounterVec
	answers  *prometheus.CounterVec
	share    *prometheus.GaugeVec
	state    *prometheus.GaugeVec
}

func newRolloutMetrics() *rolloutMetrics {
	return &rolloutMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_rollout_attempts_total",
			Help: "Attempts of this daemon at servers of a service with a roll-out, by software version."}, []string{"service", "version"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_rollout_answers_total",
			Help: "Answers to this daemon from servers of a service with a roll-out, by software version and result."}, []string{"service", "version", "result"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "monsooncrank_rollout_share",
			Help: "Fraction of the new requests that the version of a roll-out is to get."}, []string{"service", "version"}),
		state: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "monsooncrank_rollout_state",
			Help: "State of the roll-out of a version: 0 running, 1 completed, 2 rolled back."}, []string{"service", "version"}),
	}
}

func (m *rolloutMetrics) register(registry prometheus.Registerer) {
	registry.MustRegister(m.requests, m.answers, m.share, m.state)
}

// pick selects a server for a request among those whose versions may run it.
func (s *state) pick(q *placement.Query) (placement.Decision, error) {
	follower := s.rollouts.follower
	if !follower.Enabled() {
		return s.placement.Pick(time.Now(), q)
	}
	c := follower.Choose(bootNow(), q.Service, q.Route, len(q.Exclude) > 0 || q.Forwarded, q.OnlyVersion)
	limits := q.MayUse
	if c.Stopped != nil {
		q.MayUse = mayUseBoth(limits, func(server *fleet.Server) bool { return !c.Stopped[server.ID] })
	}
	if c.Only != "" {
		only := *q
		only.OnlyVersion, only.Version = true, c.Only
		if c.InGroup != nil {
			only.MayUse = mayUseBoth(q.MayUse, c.InGroup)
		}
		if d, err := s.placement.Pick(time.Now(), &only); err == nil {
			return d, nil
		}
		// The servers of that version have no room.
		c.Denied = append(slices.Clip(c.Denied), c.Only)
	}
	q.DeniedVersions = append(slices.Clip(c.Denied), c.Undecided...)
	d, err := s.placement.Pick(time.Now(), q)
	if err != nil && len(c.Undecided) > 0 && !s.hasServer(q) {
		q.DeniedVersions = c.Denied
		d, err = s.placement.Pick(time.Now(), q)
	}
	return d, err
}

// hasServer reports whether a service has a server of a version that may run a request.
func (s *state) hasServer(q *placement.Query) bool {
	for _, server := range s.serversOf(q.Service) {
		if !server.Leaving && !slices.Contains(q.DeniedVersions, server.Version) {
			return true
		}
	}
	return false
}

// mayUseBoth returns a condition on servers that includes another one, which may be nil.
func mayUseBoth(limits func(*fleet.Server, int) bool, also func(*fleet.Server) bool) func(*fleet.Server, int) bool {
	return func(server *fleet.Server, running int) bool {
		return also(server) && (limits == nil || limits(server, running))
	}
}

// Failed records that an attempt was answered with a server error or broke off.
func (s *state) Failed(attempt string, excused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollouts.follower.Failed(attempt, excused)
}

// finishedVersion counts the end of an attempt for or against the version of its server.
func (s *state) finishedVersion(attempt string, result placement.Result) {
	said := result == placement.ResultAnswered || result == placement.ResultFailed
	if a, counted := s.rollouts.follower.Finished(bootNow(), attempt, said); counted {
		s.rollouts.metrics.answers.WithLabelValues(a.Service, a.Version, a.Result()).Inc()
	}
}

// rolloutExcess returns the excess of bad answers of all daemons for a digest.
func (s *state) rolloutExcess() map[string]rollout.Excess {
	if !s.rollouts.follower.Active() {
		return nil
	}
	s.rollouts.totals.Set(s.settings.Node, s.incarnation, s.rollouts.follower.Counts())
	return s.rollouts.totals.Excess()
}

// applyOrders applies the operator's orders as of a version of the store.
func (s *state) applyOrders(orders []rollout.Order, asOf table.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asOf == 0 {
		return
	}
	s.rollouts.follower.SetOrders(bootNow(), orders, asOf)
	s.noteOrders("store")
}

// noteOrders logs orders that are new to this daemon, which are told to all others at once.
func (s *state) noteOrders(source string) {
	for _, o := range s.rollouts.follower.Orders() {
		if s.rollouts.seenAt[o.Service].revision >= o.Revision {
			continue
		}
		s.rollouts.seenAt[o.Service] = orderSeen{revision: o.Revision, at: bootNow()}
		of, others := s.rollouts.follower.Servers(o.Service, o.To)
		klog.InfoS("order to roll a version out", "service", o.Service, "version", o.To, "revision", o.Revision, "durationMs", o.Duration.Milliseconds(),
			"servers", of, "otherServers", others, "source", source)
		s.wakeExchange()
	}
}

// applyRollouts merges what a neighbor says of roll-outs. If its message answers one of this
// daemon, requestedAt is when that was sent; directives count from then on.
func (s *state) applyRollouts(m *mesh.Message, requestedAt time.Time) {
	follower := s.rollouts.follower
	if !follower.Enabled() || m.Format < mesh.FormatDemands {
		return
	}
	follower.Withdraw(m.RolloutsWithdrawn)
	for i := range m.Rollouts {
		e := &m.Rollouts[i]
		issuedAt := time.Time{}
		if !requestedAt.IsZero() && e.Age >= 0 {
			issuedAt = requestedAt.Add(-e.Age)
		}
		s.mergeRollout(*e, issuedAt, "peer "+m.Record.Node)
	}
	if m.RolloutsAsOf > follower.OrdersAsOf() {
		orders := make([]rollout.Order, 0, len(m.Rollouts))
		for i := range m.Rollouts {
			orders = append(orders, m.Rollouts[i].Order)
		}
		follower.LearnOrders(bootNow(), orders, m.RolloutsAsOf)
	}
	s.noteOrders("peer " + m.Record.Node)
	if s.peers.Collects() && follower.Active() {
		s.rolloutExcess()
		follower.SetTold(s.rollouts.totals.Excess())
	}
}

// mergeRollout applies a directive and tells all others at once of a final state.
func (s *state) mergeRollout(e rollout.Entry, issuedAt time.Time, source string) {
	if !s.rollouts.follower.Merge(bootNow(), e, issuedAt) {
		return
	}
	klog.InfoS("state of a roll-out", "service", e.Order.Service, "version", e.Order.To, "state", e.Directive.State.String(), "term", e.Directive.Term,
		"source", source)
	s.wakeExchange()
}

// followRollouts reads from the store what this daemon lacks of roll-outs, and updates the
// metrics.
func (d *Daemon) followRollouts(ctx context.Context) {
	s := d.state
	if !s.rollouts.follower.Enabled() {
		return
	}
	var readAt, outcomesReadAt time.Time
	for ctx.Err() == nil {
		pause(ctx, rolloutCheckInterval)
		s.mu.Lock()
		unsettled := s.rollouts.follower.Unsettled()
		unheard := s.unheardOrders()
		s.showRollouts()
		s.mu.Unlock()
		if unsettled && s.followsStore() && bootNow().Sub(readAt) >= serversReadInterval {
			// A version came into use: look whether there is an order for it.
			readAt = bootNow()
			if _, err := d.readCatalog(ctx); err != nil {
				klog.InfoS("failed to read the orders to roll versions out", "err", err)
			}
		}
		if len(unheard) > 0 && bootNow().Sub(outcomesReadAt) >= outcomeReadInterval {
			outcomesReadAt = bootNow()
			for _, o := range unheard {
				d.readOutcome(ctx, o)
			}
		}
	}
}

// unheardOrders returns the orders of which no decider has said anything to this daemon.
func (s *state) unheardOrders() []rollout.Order {
	var list []rollout.Order
	for _, o := range s.rollouts.follower.Orders() {
		if heard, _ := s.rollouts.follower.Heard(o.Service); heard.Term == 0 {
			list = append(list, o)
		}
	}
	return list
}

// readOutcome reads what was decided of an order before this daemon heard of a decider, as
// when all daemons were lost.
func (d *Daemon) readOutcome(ctx context.Context, o rollout.Order) {
	stored, _, err := readRollout(ctx, d.platform, o.Service)
	if err != nil {
		klog.InfoS("failed to read the state of a roll-out", "service", o.Service, "err", err)
		return
	}
	if stored.Order != o.Revision || stored.State == rollout.Running {
		return
	}
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeRollout(rollout.Entry{Order: o, Directive: rollout.Directive{Term: stored.Term, State: stored.State, Denied: stored.Denied}}, time.Time{}, "store")
}

// showRollouts updates the metrics.
func (s *state) showRollouts() {
	for _, o := range s.rollouts.follower.Orders() {
		_, state, _ := s.rollouts.follower.Order(o.Service)
		s.rollouts.metrics.state.WithLabelValues(o.Service, o.To).Set(float64(state))
		s.rollouts.metrics.share.WithLabelValues(o.Service, o.To).Set(s.rollouts.follower.Share(bootNow(), o.Service))
	}
}
