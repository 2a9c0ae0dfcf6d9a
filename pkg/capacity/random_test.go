package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"k8s.io/utils/clock"
	testclock "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/cloud"
)

// TestRandomPlan guards against plans that do not meet the need after the loss of
// one zone although some plan does. It also compares the cost with that of the
// cheapest of all plans.
func TestRandomPlan(t *testing.T) {
	randomtest.Check(t, []string{"too little capacity"}, func(rt *rapid.T, report *randomtest.Report) {
		var choices []choice
		for i := range rapid.IntRange(1, 5).Draw(rt, "offers") {
			price := rapid.Float64Range(0.5, 4).Draw(rt, "price")
			choices = append(choices, choice{hourlyCost: price, limit: rapid.IntRange(0, 4).Draw(rt, "limit"),
				Offer: Offer{Pool: fmt.Sprint(i), AvailabilityZone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone"),
					PricePerHour: price, UnitsPerHost: rapid.SampledFrom([]float64{1, 3, 4}).Draw(rt, "units")}})
		}
		indexZones(choices)
		need := float64(rapid.IntRange(1, 12).Draw(rt, "need"))
		p, best := makePlan(need, choices), cheapest(choices, need)
		report.Step()
		for i := range choices {
			if p.counts[i] < 0 || p.counts[i] > choices[i].limit {
				rt.Fatalf("%d hosts of an offer of %d", p.counts[i], choices[i].limit)
			}
		}
		if best == nil {
			report.Fault("too little capacity")
			return
		}
		if !p.covers(need) {
			rt.Fatalf("need %v: plan %v keeps %v, but %v keeps %v", need, p.counts, p.afterZoneLoss, best.counts, best.afterZoneLoss)
		}
		switch {
		case p.cost <= best.cost+tolerance:
			report.Outcome("cheapest")
		case p.cost <= best.cost*1.1:
			report.Outcome("within 10% of the cheapest")
		default:
			report.Outcome("over 10% above the cheapest")
		}
	})
}

// cheapest returns the cheapest plan that covers need, or nil if there is none. It
// tries all plans.
func cheapest(choices []choice, need float64) *plan {
	var best *plan
	counts := make([]int, len(choices))
	var try func(i int)
	try = func(i int) {
		if i == len(choices) {
			p := evaluate(choices, append([]int(nil), counts...))
			if p.covers(need) && (best == nil || p.cost < best.cost) {
				best = &p
			}
			return
		}
		for n := range choices[i].limit + 1 {
			counts[i] = n
			try(i + 1)
		}
	}
	try(0)
	return best
}

// buyerSimulation runs Buyers against a simulated cloud on a virtual clock.
type buyerSimulation struct {
	t             *rapid.T
	report        *randomtest.Report
	clock         *testclock.FakePassiveClock
	standinCloud  *standin.Cloud
	buyer         *Buyer
	fencingNumber uint64
	need          float64
	offers        []Offer
	// delayedStarts are starts in transit to the cloud, whose answers are lost.
	delayedStarts []delayedStart
	draining      map[string]bool
	// listFailureRate and delayRate are probabilities from 0 to 1.
	listFailureRate, delayRate float64
	random                     *rand.Rand
}

type delayedStart struct {
	arrivesAt time.Time
	req       cloud.StartRequest
}

func newBuyerSimulation(t *rapid.T, report *randomtest.Report) *buyerSimulation {
	sim := &buyerSimulation{t: t, report: report, clock: testclock.NewFakePassiveClock(start), draining: map[string]bool{},
		need: 72, offers: fourZones(), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	terms := map[standin.Offer]standin.Terms{}
	for _, o := range sim.offers {
		terms[standin.Offer{AvailabilityZone: o.AvailabilityZone, MachineClass: "c", Purchase: o.Purchase}] =
			standin.Terms{PricePerHour: o.PricePerHour, Stock: o.MaxHosts}
	}
	sim.standinCloud = standin.New(standin.Options{Clock: clock.PassiveClock(sim.clock), StartDelay: 20 * time.Second}, terms)
	sim.takeOverLease()
	return sim
}

// takeOverLease replaces the holder of the lease by a new Buyer without state.
func (sim *buyerSimulation) takeOverLease() {
	sim.fencingNumber++
	sim.buyer = NewBuyer(BuyerOptions{}, rand.New(rand.NewPCG(sim.fencingNumber, 1)))
	sim.buyer.Step(sim.clock.Now(), LeaseEvent{Held: true, Number: sim.fencingNumber})
	sim.buyer.Step(sim.clock.Now(), GroupsEvent{Groups: []Group{{Name: "g", Need: sim.need, Offers: sim.offers}}})
}

// advanceSecond advances the clock by one second and runs a tick.
func (sim *buyerSimulation) advanceSecond() {
	sim.clock.SetTime(sim.clock.Now().Add(time.Second))
	sim.applyDelayedStarts()
	var draining []string
	for id := range sim.draining {
		draining = append(draining, id)
		sim.buyer.Step(sim.clock.Now(), IdleEvent{HostID: id})
	}
	sim.buyer.Step(sim.clock.Now(), DrainingEvent{HostIDs: draining})
	for _, action := range sim.buyer.Step(sim.clock.Now(), TickEvent{}) {
		sim.perform(action)
	}
}

// applyDelayedStarts delivers the delayed starts that are due to the cloud.
func (sim *buyerSimulation) applyDelayedStarts() {
	var waiting []delayedStart
	for _, s := range sim.delayedStarts {
		if s.arrivesAt.After(sim.clock.Now()) {
			waiting = append(waiting, s)
			continue
		}
		_, _ = sim.standinCloud.Start(context.Background(), s.req)
	}
	sim.delayedStarts = waiting
}

func (sim *buyerSimulation) perform(action Action) {
	ctx, now := context.Background(), sim.clock.Now()
	switch a := action.(type) {
	case ListAction:
		if sim.random.Float64() < sim.listFailureRate {
			sim.buyer.Step(now, ListFailedEvent{})
			return
		}
		hosts, _ := sim.standinCloud.List(ctx)
		sim.buyer.Step(now, ListEvent{RequestedAt: now, Hosts: hosts})
		notices, _ := sim.standinCloud.Notices(ctx)
		sim.buyer.Step(now, NoticesEvent{Notices: notices})
	case StartAction:
		sim.startHost(a)
	case DrainAction:
		sim.draining[a.Host.ID] = true
	case StopAction:
		_ = sim.standinCloud.Stop(ctx, a.HostID)
	}
}

func (sim *buyerSimulation) startHost(a StartAction) {
	now := sim.clock.Now()
	if sim.random.Float64() < sim.delayRate {
		// The start reaches the cloud after the caller has given up waiting.
		delay := time.Duration(sim.random.Int64N(int64(defaultSettleTime)))
		sim.delayedStarts = append(sim.delayedStarts, delayedStart{arrivesAt: now.Add(delay), req: a.Request})
		sim.buyer.Step(now, StartFailedEvent{Token: a.Request.Token, Cause: &cloud.AmbiguousError{}})
		return
	}
	host, err := sim.standinCloud.Start(context.Background(), a.Request)
	if err != nil {
		sim.buyer.Step(now, StartFailedEvent{Token: a.Request.Token, Cause: err})
		return
	}
	sim.buyer.Step(now, StartedEvent{Token: a.Request.Token, Host: host})
}

func (sim *buyerSimulation) advanceSeconds(n int) {
	for range n {
		sim.advanceSecond()
		sim.report.Step()
	}
}

// TestRandomNeverTwice guards against buying Hosts twice for the same desired
// state. With lost answers, delayed starts, failing lists and lease takeovers at
// random times, there must never be more Hosts than in the plan.
func TestRandomNeverTwice(t *testing.T) {
	randomtest.Check(t, []string{"takeover", "lost answer", "late start", "list fails"}, func(rt *rapid.T, report *randomtest.Report) {
		sim := newBuyerSimulation(rt, report)
		sim.delayRate, sim.listFailureRate = 0.2, 0.3
		report.Fault("late start")
		report.Fault("list fails")
		for range rapid.IntRange(1, 6).Draw(rt, "rounds") {
			sim.standinCloud.LoseAnswers(rapid.IntRange(0, 4).Draw(rt, "lost"))
			report.Fault("lost answer")
			sim.advanceSeconds(rapid.IntRange(1, 120).Draw(rt, "seconds"))
			if rapid.Bool().Draw(rt, "takeover") {
				report.Fault("takeover")
				sim.takeOverLease()
			}
		}
		sim.delayRate, sim.listFailureRate = 0, 0
		sim.advanceSeconds(180)
		if maxHosts := sim.standinCloud.Ledger().MostHosts; maxHosts > 12 {
			rt.Fatalf("%d hosts at the same time, the plan has 12", maxHosts)
		}
		sim.checkCovered()
		report.Outcome("covered")
	})
}

// TestRandomReclaim guards against a lasting lack of capacity. After a zone was
// reclaimed and starts were refused, the need must be met again, also after the
// loss of one more zone as far as the offers allow it.
func TestRandomReclaim(t *testing.T) {
	randomtest.Check(t, []string{"zone reclaimed", "starts refused"}, func(rt *rapid.T, report *randomtest.Report) {
		sim := newBuyerSimulation(rt, report)
		sim.advanceSeconds(120)
		sim.checkCovered()
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "zone")
		sim.standinCloud.ReclaimZone(zone, time.Duration(rapid.IntRange(5, 60).Draw(rt, "notice"))*time.Second)
		report.Fault("zone reclaimed")
		if rapid.Bool().Draw(rt, "also refused") {
			refused := rapid.SampledFrom(sim.offers).Draw(rt, "refused")
			sim.standinCloud.SetRefused(standin.Offer{AvailabilityZone: refused.AvailabilityZone, MachineClass: "c", Purchase: refused.Purchase}, true)
			report.Fault("starts refused")
		}
		sim.advanceSeconds(180)
		sim.checkCovered()
		if starts := sim.standinCloud.Ledger().Starts; starts > 12*4 {
			rt.Fatalf("%d starts for one reclaim", starts)
		}
		report.Outcome("covered")
	})
}

// checkCovered fails unless the Hosts that run in the cloud meet the need after
// the loss of any one zone.
func (sim *buyerSimulation) checkCovered() {
	hosts, _ := sim.standinCloud.List(context.Background())
	zones := make([]float64, 4)
	for _, h := range hosts {
		if h.State == cloud.HostRunning && !sim.draining[h.ID] {
			zones[h.AvailabilityZone[0]-'a'] += 8
		}
	}
	if remaining := unitsAfterZoneLoss(zones); remaining < sim.need {
		sim.t.Fatalf("%v units after the loss of a zone, needed %v: %v", remaining, sim.need, zones)
	}
}
