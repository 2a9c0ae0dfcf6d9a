package admission_test

import (
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"k8s.io/utils/clock"
	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/pkg/admission"
)

var epoch = time.Unix(1000, 0)

const unlimited = 1 << 20

func newCore(slots int, weights map[string]float64) *admission.Core {
	core := admission.NewCore(admission.DefaultOptions())
	accounts := make(map[string]admission.Account)
	for name, weight := range weights {
		accounts[name] = admission.Account{Weight: weight, MaxInFlight: unlimited, RequestsPerSecond: unlimited}
	}
	core.SetAccounts(epoch, accounts)
	core.SetSlots(epoch, "r", slots)
	return core
}

// TestRandomAdmission guards against slots that are lost or counted twice,
// refusals of requests that are already running, and admissions of requests that
// cannot finish in time, with random arrivals, ends, capacity changes and daemons
// that join and leave.
func TestRandomAdmission(t *testing.T) {
	faults := []string{"capacity lost", "daemon joined", "caller gone"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		core := newCore(4, map[string]float64{"a": 1, "b": 4})
		now := epoch
		requests := make(map[string]admission.Request)
		running := make(map[string]bool)
		apply := func(outcomes []admission.Outcome) {
			for _, o := range outcomes {
				r, known := requests[o.ID]
				switch {
				case !known:
					rt.Fatalf("outcome for %s, which is neither waiting nor running", o.ID)
				case o.Preempted && (!running[o.ID] || !r.Deferred):
					rt.Fatalf("%s preempted: running %t, deferred %t", o.ID, running[o.ID], r.Deferred)
				case o.Refused != nil && running[o.ID]:
					rt.Fatalf("%s refused while it runs", o.ID)
				case o.Admitted && running[o.ID]:
					rt.Fatalf("%s admitted twice", o.ID)
				case o.Admitted && !r.Deferred && now.Add(r.ExpectedDuration).After(r.Deadline):
					rt.Fatalf("%s admitted too late to finish before its deadline", o.ID)
				case o.Admitted && !r.Deferred && !r.StartBy.IsZero() && now.After(r.StartBy):
					rt.Fatalf("%s admitted after its latest start", o.ID)
				}
				report.Outcome(fmt.Sprintf("admitted %t preempted %t", o.Admitted, o.Preempted))
				if o.Admitted {
					running[o.ID] = true
					continue
				}
				delete(running, o.ID)
				delete(requests, o.ID)
			}
		}
		for step := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			report.Step()
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			// There are more arrivals than ends, so that some requests wait until
			// they are late.
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1, 2, 3, 4, 5:
				r := admission.Request{
					ID: fmt.Sprintf("%03d", step), Resource: "r",
					ClientAccount:    rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "account"),
					Priority:         rapid.IntRange(0, 1).Draw(rt, "priority"),
					Deadline:         now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "deadline")) * time.Millisecond),
					ExpectedDuration: 500 * time.Millisecond,
					Deferred:         rapid.IntRange(0, 2).Draw(rt, "deferred") == 0,
				}
				if rapid.Bool().Draw(rt, "starts by") {
					r.StartBy = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "start")) * time.Millisecond)
				}
				requests[r.ID] = r
				apply(core.Submit(now, r))
			case 6, 7:
				if id := pick(rt, requests); id != "" {
					if !running[id] {
						report.Fault("caller gone")
					}
					delete(requests, id)
					delete(running, id)
					apply(core.Finish(now, id))
				}
			case 8:
				report.Fault("capacity lost")
				apply(core.SetSlots(now, "r", rapid.IntRange(0, 8).Draw(rt, "slots")))
			case 9:
				report.Fault("daemon joined")
				apply(core.SetDaemons(now, rapid.IntRange(1, 3).Draw(rt, "daemons")))
			}
			apply(core.Tick(now))
			if got := core.Running("r"); got != len(running) {
				rt.Fatalf("core counts %d running requests, want %d", got, len(running))
			}
			if got := core.Waiting("r"); got != len(requests)-len(running) {
				rt.Fatalf("core counts %d waiting requests, want %d", got, len(requests)-len(running))
			}
		}
	})
}

// pick draws the ID of a waiting or running request, or returns "" if there is
// none.
func pick(rt *rapid.T, requests map[string]admission.Request) string {
	if len(requests) == 0 {
		return ""
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(requests))).Draw(rt, "request")
}

// event is an arrival or a departure in a simulation of overload.
type event struct {
	at      time.Time
	id      string
	account string
	arrives bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// overload simulates a minute with 16 slots. Each account sends load times the
// requests that the slots can serve. It returns the numbers of requests offered
// and answered in time by account, and the number that the slots can serve.
func overload(load map[string]float64, weights map[string]float64) (offered, inTime map[string]int, capacity float64) {
	const slots, serviceTime, timeout = 16, time.Second, 3 * time.Second
	const duration = time.Minute
	core := newCore(slots, weights)
	random := rand.New(rand.NewPCG(7, 7))
	queue := &events{}
	n := 0
	offered, inTime = make(map[string]int), make(map[string]int)
	for _, account := range slices.Sorted(maps.Keys(load)) {
		rate := load[account] * slots / serviceTime.Seconds()
		for at := epoch; at.Before(epoch.Add(duration)); at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			n++
			offered[account]++
			heap.Push(queue, event{at: at, id: fmt.Sprint(n), account: account, arrives: true})
		}
	}
	arrived := make(map[string]event)
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		var outcomes []admission.Outcome
		if e.arrives {
			arrived[e.id] = e
			outcomes = core.Submit(e.at, admission.Request{
				ID: e.id, Resource: "r", ClientAccount: e.account, Deadline: e.at.Add(timeout), ExpectedDuration: serviceTime,
			})
		} else {
			if e.at.Sub(arrived[e.id].at) <= timeout {
				inTime[e.account]++
			}
			outcomes = core.Finish(e.at, e.id)
		}
		for _, o := range outcomes {
			if o.Admitted {
				heap.Push(queue, event{at: e.at.Add(serviceTime), id: o.ID, account: arrived[o.ID].account})
			}
		}
	}
	return offered, inTime, slots * duration.Seconds() / serviceTime.Seconds()
}

// TestOverloadKeepsGoodput guards against a collapse of goodput under overload: at
// three times the capacity, the number of answers in time must stay within 10% of
// the capacity.
func TestOverloadKeepsGoodput(t *testing.T) {
	g := NewWithT(t)
	_, inTime, capacity := overload(map[string]float64{"a": 3}, map[string]float64{"a": 1})
	t.Logf("answered %d requests in time, capacity %.0f", inTime["a"], capacity)
	g.Expect(float64(inTime["a"])).To(BeNumerically(">=", 0.9*capacity))
}

// TestFloodingAccountDoesNotStarveOthers guards against an account with
// excessive load that takes the share of a small account.
func TestFloodingAccountDoesNotStarveOthers(t *testing.T) {
	g := NewWithT(t)
	offered, inTime, capacity := overload(map[string]float64{"large": 3, "small": 0.2}, map[string]float64{"large": 1, "small": 1})
	t.Logf("offered %v, answered %v in time, capacity %.0f", offered, inTime, capacity)
	g.Expect(float64(inTime["small"])).To(BeNumerically(">=", 0.9*float64(offered["small"])))
	g.Expect(float64(inTime["small"] + inTime["large"])).To(BeNumerically(">=", 0.9*capacity))
}

// TestSharesFollowWeights guards against fair shares that ignore the weights.
func TestSharesFollowWeights(t *testing.T) {
	g := NewWithT(t)
	_, inTime, _ := overload(map[string]float64{"one": 2, "three": 2}, map[string]float64{"one": 1, "three": 3})
	t.Logf("answered in time: %v", inTime)
	g.Expect(float64(inTime["three"]) / float64(inTime["one"])).To(BeNumerically("~", 3, 0.5))
}

// TestLimitsAreSharedByDaemons guards against a daemon that uses more than its share
// of an account's limits or of the slots.
func TestLimitsAreSharedByDaemons(t *testing.T) {
	g := NewWithT(t)
	core := admission.NewCore(admission.DefaultOptions())
	core.SetAccounts(epoch, map[string]admission.Account{"a": {Weight: 1, MaxInFlight: 14, RequestsPerSecond: 70}})
	core.SetSlots(epoch, "r", 700)
	core.SetDaemons(epoch, 7)
	admitted := 0
	var last *admission.RefusedError
	for i := range 30 {
		o := core.Submit(epoch, admission.Request{ID: fmt.Sprint(i), Resource: "r", ClientAccount: "a", Deadline: epoch.Add(time.Minute)})[0]
		if o.Admitted {
			admitted++
		} else {
			last = o.Refused
		}
	}
	g.Expect(admitted).To(Equal(2), "14 in flight over 7 daemons")
	g.Expect(last.Reason).To(Equal(admission.ReasonInFlight))
	g.Expect(core.Slots("r")).To(Equal(100))
}

// TestLateRequestIsRefusedAtDispatch guards against using a slot for a request that
// became too late while it waited.
func TestLateRequestIsRefusedAtDispatch(t *testing.T) {
	g := NewWithT(t)
	core := newCore(1, map[string]float64{"a": 1})
	submit := func(id string, deadline time.Duration) []admission.Outcome {
		return core.Submit(epoch, admission.Request{
			ID: id, Resource: "r", ClientAccount: "a", ExpectedDuration: 500 * time.Millisecond, Deadline: epoch.Add(deadline),
		})
	}
	g.Expect(submit("first", time.Minute)).To(HaveLen(1))
	g.Expect(submit("late", 2600*time.Millisecond)).To(BeEmpty())
	g.Expect(submit("patient", time.Minute)).To(BeEmpty())
	outcomes := core.Finish(epoch.Add(2200*time.Millisecond), "first")
	g.Expect(outcomes).To(HaveLen(2))
	g.Expect(outcomes[0].ID).To(Equal("late"))
	g.Expect(outcomes[0].Refused.Reason).To(Equal(admission.ReasonDeadline))
	g.Expect(outcomes[1]).To(Equal(admission.Outcome{ID: "patient", Admitted: true}))
}

// TestDeferredWorkYields guards against deferred requests that make other requests
// wait.
func TestDeferredWorkYields(t *testing.T) {
	g := NewWithT(t)
	core := newCore(2, map[string]float64{"a": 1})
	submit := func(id string, deferred bool) []admission.Outcome {
		return core.Submit(epoch, admission.Request{ID: id, Resource: "r", ClientAccount: "a", Deferred: deferred, Deadline: epoch.Add(time.Minute)})
	}
	submit("brief-1", true)
	submit("brief-2", true)
	g.Expect(submit("chat", false)).To(Equal([]admission.Outcome{{ID: "brief-2", Preempted: true}, {ID: "chat", Admitted: true}}))
	g.Expect(submit("brief-3", true)).To(BeEmpty())
	g.Expect(core.Finish(epoch, "chat")).To(Equal([]admission.Outcome{{ID: "brief-3", Admitted: true}}))
}

// TestControllerReturnsSlots guards against leaked goroutines and slots when callers
// cancel while they wait.
func TestControllerReturnsSlots(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	c, err := admission.NewController(admission.ControllerOptions{
		Core: admission.DefaultOptions(), Clock: clock.RealClock{}, Registry: prometheus.NewRegistry(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	c.SetAccounts(map[string]admission.Account{"a": {Weight: 1, MaxInFlight: unlimited, RequestsPerSecond: unlimited}})
	c.SetSlots("r", 2)
	var group sync.WaitGroup
	for i := range 64 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*time.Millisecond)
			defer cancel()
			slot, err := c.Acquire(ctx, admission.Request{ID: fmt.Sprint(i), Resource: "r", ClientAccount: "a", Deadline: time.Now().Add(time.Minute)})
			if err == nil {
				time.Sleep(time.Millisecond)
				slot.Release()
			}
		})
	}
	group.Wait()
	slot, err := c.Acquire(context.Background(), admission.Request{ID: "last", Resource: "r", ClientAccount: "a", Deadline: time.Now().Add(time.Minute)})
	g.Expect(err).NotTo(HaveOccurred())
	slot.Release()
}

// TestLatestStart guards against a request that waits past its latest start and
// then delays the requests behind it, and against refusing a request that can
// start immediately.
func TestLatestStart(t *testing.T) {
	g := NewWithT(t)
	core := newCore(1, map[string]float64{"a": 1})
	submit := func(id string, startBy time.Duration) []admission.Outcome {
		return core.Submit(epoch, admission.Request{
			ID: id, Resource: "r", ClientAccount: "a", Deadline: epoch.Add(time.Hour), StartBy: epoch.Add(startBy),
		})
	}
	g.Expect(submit("1", 0)).To(ConsistOf(HaveField("Admitted", true)))
	// The expected wait is the initial service time of 2 s.
	g.Expect(submit("2", time.Second)).To(ConsistOf(HaveField("Refused.Reason", admission.ReasonDeadline)))
	g.Expect(submit("3", 3*time.Second)).To(BeEmpty())
	g.Expect(core.Tick(epoch.Add(3 * time.Second))).To(BeEmpty())
	late := core.Finish(epoch.Add(3*time.Second+1), "1")
	g.Expect(late).To(ConsistOf(And(HaveField("ID", "3"), HaveField("Refused.Reason", admission.ReasonDeadline))))
}

// TestDeferredReserve guards against slots that stay reserved although no
// interactive requests arrive, and against deferred requests that take the last
// slots when they do.
func TestDeferredReserve(t *testing.T) {
	g := NewWithT(t)
	core := newCore(10, map[string]float64{"a": 1})
	submit := func(id string, deferred bool) []admission.Outcome {
		return core.Submit(epoch, admission.Request{
			ID: id, Resource: "r", ClientAccount: "a", Deadline: epoch.Add(time.Hour), Deferred: deferred,
		})
	}
	for i := range 10 {
		g.Expect(submit(fmt.Sprint("deferred-", i), true)).To(ConsistOf(HaveField("Admitted", true)))
	}
	g.Expect(submit("interactive", false)).To(ConsistOf(HaveField("Preempted", true), HaveField("Admitted", true)))
	core.Finish(epoch, "interactive")
	g.Expect(submit("deferred-last", true)).To(BeEmpty())
	g.Expect(core.Running("r")).To(Equal(9))
}
