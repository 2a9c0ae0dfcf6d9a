package streaming_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/faultmatrix"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

const (
	stepAccepted  = "accepted"
	stepQueued    = "queued"
	stepPrefill   = "prefill"
	stepMid       = "mid-stream"
	stepExporting = "exporting"
	stepImporting = "importing"
	stepLast      = "last token"
)

const (
	faultEngineDies    = "engine dies"
	faultReclaim       = "engine reclaimed"
	faultReclaimAtOnce = "reclaimed at once"
	faultTwoEnginesDie = "two engines die"
	faultSilent        = "engine silent"
	faultSilentReclaim = "silent, then reclaimed"
	faultEvents        = "late and crossed events"
	faultCallerGone    = "caller gone"
	faultDrain         = "daemon drains"
)

// TestFaultMatrixStreams guards against lost, truncated and mixed-up streams.
// It injects each fault at each step of a stream.
func TestFaultMatrixStreams(t *testing.T) {
	t.Parallel()
	matrix := &faultmatrix.Matrix{
		Name: "streams",
		Faults: []string{faultEngineDies, faultReclaim, faultReclaimAtOnce, faultTwoEnginesDie, faultSilent, faultSilentReclaim,
			faultEvents, faultCallerGone, faultDrain},
		Steps: []string{stepAccepted, stepQueued, stepPrefill, stepMid, stepExporting, stepImporting, stepLast},
		Cell: func(fault, step string) faultmatrix.Cell {
			return faultmatrix.Cell{Run: func(t *testing.T) { runStreamCell(t, fault, step) }}
		},
	}
	matrix.Run(t, os.Stdout)
}

func runStreamCell(t *testing.T, fault, step string) {
	options := standin.Options{DecodeStep: 500 * time.Microsecond}
	if step == stepPrefill {
		options.PrefillPerToken, options.PrefillChunk = 5*time.Millisecond, 1
	}
	if step == stepExporting || step == stepImporting {
		// Makes the stream last longer than the 150 ms of the notice period
		// that are usable.
		options.DecodeStep = 5 * time.Millisecond
	}
	if step == stepQueued {
		options.BatchSize = 1
	}
	d := deployWithTimeout(t, progressTimeout, options, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := chatRequest("r1", 64)
	out := &sink{reattach: true}
	var once sync.Once
	var injected atomic.Bool
	inject := func() {
		once.Do(func() {
			injected.Store(true)
			d.inject(fault, cancel)
		})
	}
	d.armFault(t, step, req.MaxTokens, out, inject)
	err := d.chatAndReattach(ctx, req, out)
	if !injected.Load() {
		t.Fatalf("the stream ended before %s at %s", fault, step)
	}
	if _, gone := err.(*streaming.CallerGoneError); gone && fault == faultCallerGone {
		err = nil
	} else if err == nil && out.text() != expected(req) {
		t.Fatalf("answer %q, want %q", out.text(), expected(req))
	}
	if err != nil {
		t.Fatalf("Chat: %v", err)
	}
	cancel()
	d.expectClean(t)
}

// armFault makes the fault occur at a step.
func (d *deployment) armFault(t *testing.T, step string, maxTokens int, out *sink, inject func()) {
	switch step {
	case stepAccepted:
		d.client.beforeStart = inject
	case stepQueued:
		blocker := chatRequest("blocker", 40)
		started := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.driver.Chat(context.Background(), blocker, &sink{hookAt: 1, hook: func() { close(started) }})
		}()
		t.Cleanup(func() { <-done })
		<-started
		time.AfterFunc(5*time.Millisecond, inject)
	case stepPrefill:
		time.AfterFunc(10*time.Millisecond, inject)
	case stepMid:
		out.hookAt, out.hook = 10, inject
	case stepExporting, stepImporting:
		if step == stepExporting {
			d.client.beforeExport = inject
		} else {
			d.client.beforeImport = inject
		}
		out.hookAt, out.hook = 10, func() { d.reclaim("a", 450*time.Millisecond) }
	case stepLast:
		out.hookAt, out.hook = len(standin.ExpectedTokens(testModel, chatRequest("r1", maxTokens).Messages, maxTokens)), inject
	}
}

// inject causes a fault at engine a, to which new requests are sent first.
func (d *deployment) inject(fault string, cancel func()) {
	switch fault {
	case faultEngineDies:
		d.engines[0].Kill()
	case faultReclaim:
		d.reclaim("a", 400*time.Millisecond)
	case faultReclaimAtOnce:
		d.reclaim("a", time.Millisecond)
	case faultTwoEnginesDie:
		d.engines[0].Kill()
		time.AfterFunc(8*time.Millisecond, d.engines[1].Kill)
	case faultSilent:
		d.engines[0].Silence()
	case faultSilentReclaim:
		d.engines[0].Silence()
		d.reclaim("a", 50*time.Millisecond)
	case faultEvents:
		for _, e := range d.engines {
			e.SetEventFaults(standin.EventFaults{LateEvery: 3, CrossedEvery: 4})
		}
	case faultCallerGone:
		cancel()
	case faultDrain:
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), handOverTime+20*time.Millisecond)
			defer stop()
			_ = d.driver.Drain(ctx)
		}()
	}
}

// TestRandomStreams guards against lost, truncated and mixed-up answers when
// several faults occur during several streams over real connections.
func TestRandomStreams(t *testing.T) {
	faults := []string{"dies", "silent", "reclaimed", "drain", "events", "caller gone"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		d := deployWithTimeout(rt, progressTimeout, standin.Options{DecodeStep: 200 * time.Microsecond, BatchSize: 4}, func(o *streaming.Options) {
			o.Costs.TransferSetup = time.Millisecond
			o.Costs.Margin = 5 * time.Millisecond
			o.Seed = rapid.Uint64().Draw(rt, "seed")
		})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "luck"), 0))
		var streams sync.WaitGroup
		for i := range rapid.IntRange(1, 5).Draw(rt, "streams") {
			report.Step()
			gone := rapid.IntRange(0, 9).Draw(rt, "gone") == 0
			hookAt := rng.IntN(20) + 1
			streams.Go(func() { d.runRequest(rt, report, fmt.Sprintf("r%d", i), gone, hookAt) })
		}
		// One of the three engines gets no faults, so that requests can still
		// be answered.
		for i := range rapid.IntRange(0, 3).Draw(rt, "faults") {
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
			fault := rapid.SampledFrom(faults[:5]).Draw(rt, "fault")
			report.Fault(fault)
			d.injectRandomFault(fault, i%2)
		}
		streams.Wait()
		d.expectClean(rt)
	})
}

// injectRandomFault causes a fault at engine i, or a drain of the driver.
func (d *deployment) injectRandomFault(fault string, i int) {
	switch fault {
	case "dies":
		d.engines[i].Kill()
	case "silent":
		d.engines[i].Silence()
	case "reclaimed":
		d.reclaim(d.engines[i].Name(), 10*time.Millisecond)
	case "events":
		d.engines[i].SetEventFaults(standin.EventFaults{LateEvery: 2, CrossedEvery: 3, GapAt: 7})
	case "drain":
		ctx, stop := context.WithTimeout(context.Background(), handOverTime+10*time.Millisecond)
		defer stop()
		_ = d.driver.Drain(ctx)
	}
}

// runRequest runs one request to its end and checks the answer.
func (d *deployment) runRequest(rt *rapid.T, report *randomtest.Report, id string, gone bool, hookAt int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, out := chatRequest(id, 24), &sink{reattach: true}
	if gone {
		out.hookAt, out.hook = hookAt, cancel
	}
	err := d.chatAndReattach(ctx, req, out)
	switch err.(type) {
	case nil:
		report.Outcome("whole")
		if out.text() != expected(req) {
			rt.Errorf("request %s: answer %q, want %q", id, out.text(), expected(req))
		}
	case *streaming.CallerGoneError:
		report.Fault("caller gone")
	default:
		if d.driver.Draining() && out.length() == 0 {
			report.Outcome("refused by the drain")
			return
		}
		rt.Errorf("request %s: %v", id, err)
	}
}
