package recoverytest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
)

const (
	// daemonCount is the number of daemons that each operator runs.
	daemonCount = 7
	// leavingTarget is the time after the first signal during which a leaving
	// server may still get new work (invariant I5).
	leavingTarget = 2 * time.Second
	// quarantineTarget is the time in which a quarantine must reach all daemons.
	// Section 7.7 of the design page requires seconds; the value is the target of
	// invariant I7.
	quarantineTarget = 4 * time.Second
	// faultProbability is the probability that a table operation fails.
	faultProbability = 0.3
	// chatsAfterTarget is the number of chats that each daemon must send after
	// leavingTarget.
	chatsAfterTarget = 20
)

// traffic continuously sends short chats through every daemon.
type traffic struct {
	stop chan struct{}
	done sync.WaitGroup
	sent []atomic.Int64
	// failed describes the first chat without the expected answer.
	failed atomic.Pointer[string]
}

func (f *fleet) startTraffic() *traffic {
	t := &traffic{stop: make(chan struct{}), sent: make([]atomic.Int64, len(f.members))}
	for n, m := range f.members {
		t.done.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-t.stop:
					return
				default:
				}
				content := fmt.Sprintf("%s %d", m.Name(), i)
				r := m.chat(content, 4)
				if r.text() != engine.ExpectedText(model, messages(content), 4) {
					problem := fmt.Sprintf("%s: %d %s", content, r.status, r.body)
					t.failed.CompareAndSwap(nil, &problem)
				}
				t.sent[n].Add(1)
			}
		})
	}
	return t
}

func (t *traffic) stopAndWait() {
	close(t.stop)
	t.done.Wait()
}

// awaitMore waits until every daemon has sent n more chats.
func (t *traffic) awaitMore(n int64) {
	for i := range t.sent {
		until := t.sent[i].Load() + n
		Eventually(t.sent[i].Load).WithTimeout(defaultTimeout).WithPolling(pollInterval).Should(BeNumerically(">=", until))
	}
}

// engineEntryCount returns the number of attempts that an engine has received.
func (f *fleet) engineEntryCount(name string) int {
	n := 0
	for _, e := range f.engineLedger.Entries() {
		if e.Engine == name {
			n++
		}
	}
	return n
}

// offers reports whether the daemon considers a server available for new work.
func (m *member) offers(pool, name string) bool {
	for _, server := range m.Available(pool) {
		if server.Name == name {
			return true
		}
	}
	return false
}

// withdrawnCount returns the number of daemons that do not offer a server.
func (f *fleet) withdrawnCount(pool, name string) int {
	n := 0
	for _, m := range f.members {
		if !m.offers(pool, name) {
			n++
		}
	}
	return n
}

// quarantined returns the fingerprints of the quarantined requests.
func (m *member) quarantined() []string {
	var list struct {
		Entries []struct {
			Fingerprint string `json:"fingerprint"`
		} `json:"entries"`
	}
	_ = json.Unmarshal([]byte(m.operatorGet("/v1/quarantine").body), &list)
	var fingerprints []string
	for _, e := range list.Entries {
		fingerprints = append(fingerprints, e.Fingerprint)
	}
	return fingerprints
}

// crashed returns the engines that have crashed.
func (f *fleet) crashed() []*engine.Engine {
	var crashed []*engine.Engine
	for _, e := range f.engines {
		if e.Killed() {
			crashed = append(crashed, e)
		}
	}
	return crashed
}

var _ = Describe("Seven daemons", Ordered, func() {
	var f *fleet

	BeforeAll(func() {
		f = newFleet(fleetOptions{daemons: daemonCount, reclaimable: 1, onDemand: 6})
		DeferCleanup(f.close)
	})

	expectInForce := func(revision uint64) {
		started := time.Now()
		for _, m := range f.members {
			Eventually(m.Revision).WithTimeout(publishTarget-time.Since(started)).WithPolling(pollInterval).Should(Equal(revision), m.Name())
		}
		AddReportEntry("in force everywhere", time.Since(started).String())
	}

	It("put a published change in force within 4 s", func() {
		// Guards against a daemon that keeps serving under the old configuration.
		f.publish(f.members[0], 1, initialRequestRate+1)
		expectInForce(2)
	})

	It("put a published change in force within 4 s while the table loses responses", func() {
		// Guards against a lost response that delays or reverts a change.
		random := rand.New(rand.NewPCG(5, 0))
		f.table.Table.SetFault(func(op memtable.Operation) memtable.Fault {
			switch {
			case random.Float64() >= faultProbability:
				return memtable.FaultNone
			case op != memtable.OperationTransact:
				return memtable.FaultUnavailable
			case random.IntN(2) == 0:
				return memtable.FaultRequestLost
			}
			return memtable.FaultAnswerLost
		})
		defer f.table.Table.SetFault(nil)
		published := false
		Eventually(func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
			defer cancel()
			_, err := f.members[1].Publish(ctx, publish.Request{Set: configurationWithRate(initialRequestRate + 2), BaseRevision: 2, Publisher: "spec", PublishID: "lossy"})
			published = err == nil
			return published
		}).WithTimeout(defaultTimeout).WithPolling(pollInterval).Should(BeTrue())
		expectInForce(3)
	})

	It("give a leaving engine no new work 2 s after the first signal of any kind", func() {
		// Guards against a daemon that ignores one kind of signal. Each kind is sent
		// for a different engine, so that no other signal can have the same effect.
		t := f.startTraffic()
		defer t.stopAndWait()
		for _, e := range f.engines {
			Eventually(func() int { return f.engineEntryCount(e.Name()) }).WithTimeout(defaultTimeout).WithPolling(pollInterval).
				Should(BeNumerically(">", 0), e.Name())
		}
		reclaimed, refusing, listed := f.engines[0], f.engines[1], f.engines[2]
		f.cloud.ReclaimZone(reclaimableZone, time.Minute)
		refusing.Leave()
		f.hosts.SetLeaving(listed.Name())
		var watches sync.WaitGroup
		entriesAtTarget := make([]int, 3)
		for n, e := range []*engine.Engine{reclaimed, refusing, listed} {
			pool := "engines-b"
			if e == reclaimed {
				pool = "engines-a"
			}
			watches.Go(func() {
				defer GinkgoRecover()
				Eventually(func() int { return f.withdrawnCount(pool, e.Name()) }).WithTimeout(defaultTimeout).WithPolling(time.Millisecond).
					Should(BeNumerically(">", 0), "no daemon has seen the signal for %s", e.Name())
				first := time.Now()
				Eventually(func() int { return f.withdrawnCount(pool, e.Name()) }).WithTimeout(leavingTarget).WithPolling(pollInterval).
					Should(Equal(daemonCount), e.Name())
				Eventually(time.Since).WithArguments(first).WithTimeout(defaultTimeout).WithPolling(pollInterval).
					Should(BeNumerically(">=", leavingTarget))
				// A chat that is in progress at each daemon when leavingTarget has
				// passed may have been sent before, so let it end.
				t.awaitMore(1)
				entriesAtTarget[n] = f.engineEntryCount(e.Name())
			})
		}
		watches.Wait()
		t.awaitMore(chatsAfterTarget)
		for n, e := range []*engine.Engine{reclaimed, refusing, listed} {
			Expect(f.engineEntryCount(e.Name())).To(Equal(entriesAtTarget[n]), "signal %d: new work for %s", n, e.Name())
		}
		if problem := t.failed.Load(); problem != nil {
			Fail(*problem)
		}
	})

	It("refuse a request that has crashed two engines, and run it after its release", func() {
		// Guards against a request that crashes one engine at each daemon, and
		// against a release that takes effect at one daemon only.
		content := "please " + crashMarker
		answered := make(chan *reply, 1)
		go func() { answered <- f.members[0].chat(content, 4) }()
		Eventually(f.crashed).WithTimeout(defaultTimeout).WithPolling(time.Millisecond).Should(HaveLen(2))
		second := time.Now()
		for _, m := range f.members {
			Eventually(m.quarantined).WithTimeout(quarantineTarget-time.Since(second)).WithPolling(pollInterval).Should(HaveLen(1), m.Name())
		}
		AddReportEntry("quarantined everywhere", time.Since(second).String())
		Expect((<-answered).problem.Type).NotTo(BeEmpty())
		for _, m := range f.members {
			r := m.chat(content, 4)
			Expect(r.problem.Type).To(HaveSuffix(":request-quarantined"), m.Name())
			Expect(r.problem.Outcome).To(Equal(api.OutcomeNotRun))
		}
		Expect(f.crashed()).To(HaveLen(2))

		// Replace all engines by ones that the request does not crash.
		old := append([]*engine.Engine(nil), f.engines...)
		for range 2 {
			f.startEngine(onDemandZone, membership.PurchaseOnDemand, 0, "")
		}
		for _, e := range old {
			e.Leave()
			f.hosts.SetLeaving(e.Name())
		}
		for _, m := range f.members {
			for _, e := range f.engines {
				Eventually(func() bool { return m.offers("engines-a", e.Name()) || m.offers("engines-b", e.Name()) }).
					WithTimeout(defaultTimeout).WithPolling(pollInterval).Should(Equal(len(old) > 0 && !contains(old, e)), m.Name())
			}
		}
		fingerprint := f.members[3].quarantined()[0]
		Expect(f.members[3].operatorRequest(http.MethodDelete, "/v1/quarantine/"+fingerprint).status).To(Equal(http.StatusNoContent))
		for _, m := range f.members {
			Eventually(m.quarantined).WithTimeout(quarantineTarget).WithPolling(pollInterval).Should(BeEmpty(), m.Name())
		}
		for _, m := range f.members {
			Eventually(func() string { return m.chat(content, 4).text() }).WithTimeout(quarantineTarget).WithPolling(pollInterval).
				Should(Equal(engine.ExpectedText(model, messages(content), 4)), m.Name())
		}
	})
})

func contains(engines []*engine.Engine, e *engine.Engine) bool {
	for _, other := range engines {
		if other == e {
			return true
		}
	}
	return false
}
