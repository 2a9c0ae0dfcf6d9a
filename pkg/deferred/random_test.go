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

// eventually waits for a condition that must come true whatever the schedule.
func eventually(t interface {
	Fatalf(string, ...any)
	Helper()
}, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(answerTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s did not come true in %s", what, answerTimeout)
		}
	}
}

// chance is a random source for several goroutines.
type chance struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newChance(seed uint64) *chance { return &chance{r: rand.New(rand.NewPCG(seed, 1))} }

func (c *chance) oneIn(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n) == 0
}

func (c *chance) fault() memtable.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.r.IntN(6) > 0 {
		return memtable.FaultNone
	}
	return []memtable.Fault{memtable.FaultUnavailable, memtable.FaultAnswerLost, memtable.FaultRequestLost}[c.r.IntN(3)]
}

// TestRandomDeferred guards against lost, doubled and mixed-up answers when
// daemons die, pause and drain while the stores fail.
func TestRandomDeferred(t *testing.T) {
	faults := []string{"store faults", "death", "drain", "paused holder", "run failed"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		w := newWorld()
		defer w.close()
		luck := newChance(rapid.Uint64().Draw(rt, "luck"))
		c := newChat()
		failing := rapid.Bool().Draw(rt, "run failed")
		c.gate = func(ctx context.Context, _ string, _ int) error {
			if failing && luck.oneIn(20) {
				report.Fault("run failed")
				return api.NewUnknownOutcomeProblem(api.ProblemBackendFailed, "injected")
			}
			if luck.oneIn(4) {
				time.Sleep(50 * time.Microsecond)
			}
			return ctx.Err()
		}
		accept := w.daemon(c, nil)
		if rapid.Bool().Draw(rt, "store faults") {
			report.Fault("store faults")
			w.table.SetFault(func(memtable.Operation) memtable.Fault { return luck.fault() })
			w.objects.setFail(func() bool { return luck.oneIn(6) })
		}
		accepted := acceptSome(rt, accept, report)
		for range rapid.IntRange(0, 3).Draw(rt, "successors") {
			report.Step()
			succeed(rt, w, c, report)
		}
		w.table.SetFault(nil)
		w.objects.setFail(nil)
		last := w.drivers[len(w.drivers)-1]
		for _, req := range accepted {
			eventually(rt, "the answer of "+req.ID, func() bool { return answerOf(last, req)() == wantText(req) })
		}
		eventually(rt, "no open request", func() bool { return w.rows("open/") == 0 })
		if done := w.rows("done/"); done < len(accepted) {
			rt.Fatalf("%d answers for %d accepted requests", done, len(accepted))
		}
	})
}

func acceptSome(rt *rapid.T, d *deferred.Driver, report *randomtest.Report) []*api.ChatRequest {
	var accepted []*api.ChatRequest
	for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
		report.Step()
		req := brief(fmt.Sprintf("r%d", i))
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

// succeed replaces the newest daemon by another one.
func succeed(rt *rapid.T, w *world, c *chat, report *randomtest.Report) {
	time.Sleep(time.Duration(rapid.IntRange(0, 3).Draw(rt, "pause")) * time.Millisecond)
	d := w.drivers[len(w.drivers)-1]
	how := rapid.SampledFrom([]string{"death", "drain", "paused holder"}).Draw(rt, "how")
	report.Fault(how)
	switch how {
	case "death":
		_ = d.Close()
	case "drain":
		_ = d.Drain(context.Background())
	}
	// A paused holder goes on and still believes that it holds the ranges.
	w.daemon(c, nil)
}

// TestFaultMatrixDeferred guards against an accepted request that is lost or
// answered twice when a fault meets it at a known step.
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

var matrixSteps = map[string]int{"accepted": 0, "mid-answer": 8, "last token": -1}

// tableFaults are how many writes a fault of the table strikes. A lost request
// strikes twice, since the first may be a partial answer that is given up.
var tableFaults = map[string]int{"answer lost": 1, "request lost": 2}

func runDeferredCell(t *testing.T, fault, step string) {
	w := newWorld()
	defer w.close()
	req := brief("r1")
	hit := make(chan struct{})
	resume := make(chan struct{})
	c := newChat()
	if at, ok := matrixSteps[step]; ok {
		c.gate = gateAt(at, len(wantTokens(req)), hit, resume)
	}
	d := w.daemon(c, nil)
	if step == "accepting" {
		w.inject(fault)
		if err := d.Accept(context.Background(), req); err != nil {
			w.heal()
			notRun := errors.As(err, new(*api.Problem)) && err.(*api.Problem).Outcome == api.OutcomeNotRun
			if notRun && w.rows("open/")+w.rows("done/") > 0 {
				t.Fatalf("refused with %v and stored", err)
			}
			return
		}
	} else {
		if err := d.Accept(context.Background(), req); err != nil {
			t.Fatal(err)
		}
		<-hit
		w.inject(fault)
	}
	close(resume)
	if fault == "daemon dies" || fault == "daemon drains" || fault == "holder paused" {
		d = w.daemon(c, nil)
	}
	if strikes, ok := tableFaults[fault]; ok {
		// The run writes at least its final answer, and again when the write was
		// lost: without this wait the fault may be gone before it strikes.
		eventually(t, "the fault to strike", func() bool { return w.table.Stats().FaultsApplied >= uint64(strikes) })
	} else {
		time.Sleep(5 * time.Millisecond)
	}
	w.heal()
	eventually(t, "the answer", func() bool { return answerOf(d, req)() == wantText(req) })
	eventually(t, "one row", func() bool { return w.rows("open/") == 0 && w.rows("done/") == 1 })
}

// gateAt holds the first chat at an offset, counted from the end if negative.
func gateAt(at, length int, hit, resume chan struct{}) func(context.Context, string, int) error {
	var once sync.Once
	if at < 0 {
		at += length
	}
	return func(ctx context.Context, _ string, offset int) error {
		if offset == at {
			once.Do(func() {
				close(hit)
				select {
				case <-resume:
				case <-ctx.Done():
				}
			})
		}
		return ctx.Err()
	}
}

// inject starts a fault.
func (w *world) inject(fault string) {
	d := w.drivers[len(w.drivers)-1]
	writes := func(f memtable.Fault, left int) {
		w.table.SetFault(func(op memtable.Operation) memtable.Fault {
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
		w.table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
	case "answer lost":
		writes(memtable.FaultAnswerLost, tableFaults[fault])
	case "request lost":
		writes(memtable.FaultRequestLost, tableFaults[fault])
	case "object store down":
		w.objects.setFail(func() bool { return true })
	}
}

func (w *world) heal() {
	w.table.SetFault(nil)
	w.objects.setFail(nil)
}
