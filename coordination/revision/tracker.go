package revision

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

const (
	// DefaultMaxPause is the longest silence after which a daemon still trusts
	// what it has confirmed. It is below the 4 s in which a change must be in
	// force everywhere, so that a pause hides no change for longer than that.
	DefaultMaxPause = 3 * time.Second
	// DefaultFetchRetry is how long a failed fetch of a body waits.
	DefaultFetchRetry = 250 * time.Millisecond
)

// Options are the settings of a Tracker.
type Options struct {
	// MaxPause bounds the time between two events. After a longer silence the
	// daemon serves nothing until it has confirmed its revision again.
	MaxPause time.Duration
	// FetchRetry is the pause after a failed fetch of a body.
	FetchRetry time.Duration
	// Reporter receives violations of I7.
	Reporter *invariant.Reporter
}

// Tracker holds the highest confirmed revision and the one in force. It is not
// safe for concurrent use.
type Tracker struct {
	options Options
	// known is the highest revision that the table or a peer has confirmed.
	known Revision
	// inForce is never higher than known and never falls.
	inForce Revision
	// unconfirmedSince is when the present need for a confirmation arose;
	// answers to questions asked before it prove nothing.
	unconfirmedSince time.Time
	confirmed        bool
	// floor is the revision known at the last confirmation after a start or a
	// pause; nothing below it is served.
	minNumber uint64
	lastEvent time.Time
	// knownAt is when known was learned.
	knownAt time.Time
	serving bool
	reason  StopReason

	fetching     Revision
	nextFetch    time.Time
	peersQueried bool
}

// New returns a Tracker of a daemon that starts at now, which serves nothing
// yet, and its first actions.
func New(now time.Time, options Options) (*Tracker, []Action) {
	if options.MaxPause <= 0 {
		options.MaxPause = DefaultMaxPause
	}
	if options.FetchRetry <= 0 {
		options.FetchRetry = DefaultFetchRetry
	}
	t := &Tracker{options: options, unconfirmedSince: now, lastEvent: now, reason: StopStarted}
	return t, []Action{StopServing{Reason: StopStarted}, ReadHead{}}
}

// Handle applies an event and returns the actions that follow, in order.
func (t *Tracker) Handle(now time.Time, event Event) []Action {
	actions := t.detectPause(now)
	switch e := event.(type) {
	case HeadRead:
		actions = t.headRead(actions, e)
	case TableFailed:
		actions = t.tableFailed(actions)
	case PeerReported:
		actions = t.updateKnown(actions, e.Revision, e.Peer)
	case PeersAnswered:
		actions = t.peersAnswered(actions, e)
	case BodyReady:
		actions = t.bodyReady(actions, e.Revision)
	case BodyFailed:
		t.bodyFailed(now, e.Revision)
	}
	actions = t.fetch(now, actions)
	return t.updateServing(actions)
}

// Serving returns the revision to serve under at now, or NotConfirmedError. It
// sees a pause even before the next event does.
func (t *Tracker) Serving(now time.Time) (Revision, error) {
	if t.serving && Elapsed(t.lastEvent, now) > t.options.MaxPause {
		return Revision{}, &NotConfirmedError{Reason: StopPaused, Known: t.known}
	}
	if !t.serving {
		return Revision{}, &NotConfirmedError{Reason: t.reason, Known: t.known}
	}
	return t.inForce, nil
}

// Confirmed returns the highest confirmed revision to tell peers. It is not ok
// while the daemon itself waits for a confirmation.
func (t *Tracker) Confirmed(now time.Time) (Revision, bool) {
	ok := t.confirmed && t.known.Number > 0 && Elapsed(t.lastEvent, now) <= t.options.MaxPause
	return t.known, ok
}

// InForce returns the revision in force, served or not.
func (t *Tracker) InForce() Revision { return t.inForce }

// Known returns the highest revision known.
func (t *Tracker) Known() Revision { return t.known }

// Lag returns for how long a higher revision has been known than is in force.
func (t *Tracker) Lag(now time.Time) time.Duration {
	if t.known.Number <= t.inForce.Number {
		return 0
	}
	return max(now.Sub(t.knownAt), 0)
}

// Elapsed returns the time between two instants by the monotonic or the wall
// clock, whichever says more: the monotonic clock stands still while a machine
// is suspended.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func (t *Tracker) detectPause(now time.Time) []Action {
	paused := Elapsed(t.lastEvent, now) > t.options.MaxPause
	t.lastEvent = now
	if !paused {
		return nil
	}
	t.confirmed, t.unconfirmedSince, t.peersQueried = false, now, false
	if t.reason != StopStarted {
		t.reason = StopPaused
	}
	// A fetch from before the pause may have been lost with its connection.
	t.fetching, t.nextFetch = Revision{}, now
	return []Action{ReadHead{}}
}

// headRead learns of the head and, if the read was sent after the need for a
// confirmation arose, confirms the highest revision known. That is the head or
// a later one that a peer has already read.
func (t *Tracker) headRead(actions []Action, e HeadRead) []Action {
	actions = t.updateKnown(actions, e.Head, "")
	if !t.confirmed && !e.RequestedAt.Before(t.unconfirmedSince) {
		t.confirm()
	}
	return actions
}

func (t *Tracker) confirm() {
	t.confirmed, t.peersQueried = true, false
	t.minNumber = t.known.Number
}

// tableFailed turns to the peers when the table cannot confirm.
func (t *Tracker) tableFailed(actions []Action) []Action {
	if t.confirmed || t.peersQueried {
		return actions
	}
	t.peersQueried = true
	return append(actions, QueryPeers{})
}

// peersAnswered confirms the highest revision known if any peer had confirmed
// one. Without such a peer, the daemon goes on waiting for the table.
func (t *Tracker) peersAnswered(actions []Action, e PeersAnswered) []Action {
	t.peersQueried = false
	if !t.confirmed && e.Confirmed > 0 && t.known.Number > 0 && !e.RequestedAt.Before(t.unconfirmedSince) {
		t.confirm()
	}
	return actions
}

// learn raises the highest revision known. Lower revisions are refused.
func (t *Tracker) updateKnown(actions []Action, r Revision, peer string) []Action {
	switch {
	case r.Number > t.known.Number:
		t.known, t.knownAt = r, t.lastEvent
		return append(actions, Announce{Revision: r})
	case r.Number < t.known.Number:
		return append(actions, RefuseLower{Offered: r, Known: t.known, Peer: peer})
	}
	_ = t.options.Reporter.Check(r.BodyHash == t.known.BodyHash, invariant.ConfigurationMonotonic,
		"revision %d has body %s from %q and body %s", r.Number, r.BodyHash, peer, t.known.BodyHash)
	return actions
}

// fetch asks for the body of the highest revision known, one at a time.
func (t *Tracker) fetch(now time.Time, actions []Action) []Action {
	wanted := t.known.Number > t.inForce.Number && t.fetching != t.known
	if !wanted || (t.fetching == Revision{} && now.Before(t.nextFetch)) {
		return actions
	}
	t.fetching = t.known
	return append(actions, FetchBody{Revision: t.known})
}

func (t *Tracker) bodyFailed(now time.Time, r Revision) {
	if t.fetching == r {
		t.fetching, t.nextFetch = Revision{}, now.Add(t.options.FetchRetry)
	}
}

// bodyReady puts a revision in force unless a later one is.
func (t *Tracker) bodyReady(actions []Action, r Revision) []Action {
	if t.fetching == r {
		t.fetching = Revision{}
	}
	if r.Number <= t.inForce.Number {
		return actions
	}
	err := t.options.Reporter.Check(r.Number <= t.known.Number, invariant.ConfigurationMonotonic,
		"body of revision %v is ready, highest known is %v", r, t.known)
	if err != nil {
		return actions
	}
	return t.putInForce(actions, r)
}

func (t *Tracker) putInForce(actions []Action, r Revision) []Action {
	if err := t.options.Reporter.Check(r.Number > t.inForce.Number, invariant.ConfigurationMonotonic,
		"revision %v would replace %v", r, t.inForce); err != nil {
		return actions
	}
	t.inForce = r
	return append(actions, PutInForce{Revision: r})
}

// updateServing starts or stops serving as confirmation and body allow.
func (t *Tracker) updateServing(actions []Action) []Action {
	reason, ok := t.mayServe()
	if ok == t.serving {
		t.reason = reason
		return actions
	}
	t.serving, t.reason = ok, reason
	if ok {
		return append(actions, StartServing{Revision: t.inForce})
	}
	return append(actions, StopServing{Reason: reason})
}

func (t *Tracker) mayServe() (StopReason, bool) {
	switch {
	case !t.confirmed:
		return t.reason, false
	case t.known.Number == 0:
		return StopNothingPublished, false
	case t.inForce.Number < t.minNumber || t.inForce.Number == 0:
		return StopBodyMissing, false
	}
	return "", true
}
