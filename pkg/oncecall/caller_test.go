package oncecall_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/service"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
)

func TestOnceCall(t *testing.T) {
	defer goleak.VerifyNone(t,
		goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "once-only and repeatable calls")
}

// deployment consists of a table and the servers of one service, reached over
// TCP.
type deployment struct {
	*plainservice.Group
	store    *memtable.Store
	client   *service.HTTPClient
	reporter *invariant.Reporter
	calls    map[string]config.Call
}

func newDeployment(servers int) *deployment {
	group, err := plainservice.NewGroup("p", servers, plainservice.Options{})
	Expect(err).NotTo(HaveOccurred())
	d := &deployment{
		Group:    group,
		store:    memtable.New(),
		client:   service.NewClient(service.Options{IdleTimeout: 50 * time.Millisecond}),
		reporter: &invariant.Reporter{},
		calls: map[string]config.Call{
			"book":  {Path: "/book", Mode: config.CallOnceOnly, TimeoutSeconds: 0.5, LookupPath: plainservice.LookupPath},
			"pay":   {Path: "/pay", Mode: config.CallOnceOnly, TimeoutSeconds: 0.5},
			"hold":  {Path: "/hold", Mode: config.CallOnceOnly, TimeoutSeconds: 0.5, DeduplicatesByKey: true},
			"slots": {Path: "/slots", Mode: config.CallRepeatable, TimeoutSeconds: 0.5},
		},
	}
	DeferCleanup(func() {
		Expect(d.reporter.Counts()).To(BeEmpty())
		d.client.Close()
		group.Close()
	})
	return d
}

// Call implements oncecall.Configuration.
func (d *deployment) Call(_, call string) (config.Call, []string, bool) {
	declared, ok := d.calls[call]
	return declared, []string{"p"}, ok
}

func (d *deployment) caller(change func(*oncecall.Options)) *oncecall.Caller {
	options := oncecall.Options{
		Daemon: "d", Configuration: d, Directory: d, Client: d.client, Store: d.store,
		Reporter: d.reporter, SettleInterval: 10 * time.Millisecond, SettleMargin: time.Millisecond,
		DrainTimeout: time.Second,
	}
	if change != nil {
		change(&options)
	}
	caller := oncecall.NewCaller(options)
	DeferCleanup(caller.Close)
	return caller
}

// call runs a call for account "a" and returns its answer or problem.
func call(caller *oncecall.Caller, name, key, object string) (*api.CallAnswer, *api.Problem) {
	answer, err := caller.Call(context.Background(), &api.CallRequest{
		Request:        api.Request{ID: "r", ClientAccount: "a", Deadline: time.Now().Add(3 * time.Second)},
		Service:        "booking",
		Call:           name,
		IdempotencyKey: key,
		Body:           []byte(`{"object":"` + object + `"}`),
	})
	var problem *api.Problem
	if err != nil {
		Expect(errors.As(err, &problem)).To(BeTrue())
	}
	return answer, problem
}

type allRanges struct{}

func (allRanges) HoldsRange(int) bool { return true }

var _ = Describe("Caller", func() {
	It("runs a once-only call once and replays its answer on any daemon", func() {
		d := newDeployment(2)
		first, problem := call(d.caller(nil), "book", "k", "seat")
		Expect(problem).To(BeNil())
		again, problem := call(d.caller(nil), "book", "k", "seat")
		Expect(problem).To(BeNil())
		Expect(again.Replayed).To(BeTrue())
		Expect(again.Body).To(Equal(first.Body))
		Expect(d.Ledger.RunsOfObject("seat")).To(Equal(1))
	})

	It("refuses a key with another body as a conflict that did not run", func() {
		d := newDeployment(1)
		caller := d.caller(nil)
		_, problem := call(caller, "book", "k", "seat")
		Expect(problem).To(BeNil())
		_, problem = call(caller, "book", "k", "another")
		Expect(problem.Name).To(Equal(api.ProblemKeyConflict))
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(d.Ledger.RunsOfObject("another")).To(BeZero())
	})

	// A booking without a key cannot be sent again safely by its caller.
	It("refuses a call without the key that its declaration requires", func() {
		d := newDeployment(1)
		declared := d.calls["book"]
		declared.RequiresKey = true
		d.calls["book"] = declared
		_, problem := call(d.caller(nil), "book", "", "seat")
		Expect(problem.Name).To(Equal(api.ProblemKeyRequired))
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(d.Ledger.RunsOfObject("seat")).To(BeZero())
	})

	// Guards against a double booking when callers send the same key concurrently.
	It("runs concurrent calls with one key once", func() {
		d := newDeployment(2)
		callers := []*oncecall.Caller{d.caller(nil), d.caller(nil)}
		var group sync.WaitGroup
		bodies := make([]string, 8)
		for i := range bodies {
			group.Go(func() {
				defer GinkgoRecover()
				answer, problem := call(callers[i%2], "book", "k", "seat")
				Expect(problem).To(BeNil())
				bodies[i] = string(answer.Body)
			})
		}
		group.Wait()
		Expect(d.Ledger.RunsOfObject("seat")).To(Equal(1))
		Expect(bodies).To(HaveEach(bodies[0]))
	})

	DescribeTable("reports the outcome that is known after a failure",
		func(name string, fault plainservice.Fault, outcome api.Outcome, runs int) {
			d := newDeployment(2)
			d.SetFault(fault)
			answer, problem := call(d.caller(nil), name, "k", "seat")
			got := api.OutcomeDone
			if problem != nil {
				got = problem.Outcome
			} else {
				Expect(string(answer.Body)).To(ContainSubstring("seat"))
			}
			Expect(got).To(Equal(outcome))
			Expect(d.Ledger.RunsOfObject("seat")).To(Equal(runs))
		},
		Entry("answer lost, look-up finds it", "book", plainservice.FaultAnswerLost, api.OutcomeDone, 1),
		Entry("silent after running, look-up finds it", "book", plainservice.FaultSilentAfter, api.OutcomeDone, 1),
		Entry("crossed answer, look-up finds it", "book", plainservice.FaultCrossedAnswer, api.OutcomeDone, 1),
		Entry("half an answer, look-up finds it", "book", plainservice.FaultHalfAnswer, api.OutcomeDone, 1),
		Entry("not run and no record", "book", plainservice.FaultCloseBefore, api.OutcomeUnknown, 0),
		Entry("answer lost without a look-up", "pay", plainservice.FaultAnswerLost, api.OutcomeUnknown, 1),
		Entry("crash before running", "pay", plainservice.FaultCrashBefore, api.OutcomeUnknown, 0),
		Entry("crash after running", "pay", plainservice.FaultCrashAfter, api.OutcomeUnknown, 1),
		Entry("definite refusal", "pay", plainservice.FaultRefuseLeaving, api.OutcomeNotRun, 0),
	)

	It("reports a leaving server and releases the key of a refused call", func() {
		d := newDeployment(1)
		caller := d.caller(nil)
		d.SetFault(plainservice.FaultRefuseLeaving)
		_, problem := call(caller, "pay", "k", "seat")
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(d.Leaving()).To(Equal(1))
		d.ClearLeaving()
		d.SetFault(plainservice.FaultNone)
		_, problem = call(caller, "pay", "k", "seat")
		Expect(problem).To(BeNil())
		Expect(d.Ledger.RunsOfObject("seat")).To(Equal(1))
	})

	It("refuses calls with a key immediately while the table is down", func() {
		d := newDeployment(1)
		caller := d.caller(nil)
		d.store.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		_, problem := call(caller, "book", "k", "seat")
		Expect(problem.Name).To(Equal(api.ProblemStoreUnavailable))
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(problem.RetryAfter).To(BeNumerically(">", 0))
		Expect(d.Ledger.Runs()).To(BeEmpty())
		_, problem = call(caller, "hold", "k", "deposit")
		Expect(problem).To(BeNil())
		_, problem = call(caller, "pay", "", "keyless")
		Expect(problem).To(BeNil())
	})

	It("tries the next server when a connection cannot be established", func() {
		d := newDeployment(3)
		d.Servers[0].Crash()
		d.Servers[1].Crash()
		_, problem := call(d.caller(nil), "pay", "k", "seat")
		Expect(problem).To(BeNil())
		d.Servers[2].Crash()
		_, problem = call(d.caller(nil), "pay", "k2", "other")
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
	})

	// Guards against a booking that is aborted when its caller disconnects.
	It("finishes a once-only call whose caller has disconnected and drains it on Close", func() {
		d := newDeployment(1)
		ctx, cancel := context.WithCancel(context.Background())
		d.Servers[0].SetFault(func(plainservice.Call) plainservice.Fault {
			cancel()
			return plainservice.FaultSlow
		})
		caller := d.caller(nil)
		_, err := caller.Call(ctx, &api.CallRequest{
			Request: api.Request{ClientAccount: "a", Deadline: time.Now().Add(3 * time.Second)},
			Service: "booking", Call: "pay", IdempotencyKey: "k", Body: []byte(`{"object":"seat"}`),
		})
		var problem *api.Problem
		Expect(errors.As(err, &problem)).To(BeTrue())
		Expect(problem.Outcome).To(Equal(api.OutcomeUnknown))
		caller.Close()
		Expect(d.Ledger.RunsOfObject("seat")).To(Equal(1))
		answer, again := call(d.caller(nil), "pay", "k", "seat")
		Expect(again).To(BeNil())
		Expect(answer.Replayed).To(BeTrue())
		_, err = caller.Call(context.Background(), &api.CallRequest{})
		Expect(errors.As(err, &problem)).To(BeTrue())
		Expect(problem.Name).To(Equal(api.ProblemDraining))
	})

	// Guards against a claim that stays open after its daemon has failed.
	DescribeTable("settles the claim of a failed daemon",
		func(name string, ran bool, outcome api.Outcome) {
			d := newDeployment(1)
			id := idempotency.ID{Account: "a", Key: "k"}
			record := &idempotency.Record{
				State: idempotency.StateClaimed, AttemptID: "dead", Service: "booking", Call: name,
				Digest: idempotency.Digest("booking", name, []byte(`{"object":"seat"}`)),
			}
			Expect(d.store.Transact(context.Background(), idempotency.ClaimWrites(id, 0, record))).To(Succeed())
			if ran {
				_, err := d.client.Call(context.Background(), d.Servers[0].Address(), &service.Request{
					AttemptID: "dead", IdempotencyKey: "k", Path: "/book", Body: []byte(`{"object":"seat"}`),
				})
				Expect(err).NotTo(HaveOccurred())
			}
			settler := d.caller(func(o *oncecall.Options) { o.Leases = allRanges{} })
			answer, problem := call(settler, name, "k", "seat")
			if outcome == api.OutcomeDone {
				Expect(answer.Replayed).To(BeTrue())
			} else {
				Expect(problem.Outcome).To(Equal(outcome))
				Expect(problem.Name).To(Equal(api.ProblemBackendFailed))
			}
		},
		Entry("by look-up", "book", true, api.OutcomeDone),
		Entry("as unknown when the look-up has no record", "book", false, api.OutcomeUnknown),
		Entry("as unknown without a look-up", "pay", true, api.OutcomeUnknown),
	)

	// Guards against a table that grows without bound.
	It("deletes records after their retention", func() {
		d := newDeployment(1)
		caller := d.caller(func(o *oncecall.Options) { o.Leases, o.Retention = allRanges{}, time.Nanosecond })
		_, problem := call(caller, "pay", "k", "seat")
		Expect(problem).To(BeNil())
		Eventually(func() error {
			_, err := d.store.Get(context.Background(), idempotency.ID{Account: "a", Key: "k"}.RowKey())
			return err
		}).Should(HaveOccurred())
	})

	// Guards against every call waiting for the timeout of a table that is already
	// known to be down.
	It("sends one claim at a time to the table while it is down", func() {
		d := newDeployment(1)
		caller := d.caller(nil)
		d.store.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		for range 5 {
			_, problem := call(caller, "pay", "k", "seat")
			Expect(problem.Name).To(Equal(api.ProblemStoreUnavailable))
		}
		Expect(d.store.Stats().Transactions).To(BeNumerically("<", 5))
		d.store.SetFault(nil)
		Eventually(func() *api.Problem {
			_, problem := call(caller, "pay", "k", "seat")
			return problem
		}).Should(BeNil())
	})

	It("lists calls of unknown outcome for operators", func() {
		d := newDeployment(1)
		d.SetFault(plainservice.FaultAnswerLost)
		call(d.caller(nil), "pay", "k", "seat")
		views, err := oncecall.NewInspector(d.store).InState(context.Background(), idempotency.StateUnknown, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(views).To(HaveLen(1))
		Expect(oncecall.NewInspector(d.store).Record(context.Background(), "a", "k")).To(Equal(views[0]))
	})

	It("retries repeatable calls on other servers", func() {
		d := newDeployment(2)
		d.Servers[0].SetFault(func(plainservice.Call) plainservice.Fault { return plainservice.FaultCloseBefore })
		for range 5 {
			_, problem := call(d.caller(nil), "slots", "", "day")
			Expect(problem).To(BeNil())
		}
	})
})
