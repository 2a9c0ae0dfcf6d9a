package capacity

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	testclock "k8s.io/utils/clock/testing"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/cloud"
)

func TestCapacity(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func offer(zone string, purchase membership.Purchase, price float64) Offer {
	return Offer{Pool: zone + "-" + string(purchase), AvailabilityZone: zone, MachineClass: "c",
		Purchase: purchase, PricePerHour: price, MaxHosts: 10, UnitsPerHost: 8}
}

func fourZones() []Offer {
	var offers []Offer
	for i, zone := range []string{"a", "b", "c", "d"} {
		offers = append(offers, offer(zone, membership.PurchaseReclaimable, 1+0.1*float64(i)),
			offer(zone, membership.PurchaseOnDemand, 3))
	}
	return offers
}

var _ = Describe("the plan", func() {
	choices := func(offers []Offer) []choice {
		var all []choice
		for _, o := range offers {
			all = append(all, choice{Offer: o, hourlyCost: o.PricePerHour, limit: o.MaxHosts})
		}
		indexZones(all)
		return all
	}
	It("spreads Hosts evenly over the zones, so that the headroom is one zone's share", func() {
		p := makePlan(72, choices(fourZones()))
		Expect(p.covers(72)).To(BeTrue())
		Expect(p.totalUnits).To(BeNumerically("==", 96))
		Expect(p.counts).To(Equal([]int{3, 0, 3, 0, 3, 0, 3, 0}))
	})
	It("leaves out a zone whose price outweighs the savings in headroom", func() {
		offers := fourZones()
		offers[6].PricePerHour = 50
		offers[7].PricePerHour = 50
		p := makePlan(72, choices(offers))
		Expect(p.covers(72)).To(BeTrue())
		Expect(p.counts[6] + p.counts[7]).To(BeZero())
	})
	It("buys on-demand Hosts when the reclaimable offers are used up", func() {
		offers := fourZones()
		for i := range offers {
			offers[i].MaxHosts = 2
		}
		p := makePlan(72, choices(offers))
		Expect(p.covers(72)).To(BeTrue())
	})
	It("meets the need when no plan can cover the loss of a zone", func() {
		p := makePlan(72, choices(fourZones()[:2]))
		Expect(p.totalUnits).To(BeNumerically(">=", 72))
		Expect(p.afterZoneLoss).To(BeZero())
	})
	It("adds the cost of frequent reclaims, so that a more expensive offer with fewer reclaims is preferred", func() {
		m := market{reclaims: 500, hostHours: 100}
		o := offer("a", membership.PurchaseReclaimable, 1)
		Expect(m.effectivePrice(&o)).To(BeNumerically(">", 2))
	})
})

var _ = Describe("the placer", func() {
	var p *Placer
	var now time.Time
	step := func(e Event) []Action { return p.Step(now, e) }
	orders := func(actions []Action) (found []OrderAction) {
		for _, a := range actions {
			if o, ok := a.(OrderAction); ok {
				found = append(found, o)
			}
		}
		return found
	}
	e1 := Engine{Name: "e1", ChecksFencing: true, Models: []string{"m"}, WeightsMiB: 100}
	e2 := Engine{Name: "e2", Models: []string{"m"}, WeightsMiB: 100}
	BeforeEach(func() {
		now = start
		p = NewPlacer(PlacerOptions{WeightsMiBPerSecond: 10, WeightsBurstMiB: 100}, rand.New(rand.NewPCG(1, 1)))
		step(LeaseEvent{Held: true, Number: 5})
	})

	It("sends an order only after a read, and reads again until the order matches", func() {
		step(EnginesEvent{Engines: []Engine{e1}})
		Expect(step(TickEvent{})).To(Equal([]Action{ReadAction{Name: "e1"}}))
		step(OrderReadEvent{Name: "e1"})
		sent := orders(step(TickEvent{}))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Order.FencingNumber).To(Equal(uint64(5)))
		step(OrderDoneEvent{Name: "e1"})
		now = now.Add(defaultReadInterval)
		Expect(step(TickEvent{})).To(Equal([]Action{ReadAction{Name: "e1"}}))
		step(OrderReadEvent{Name: "e1", Order: sent[0].Order})
		Expect(p.Pending()).To(BeZero())
		Expect(step(TickEvent{})).To(BeEmpty())
	})

	It("waits for earlier holders' orders to expire if the engine ignores fencing numbers", func() {
		step(EnginesEvent{Engines: []Engine{e2}})
		step(TickEvent{})
		step(OrderReadEvent{Name: "e2"})
		Expect(orders(step(TickEvent{}))).To(BeEmpty())
		now = now.Add(defaultOrderTimeout + defaultClockSkew)
		Expect(orders(step(TickEvent{}))).To(HaveLen(1))
	})

	It("limits orders to the weight store's rate", func() {
		step(EnginesEvent{Engines: []Engine{e1, {Name: "e3", ChecksFencing: true, Models: []string{"m"}, WeightsMiB: 100}}})
		step(TickEvent{})
		step(OrderReadEvent{Name: "e1"})
		step(OrderReadEvent{Name: "e3"})
		Expect(orders(step(TickEvent{}))).To(HaveLen(1))
		now = now.Add(9 * time.Second)
		Expect(orders(step(TickEvent{}))).To(BeEmpty())
		now = now.Add(time.Second)
		Expect(orders(step(TickEvent{}))).To(HaveLen(1))
	})

	It("stops until it has a new lease when an engine has seen a higher fencing number", func() {
		step(EnginesEvent{Engines: []Engine{e1}})
		step(TickEvent{})
		Expect(step(OrderReadEvent{Name: "e1", Order: engine.Order{FencingNumber: 6}})).To(HaveLen(1))
		step(LeaseEvent{Held: true, Number: 5})
		Expect(step(TickEvent{})).To(BeEmpty())
		step(LeaseEvent{Held: true, Number: 7})
		Expect(step(TickEvent{})).To(HaveLen(1))
	})
})

// fakeLease is a Lease whose state is set by the test.
type fakeLease struct {
	mu    sync.Mutex
	event LeaseEvent
}

func (l *fakeLease) Holds() bool    { l.mu.Lock(); defer l.mu.Unlock(); return l.event.Held }
func (l *fakeLease) Number() uint64 { l.mu.Lock(); defer l.mu.Unlock(); return l.event.Number }
func (l *fakeLease) set(held bool, fencingNumber uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.event = LeaseEvent{Held: held, Number: fencingNumber}
}

// fakeEngines is an Orderer that stores the orders of engines by address and
// checks their fencing numbers.
type fakeEngines struct {
	mu    sync.Mutex
	order map[string]engine.Order
	sent  int
}

func (f *fakeEngines) Order(_ context.Context, address string, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if o.FencingNumber < f.order[address].FencingNumber {
		return &engine.StaleOrderError{Address: address}
	}
	f.order[address] = o
	return nil
}

func (f *fakeEngines) CurrentOrder(_ context.Context, address string) (engine.Order, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.order[address], nil
}

var _ = Describe("the drivers", func() {
	It("act only while the lease is held, and drain before they stop", func() {
		clock := testclock.NewFakeClock(start)
		terms := map[standin.Offer]standin.Terms{}
		for _, o := range fourZones() {
			terms[standin.Offer{AvailabilityZone: o.AvailabilityZone, MachineClass: "c", Purchase: o.Purchase}] =
				standin.Terms{PricePerHour: o.PricePerHour, Stock: 10}
		}
		standinCloud := standin.New(standin.Options{Clock: clock}, terms)
		lease := &fakeLease{}
		var mu sync.Mutex
		need, draining := 72.0, map[string]bool{}
		d := NewBuyerDriver(DriverOptions{Clock: clock}, NewBuyer(BuyerOptions{}, rand.New(rand.NewPCG(1, 1))), standinCloud, lease, BuyerHooks{
			Groups: func() []Group {
				mu.Lock()
				defer mu.Unlock()
				return []Group{{Name: "g", Need: need, Offers: fourZones()}}
			},
			Drain:    func(h cloud.Host) { mu.Lock(); defer mu.Unlock(); draining[h.ID] = true },
			Draining: func(h cloud.Host) bool { mu.Lock(); defer mu.Unlock(); return draining[h.ID] },
			Idle:     func(cloud.Host) bool { return true },
		}, nil)
		defer d.Close()
		advanceSeconds := func(n int) {
			for range n {
				clock.Step(time.Second)
				time.Sleep(time.Millisecond)
			}
		}
		advanceSeconds(40)
		Expect(standinCloud.Ledger().Starts).To(BeZero(), "without the lease")
		lease.set(true, 1)
		Eventually(func() int { advanceSeconds(1); return standinCloud.Ledger().Starts }, 5*time.Second).Should(Equal(12))
		mu.Lock()
		need = 24
		mu.Unlock()
		Eventually(func() int { advanceSeconds(20); return standinCloud.Ledger().Stops }, 5*time.Second).Should(BeNumerically(">=", 8))
		Expect(standinCloud.Ledger().Starts).To(Equal(12))
		mu.Lock()
		defer mu.Unlock()
		Expect(len(draining)).To(BeNumerically(">=", 8))
	})

	It("send engines their wanted orders", func() {
		clock := testclock.NewFakeClock(start)
		engines := &fakeEngines{order: map[string]engine.Order{}}
		lease := &fakeLease{}
		lease.set(true, 3)
		want := []Engine{{Name: "e", Address: "a", ChecksFencing: true, Models: []string{"m"}}}
		p := NewPlacer(PlacerOptions{}, rand.New(rand.NewPCG(1, 1)))
		d := NewPlacerDriver(DriverOptions{Clock: clock}, p, engines, lease, func() []Engine { return want }, nil)
		defer d.Close()
		Eventually(func() []string {
			clock.Step(time.Second)
			o, _ := engines.CurrentOrder(context.Background(), "a")
			return o.Models
		}, 5*time.Second).Should(Equal([]string{"m"}))
	})
})
