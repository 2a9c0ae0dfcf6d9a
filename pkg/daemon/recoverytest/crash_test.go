package recoverytest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
)

// takeoverTimeout covers the 10 s until a lease expires, the time until the lookup of
// a claim is due (the time for the call, its timeout and 5 s), and the rest of the
// work.
const takeoverTimeout = 60 * time.Second

const (
	deferredTokens = 600
	claimedKey     = "claimed-only"
	dispatchedKey  = "dispatched"
)

// rangeHolder returns the name of the daemon that holds the lease of a range
// according to the table.
func (f *fleet) rangeHolder(r int) string {
	item, err := f.table.Table.Get(context.Background(), lease.RowKey(lease.RangeName("range", r)))
	if err != nil {
		return ""
	}
	var row lease.Row
	Expect(json.Unmarshal(item.Value, &row)).To(Succeed())
	name, _, _ := strings.Cut(row.Holder, "#")
	return name
}

func (f *fleet) memberByName(name string) *member {
	for _, m := range f.members {
		if m.Name() == name {
			return m
		}
	}
	return nil
}

// onceOnlyRecord returns the stored record of a once-only call.
func (f *fleet) onceOnlyRecord(key string) (idempotency.Record, bool) {
	id := idempotency.ID{Account: "account", Key: key}
	item, err := f.table.Table.Get(context.Background(), id.RowKey())
	if err != nil {
		return idempotency.Record{}, false
	}
	stored, err := idempotency.Decode(id, item)
	Expect(err).NotTo(HaveOccurred())
	return stored.Record, true
}

// savedTokens returns the number of tokens in the saved partial answer of a deferred
// request in progress.
func (f *fleet) savedTokens(id string) int {
	partition := fmt.Sprintf("deferred/%02d", deferred.RangeOf("account", id))
	items, err := f.table.Table.Query(context.Background(), partition, "", 100)
	Expect(err).NotTo(HaveOccurred())
	for _, item := range items {
		var row struct {
			RequestID   string `json:"request_id"`
			SavedTokens int    `json:"saved_tokens"`
		}
		Expect(json.Unmarshal(item.Value, &row)).To(Succeed())
		if row.RequestID == id {
			return row.SavedTokens
		}
	}
	return 0
}

type deferredStatus struct {
	Finished bool   `json:"finished"`
	Text     string `json:"text"`
}

func (m *member) deferredStatus(id string) deferredStatus {
	var status deferredStatus
	r := m.exchange(http.MethodGet, m.callersURL("/v1/requests/"+id), apiKey, "", nil)
	_ = json.Unmarshal([]byte(r.body), &status)
	return status
}

var _ = Describe("Crashes of two daemons", Ordered, func() {
	var (
		f              *fleet
		deferredID     string
		dispatchVictim *member
		survivor       *member
	)

	// One daemon crashes after it has dispatched a call, while it runs a deferred
	// request. The other crashes between the claim and the dispatch of a call.
	BeforeAll(func() {
		f = newFleet(fleetOptions{daemons: 4, onDemand: 2, decodeStep: 10 * time.Millisecond, service: plainservice.Options{BarOnLookup: true}})
		DeferCleanup(f.close)
		accepted := f.members[0].exchange(http.MethodPost, f.members[0].callersURL("/v1/chat/completions"), apiKey,
			chatBody("brief", deferredTokens, false), map[string]string{"Prefer": "respond-async"})
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		deferredID = accepted.header.Get("Monsooncrank-Request")
		Eventually(f.savedTokens).WithArguments(deferredID).WithTimeout(defaultTimeout).WithPolling(pollInterval).
			Should(BeNumerically(">", 0))
		dispatchVictim = f.memberByName(f.rangeHolder(deferred.RangeOf("account", deferredID)))
		Expect(dispatchVictim).NotTo(BeNil())
		var others []*member
		for _, m := range f.members {
			if m != dispatchVictim {
				others = append(others, m)
			}
		}
		claimVictim := others[0]
		survivor = others[1]

		var sends atomic.Int32
		for _, s := range f.services {
			s.SetFault(func(c plainservice.Call) plainservice.Fault {
				if c.Key != dispatchedKey || sends.Add(1) > 1 {
					return plainservice.FaultNone
				}
				dispatchVictim.table.setCut(true)
				return plainservice.FaultSilentAfter
			})
		}
		replies := make(chan *reply, 1)
		go func() { replies <- dispatchVictim.book(dispatchedKey) }()
		Eventually(func() int { return f.serviceLedger.RunsOfKey(dispatchedKey) }).
			WithTimeout(defaultTimeout).WithPolling(pollInterval).Should(Equal(1))
		f.kill(dispatchVictim)
		Expect((<-replies).problem.Outcome).NotTo(Equal(api.OutcomeNotRun))
		Expect(survivor.deferredStatus(deferredID).Finished).To(BeFalse(), "the deferred request finished before the crash")

		// The claim is stored, but the daemon does not receive the response.
		claimVictim.table.setMute(true)
		go claimVictim.book(claimedKey)
		Eventually(func() bool { _, claimed := f.onceOnlyRecord(claimedKey); return claimed }).
			WithTimeout(defaultTimeout).WithPolling(pollInterval).Should(BeTrue())
		f.kill(claimVictim)
	})

	It("answers a dispatched call by a lookup, at another daemon, without a second run", func() {
		// Guards against a lost or duplicated booking, and against the outcome
		// not_run for a call that ran.
		var last *reply
		Eventually(func() int {
			last = survivor.book(dispatchedKey)
			Expect(last.problem.Outcome).NotTo(Equal(api.OutcomeNotRun), last.body)
			return last.status
		}).WithTimeout(takeoverTimeout).WithPolling(200 * time.Millisecond).Should(Equal(http.StatusOK))
		Expect(f.serviceLedger.RunsOfKey(dispatchedKey)).To(Equal(1))
		Expect(last.body).To(Equal(string(f.serviceLedger.Runs()[0].Answer.Body)))
		settled, _ := f.onceOnlyRecord(dispatchedKey)
		Expect(settled.State).To(Equal(idempotency.StateDone))
		Expect(settled.Settled).To(BeTrue())
	})

	It("settles a call that was claimed but not dispatched, and runs it at most once", func() {
		// Guards against a claim that blocks its key forever, and against a run of
		// an attempt that was already answered with not_run.
		Eventually(func() idempotency.State {
			onceOnlyRecord, _ := f.onceOnlyRecord(claimedKey)
			return onceOnlyRecord.State
		}).WithTimeout(takeoverTimeout).WithPolling(pollInterval).ShouldNot(Equal(idempotency.StateClaimed))
		settled, _ := f.onceOnlyRecord(claimedKey)
		Expect(settled.State).To(Equal(idempotency.StateNotRun))
		Expect(f.serviceLedger.RunsOfAttempt(settled.AttemptID)).To(BeZero())
		answer := survivor.book(claimedKey)
		fmt.Fprintln(GinkgoWriter, "repeated call with the settled key:", answer.status, answer.body)
		Expect(answer.status).To(Equal(http.StatusOK), answer.body)
		Expect(f.serviceLedger.RunsOfKey(claimedKey)).To(Equal(1))
		Expect(f.serviceLedger.RunsOfAttempt(settled.AttemptID)).To(BeZero())
	})

	It("finishes a deferred request from its saved partial answer", func() {
		// Guards against a deferred request that is lost when its daemon crashes,
		// or that starts over from the beginning.
		Eventually(func() bool { return survivor.deferredStatus(deferredID).Finished }).
			WithTimeout(takeoverTimeout).WithPolling(pollInterval).Should(BeTrue())
		expected := engine.ExpectedText(model, messages("brief"), deferredTokens)
		for _, m := range f.running() {
			Expect(m.deferredStatus(deferredID).Text).To(Equal(expected))
		}
		var resumed, finished int
		for _, e := range f.engineLedger.Entries() {
			if engine.RequestOf(e.AttemptID) != deferredID {
				continue
			}
			Expect(e.WrongResume).To(BeFalse())
			if e.FirstOffset > 0 {
				resumed++
			}
			if e.End == engine.EndFinished {
				finished++
			}
		}
		Expect(resumed).To(BeNumerically(">=", 1))
		Expect(finished).To(Equal(1))
	})

	It("takes over all ranges, and shows the holders in the metrics", func() {
		// Guards against ranges that no daemon takes over, and against metrics
		// that do not show which ranges are held.
		Eventually(func() int {
			held := 0
			for _, m := range f.running() {
				held += m.metric("monsooncrank_leases_held")
			}
			return held
		}).WithTimeout(takeoverTimeout).WithPolling(100 * time.Millisecond).Should(Equal(lease.Ranges))
	})
})
