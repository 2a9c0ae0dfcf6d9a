package oncecall_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
)

// testbed holds the table and the service that several Callers share, and
// injects faults into them.
type testbed struct {
	mu     sync.Mutex
	random *rand.Rand
	rate   int
	report *randomtest.Report
	store  *memtable.Store
	ledger *plainservice.Ledger
	clock  atomic.Int64
}

// injectFault returns one of faults with a probability of rate percent, otherwise
// the empty string.
func (tb *testbed) injectFault(rate int, faults ...string) string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.random.IntN(100) >= rate {
		return ""
	}
	fault := faults[tb.random.IntN(len(faults))]
	tb.report.Fault(fault)
	return fault
}

func (tb *testbed) tableFault(memtable.Operation) memtable.Fault {
	return map[string]memtable.Fault{
		"": memtable.FaultNone, "store unavailable": memtable.FaultUnavailable,
		"answer lost": memtable.FaultAnswerLost, "request lost": memtable.FaultRequestLost,
	}[tb.injectFault(tb.rate, "store unavailable", "answer lost", "request lost")]
}

var serviceFaults = []string{
	string(plainservice.FaultNotSent), string(plainservice.FaultRefuseLeaving), string(plainservice.FaultCrashBefore),
	string(plainservice.FaultCrashAfter), string(plainservice.FaultCrossedAnswer),
}

// connection is a daemon's connection to the table and the service. Closing it
// simulates the daemon's death: its later writes and calls have no effect.
type connection struct {
	*memtable.Store
	plainservice.LocalClient
	closed atomic.Bool
}

func newConnection(tb *testbed) *connection {
	conn := &connection{Store: tb.store}
	conn.LocalClient = plainservice.LocalClient{Ledger: tb.ledger, Fault: func(plainservice.Call) plainservice.Fault {
		if conn.closed.Load() {
			return plainservice.FaultNotSent
		}
		return plainservice.Fault(tb.injectFault(2*tb.rate, serviceFaults...))
	}}
	return conn
}

func (conn *connection) Transact(ctx context.Context, writes []table.Write) error {
	if conn.closed.Load() {
		return &table.AmbiguousError{}
	}
	return conn.Store.Transact(ctx, writes)
}

// staticConfiguration implements oncecall.Configuration and membership.Directory
// with one call and two servers.
type staticConfiguration struct{ lookup string }

func (s staticConfiguration) Call(string, string) (config.Call, []string, bool) {
	return config.Call{Mode: config.CallOnceOnly, TimeoutSeconds: 0.01, LookupPath: s.lookup}, []string{"p"}, true
}

func (s staticConfiguration) Available(string) []membership.BackendServer {
	return []membership.BackendServer{{Name: "s0", Address: "s0"}, {Name: "s1", Address: "s1"}}
}

func (s staticConfiguration) ReportLeaving(string, uint64) {}

// callerOutcome is the outcome that a caller received.
type callerOutcome struct {
	key     string
	outcome api.Outcome
	answer  string
}

// TestRandomCallers runs the Callers of three daemons against one table and one
// service. Calls with the same key go to any of the daemons, and one daemon dies.
// It guards against calls that run twice, wrong outcomes, different answers for
// one key, claims that stay open and leaked goroutines.
func TestRandomCallers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	wanted := append([]string{"store unavailable", "answer lost", "request lost", "daemon death"}, serviceFaults...)
	randomtest.Check(t, wanted, func(rt *rapid.T, report *randomtest.Report) {
		tb := &testbed{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
			rate:   rapid.SampledFrom([]int{0, 10, 30}).Draw(rt, "rate"),
			report: report, store: memtable.New(), ledger: plainservice.NewLedger(),
		}
		tb.store.SetFault(tb.tableFault)
		lookup := rapid.SampledFrom([]string{"", "/lookup"}).Draw(rt, "lookup")
		history := runCallers(tb, staticConfiguration{lookup}, report, rapid.IntRange(2, 6).Draw(rt, "calls per key"))
		checkInvariants(rt, tb, history)
	})
}

// runCallers makes callsPerKey calls for each of four keys on three daemons, kills
// one daemon halfway through and waits until all claims are settled.
func runCallers(tb *testbed, s staticConfiguration, report *randomtest.Report, callsPerKey int) []porcupine.Operation {
	reporter := &invariant.Reporter{OnViolation: func(v *invariant.ViolationError) { panic(v) }}
	var connections []*connection
	var callers []*oncecall.Caller
	for i := range 3 {
		conn := newConnection(tb)
		connections = append(connections, conn)
		callers = append(callers, oncecall.NewCaller(oncecall.Options{
			Daemon: fmt.Sprint(i), Configuration: s, Directory: s, Client: conn, Store: conn, Leases: allRanges{},
			Reporter: reporter, Random: rand.New(rand.NewPCG(uint64(i), 1)),
			SettleInterval: time.Millisecond, SettleMargin: time.Millisecond, LookupRetryPeriod: time.Millisecond,
			DrainTimeout: 20 * time.Millisecond, ProbeInterval: time.Millisecond,
		}))
	}
	var group sync.WaitGroup
	history := make([]porcupine.Operation, 4*callsPerKey)
	for i := range history {
		report.Step()
		if i == len(history)/2 {
			connections[0].closed.Store(true)
			report.Fault("daemon death")
		}
		group.Go(func() { history[i] = callKey(tb, callers[i%3], i, fmt.Sprint("k", i%4)) })
	}
	group.Wait()
	tb.store.SetFault(nil)
	for deadline := time.Now().Add(5 * time.Second); openClaims(tb) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	for _, caller := range callers {
		caller.Close()
	}
	return history
}

func callKey(tb *testbed, caller *oncecall.Caller, client int, key string) porcupine.Operation {
	since := tb.clock.Add(1)
	answer, err := caller.Call(context.Background(), &api.CallRequest{
		Request:        api.Request{ClientAccount: "a", Deadline: time.Now().Add(20 * time.Millisecond)},
		IdempotencyKey: key,
	})
	output := callerOutcome{key: key, outcome: api.OutcomeDone}
	var problem *api.Problem
	if errors.As(err, &problem) {
		output.outcome = problem.Outcome
	} else {
		output.answer = string(answer.Body)
	}
	tb.report.Outcome(string(output.outcome))
	return porcupine.Operation{ClientId: client, Input: key, Output: output, Call: since, Return: tb.clock.Add(1)}
}

func openClaims(tb *testbed) int {
	open := 0
	for r := range idempotency.Ranges {
		claims, _, _ := idempotency.ListOpen(context.Background(), tb.store, r)
		open += len(claims)
	}
	return open
}

// checkInvariants compares the service's ledger, the stored records and the
// outcomes that the callers received.
func checkInvariants(rt *rapid.T, tb *testbed, history []porcupine.Operation) {
	if open := openClaims(tb); open > 0 {
		rt.Fatalf("%d claims are still open", open)
	}
	reportedAsRun := make(map[string]bool)
	for _, op := range history {
		reportedAsRun[op.Input.(string)] = reportedAsRun[op.Input.(string)] || op.Output.(callerOutcome).outcome != api.OutcomeNotRun
	}
	ran := tb.ledger.AttemptsByKey()
	for key, attempts := range ran {
		if !reportedAsRun[key] {
			rt.Fatalf("I3: key %s ran, but all its callers got the outcome that it did not run", key)
		}
		if len(attempts) > 1 {
			rt.Fatalf("I4: key %s ran %d times", key, len(attempts))
		}
		id := idempotency.ID{Account: "a", Key: key}
		item, err := tb.store.Get(context.Background(), id.RowKey())
		if err != nil {
			rt.Fatalf("key %s ran without a claim: %v", key, err)
		}
		stored, err := idempotency.Decode(id, item)
		if err != nil || stored.Record.AttemptID == attempts[0] && stored.Record.State == idempotency.StateNotRun {
			rt.Fatalf("I3: key %s ran, but is stored as not run", key)
		}
		checkStoredAnswer(rt, stored, attempts[0])
	}
	register := porcupine.Model{
		Init: func() any { return map[string]string{} },
		Step: func(state, _, output any) (bool, any) {
			reply, answers := output.(callerOutcome), state.(map[string]string)
			if reply.outcome != api.OutcomeDone {
				return true, state
			}
			if known, ok := answers[reply.key]; ok {
				return known == reply.answer, state
			}
			next := map[string]string{reply.key: reply.answer}
			for key, answer := range answers {
				next[key] = answer
			}
			return len(ran[reply.key]) == 1 && strings.Contains(reply.answer, ran[reply.key][0]), next
		},
		Equal: func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
	}
	if !porcupine.CheckOperations(register, history) {
		rt.Fatalf("the history of outcomes is not linearizable: %v", history)
	}
}

func checkStoredAnswer(rt *rapid.T, stored *idempotency.Stored, attempt string) {
	if stored.Record.State != idempotency.StateDone {
		return
	}
	var answer api.CallAnswer
	if err := json.Unmarshal(stored.Record.Answer, &answer); err != nil || !strings.Contains(string(answer.Body), attempt) {
		rt.Fatalf("I2: stored answer %q is not that of attempt %s", stored.Record.Answer, attempt)
	}
}

// BenchmarkOnceOnlyCall measures the daemon's cost of a once-only call without the
// network: the claim, the dispatch, the stored outcome and the log line.
func BenchmarkOnceOnlyCall(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	conn := newConnection(&testbed{random: rand.New(rand.NewPCG(1, 1)), store: memtable.New(), ledger: plainservice.NewLedger()})
	caller := oncecall.NewCaller(oncecall.Options{Configuration: staticConfiguration{}, Directory: staticConfiguration{}, Client: conn, Store: conn})
	defer caller.Close()
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = call(caller, "book", fmt.Sprint(next.Add(1)), "seat")
		}
	})
}
