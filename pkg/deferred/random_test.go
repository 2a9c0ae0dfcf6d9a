package deferred_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/faultmatrix"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
)

const answerTimeout = 10 * time.Second

// eventually waits for a condition that must become true under any schedule. It
// fails the test after answerTimeout.
func eventually(t interface {
	Fatalf(string, ...any)
	Helper()
}, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(answerTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s: condition not met within %s", what, answerTimeout)
		}
	}
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{r: rand.New(rand.NewPCG(seed, 1))} }

func (c *lockedRand) oneIn(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n) == 0
}

func (c *lockedRand) fault() memtable.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.r.IntN(6) > 0 {
		return memtable.FaultNone
	}
	return []memtable.Fault{memtable.FaultUnavailable, memtable.FaultAnswerLost, memtable.FaultRequestLost}[c.r.IntN(3)]
}

// TestRandomDeferred guards against lost, duplicated and mixed-up answers when
// daemons crash, pause and drain while the stores fail.
func TestRandomDeferred(t *testing.T) {
	faults := []string{"store faults", "death", "drain", "paused holder", "run failed"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		cluster := newTestCluster()
		defer cluster.close()
		faultRand := newLockedRand(rapid.Uint64().Draw(rt, "luck"))
		c := newChat()
		failing := rapid.Bool().Draw(rt, "run failed")
		c.beforeToken = func(ctx context.Context, _ string, _ int) error {
			if failing && faultRand.oneIn(20) {
				report.Fault("run failed")
				return api.NewUnknownOutcomeProblem(api.ProblemBackendFailed, "injected")
			}
			if faultRand.oneIn(4) {
				time.Sleep(50 * time.Microsecond)
			}
			return ctx.Err()
		}
		accept := cluster.startDaemon(c, nil)
		if rapid.Bool().Draw(rt, "store faults") {
			report.Fault("store faults")
			cluster.table.SetFault(func(memtable.Operation) memtable.Fault { return faultRand.fault() })
			cluster.objects.setFail(func() bool { return faultRand.oneIn(6) })
		}
		accepted := acceptRequests(rt, accept, report)
		for range rapid.IntRange(0, 3).Draw(rt, "successors") {
			report.Step()
			replaceDaemon(rt, cluster, c, report)
		}
		cluster.table.SetFault(nil)
		cluster.objects.setFail(nil)
		last := cluster.drivers[len(cluster.drivers)-1]
		for _, req := range accepted {
			eventually(rt, "the answer of "+req.ID, func() bool { return answerOf(last, req)() == wantText(req) })
		}
		eventually(rt, "no open request", func() bool { return cluster.rows("open/") == 0 })
		if done := cluster.rows("done/"); done < len(accepted) {
			rt.Fatalf("%d answers for %d accepted requests", done, len(accepted))
		}
	})
}

func acceptRequests(rt *rapid.T, d *deferred.Driver, report *randomtest.Report) []*api.ChatRequest {
	var accepted []*api.ChatRequest
	for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
		report.Step()
		req := testRequest(fmt.Sprintf("r%d", i))
		err := d.Accept(context.Background(), req)
		var problem *api.Problem
		switch {
		case err == nil:
			accepted = append(accepted, req)
			report.Outcome("accepted")
		case errors.As(err, &problem):
			report.Outcome(string(problem.Outcome))
		default:
			rt.Fatalf("Accept returned %v", err)
		}
	}
	return accepted
}

// replaceDaemon stops or pauses the newest daemon and starts another one.
func replaceDaemon(rt *rapid.T, cluster *testCluster, c *chat, report *randomtest.Report) {
	time.Sleep(time.Duration(rapid.IntRange(0, 3).Draw(rt, "pause")) * time.Millisecond)
	d := cluster.drivers[len(cluster.drivers)-1]
	how := rapid.SampledFrom([]string{"death", "drain", "paused holder"}).Draw(rt, "how")
	report.Fault(how)
	switch how {
	case "death":
		_ = d.Close()
	case "drain":
		_ = d.Drain(context.Background())
	}
	// A paused holder keeps running with an outdated view: it still reports that it
	// holds the ranges.
	cluster.startDaemon(c, nil)
}

// TestFaultMatrixDeferred guards against an accepted request that is lost or
// answered twice when a fault occurs at a given step.
func TestFaultMatrixDeferred(t *testing.T) {
	matrix := &faultmatrix.Matrix{
		Name:   "deferred",
		Faults: []string{"daemon dies", "daemon drains", "holder paused", "table down", "answer lost", "request lost", "object store down"},
		Steps:  []string{"accepting", "accepted", "mid-answer", "last token"},
		Cell: func(fault, step string) faultmatrix.Cell {
			if step == "accepting" && (fault == "daemon dies" || fault == "daemon drains" || fault == "holder paused") {
				return faultmatrix.Cell{NotApplicable: "the caller has no 202 yet, and its connection ends with the daemon"}
			}
			return faultmatrix.Cell{Run: func(t *testing.T) { runDeferredCell(t, fault, step) }}
		},
	}
	matrix.Run(t, os.Stdout)
}

var pauseOffsets = map[string]int{"accepted": 0, "mid-answer": 8, "last token": -1}

// tableFaultCounts is the number of writes to which each table fault is applied. A
// lost request is applied twice, since the first may hit the save of a partial
// answer, which is not retried.
var tableFaultCounts = map[string]int{"answer lost": 1, "request lost": 2}

func runDeferredCell(t *testing.T, fault, step string) {
	cluster := newTestCluster()
	defer cluster.close()
	req := testRequest("r1")
	reached := make(chan struct{})
	resume := make(chan struct{})
	c := newChat()
	if at, ok := pauseOffsets[step]; ok {
		c.beforeToken = pauseAt(at, len(wantTokens(req)), reached, resume)
	}
	d := cluster.startDaemon(c, nil)
	if step == "accepting" {
		cluster.injectFault(fault)
		if err := d.Accept(context.Background(), req); err != nil {
			cluster.clearFaults()
			notRun := errors.As(err, new(*api.Problem)) && err.(*api.Problem).Outcome == api.OutcomeNotRun
			if notRun && cluster.rows("open/")+cluster.rows("done/") > 0 {
				t.Fatalf("Accept returned %v, but the request is stored", err)
			}
			return
		}
	} else {
		if err := d.Accept(context.Background(), req); err != nil {
			t.Fatal(err)
		}
		<-reached
		cluster.injectFault(fault)
	}
	close(resume)
	if fault == "daemon dies" || fault == "daemon drains" || fault == "holder paused" {
		d = cluster.startDaemon(c, nil)
	}
	if count, ok := tableFaultCounts[fault]; ok {
		// The run writes at least its final answer, and retries a lost write. Without
		// this wait the fault may be cleared before it was applied.
		eventually(t, "the fault to be applied", func() bool { return cluster.table.Stats().FaultsApplied >= uint64(count) })
	} else {
		time.Sleep(5 * time.Millisecond)
	}
	cluster.clearFaults()
	eventually(t, "the answer", func() bool { return answerOf(d, req)() == wantText(req) })
	eventually(t, "one row", func() bool { return cluster.rows("open/") == 0 && cluster.rows("done/") == 1 })
}

// pauseAt pauses the first chat at an offset until resume is closed. A negative
// offset counts from the end.
func pauseAt(at, length int, reached, resume chan struct{}) func(context.Context, string, int) error {
	var once sync.Once
	if at < 0 {
		at += length
	}
	return func(ctx context.Context, _ string, offset int) error {
		if offset == at {
			once.Do(func() {
				close(reached)
				select {
				case <-resume:
				case <-ctx.Done():
				}
			})
		}
		return ctx.Err()
	}
}

// injectFault starts a fault at the newest daemon or at the stores.
func (tc *testCluster) injectFault(fault string) {
	d := tc.drivers[len(tc.drivers)-1]
	writes := func(f memtable.Fault, left int) {
		tc.table.SetFault(func(op memtable.Operation) memtable.Fault {
			if op == memtable.OperationTransact && left > 0 {
				left--
				return f
			}
			return memtable.FaultNone
		})
	}
	switch fault {
	case "daemon dies":
		_ = d.Close()
	case "daemon drains":
		_ = d.Drain(context.Background())
	case "table down":
		tc.table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
	case "answer lost":
		writes(memtable.FaultAnswerLost, tableFaultCounts[fault])
	case "request lost":
		writes(memtable.FaultRequestLost, tableFaultCounts[fault])
	case "object store down":
		tc.objects.setFail(func() bool { return true })
	}
}

func (tc *testCluster) clearFaults() {
	tc.table.SetFault(nil)
	tc.objects.setFail(nil)
}
