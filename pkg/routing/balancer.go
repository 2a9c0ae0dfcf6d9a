package routing

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// BalancerOptions are the settings and dependencies of a Balancer.
type BalancerOptions struct {
	Router Options
	Clock  clock.PassiveClock
	Random *rand.Rand
	// Decisions records each decision; nil discards them.
	Decisions *decision.Recorder
	// Invariants records violations of invariants; nil discards them.
	Invariants *invariant.Reporter
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Balancer wraps a Router with a lock, a decision log and metrics. It is safe for
// concurrent use and starts no goroutine.
type Balancer struct {
	clock      clock.PassiveClock
	decisions  *decision.Recorder
	invariants *invariant.Reporter
	metrics    *metrics

	mu     sync.Mutex
	router *Router
}

// NewBalancer returns a Balancer without servers.
func NewBalancer(o BalancerOptions) *Balancer {
	return &Balancer{
		clock: o.Clock, decisions: o.Decisions, invariants: o.Invariants,
		metrics: newMetrics(o.Registerer),
		router:  NewRouter(o.Clock.Now(), o.Random, o.Router),
	}
}

// Update sets the groups; see Router.Update.
func (b *Balancer) Update(groups []Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Update(b.clock.Now(), groups)
}

// Acquire picks a server for a request, counts the attempt as started on it and
// records the decision. The caller ends the attempt with Finished or Failed.
func (b *Balancer) Acquire(requestID, attemptID string, q *Query) (Decision, error) {
	d, err := b.acquire(attemptID, q)
	if err != nil {
		b.metrics.noServer.WithLabelValues(q.Group).Inc()
		b.decisions.Record(decision.Decision{
			Time: b.clock.Now(), Kind: decision.KindRoute, RequestID: requestID, Reason: err.Error(),
		})
		return Decision{}, err
	}
	b.metrics.decisions.WithLabelValues(q.Group, string(d.Reason)).Inc()
	b.metrics.expectedCachedTokens.Add(float64(d.ExpectedCachedTokens))
	b.decisions.Record(decision.Decision{
		Time: b.clock.Now(), Kind: decision.KindRoute, RequestID: requestID, Chosen: d.Server.Name,
		Alternatives: slices.Clone(d.Alternatives()), Reason: string(d.Reason),
	})
	return d, nil
}

func (b *Balancer) acquire(attemptID string, q *Query) (Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	d, err := b.router.Pick(now, q)
	if err != nil {
		return Decision{}, err
	}
	ok := b.router.Available(d.Server.Name)
	if err := b.invariants.Check(ok, invariant.NoWorkForLeavingServer, "picked server %s of group %s", d.Server.Name, q.Group); err != nil {
		return Decision{}, err
	}
	return d, b.router.Started(now, attemptID, d.Server.Name, q)
}

// FirstToken records an attempt's first token.
func (b *Balancer) FirstToken(attemptID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.FirstToken(b.clock.Now(), attemptID)
}

// Finished records the complete answer of an attempt.
func (b *Balancer) Finished(attemptID string, usage Usage) {
	b.metrics.promptTokens.Add(float64(usage.PromptTokens))
	b.metrics.cachedTokens.Add(float64(usage.CachedTokens))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Finished(b.clock.Now(), attemptID, usage)
}

// Failed records an attempt that ended without a complete answer.
func (b *Balancer) Failed(attemptID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Failed(b.clock.Now(), attemptID)
}

// LoadReported applies a load report; see Router.LoadReported.
func (b *Balancer) LoadReported(name string, load engine.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.LoadReported(b.clock.Now(), name, load)
}

// CacheReported applies cache events; see Router.CacheReported.
func (b *Balancer) CacheReported(name string, events []engine.CacheEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.CacheReported(b.clock.Now(), name, events)
}

// LastCacheSequence returns the sequence number after which cache events are
// requested next.
func (b *Balancer) LastCacheSequence(name string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.LastCacheSequence(name)
}

// NoticeReceived records that a server is leaving.
func (b *Balancer) NoticeReceived(name string, incarnation uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.NoticeReceived(b.clock.Now(), name, incarnation)
}

// Outstanding returns the number of this daemon's outstanding attempts on a
// server.
func (b *Balancer) Outstanding(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Outstanding(name)
}
