package streaming_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// fakeAttempt is the state of an attempt at its engine.
type fakeAttempt struct {
	id, backend string
	nextOffset  int
	cancelled   bool
	// done is set when the engine has nothing left to cancel.
	done bool
}

// machineHarness runs a Machine with injected faults and checks the events that
// it delivers.
type machineHarness struct {
	fail             func(format string, args ...any)
	now              time.Time
	machine          *streaming.Machine
	answer           []string
	received         []string
	attempts         []*fakeAttempt
	migratingAttempt string
	handingOver      bool
	handedOverTokens int
	ends             []streaming.End
	finished         bool
	drops            map[streaming.DropReason]int
	reporter         *invariant.Reporter
}

const answerLength = 12

func newMachineHarness(seed uint64, fail func(string, ...any)) *machineHarness {
	c := &machineHarness{fail: fail, now: time.Unix(1000, 0), drops: make(map[streaming.DropReason]int), reporter: &invariant.Reporter{}}
	for i := range answerLength {
		c.answer = append(c.answer, fmt.Sprintf("token-%d ", i))
	}
	req := api.ChatRequest{Request: api.Request{ID: "r1", Deadline: c.now.Add(time.Hour)}}
	c.machine = streaming.NewMachine(streaming.MachineOptions{
		State: streaming.State{Request: req}, Nonce: "n", Random: rand.New(rand.NewPCG(seed, 0)), Invariants: c.reporter,
	})
	return c
}

// step passes an event to the machine and executes the resulting actions.
func (c *machineHarness) step(ev streaming.Event) {
	actions, err := c.machine.Step(c.now, ev)
	if err != nil {
		c.fail("%v", err)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case streaming.Dispatch:
			c.dispatch(a)
		case streaming.Deliver:
			c.deliver(a.Token)
		case streaming.Drop:
			c.drops[a.Reason]++
		case streaming.Cancel:
			c.cancel(a)
		case streaming.Migrate:
			c.migratingAttempt = a.AttemptID
		case streaming.AbandonMigration:
			c.migratingAttempt = ""
		case streaming.HandOver:
			c.handingOver, c.handedOverTokens = true, len(a.State.Tokens)
			if !slices.Equal(a.State.Tokens, c.received) {
				c.fail("handed over %d tokens, the caller has %d", len(a.State.Tokens), len(c.received))
			}
		case streaming.End:
			c.ends = append(c.ends, a)
			if a.Kind == streaming.EndHandedOver && len(c.received) != c.handedOverTokens {
				c.fail("the peer has %d tokens, the caller %d", c.handedOverTokens, len(c.received))
			}
		}
	}
	if len(c.ends) > 1 {
		c.fail("ended %d times", len(c.ends))
	}
}

func (c *machineHarness) dispatch(d streaming.Dispatch) {
	if !slices.Equal(d.Resume, c.received) {
		c.fail("attempt resumes from %d tokens, the caller has %d", len(d.Resume), len(c.received))
	}
	backend := d.Backend
	for i := 0; backend == ""; i++ {
		if name := fmt.Sprintf("e%d", i); !slices.Contains(d.Exclude, name) {
			backend = name
		}
	}
	c.attempts = append(c.attempts, &fakeAttempt{id: d.AttemptID, backend: backend, nextOffset: len(d.Resume)})
	c.step(streaming.Dispatched{AttemptID: d.AttemptID, Backend: backend})
}

func (c *machineHarness) deliver(t api.TokenEvent) {
	if t.Offset != len(c.received) {
		c.fail("offset %d delivered after %d tokens", t.Offset, len(c.received))
	}
	if t.FinishReason != "" {
		c.finished = true
		return
	}
	if t.Offset >= len(c.answer) || t.Text != c.answer[t.Offset] {
		c.fail("token %q delivered at offset %d", t.Text, t.Offset)
	}
	c.received = append(c.received, t.Text)
}

func (c *machineHarness) cancel(e streaming.Cancel) {
	for _, a := range c.attempts {
		if a.id == e.AttemptID && a.backend == e.Backend {
			a.cancelled = true
			return
		}
	}
	c.fail("cancel of unknown attempt %s at %s", e.AttemptID, e.Backend)
}

// current returns the attempt that is still running, or nil.
func (c *machineHarness) current() *fakeAttempt {
	if len(c.attempts) == 0 {
		return nil
	}
	last := c.attempts[len(c.attempts)-1]
	if last.done || last.cancelled {
		return nil
	}
	return last
}

// sendToken sends the next event of an attempt.
func (c *machineHarness) sendToken(a *fakeAttempt) {
	ev := streaming.Token{AttemptID: a.id, Offset: a.nextOffset}
	if a.nextOffset < len(c.answer) {
		ev.Text = c.answer[a.nextOffset]
	} else {
		ev.FinishReason, a.done = "stop", true
	}
	a.nextOffset++
	c.step(ev)
}

// runToEnd stops injecting faults and runs the stream to its end.
func (c *machineHarness) runToEnd() {
	for i := 0; !c.machine.Ended() && i < 1000; i++ {
		switch a := c.current(); {
		case c.handingOver:
			c.handingOver = false
			c.step(streaming.HandOverFailed{})
		case a != nil:
			c.sendToken(a)
		default:
			c.now = c.now.Add(time.Second)
			c.step(streaming.Tick{})
		}
	}
	if !c.machine.Ended() {
		c.fail("the stream has not ended")
	}
	for _, a := range c.attempts {
		if !a.done && !a.cancelled {
			c.fail("attempt %s was abandoned without a cancel", a.id)
		}
	}
	if len(c.reporter.Counts()) > 0 {
		c.fail("violations %v", c.reporter.Counts())
	}
}

var failureKinds = map[string]streaming.FailureKind{
	"not sent": streaming.FailureNotSent, "refused": streaming.FailureRefused,
	"broken": streaming.FailureBroken, "silent": streaming.FailureSilent, "crashed": streaming.FailureCrashed,
}

var machineFaults = []string{
	"late", "duplicate", "crossed", "abandoned attempt", "gap", "not sent", "refused", "broken", "silent", "crashed",
	"reclaim", "migrated", "migration failed", "caller gone", "drain", "drain done", "drain failed", "retry denied", "none available",
}

// faultChoices returns the faults to choose from. Faults that are possible only
// during a short phase are listed more often in that phase.
func (c *machineHarness) faultChoices() []string {
	switch {
	case c.migratingAttempt != "":
		return append([]string{"migrated", "migration failed", "migrated", "migration failed"}, machineFaults[:11]...)
	case c.handingOver:
		return append([]string{"drain done", "drain failed", "drain failed"}, machineFaults[:10]...)
	}
	return append([]string{"reclaim", "reclaim", "reclaim"}, machineFaults...)
}

// injectFault injects one fault and reports whether it was possible in the
// current state.
func (c *machineHarness) injectFault(rt *rapid.T, fault string) bool {
	a := c.current()
	switch fault {
	case "abandoned attempt":
		for _, old := range c.attempts {
			if old.cancelled && old.nextOffset <= len(c.answer) {
				c.sendToken(old)
				return true
			}
		}
		return false
	case "drain":
		c.step(streaming.HandOverRequested{})
		return true
	case "drain done", "drain failed":
		if !c.handingOver {
			return false
		}
		c.handingOver = false
		if fault == "drain done" {
			c.step(streaming.HandOverDone{Peer: "p"})
		} else {
			c.step(streaming.HandOverFailed{})
		}
		return true
	case "caller gone":
		c.step(streaming.CallerGone{})
		return true
	case "migrated", "migration failed":
		id := c.migratingAttempt
		if c.migratingAttempt = ""; id == "" {
			return false
		}
		if fault == "migrated" {
			c.step(streaming.Migrated{AttemptID: id, Backend: "target", Handle: "h"})
		} else {
			c.step(streaming.MigrationFailed{AttemptID: id})
		}
		return true
	}
	if a == nil {
		return false
	}
	c.injectAttemptFault(rt, fault, a)
	return true
}

func (c *machineHarness) injectAttemptFault(rt *rapid.T, fault string, a *fakeAttempt) {
	switch fault {
	case "late", "duplicate":
		back := 1
		if fault == "late" {
			back = rapid.IntRange(2, 5).Draw(rt, "back")
		}
		if at := a.nextOffset - back; at >= 0 {
			c.step(streaming.Token{AttemptID: a.id, Offset: at, Text: "stale "})
		}
	case "crossed":
		c.step(streaming.Token{AttemptID: "r2.n-1", Offset: len(c.received), Text: "another caller's "})
	case "gap":
		a.nextOffset++
		c.step(streaming.Token{AttemptID: a.id, Offset: a.nextOffset, Text: "too early "})
		a.nextOffset++
	case "reclaim":
		choice := rapid.SampledFrom([]streaming.ReclaimChoice{
			streaming.ReclaimFinish, streaming.ReclaimMigrate, streaming.ReclaimResume}).Draw(rt, "choice")
		at := c.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(rt, "at")) * time.Second)
		c.step(streaming.ReclaimPlanned{Backend: a.backend, Deadline: c.now.Add(2 * time.Second), Choice: choice, StartAt: at})
	case "retry denied":
		a.done = true
		c.step(streaming.RetryDenied{AttemptID: a.id})
	case "none available":
		a.done = true
		c.step(streaming.NoBackendAvailable{AttemptID: a.id})
	default:
		kind := failureKinds[fault]
		a.done = kind == streaming.FailureNotSent || kind == streaming.FailureRefused
		c.step(streaming.Failed{AttemptID: a.id, Kind: kind})
	}
}

// TestRandomMachine guards against gaps, repeats, mixed-up answers, second ends
// and attempts that keep running, under any combination of faults.
func TestRandomMachine(t *testing.T) {
	randomtest.Check(t, machineFaults, func(rt *rapid.T, report *randomtest.Report) {
		for range streamsPerCheck {
			runStream(rt, report)
		}
	})
}

// streamsPerCheck is large enough that the rare faults occur with every seed
// within 100 checks.
const streamsPerCheck = 8

func runStream(rt *rapid.T, report *randomtest.Report) {
	c := newMachineHarness(rapid.Uint64().Draw(rt, "seed"), rt.Fatalf)
	c.step(streaming.Begin{})
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		report.Step()
		if a := c.current(); a != nil && rapid.Bool().Draw(rt, "token") {
			c.sendToken(a)
			continue
		}
		if rapid.IntRange(0, 3).Draw(rt, "tick") == 0 {
			c.now = c.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			c.step(streaming.Tick{})
			continue
		}
		fault := rapid.SampledFrom(c.faultChoices()).Draw(rt, "fault")
		if c.injectFault(rt, fault) {
			report.Fault(fault)
		}
	}
	c.runToEnd()
	end := c.ends[0]
	report.Outcome(string(end.Kind))
	if whole := c.finished && slices.Equal(c.received, c.answer); whole != (end.Kind == streaming.EndFinished) {
		rt.Fatalf("ended as %s with %d of %d tokens", end.Kind, len(c.received), len(c.answer))
	}
	if end.Problem != nil && end.Problem.Outcome == api.OutcomeNotRun && len(c.received) > 0 {
		rt.Fatalf("not_run after %d tokens", len(c.received))
	}
}
