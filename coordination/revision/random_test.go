package revision

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
)

const (
	simDaemons = 4
	simSteps   = 120
)

// simAdvances are time steps below DefaultMaxPause, like the tick interval.
var simAdvances = []time.Duration{10 * time.Millisecond, 250 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}

// simDaemon is one daemon with a test oracle that is derived from the answers that
// the daemon received.
type simDaemon struct {
	tracker   *Tracker
	paused    bool
	pending   []simAnswer
	lastEvent time.Time
	// unconfirmedSince, confirmed, known and required are the state of the
	// oracle: after a confirmation, no revision lower than the one known at that
	// time may be served.
	unconfirmedSince time.Time
	confirmed        bool
	known            uint64
	required         uint64
	served           uint64
}

// simAnswer is an answer in transit: the events that its delivery causes, and those
// that its loss causes.
type simAnswer struct{ events, lost []Event }

// sim simulates a table and several daemons whose answers arrive in any order.
type sim struct {
	rt      *rapid.T
	report  *randomtest.Report
	now     time.Time
	head    Revision
	outage  bool
	daemons []*simDaemon
}

// TestRandomRevision guards against a daemon that reverts to a lower revision, that
// serves after a start or a pause without a new confirmation, or that does not
// reach the head after all faults have ended.
func TestRandomRevision(t *testing.T) {
	faults := []string{"pause", "long pause", "restart", "outage", "lost answer", "peer unreachable", "racing publisher"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		s := &sim{rt: rt, report: report, now: epoch, head: one}
		for range simDaemons {
			d := &simDaemon{}
			s.daemons = append(s.daemons, d)
			s.start(d)
		}
		for range simSteps {
			s.step()
			report.Step()
		}
		s.heal()
	})
}

func (s *sim) start(d *simDaemon) {
	reporter := &invariant.Reporter{OnViolation: func(err *invariant.ViolationError) { s.rt.Fatal(err) }}
	tracker, actions := New(s.now, Options{Reporter: reporter})
	*d = simDaemon{tracker: tracker, lastEvent: s.now, unconfirmedSince: s.now}
	s.execute(d, actions)
}

func (s *sim) step() {
	d := s.daemons[rapid.IntRange(0, simDaemons-1).Draw(s.rt, "daemon")]
	switch rapid.IntRange(0, 15).Draw(s.rt, "step") {
	case 0:
		s.publish()
	case 1:
		s.outage = !s.outage
		s.report.Fault("outage")
	case 2, 3:
		d.paused = !d.paused
		s.report.Fault("pause")
	case 4:
		s.report.Fault("restart")
		s.start(d)
	case 5:
		s.deliverAnswer(d, true)
	case 6, 7, 8:
		s.advance(rapid.SampledFrom(simAdvances).Draw(s.rt, "advance"))
	default:
		s.deliverAnswer(d, false)
	}
}

// publish simulates two publishers that race on the same head. The first one wins.
func (s *sim) publish() {
	if s.outage {
		return
	}
	expectedNumber := s.head.Number
	for i := range 2 {
		if expectedNumber != s.head.Number {
			s.report.Fault("racing publisher")
			continue
		}
		s.head = Revision{expectedNumber + 1, fmt.Sprintf("%d by %d", expectedNumber+1, i)}
	}
}

// advance moves the clock. Every daemon that is not paused gets a tick and polls the
// head.
func (s *sim) advance(by time.Duration) {
	s.now = s.now.Add(by)
	for _, d := range s.daemons {
		if !d.paused {
			s.handle(d, Tick{})
			s.readHead(d)
		}
	}
}

func (s *sim) deliverAnswer(d *simDaemon, lose bool) {
	if d.paused || len(d.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.pending)-1).Draw(s.rt, "answer")
	a := d.pending[i]
	d.pending = append(d.pending[:i:i], d.pending[i+1:]...)
	events := a.events
	if lose {
		s.report.Fault("lost answer")
		events = a.lost
	}
	for _, e := range events {
		s.handle(d, e)
	}
}

func (s *sim) handle(d *simDaemon, e Event) {
	if Elapsed(d.lastEvent, s.now) > DefaultMaxPause {
		s.report.Fault("long pause")
		d.confirmed, d.unconfirmedSince = false, s.now
	}
	d.lastEvent = s.now
	d.observe(e)
	s.execute(d, d.tracker.Handle(s.now, e))
	s.checkServing(d)
}

// observe updates the oracle with an event: the known revision, and whether the event
// is a valid confirmation.
func (d *simDaemon) observe(e Event) {
	switch e := e.(type) {
	case HeadRead:
		d.known = max(d.known, e.Head.Number)
		if !e.RequestedAt.Before(d.unconfirmedSince) {
			d.confirm()
		}
	case PeerReported:
		d.known = max(d.known, e.Revision.Number)
	case PeersAnswered:
		if !e.RequestedAt.Before(d.unconfirmedSince) && e.Confirmed > 0 {
			d.confirm()
		}
	}
}

func (d *simDaemon) confirm() {
	if !d.confirmed {
		d.confirmed, d.required = true, d.known
	}
}

func (s *sim) checkServing(d *simDaemon) {
	r, err := d.tracker.Serving(s.now)
	if err != nil {
		s.report.Outcome("refused to serve")
		return
	}
	s.report.Outcome("served")
	if !d.confirmed {
		s.rt.Fatalf("daemon serves revision %v without a confirmation since %v", r, d.unconfirmedSince)
	}
	if r.Number < d.served || r.Number > s.head.Number {
		s.rt.Fatalf("daemon serves revision %v after revision %d, the head is %v", r, d.served, s.head)
	}
	if r.Number < d.required {
		s.rt.Fatalf("daemon serves revision %v, which is below the confirmed revision %d", r, d.required)
	}
	d.served = r.Number
}

func (s *sim) execute(d *simDaemon, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ReadHead:
			s.readHead(d)
		case QueryPeers:
			s.queryPeers(d)
		case FetchBody:
			d.enqueue(simAnswer{[]Event{BodyReady(a)}, []Event{BodyFailed(a)}})
		case Announce:
			for _, other := range s.daemons {
				other.enqueue(simAnswer{events: []Event{PeerReported{"peer", a.Revision}}})
			}
		case RefuseLower:
			s.report.Outcome("refused lower")
		}
	}
}

func (d *simDaemon) enqueue(a simAnswer) { d.pending = append(d.pending, a) }

func (s *sim) readHead(d *simDaemon) {
	failed := []Event{TableFailed{RequestedAt: s.now}}
	if s.outage {
		d.enqueue(simAnswer{failed, failed})
		return
	}
	d.enqueue(simAnswer{[]Event{HeadRead{Head: s.head, RequestedAt: s.now}}, failed})
}

func (s *sim) queryPeers(d *simDaemon) {
	var replies []Event
	for _, other := range s.daemons {
		if other == d || other.paused {
			continue
		}
		if rapid.IntRange(0, 3).Draw(s.rt, "reachable") == 0 {
			s.report.Fault("peer unreachable")
			continue
		}
		if r, ok := other.tracker.Confirmed(s.now); ok {
			replies = append(replies, PeerReported{"peer", r})
		}
	}
	end := PeersAnswered{RequestedAt: s.now, Confirmed: len(replies)}
	d.enqueue(simAnswer{append(replies, end), []Event{PeersAnswered{RequestedAt: s.now}}})
}

// heal ends all faults and checks that every daemon serves the head within 4 s.
func (s *sim) heal() {
	s.outage = false
	for _, d := range s.daemons {
		d.paused = false
	}
	for range 8 {
		s.advance(500 * time.Millisecond)
		for _, d := range s.daemons {
			for len(d.pending) > 0 {
				s.deliverAnswer(d, false)
			}
		}
	}
	for i, d := range s.daemons {
		if r, err := d.tracker.Serving(s.now); err != nil || r != s.head {
			s.rt.Fatalf("daemon %d serves revision %v (error %v) after all faults have ended, the head is %v", i, r, err, s.head)
		}
	}
}
