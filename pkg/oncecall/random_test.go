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

// world is one table and one service for several daemons' real drivers.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	rate   int
	report *randomtest.Report
	store  *memtable.Store
	ledger *plainservice.Ledger
	clock  atomic.Int64
}

// roll decides with a rate in percent whether a fault happens.
func (w *world) roll(rate int, faults ...string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.IntN(100) >= rate {
		return ""
	}
	fault := faults[w.random.IntN(len(faults))]
	w.report.Fault(fault)
	return fault
}

func (w *world) tableFault(memtable.Operation) memtable.Fault {
	return map[string]memtable.Fault{
		"": memtable.FaultNone, "store unavailable": memtable.FaultUnavailable,
		"answer lost": memtable.FaultAnswerLost, "request lost": memtable.FaultRequestLost,
	}[w.roll(w.rate, "store unavailable", "answer lost", "request lost")]
}

var serviceFaults = []string{
	string(plainservice.FaultNotSent), string(plainservice.FaultRefuseLeaving), string(plainservice.FaultCrashBefore),
	string(plainservice.FaultCrashAfter), string(plainservice.FaultCrossedAnswer),
}

// line is a daemon's connection to the table and the service. Cutting it stands
// for the daemon's death: no write or call that it makes later has an effect.
type line struct {
	*memtable.Store
	plainservice.Local
	cut atomic.Bool
}

func newLine(w *world) *line {
	l := &line{Store: w.store}
	l.Local = plainservice.Local{Ledger: w.ledger, Fault: func(plainservice.Call) plainservice.Fault {
		if l.cut.Load() {
			return plainservice.FaultNotSent
		}
		return plainservice.Fault(w.roll(2*w.rate, serviceFaults...))
	}}
	return l
}

func (l *line) Transact(ctx context.Context, writes []table.Write) error {
	if l.cut.Load() {
		return &table.AmbiguousError{}
	}
	return l.Store.Transact(ctx, writes)
}

// settings is the configuration and directory of the world.
type settings struct{ lookup string }

func (s settings) Call(string, string) (config.Call, []string, bool) {
	return config.Call{Mode: config.CallOnceOnly, TimeoutSeconds: 0.01, LookupPath: s.lookup}, []string{"p"}, true
}

func (s settings) Available(string) []membership.BackendServer {
	return []membership.BackendServer{{Name: "s0", Address: "s0"}, {Name: "s1", Address: "s1"}}
}

func (s settings) ReportLeaving(string, uint64) {}

// told is what a caller was told.
type replied struct {
	key     string
	outcome api.Outcome
	answer  string
}

// TestRandomCallers runs the real drivers of three daemons against one table
// and service, with duplicates sent to any of them and one that dies. It guards
// against doubled runs, false reports, differing answers, claims that stay open
// and goroutines that stay behind.
func TestRandomCallers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	wanted := append([]string{"store unavailable", "answer lost", "request lost", "daemon death"}, serviceFaults...)
	randomtest.Check(t, wanted, func(rt *rapid.T, report *randomtest.Report) {
		w := &world{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
			rate:   rapid.SampledFrom([]int{0, 10, 30}).Draw(rt, "rate"),
			report: report, store: memtable.New(), ledger: plainservice.NewLedger(),
		}
		w.store.SetFault(w.tableFault)
		lookup := rapid.SampledFrom([]string{"", "/lookup"}).Draw(rt, "lookup")
		history := runCallers(w, settings{lookup}, report, rapid.IntRange(2, 6).Draw(rt, "calls per key"))
		judge(rt, w, history)
	})
}

// runCallers calls four keys several times each on three daemons, kills one of
// them on the way, and waits until the claims are settled.
func runCallers(w *world, s settings, report *randomtest.Report, callsPerKey int) []porcupine.Operation {
	reporter := &invariant.Reporter{OnViolation: func(v *invariant.ViolationError) { panic(v) }}
	var lines []*line
	var callers []*oncecall.Caller
	for i := range 3 {
		l := newLine(w)
		lines = append(lines, l)
		callers = append(callers, oncecall.NewCaller(oncecall.Options{
			Daemon: fmt.Sprint(i), Configuration: s, Directory: s, Client: l, Store: l, Leases: allRanges{},
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
			lines[0].cut.Store(true)
			report.Fault("daemon death")
		}
		group.Go(func() { history[i] = callKey(w, callers[i%3], i, fmt.Sprint("k", i%4)) })
	}
	group.Wait()
	w.store.SetFault(nil)
	for deadline := time.Now().Add(5 * time.Second); openClaims(w) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	for _, caller := range callers {
		caller.Close()
	}
	return history
}

func callKey(w *world, caller *oncecall.Caller, client int, key string) porcupine.Operation {
	since := w.clock.Add(1)
	answer, err := caller.Call(context.Background(), &api.CallRequest{
		Request:        api.Request{ClientAccount: "a", Deadline: time.Now().Add(20 * time.Millisecond)},
		IdempotencyKey: key,
	})
	output := replied{key: key, outcome: api.OutcomeDone}
	var problem *api.Problem
	if errors.As(err, &problem) {
		output.outcome = problem.Outcome
	} else {
		output.answer = string(answer.Body)
	}
	w.report.Outcome(string(output.outcome))
	return porcupine.Operation{ClientId: client, Input: key, Output: output, Call: since, Return: w.clock.Add(1)}
}

func openClaims(w *world) int {
	open := 0
	for r := range idempotency.Ranges {
		claims, _, _ := idempotency.ListOpen(context.Background(), w.store, r)
		open += len(claims)
	}
	return open
}

// judge compares the ledger, the records and what the callers were told.
func judge(rt *rapid.T, w *world, history []porcupine.Operation) {
	if open := openClaims(w); open > 0 {
		rt.Fatalf("%d claims are still open", open)
	}
	ranTold := make(map[string]bool)
	for _, op := range history {
		ranTold[op.Input.(string)] = ranTold[op.Input.(string)] || op.Output.(replied).outcome != api.OutcomeNotRun
	}
	ran := w.ledger.AttemptsByKey()
	for key, attempts := range ran {
		if !ranTold[key] {
			rt.Fatalf("I3: key %s ran and all its callers were told that it did not", key)
		}
		if len(attempts) > 1 {
			rt.Fatalf("I4: key %s ran %d times", key, len(attempts))
		}
		id := idempotency.ID{Account: "a", Key: key}
		item, err := w.store.Get(context.Background(), id.RowKey())
		if err != nil {
			rt.Fatalf("key %s ran without a claim: %v", key, err)
		}
		stored, err := idempotency.Decode(id, item)
		if err != nil || stored.Record.AttemptID == attempts[0] && stored.Record.State == idempotency.StateNotRun {
			rt.Fatalf("I3: key %s ran and is stored as not run", key)
		}
		judgeAnswer(rt, stored, attempts[0])
	}
	register := porcupine.Model{
		Init: func() any { return map[string]string{} },
		Step: func(state, _, output any) (bool, any) {
			t, answers := output.(replied), state.(map[string]string)
			if t.outcome != api.OutcomeDone {
				return true, state
			}
			if known, ok := answers[t.key]; ok {
				return known == t.answer, state
			}
			next := map[string]string{t.key: t.answer}
			for key, answer := range answers {
				next[key] = answer
			}
			return len(ran[t.key]) == 1 && strings.Contains(t.answer, ran[t.key][0]), next
		},
		Equal: func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
	}
	if !porcupine.CheckOperations(register, history) {
		rt.Fatalf("the history of outcomes is not linearizable: %v", history)
	}
}

func judgeAnswer(rt *rapid.T, stored *idempotency.Stored, attempt string) {
	if stored.Record.State != idempotency.StateDone {
		return
	}
	var answer api.CallAnswer
	if err := json.Unmarshal(stored.Record.Answer, &answer); err != nil || !strings.Contains(string(answer.Body), attempt) {
		rt.Fatalf("I2: stored answer %q of attempt %s", stored.Record.Answer, attempt)
	}
}

// BenchmarkOnceOnlyCall measures what a once-only call costs the daemon besides
// the network: the claim, the dispatch, the outcome and the log line.
func BenchmarkOnceOnlyCall(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	l := newLine(&world{random: rand.New(rand.NewPCG(1, 1)), store: memtable.New(), ledger: plainservice.NewLedger()})
	caller := oncecall.NewCaller(oncecall.Options{Configuration: settings{}, Directory: settings{}, Client: l, Store: l})
	defer caller.Close()
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = call(caller, "book", fmt.Sprint(next.Add(1)), "seat")
		}
	})
}
