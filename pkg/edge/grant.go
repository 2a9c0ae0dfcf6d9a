package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/quota"
)

const (
	// grantTimeout is how long a request waits for a grant of its charge. It is many times
	// the round trip between zones, and a small part of the time to a first token.
	grantTimeout = 80 * time.Millisecond
	// grantPause is how long a daemon that has not answered is not asked for grants.
	grantPause = time.Second
)

// Outcomes of charges.
const (
	chargeLocal    = "local"
	chargeGranted  = "granted"
	chargeExceeded = "exceeded"
	// chargeUnasked is a charge by the local rule because no hub could grant it.
	chargeUnasked = "hub away"
)

// grantState is what the daemon needs to ask for grants.
type grantState struct {
	// call sends a request for a grant to a hub and returns its reply.
	call func(ctx context.Context, address string, payload []byte) ([]byte, error)
	// pausedUntil holds the hubs that have not answered.
	pausedUntil map[string]time.Time
	charges     *prometheus.CounterVec
}

func newGrantState() grantState {
	return grantState{pausedUntil: make(map[string]time.Time), charges: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_charges_total",
		Help: "Charges of requests to usage limits, by outcome."}, []string{"outcome"})}
}

// Charge charges the cost of a request to an account. If the usage limit is
// exceeded, it returns false and the time to wait before the next try. In larger
// deployments a hub, the same for all daemons, grants the charges that may not be made
// before the other daemons hear of them. If it does not answer, each daemon spends a
// portion of the limit.
func (s *state) Charge(account string, cost float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	hub, address, ok := s.peers.HubFor(account)
	if !ok || now.Before(s.grants.pausedUntil[hub]) || hub != s.settings.Node && s.grants.call == nil {
		return s.chargeAlone(now, account, cost)
	}
	if hub == s.settings.Node && s.peers.OldestFormat(now) < mesh.FormatDigests {
		return s.chargeAlone(now, account, cost)
	}
	if hub == s.settings.Node {
		after, granted := s.quota.Grant(now, account, cost)
		return s.charged(account, cost, after, granted, chargeGranted)
	}
	switch after, verdict := s.quota.TakeOrAsk(now, account, cost); verdict {
	case quota.Admitted:
		return s.charged(account, cost, 0, true, chargeLocal)
	case quota.Exceeded:
		return s.charged(account, cost, after, false, "")
	}
	s.mu.Unlock()
	reply, err := s.askForGrant(address, account, cost)
	s.mu.Lock()
	if err != nil {
		klog.InfoS("no grant of a charge", "account", account, "cost", cost, "hub", hub, "tookMs", bootNow().Sub(now).Milliseconds(), "err", err)
		s.grants.pausedUntil[hub] = bootNow().Add(grantPause)
		return s.chargeAlone(bootNow(), account, cost)
	}
	if reply.Granted {
		s.quota.Granted(bootNow(), account, cost)
	}
	return s.charged(account, cost, reply.RetryAfter, reply.Granted, chargeGranted)
}

// chargeAlone charges a request by this daemon's own knowledge.
func (s *state) chargeAlone(now time.Time, account string, cost float64) (time.Duration, bool) {
	after, ok := s.quota.Take(now, account, cost)
	outcome := chargeLocal
	if !s.peers.IsFullMesh() {
		outcome = chargeUnasked
	}
	return s.charged(account, cost, after, ok, outcome)
}

// charged counts a charge and logs it if the limit is exceeded.
func (s *state) charged(account string, cost float64, after time.Duration, ok bool, outcome string) (time.Duration, bool) {
	if !ok {
		outcome = chargeExceeded
		klog.InfoS("usage limit", "account", account, "cost", cost, "level", s.quota.Level(bootNow(), account), "retryAfterMs", after.Milliseconds())
	}
	s.grants.charges.WithLabelValues(outcome).Inc()
	return after, ok
}

// askForGrant asks a hub for the charge of a request.
func (s *state) askForGrant(address, account string, cost float64) (*quota.GrantReply, error) {
	payload, err := quota.EncodeGrant(&quota.GrantRequest{Account: account, Cost: cost})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	answer, err := s.grants.call(ctx, address, payload)
	if err != nil {
		return nil, err
	}
	return quota.DecodeGrant[quota.GrantReply](answer)
}

// NoHubError reports that this daemon grants no charges, because it is not a hub.
type NoHubError struct{ Node string }

func (e *NoHubError) Error() string { return "daemon " + e.Node + " is not a hub" }

// EarlierVersionError reports that this daemon grants no charges, because some daemons run an
// earlier version: they spend portions of usage limits without asking.
type EarlierVersionError struct{ Format mesh.Format }

func (e *EarlierVersionError) Error() string {
	return fmt.Sprintf("some daemons speak format %d, which has no grants", e.Format)
}

// handleGrant charges a request of another daemon.
func (s *state) handleGrant(_ context.Context, payload []byte) ([]byte, error) {
	request, err := quota.DecodeGrant[quota.GrantRequest](payload)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	if !s.peers.RanksAsHub() {
		s.mu.Unlock()
		return nil, errors.Trace(&NoHubError{Node: s.settings.Node})
	}
	if oldest := s.peers.OldestFormat(bootNow()); oldest < mesh.FormatDigests {
		s.mu.Unlock()
		return nil, errors.Trace(&EarlierVersionError{Format: oldest})
	}
	after, ok := s.quota.Grant(bootNow(), request.Account, request.Cost)
	s.mu.Unlock()
	return quota.EncodeGrant(&quota.GrantReply{Granted: ok, RetryAfter: after})
}
