// Package cloud simulates the cloud API for tests. It simulates Hosts with prices
// by zone and machine class, reclaims of a zone with notice, refused starts, lost
// answers and a rate limit. Its ledger counts what actually happened and the cost
// of the Hosts.
package cloud

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// Offer identifies a kind of Host that the cloud sells.
type Offer struct {
	AvailabilityZone string
	MachineClass     string
	Purchase         membership.Purchase
}

// Terms are the price and the stock of an Offer.
type Terms struct {
	PricePerHour float64
	// Stock is the maximum number of Hosts of the Offer at the same time.
	Stock int
}

// Options are the settings of a Cloud.
type Options struct {
	// Clock defaults to the real clock.
	Clock clock.PassiveClock
	// StartDelay is the time from the start of a Host until it is running.
	StartDelay time.Duration
	// RequestsPerSecond and Burst limit the rate of all API requests.
	// RequestsPerSecond 0 means no limit.
	RequestsPerSecond float64
	Burst             int
}

// Ledger counts what actually happened, whether or not the caller received an
// answer.
type Ledger struct {
	Starts, Refused, RateLimited, Stops, Reclaimed, LostAnswers int
	// Cost is the accumulated price of all Hosts up to now.
	Cost float64
	// MostHosts is the largest number of Hosts at the same time.
	MostHosts int
}

// Cloud simulates the cloud API in memory. It is safe for concurrent use.
type Cloud struct {
	options Options
	limiter *rate.Limiter

	mu      sync.Mutex
	terms   map[Offer]Terms
	refused map[Offer]bool
	hosts   map[string]*host
	// byToken maps the token of a start request to the Host ID.
	byToken      map[string]string
	startedHosts int
	// answersToLose is the number of answers that are still to be lost.
	answersToLose int
	ledger        Ledger
}

// host is a Host with its reclaim and billing state.
type host struct {
	cloud.Host
	// reclaimAt is zero unless a reclaim has been announced.
	reclaimAt time.Time
	// billedUntil is the end of the time that is included in Ledger.Cost.
	billedUntil time.Time
}

// New returns a Cloud that sells the given offers.
func New(options Options, terms map[Offer]Terms) *Cloud {
	if options.Clock == nil {
		options.Clock = clock.RealClock{}
	}
	c := &Cloud{options: options, limiter: rate.NewLimiter(rate.Inf, 0), terms: terms, refused: map[Offer]bool{},
		hosts: map[string]*host{}, byToken: map[string]string{}}
	if options.RequestsPerSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(options.RequestsPerSecond), max(options.Burst, 1))
	}
	return c
}

// SetRefused makes the starts of an offer fail, or succeed again.
func (c *Cloud) SetRefused(offer Offer, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[offer] = refused
}

// LoseAnswers makes the cloud apply the next n starts and stops but lose their
// answers.
func (c *Cloud) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersToLose = n
}

// ReclaimZone announces the reclaim of all reclaimable Hosts of a zone and refuses
// starts of new ones there. It returns the IDs of the Hosts to be reclaimed.
func (c *Cloud) ReclaimZone(zone string, notice time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.updateHosts()
	for offer := range c.terms {
		if offer.AvailabilityZone == zone && offer.Purchase == membership.PurchaseReclaimable {
			c.refused[offer] = true
		}
	}
	var ids []string
	for _, id := range c.sortedIDs() {
		h := c.hosts[id]
		if h.AvailabilityZone != zone || h.Purchase != membership.PurchaseReclaimable {
			continue
		}
		h.State, h.reclaimAt = cloud.HostLeaving, now.Add(notice)
		ids = append(ids, id)
	}
	return ids
}

// Ledger returns the counts and the cost up to now.
func (c *Cloud) Ledger() Ledger {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateHosts()
	return c.ledger
}

// updateHosts updates all Hosts to the current time, which it returns: it bills
// them, marks those as running whose start delay has passed and removes those
// whose notice has ended. The caller holds c.mu.
func (c *Cloud) updateHosts() time.Time {
	now := c.options.Clock.Now()
	for id, h := range c.hosts {
		end := now
		if !h.reclaimAt.IsZero() && h.reclaimAt.Before(now) {
			end = h.reclaimAt
		}
		offer := Offer{h.AvailabilityZone, h.MachineClass, h.Purchase}
		c.ledger.Cost += end.Sub(h.billedUntil).Hours() * c.terms[offer].PricePerHour
		h.billedUntil = end
		if h.State == cloud.HostStarting && now.Sub(h.StartedAt) >= c.options.StartDelay {
			h.State = cloud.HostRunning
		}
		if !h.reclaimAt.IsZero() && !now.Before(h.reclaimAt) {
			c.ledger.Reclaimed++
			c.remove(id)
		}
	}
	return now
}

func (c *Cloud) remove(id string) {
	delete(c.byToken, c.hosts[id].Token)
	delete(c.hosts, id)
}

func (c *Cloud) sortedIDs() []string {
	ids := make([]string, 0, len(c.hosts))
	for id := range c.hosts {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// start applies a start request. A token that was already used returns the Host
// that it started, without a new start. The caller holds c.mu.
func (c *Cloud) start(req cloud.StartRequest) (cloud.Host, error) {
	now := c.updateHosts()
	if id, ok := c.byToken[req.Token]; ok && req.Token != "" {
		return c.hosts[id].Host, nil
	}
	offer := Offer{req.AvailabilityZone, req.MachineClass, req.Purchase}
	if c.refused[offer] || c.count(offer) >= c.terms[offer].Stock {
		c.ledger.Refused++
		return cloud.Host{}, &cloud.CapacityRefusedError{AvailabilityZone: req.AvailabilityZone,
			MachineClass: req.MachineClass, Purchase: req.Purchase}
	}
	c.startedHosts++
	h := &host{billedUntil: now, Host: cloud.Host{ID: fmt.Sprintf("host-%05d", c.startedHosts),
		Address:          fmt.Sprintf("10.2.%d.%d:8000", c.startedHosts/250, c.startedHosts%250+1),
		AvailabilityZone: req.AvailabilityZone, MachineClass: req.MachineClass, Purchase: req.Purchase,
		State: cloud.HostStarting, Token: req.Token, StartedAt: now}}
	c.hosts[h.ID] = h
	c.byToken[req.Token] = h.ID
	c.ledger.Starts++
	c.ledger.MostHosts = max(c.ledger.MostHosts, len(c.hosts))
	return h.Host, nil
}

// count returns the number of existing Hosts of an Offer.
func (c *Cloud) count(offer Offer) int {
	n := 0
	for _, h := range c.hosts {
		if h.AvailabilityZone == offer.AvailabilityZone && h.MachineClass == offer.MachineClass && h.Purchase == offer.Purchase {
			n++
		}
	}
	return n
}

// takeLostAnswer reports whether the answer to an applied request is to be lost,
// and counts it.
func (c *Cloud) takeLostAnswer() bool {
	if c.answersToLose == 0 {
		return false
	}
	c.answersToLose--
	c.ledger.LostAnswers++
	return true
}
