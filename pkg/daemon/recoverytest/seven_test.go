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
	// sevenDaemons is what each operator has today.
	sevenDaemons = 7
	// leavingTarget is the time after the first signal in which a leaving
	// server may still get new work (I5).
	leavingTarget = 2 * time.Second
	// quarantineTarget is "within seconds" of section 7.7, as for I7.
	quarantineTarget = 4 * time.Second
	// lossShare is the share of table operations that fail.
	lossShare = 0.3
	// chatsAfter is how many chats each daemon must have sent after the target.
	chatsAfter = 20
)

// traffic sends short chats through every daemon without pause.
type traffic struct {
	stop chan struct{}
	done sync.WaitGroup
	sent []atomic.Int64
	// failed is the first chat that was not answered whole.
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

func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// awaitMore waits until every daemon has sent n more chats.
func (t *traffic) awaitMore(n int64) {
	for i := range t.sent {
		until := t.sent[i].Load() + n
		Eventually(t.sent[i].Load).WithTimeout(startPatience).WithPolling(poll).Should(BeNumerically(">=", until))
	}
}

func (f *fleet) entriesOf(name string) int {
	n := 0
	for _, e := range f.engineLedger.Entries() {
		if e.Engine == name {
			n++
		}
	}
	return n
}

func (m *member) offers(pool, name string) bool {
	for _, server := range m.Available(pool) {
		if server.Name == name {
			return true
		}
	}
	return false
}

// withdrawn counts the daemons that do not offer a server.
func (f *fleet) withdrawn(pool, name string) int {
	n := 0
	for _, m := range f.members {
		if !m.offers(pool, name) {
			n++
		}
	}
	return n
}

func (m *member) quarantined() []string {
	var list struct {
		Entries []struct {
			Fingerprint string `json:"fingerprint"`
		} `json:"entries"`
	}
	_ = json.Unmarshal([]byte(m.get("/v1/quarantine").body), &list)
	var fingerprints []string
	for _, e := range list.Entries {
		fingerprints = append(fingerprints, e.Fingerprint)
	}
	return fingerprints
}

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
		f = newFleet(fleetOptions{daemons: sevenDaemons, reclaimable: 1, onDemand: 6})
		DeferCleanup(f.close)
	})

	expectInForce := func(revision uint64) {
		started := time.Now()
		for _, m := range f.members {
			Eventually(m.Revision).WithTimeout(inForce-time.Since(started)).WithPolling(poll).Should(Equal(revision), m.Name())
		}
		AddReportEntry("in force everywhere", time.Since(started).String())
	}

	It("put a published change in force within 4 s", func() {
		// Guards against a daemon that goes on under the old configuration.
		f.publish(f.members[0], 1, firstRate+1)
		expectInForce(2)
	})

	It("put a published change in force within 4 s while the table loses answers", func() {
		// Guards against a lost answer that delays or undoes a change.
		random := rand.New(rand.NewPCG(5, 0))
		f.table.Table.SetFault(func(op memtable.Operation) memtable.Fault {
			switch {
			case random.Float64() >= lossShare:
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
			ctx, cancel := context.WithTimeout(context.Background(), startPatience)
			defer cancel()
			_, err := f.members[1].Publish(ctx, publish.Request{Set: set(firstRate + 2), BaseRevision: 2, Publisher: "spec", PublishID: "lossy"})
			published = err == nil
			return published
		}).WithTimeout(startPatience).WithPolling(poll).Should(BeTrue())
		expectInForce(3)
	})

	It("give a leaving engine no new work 2 s after the first signal of any kind", func() {
		// Guards against a daemon that does not hear of a signal: each signal
		// is given alone, to an engine of its own.
		t := f.startTraffic()
		defer t.end()
		for _, e := range f.engines {
			Eventually(func() int { return f.entriesOf(e.Name()) }).WithTimeout(startPatience).WithPolling(poll).
				Should(BeNumerically(">", 0), e.Name())
		}
		reclaimed, refusing, listed := f.engines[0], f.engines[1], f.engines[2]
		f.cloud.ReclaimZone(reclaimableZone, time.Minute)
		refusing.Leave()
		f.hosts.SetLeaving(listed.Name())
		var watches sync.WaitGroup
		work := make([]int, 3)
		for n, e := range []*engine.Engine{reclaimed, refusing, listed} {
			pool := "engines-b"
			if e == reclaimed {
				pool = "engines-a"
			}
			watches.Go(func() {
				defer GinkgoRecover()
				Eventually(func() int { return f.withdrawn(pool, e.Name()) }).WithTimeout(startPatience).WithPolling(time.Millisecond).
					Should(BeNumerically(">", 0), "no daemon has seen the signal for %s", e.Name())
				first := time.Now()
				Eventually(func() int { return f.withdrawn(pool, e.Name()) }).WithTimeout(leavingTarget).WithPolling(poll).
					Should(Equal(sevenDaemons), e.Name())
				Eventually(time.Since).WithArguments(first).WithTimeout(startPatience).WithPolling(poll).
					Should(BeNumerically(">=", leavingTarget))
				// The chat that each daemon has in progress at the target may
				// have been sent before it.
				t.awaitMore(1)
				work[n] = f.entriesOf(e.Name())
			})
		}
		watches.Wait()
		t.awaitMore(chatsAfter)
		for n, e := range []*engine.Engine{reclaimed, refusing, listed} {
			Expect(f.entriesOf(e.Name())).To(Equal(work[n]), "signal %d: new work for %s", n, e.Name())
		}
		if problem := t.failed.Load(); problem != nil {
			Fail(*problem)
		}
	})

	It("refuse a request that has crashed two engines, and run it after its release", func() {
		// Guards against a crashing request that takes one engine at each
		// daemon, and against a release that is heard at one daemon only.
		content := "please " + crashMarker
		answered := make(chan *reply, 1)
		go func() { answered <- f.members[0].chat(content, 4) }()
		Eventually(f.crashed).WithTimeout(startPatience).WithPolling(time.Millisecond).Should(HaveLen(2))
		second := time.Now()
		for _, m := range f.members {
			Eventually(m.quarantined).WithTimeout(quarantineTarget-time.Since(second)).WithPolling(poll).Should(HaveLen(1), m.Name())
		}
		AddReportEntry("quarantined everywhere", time.Since(second).String())
		Expect((<-answered).problem.Type).NotTo(BeEmpty())
		for _, m := range f.members {
			r := m.chat(content, 4)
			Expect(r.problem.Type).To(HaveSuffix(":request-quarantined"), m.Name())
			Expect(r.problem.Outcome).To(Equal(api.OutcomeNotRun))
		}
		Expect(f.crashed()).To(HaveLen(2))

		// Engines that do not crash at the request take the place of the others.
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
					WithTimeout(startPatience).WithPolling(poll).Should(Equal(len(old) > 0 && !contains(old, e)), m.Name())
			}
		}
		fingerprint := f.members[3].quarantined()[0]
		Expect(f.members[3].operate(http.MethodDelete, "/v1/quarantine/"+fingerprint).status).To(Equal(http.StatusNoContent))
		for _, m := range f.members {
			Eventually(m.quarantined).WithTimeout(quarantineTarget).WithPolling(poll).Should(BeEmpty(), m.Name())
		}
		for _, m := range f.members {
			Eventually(func() string { return m.chat(content, 4).text() }).WithTimeout(quarantineTarget).WithPolling(poll).
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
