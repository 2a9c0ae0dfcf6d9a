// Package cloud is a stand-in of the cloud API: Hosts with prices by zone and
// machine class, reclaims of a zone with notice, refused starts, lost answers
// and a rate limit. Its ledger says what really ran and what it cost.
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

// Offer is what the cloud sells.
type Offer struct {
	AvailabilityZone string
	MachineClass     string
	Purchase         membership.Purchase
}

// Terms are the price and the stock of an Offer.
type Terms struct {
	PricePerHour float64
	// Stock bounds the Hosts that exist at the same time.
	Stock int
}

// Options are the settings of a Cloud.
type Options struct {
	Clock clock.PassiveClock
	// StartDelay is how long a Host is starting.
	StartDelay time.Duration
	// RequestsPerSecond and Burst limit all requests; 0 means no limit.
	RequestsPerSecond float64
	Burst             int
}

// Ledger is what really happened.
type Ledger struct {
	Starts, Refused, RateLimited, Stops, Reclaimed, LostAnswers int
	// Cost is the price of all Hosts until now.
	Cost float64
	// MostHosts is the largest number of Hosts at the same time.
	MostHosts int
}

// Cloud is the stand-in. It is safe for concurrent use.
type Cloud struct {
	o       Options
	limiter *rate.Limiter

	mu      sync.Mutex
	terms   map[Offer]Terms
	refused map[Offer]bool
	hosts   map[string]*host
	byToken map[string]string
	next    int
	lose    int
	ledger  Ledger
}

type host struct {
	cloud.Host
	reclaimAt time.Time
	billed    time.Time
}

// New returns a Cloud that sells terms.
func New(o Options, terms map[Offer]Terms) *Cloud {
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	c := &Cloud{o: o, limiter: rate.NewLimiter(rate.Inf, 0), terms: terms, refused: map[Offer]bool{},
		hosts: map[string]*host{}, byToken: map[string]string{}}
	if o.RequestsPerSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(o.RequestsPerSecond), max(o.Burst, 1))
	}
	return c
}

// SetRefused makes the starts of an offer fail, or succeed again.
func (c *Cloud) SetRefused(offer Offer, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[offer] = refused
}

// LoseAnswers loses the answers of the next n starts and stops after applying
// them.
func (c *Cloud) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = n
}

// ReclaimZone announces the reclaim of all reclaimable Hosts of a zone and
// refuses new ones there. It returns their IDs.
func (c *Cloud) ReclaimZone(zone string, notice time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settle()
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

// Ledger returns what really happened so far.
func (c *Cloud) Ledger() Ledger {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle()
	return c.ledger
}

// settle bills the Hosts, starts those that are due and takes away those whose
// notice is over. It returns the time.
func (c *Cloud) settle() time.Time {
	now := c.o.Clock.Now()
	for id, h := range c.hosts {
		end := now
		if !h.reclaimAt.IsZero() && h.reclaimAt.Before(now) {
			end = h.reclaimAt
		}
		offer := Offer{h.AvailabilityZone, h.MachineClass, h.Purchase}
		c.ledger.Cost += end.Sub(h.billed).Hours() * c.terms[offer].PricePerHour
		h.billed = end
		if h.State == cloud.HostStarting && now.Sub(h.StartedAt) >= c.o.StartDelay {
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

// start applies a request. A token that was used returns its Host again.
func (c *Cloud) start(req cloud.StartRequest) (cloud.Host, error) {
	now := c.settle()
	if id, ok := c.byToken[req.Token]; ok && req.Token != "" {
		return c.hosts[id].Host, nil
	}
	offer := Offer{req.AvailabilityZone, req.MachineClass, req.Purchase}
	if c.refused[offer] || c.count(offer) >= c.terms[offer].Stock {
		c.ledger.Refused++
		return cloud.Host{}, &cloud.CapacityRefusedError{AvailabilityZone: req.AvailabilityZone,
			MachineClass: req.MachineClass, Purchase: req.Purchase}
	}
	c.next++
	h := &host{billed: now, Host: cloud.Host{ID: fmt.Sprintf("host-%05d", c.next),
		Address:          fmt.Sprintf("10.2.%d.%d:8000", c.next/250, c.next%250+1),
		AvailabilityZone: req.AvailabilityZone, MachineClass: req.MachineClass, Purchase: req.Purchase,
		State: cloud.HostStarting, Token: req.Token, StartedAt: now}}
	c.hosts[h.ID] = h
	c.byToken[req.Token] = h.ID
	c.ledger.Starts++
	c.ledger.MostHosts = max(c.ledger.MostHosts, len(c.hosts))
	return h.Host, nil
}

func (c *Cloud) count(offer Offer) int {
	n := 0
	for _, h := range c.hosts {
		if h.AvailabilityZone == offer.AvailabilityZone && h.MachineClass == offer.MachineClass && h.Purchase == offer.Purchase {
			n++
		}
	}
	return n
}

// answerLost reports whether the answer of an applied request gets lost.
func (c *Cloud) answerLost() bool {
	if c.lose == 0 {
		return false
	}
	c.lose--
	c.ledger.LostAnswers++
	return true
}
