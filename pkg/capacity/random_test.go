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

// TestRandomPlan guards against plans that miss the need after one zone's loss
// although the market allows it, and compares the cost with that of all plans.
func TestRandomPlan(t *testing.T) {
	randomtest.Check(t, []string{"too little capacity"}, func(rt *rapid.T, report *randomtest.Report) {
		var choices []choice
		for i := range rapid.IntRange(1, 5).Draw(rt, "offers") {
			price := rapid.Float64Range(0.5, 4).Draw(rt, "price")
			choices = append(choices, choice{effective: price, limit: rapid.IntRange(0, 4).Draw(rt, "limit"),
				Offer: Offer{Pool: fmt.Sprint(i), AvailabilityZone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone"),
					PricePerHour: price, UnitsPerHost: rapid.SampledFrom([]float64{1, 3, 4}).Draw(rt, "units")}})
		}
		numberZones(choices)
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
			rt.Fatalf("need %v: plan %v keeps %v, but %v keeps %v", need, p.counts, p.safe, best.counts, best.safe)
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

// cheapest tries all plans.
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

// buyerWorld runs Buyers against the cloud's stand-in on a virtual clock.
type buyerWorld struct {
	t      *rapid.T
	report *randomtest.Report
	clock  *testclock.FakePassiveClock
	sold   *standin.Cloud
	buyer  *Buyer
	number uint64
	need   float64
	offers []Offer
	// late are starts on their way to the cloud, whose answers are lost.
	late []lateStart
	left map[string]bool
	// listFails and delays are shares of the calls.
	listFails, delays float64
	random            *rand.Rand
}

type lateStart struct {
	at  time.Time
	req cloud.StartRequest
}

func newBuyerWorld(t *rapid.T, report *randomtest.Report) *buyerWorld {
	w := &buyerWorld{t: t, report: report, clock: testclock.NewFakePassiveClock(start), left: map[string]bool{},
		need: 72, offers: fourZones(), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	terms := map[standin.Offer]standin.Terms{}
	for _, o := range w.offers {
		terms[standin.Offer{AvailabilityZone: o.AvailabilityZone, MachineClass: "c", Purchase: o.Purchase}] =
			standin.Terms{PricePerHour: o.PricePerHour, Stock: o.MaxHosts}
	}
	w.sold = standin.New(standin.Options{Clock: clock.PassiveClock(w.clock), StartDelay: 20 * time.Second}, terms)
	w.takeOver()
	return w
}

// takeOver replaces the holder of the lease by one that knows nothing.
func (w *buyerWorld) takeOver() {
	w.number++
	w.buyer = NewBuyer(BuyerOptions{}, rand.New(rand.NewPCG(w.number, 1)))
	w.buyer.Step(w.clock.Now(), LeaseEvent{Held: true, Number: w.number})
	w.buyer.Step(w.clock.Now(), GroupsEvent{Groups: []Group{{Name: "g", Need: w.need, Offers: w.offers}}})
}

func (w *buyerWorld) second() {
	w.clock.SetTime(w.clock.Now().Add(time.Second))
	w.applyLate()
	var left []string
	for id := range w.left {
		left = append(left, id)
		w.buyer.Step(w.clock.Now(), IdleEvent{HostID: id})
	}
	w.buyer.Step(w.clock.Now(), DrainingEvent{HostIDs: left})
	for _, action := range w.buyer.Step(w.clock.Now(), TickEvent{}) {
		w.do(action)
	}
}

func (w *buyerWorld) applyLate() {
	var waiting []lateStart
	for _, s := range w.late {
		if s.at.After(w.clock.Now()) {
			waiting = append(waiting, s)
			continue
		}
		_, _ = w.sold.Start(context.Background(), s.req)
	}
	w.late = waiting
}

func (w *buyerWorld) do(action Action) {
	ctx, now := context.Background(), w.clock.Now()
	switch a := action.(type) {
	case ListAction:
		if w.random.Float64() < w.listFails {
			w.buyer.Step(now, ListFailedEvent{})
			return
		}
		hosts, _ := w.sold.List(ctx)
		w.buyer.Step(now, ListEvent{RequestedAt: now, Hosts: hosts})
		notices, _ := w.sold.Notices(ctx)
		w.buyer.Step(now, NoticesEvent{Notices: notices})
	case StartAction:
		w.startHost(a)
	case DrainAction:
		w.left[a.Host.ID] = true
	case StopAction:
		_ = w.sold.Stop(ctx, a.HostID)
	}
}

func (w *buyerWorld) startHost(a StartAction) {
	now := w.clock.Now()
	if w.random.Float64() < w.delays {
		// It arrives later than the caller waits.
		delay := time.Duration(w.random.Int64N(int64(defaultSettleTime)))
		w.late = append(w.late, lateStart{at: now.Add(delay), req: a.Request})
		w.buyer.Step(now, StartFailedEvent{Token: a.Request.Token, Cause: &cloud.AmbiguousError{}})
		return
	}
	host, err := w.sold.Start(context.Background(), a.Request)
	if err != nil {
		w.buyer.Step(now, StartFailedEvent{Token: a.Request.Token, Cause: err})
		return
	}
	w.buyer.Step(now, StartedEvent{Token: a.Request.Token, Host: host})
}

func (w *buyerWorld) seconds(n int) {
	for range n {
		w.second()
		w.report.Step()
	}
}

// TestRandomNeverTwice guards against buying twice for the same desired state:
// with lost and late answers, failing lists and takeovers at any moment there
// are never more Hosts than the plan has.
func TestRandomNeverTwice(t *testing.T) {
	randomtest.Check(t, []string{"takeover", "lost answer", "late start", "list fails"}, func(rt *rapid.T, report *randomtest.Report) {
		w := newBuyerWorld(rt, report)
		w.delays, w.listFails = 0.2, 0.3
		report.Fault("late start")
		report.Fault("list fails")
		for range rapid.IntRange(1, 6).Draw(rt, "rounds") {
			w.sold.LoseAnswers(rapid.IntRange(0, 4).Draw(rt, "lost"))
			report.Fault("lost answer")
			w.seconds(rapid.IntRange(1, 120).Draw(rt, "seconds"))
			if rapid.Bool().Draw(rt, "takeover") {
				report.Fault("takeover")
				w.takeOver()
			}
		}
		w.delays, w.listFails = 0, 0
		w.seconds(180)
		if most := w.sold.Ledger().MostHosts; most > 12 {
			rt.Fatalf("%d hosts at the same time, the plan has 12", most)
		}
		w.checkCovered()
		report.Outcome("covered")
	})
}

// TestRandomReclaim guards against standing without the needed capacity: after a
// zone was reclaimed and starts were refused, the need is covered again, and it
// survives one more zone while the market allows it.
func TestRandomReclaim(t *testing.T) {
	randomtest.Check(t, []string{"zone reclaimed", "starts refused"}, func(rt *rapid.T, report *randomtest.Report) {
		w := newBuyerWorld(rt, report)
		w.seconds(120)
		w.checkCovered()
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "zone")
		w.sold.ReclaimZone(zone, time.Duration(rapid.IntRange(5, 60).Draw(rt, "notice"))*time.Second)
		report.Fault("zone reclaimed")
		if rapid.Bool().Draw(rt, "also refused") {
			refused := rapid.SampledFrom(w.offers).Draw(rt, "refused")
			w.sold.SetRefused(standin.Offer{AvailabilityZone: refused.AvailabilityZone, MachineClass: "c", Purchase: refused.Purchase}, true)
			report.Fault("starts refused")
		}
		w.seconds(180)
		w.checkCovered()
		if starts := w.sold.Ledger().Starts; starts > 12*4 {
			rt.Fatalf("%d starts for one reclaim", starts)
		}
		report.Outcome("covered")
	})
}

// checkCovered asks the cloud what really runs.
func (w *buyerWorld) checkCovered() {
	hosts, _ := w.sold.List(context.Background())
	zones := make([]float64, 4)
	for _, h := range hosts {
		if h.State == cloud.HostRunning && !w.left[h.ID] {
			zones[h.AvailabilityZone[0]-'a'] += 8
		}
	}
	if safe := safeUnits(zones); safe < w.need {
		w.t.Fatalf("%v units after the loss of a zone, needed %v: %v", safe, w.need, zones)
	}
}
