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

// takeover bounds a lease's 10 s, the look-up of a claim at its due time (time
// for the call, its timeout and 5 s), and the work that goes on.
const takeover = 60 * time.Second

const (
	briefTokens = 600
	claimedKey  = "claimed-only"
	sentKey     = "dispatched"
)

// holder returns the name of the daemon whose row holds a range.
func (f *fleet) holder(r int) string {
	item, err := f.table.Table.Get(context.Background(), lease.RowKey(lease.RangeName("range", r)))
	if err != nil {
		return ""
	}
	var row lease.Row
	Expect(json.Unmarshal(item.Value, &row)).To(Succeed())
	name, _, _ := strings.Cut(row.Holder, "#")
	return name
}

func (f *fleet) byName(name string) *member {
	for _, m := range f.members {
		if m.Name() == name {
			return m
		}
	}
	return nil
}

// record returns the once-only record of a key.
func (f *fleet) record(key string) (idempotency.Record, bool) {
	id := idempotency.ID{Account: "account", Key: key}
	item, err := f.table.Table.Get(context.Background(), id.RowKey())
	if err != nil {
		return idempotency.Record{}, false
	}
	stored, err := idempotency.Decode(id, item)
	Expect(err).NotTo(HaveOccurred())
	return stored.Record, true
}

// savedTokens returns the length of the saved partial answer of a deferred
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

var _ = Describe("Unannounced deaths of two daemons", Ordered, func() {
	var (
		f          *fleet
		brief      string
		sentVictim *member
		heir       *member
	)

	// One daemon dies after the dispatch of a call, with a deferred request
	// half done; the other between the claim and the dispatch of a call.
	BeforeAll(func() {
		f = newFleet(fleetOptions{daemons: 4, onDemand: 2, decodeStep: 10 * time.Millisecond, service: plainservice.Options{BarOnLookup: true}})
		DeferCleanup(f.close)
		accepted := f.members[0].exchange(http.MethodPost, f.members[0].callersURL("/v1/chat/completions"), apiKey,
			chatBody("brief", briefTokens, false), map[string]string{"Prefer": "respond-async"})
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		brief = accepted.header.Get("Monsooncrank-Request")
		Eventually(f.savedTokens).WithArguments(brief).WithTimeout(startPatience).WithPolling(poll).
			Should(BeNumerically(">", 0))
		sentVictim = f.byName(f.holder(deferred.RangeOf("account", brief)))
		Expect(sentVictim).NotTo(BeNil())
		var others []*member
		for _, m := range f.members {
			if m != sentVictim {
				others = append(others, m)
			}
		}
		claimVictim := others[0]
		heir = others[1]

		var sends atomic.Int32
		for _, s := range f.services {
			s.SetFault(func(c plainservice.Call) plainservice.Fault {
				if c.Key != sentKey || sends.Add(1) > 1 {
					return plainservice.FaultNone
				}
				sentVictim.table.setCut(true)
				return plainservice.FaultSilentAfter
			})
		}
		told := make(chan *reply, 1)
		go func() { told <- sentVictim.book(sentKey) }()
		Eventually(func() int { return f.serviceLedger.RunsOfKey(sentKey) }).
			WithTimeout(startPatience).WithPolling(poll).Should(Equal(1))
		f.kill(sentVictim)
		Expect((<-told).problem.Outcome).NotTo(Equal(api.OutcomeNotRun))
		Expect(heir.deferredStatus(brief).Finished).To(BeFalse(), "the request ended before the death")

		// The claim takes effect, but its answer does not arrive.
		claimVictim.table.setMute(true)
		go claimVictim.book(claimedKey)
		Eventually(func() bool { _, claimed := f.record(claimedKey); return claimed }).
			WithTimeout(startPatience).WithPolling(poll).Should(BeTrue())
		f.kill(claimVictim)
	})

	It("answers a dispatched call by look-up, at another daemon, without a second run", func() {
		// Guards against a lost or doubled booking, and against not_run for a
		// call that ran.
		var last *reply
		Eventually(func() int {
			last = heir.book(sentKey)
			Expect(last.problem.Outcome).NotTo(Equal(api.OutcomeNotRun), last.body)
			return last.status
		}).WithTimeout(takeover).WithPolling(200 * time.Millisecond).Should(Equal(http.StatusOK))
		Expect(f.serviceLedger.RunsOfKey(sentKey)).To(Equal(1))
		Expect(last.body).To(Equal(string(f.serviceLedger.Runs()[0].Answer.Body)))
		settled, _ := f.record(sentKey)
		Expect(settled.State).To(Equal(idempotency.StateDone))
		Expect(settled.Settled).To(BeTrue())
	})

	It("settles a call that was claimed but not dispatched, and runs it at most once", func() {
		// Guards against a claim that blocks its key for good, and against a
		// not_run that is followed by a run of the same attempt.
		Eventually(func() idempotency.State {
			record, _ := f.record(claimedKey)
			return record.State
		}).WithTimeout(takeover).WithPolling(poll).ShouldNot(Equal(idempotency.StateClaimed))
		settled, _ := f.record(claimedKey)
		Expect(settled.State).To(Equal(idempotency.StateNotRun))
		Expect(f.serviceLedger.RunsOfAttempt(settled.AttemptID)).To(BeZero())
		answer := heir.book(claimedKey)
		fmt.Fprintln(GinkgoWriter, "repeat of the settled key:", answer.status, answer.body)
		Expect(answer.status).To(Equal(http.StatusOK), answer.body)
		Expect(f.serviceLedger.RunsOfKey(claimedKey)).To(Equal(1))
		Expect(f.serviceLedger.RunsOfAttempt(settled.AttemptID)).To(BeZero())
	})

	It("finishes a deferred request from its saved partial answer", func() {
		// Guards against a deferred request that is lost with its daemon, or
		// that is redone from the start.
		Eventually(func() bool { return heir.deferredStatus(brief).Finished }).
			WithTimeout(takeover).WithPolling(poll).Should(BeTrue())
		expected := engine.ExpectedText(model, messages("brief"), briefTokens)
		for _, m := range f.running() {
			Expect(m.deferredStatus(brief).Text).To(Equal(expected))
		}
		var resumed, finished int
		for _, e := range f.engineLedger.Entries() {
			if engine.RequestOf(e.AttemptID) != brief {
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

	It("leaves no range without a holder, and shows it in the metrics", func() {
		// Guards against ranges that nobody takes over, and against operators
		// that cannot see it.
		Eventually(func() int {
			held := 0
			for _, m := range f.running() {
				held += m.metric("monsooncrank_leases_held")
			}
			return held
		}).WithTimeout(takeover).WithPolling(100 * time.Millisecond).Should(Equal(lease.Ranges))
	})
})
