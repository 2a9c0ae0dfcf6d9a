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
	faultDies     = "engine dies"
	faultReclaim  = "engine reclaimed"
	faultShort    = "reclaimed at once"
	faultTwice    = "two engines die"
	faultSilent   = "engine silent"
	faultTogether = "silent, then reclaimed"
	faultEvents   = "late and crossed events"
	faultGone     = "caller gone"
	faultDrain    = "daemon drains"
)

// TestFaultMatrixStreams guards against a stream that is lost, cut or mixed up
// when a fault meets it at a known step.
func TestFaultMatrixStreams(t *testing.T) {
	t.Parallel()
	matrix := &faultmatrix.Matrix{
		Name: "streams",
		Faults: []string{faultDies, faultReclaim, faultShort, faultTwice, faultSilent, faultTogether,
			faultEvents, faultGone, faultDrain},
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
		// The stream outlasts the usable 150 ms of the notice.
		options.DecodeStep = 5 * time.Millisecond
	}
	if step == stepQueued {
		options.BatchSize = 1
	}
	d := deployWith(t, progressTimeout, options, nil)
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
	d.arm(t, step, req.MaxTokens, out, inject)
	err := d.ask(ctx, req, out)
	if !injected.Load() {
		t.Fatalf("the stream ended before %s at %s", fault, step)
	}
	if _, gone := err.(*streaming.CallerGoneError); gone && fault == faultGone {
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

// arm makes the fault strike at a step.
func (d *deployment) arm(t *testing.T, step string, maxTokens int, out *sink, inject func()) {
	switch step {
	case stepAccepted:
		d.client.beforeStart = inject
	case stepQueued:
		blocker := chatRequest("blocker", 40)
		started := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.driver.Chat(context.Background(), blocker, &sink{at: 1, hook: func() { close(started) }})
		}()
		t.Cleanup(func() { <-done })
		<-started
		time.AfterFunc(5*time.Millisecond, inject)
	case stepPrefill:
		time.AfterFunc(10*time.Millisecond, inject)
	case stepMid:
		out.at, out.hook = 10, inject
	case stepExporting, stepImporting:
		if step == stepExporting {
			d.client.beforeExport = inject
		} else {
			d.client.beforeImport = inject
		}
		out.at, out.hook = 10, func() { d.reclaim("a", 450*time.Millisecond) }
	case stepLast:
		out.at, out.hook = len(standin.ExpectedTokens(testModel, chatRequest("r1", maxTokens).Messages, maxTokens)), inject
	}
}

// inject starts a fault at the engine that new requests go to first.
func (d *deployment) inject(fault string, cancel func()) {
	switch fault {
	case faultDies:
		d.engines[0].Kill()
	case faultReclaim:
		d.reclaim("a", 400*time.Millisecond)
	case faultShort:
		d.reclaim("a", time.Millisecond)
	case faultTwice:
		d.engines[0].Kill()
		time.AfterFunc(8*time.Millisecond, d.engines[1].Kill)
	case faultSilent:
		d.engines[0].Silence()
	case faultTogether:
		d.engines[0].Silence()
		d.reclaim("a", 50*time.Millisecond)
	case faultEvents:
		for _, e := range d.engines {
			e.SetEventFaults(standin.EventFaults{LateEvery: 3, CrossedEvery: 4})
		}
	case faultGone:
		cancel()
	case faultDrain:
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), handOverTime+20*time.Millisecond)
			defer stop()
			_ = d.driver.Drain(ctx)
		}()
	}
}

// TestRandomStreams guards against lost, cut and mixed-up answers when several
// faults meet several streams over real connections.
func TestRandomStreams(t *testing.T) {
	faults := []string{"dies", "silent", "reclaimed", "drain", "events", "caller gone"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		d := deployWith(rt, progressTimeout, standin.Options{DecodeStep: 200 * time.Microsecond, BatchSize: 4}, func(o *streaming.Options) {
			o.Costs.TransferSetup = time.Millisecond
			o.Costs.Margin = 5 * time.Millisecond
			o.Seed = rapid.Uint64().Draw(rt, "seed")
		})
		luck := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "luck"), 0))
		var streams sync.WaitGroup
		for i := range rapid.IntRange(1, 5).Draw(rt, "streams") {
			report.Step()
			gone := rapid.IntRange(0, 9).Draw(rt, "gone") == 0
			at := luck.IntN(20) + 1
			streams.Go(func() { d.stream(rt, report, fmt.Sprintf("r%d", i), gone, at) })
		}
		// One engine of the three is left alone, so that an answer stays possible.
		for i := range rapid.IntRange(0, 3).Draw(rt, "faults") {
			time.Sleep(time.Duration(luck.IntN(3000)) * time.Microsecond)
			fault := rapid.SampledFrom(faults[:5]).Draw(rt, "fault")
			report.Fault(fault)
			d.strike(fault, i%2)
		}
		streams.Wait()
		d.expectClean(rt)
	})
}

func (d *deployment) strike(fault string, i int) {
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

// stream runs one request to its end.
func (d *deployment) stream(rt *rapid.T, report *randomtest.Report, id string, gone bool, at int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, out := chatRequest(id, 24), &sink{reattach: true}
	if gone {
		out.at, out.hook = at, cancel
	}
	err := d.ask(ctx, req, out)
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
