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

// fakeAttempt is an attempt as its engine sees it.
type fakeAttempt struct {
	id, backend string
	next        int
	cancelled   bool
	// over is set when the engine has nothing left to cancel.
	over bool
}

// caller drives a Machine through a disturbed world and checks what it delivers.
type caller struct {
	fail      func(format string, args ...any)
	now       time.Time
	m         *streaming.Machine
	answer    []string
	got       []string
	attempts  []*fakeAttempt
	migrating string
	handing   bool
	handed    int
	ends      []streaming.End
	finished  bool
	drops     map[streaming.DropReason]int
	reporter  *invariant.Reporter
}

const answerLength = 12

func newCaller(seed uint64, fail func(string, ...any)) *caller {
	c := &caller{fail: fail, now: time.Unix(1000, 0), drops: make(map[streaming.DropReason]int), reporter: &invariant.Reporter{}}
	for i := range answerLength {
		c.answer = append(c.answer, fmt.Sprintf("token-%d ", i))
	}
	req := api.ChatRequest{Request: api.Request{ID: "r1", Deadline: c.now.Add(time.Hour)}}
	c.m = streaming.NewMachine(streaming.MachineOptions{
		State: streaming.State{Request: req}, Nonce: "n", Random: rand.New(rand.NewPCG(seed, 0)), Invariants: c.reporter,
	})
	return c
}

// step gives the machine an event and carries out its actions.
func (c *caller) step(ev streaming.Event) {
	actions, err := c.m.Step(c.now, ev)
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
			c.migrating = a.AttemptID
		case streaming.AbandonMigration:
			c.migrating = ""
		case streaming.HandOver:
			c.handing, c.handed = true, len(a.State.Tokens)
			if !slices.Equal(a.State.Tokens, c.got) {
				c.fail("handed over %d tokens, the caller has %d", len(a.State.Tokens), len(c.got))
			}
		case streaming.End:
			c.ends = append(c.ends, a)
			if a.Kind == streaming.EndHandedOver && len(c.got) != c.handed {
				c.fail("the peer has %d tokens, the caller %d", c.handed, len(c.got))
			}
		}
	}
	if len(c.ends) > 1 {
		c.fail("ended %d times", len(c.ends))
	}
}

func (c *caller) dispatch(d streaming.Dispatch) {
	if !slices.Equal(d.Resume, c.got) {
		c.fail("attempt resumes from %d tokens, the caller has %d", len(d.Resume), len(c.got))
	}
	backend := d.Backend
	for i := 0; backend == ""; i++ {
		if name := fmt.Sprintf("e%d", i); !slices.Contains(d.Exclude, name) {
			backend = name
		}
	}
	c.attempts = append(c.attempts, &fakeAttempt{id: d.AttemptID, backend: backend, next: len(d.Resume)})
	c.step(streaming.Dispatched{AttemptID: d.AttemptID, Backend: backend})
}

func (c *caller) deliver(t api.TokenEvent) {
	if t.Offset != len(c.got) {
		c.fail("offset %d delivered after %d tokens", t.Offset, len(c.got))
	}
	if t.FinishReason != "" {
		c.finished = true
		return
	}
	if t.Offset >= len(c.answer) || t.Text != c.answer[t.Offset] {
		c.fail("token %q delivered at offset %d", t.Text, t.Offset)
	}
	c.got = append(c.got, t.Text)
}

func (c *caller) cancel(e streaming.Cancel) {
	for _, a := range c.attempts {
		if a.id == e.AttemptID && a.backend == e.Backend {
			a.cancelled = true
			return
		}
	}
	c.fail("cancel of unknown attempt %s at %s", e.AttemptID, e.Backend)
}

// current is the attempt that still runs, or nil.
func (c *caller) current() *fakeAttempt {
	if len(c.attempts) == 0 {
		return nil
	}
	last := c.attempts[len(c.attempts)-1]
	if last.over || last.cancelled {
		return nil
	}
	return last
}

// token sends the next event of an attempt.
func (c *caller) token(a *fakeAttempt) {
	ev := streaming.Token{AttemptID: a.id, Offset: a.next}
	if a.next < len(c.answer) {
		ev.Text = c.answer[a.next]
	} else {
		ev.FinishReason, a.over = "stop", true
	}
	a.next++
	c.step(ev)
}

// settle ends all disturbance and runs the stream to its end.
func (c *caller) settle() {
	for i := 0; !c.m.Ended() && i < 1000; i++ {
		switch a := c.current(); {
		case c.handing:
			c.handing = false
			c.step(streaming.HandOverFailed{})
		case a != nil:
			c.token(a)
		default:
			c.now = c.now.Add(time.Second)
			c.step(streaming.Tick{})
		}
	}
	if !c.m.Ended() {
		c.fail("the stream has not ended")
	}
	for _, a := range c.attempts {
		if !a.over && !a.cancelled {
			c.fail("attempt %s was left behind without a cancel", a.id)
		}
	}
	if len(c.reporter.Counts()) > 0 {
		c.fail("violations %v", c.reporter.Counts())
	}
}

var failures = map[string]streaming.FailureKind{
	"not sent": streaming.FailureNotSent, "refused": streaming.FailureRefused,
	"broken": streaming.FailureBroken, "silent": streaming.FailureSilent, "crashed": streaming.FailureCrashed,
}

var disturbances = []string{
	"late", "duplicate", "crossed", "left behind", "gap", "not sent", "refused", "broken", "silent", "crashed",
	"reclaim", "migrated", "migration failed", "caller gone", "drain", "drain done", "drain failed", "retry denied", "none available",
}

// likely returns the faults to choose from; those that can only occur in a short
// time are chosen more often then.
func (c *caller) likely() []string {
	switch {
	case c.migrating != "":
		return append([]string{"migrated", "migration failed", "migrated", "migration failed"}, disturbances[:11]...)
	case c.handing:
		return append([]string{"drain done", "drain failed", "drain failed"}, disturbances[:10]...)
	}
	return append([]string{"reclaim", "reclaim", "reclaim"}, disturbances...)
}

// disturb injects one fault and reports whether it could occur now.
func (c *caller) disturb(rt *rapid.T, fault string) bool {
	a := c.current()
	switch fault {
	case "left behind":
		for _, old := range c.attempts {
			if old.cancelled && old.next <= len(c.answer) {
				c.token(old)
				return true
			}
		}
		return false
	case "drain":
		c.step(streaming.HandOverRequested{})
		return true
	case "drain done", "drain failed":
		if !c.handing {
			return false
		}
		c.handing = false
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
		id := c.migrating
		if c.migrating = ""; id == "" {
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
	c.disturbAttempt(rt, fault, a)
	return true
}

func (c *caller) disturbAttempt(rt *rapid.T, fault string, a *fakeAttempt) {
	switch fault {
	case "late", "duplicate":
		back := 1
		if fault == "late" {
			back = rapid.IntRange(2, 5).Draw(rt, "back")
		}
		if at := a.next - back; at >= 0 {
			c.step(streaming.Token{AttemptID: a.id, Offset: at, Text: "stale "})
		}
	case "crossed":
		c.step(streaming.Token{AttemptID: "r2.n-1", Offset: len(c.got), Text: "another caller's "})
	case "gap":
		a.next++
		c.step(streaming.Token{AttemptID: a.id, Offset: a.next, Text: "too early "})
		a.next++
	case "reclaim":
		choice := rapid.SampledFrom([]streaming.ReclaimChoice{
			streaming.ReclaimFinish, streaming.ReclaimMigrate, streaming.ReclaimResume}).Draw(rt, "choice")
		at := c.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(rt, "at")) * time.Second)
		c.step(streaming.ReclaimPlanned{Backend: a.backend, Deadline: c.now.Add(2 * time.Second), Choice: choice, StartAt: at})
	case "retry denied":
		a.over = true
		c.step(streaming.RetryDenied{AttemptID: a.id})
	case "none available":
		a.over = true
		c.step(streaming.NoBackendAvailable{AttemptID: a.id})
	default:
		kind := failures[fault]
		a.over = kind == streaming.FailureNotSent || kind == streaming.FailureRefused
		c.step(streaming.Failed{AttemptID: a.id, Kind: kind})
	}
}

// TestRandomMachine guards against gaps, repeats, mixed-up answers, second
// ends and attempts that run on, under any mix of faults.
func TestRandomMachine(t *testing.T) {
	randomtest.Check(t, disturbances, func(rt *rapid.T, report *randomtest.Report) {
		for range streamsPerCheck {
			runStream(rt, report)
		}
	})
}

// streamsPerCheck makes every seed meet the rare faults within 100 checks.
const streamsPerCheck = 8

func runStream(rt *rapid.T, report *randomtest.Report) {
	c := newCaller(rapid.Uint64().Draw(rt, "seed"), rt.Fatalf)
	c.step(streaming.Begin{})
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		report.Step()
		if a := c.current(); a != nil && rapid.Bool().Draw(rt, "token") {
			c.token(a)
			continue
		}
		if rapid.IntRange(0, 3).Draw(rt, "tick") == 0 {
			c.now = c.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			c.step(streaming.Tick{})
			continue
		}
		fault := rapid.SampledFrom(c.likely()).Draw(rt, "fault")
		if c.disturb(rt, fault) {
			report.Fault(fault)
		}
	}
	c.settle()
	end := c.ends[0]
	report.Outcome(string(end.Kind))
	if whole := c.finished && slices.Equal(c.got, c.answer); whole != (end.Kind == streaming.EndFinished) {
		rt.Fatalf("ended as %s with %d of %d tokens", end.Kind, len(c.got), len(c.answer))
	}
	if end.Problem != nil && end.Problem.Outcome == api.OutcomeNotRun && len(c.got) > 0 {
		rt.Fatalf("not_run after %d tokens", len(c.got))
	}
}
