package revision

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

const (
	// DefaultMaxPause is the longest time between two events after which a
	// confirmation is still valid. It is below the 4 s within which a change must
	// be in force on all daemons, so that a pause delays no change for longer
	// than that.
	DefaultMaxPause = 3 * time.Second
	// DefaultFetchRetry is the delay before a failed fetch of a body is retried.
	DefaultFetchRetry = 250 * time.Millisecond
)

// Options configures a Tracker.
type Options struct {
	// MaxPause is the maximum time between two events. After a longer gap the
	// daemon serves no requests until it has confirmed its revision again.
	MaxPause time.Duration
	// FetchRetry is the delay before a failed fetch of a body is retried.
	FetchRetry time.Duration
	// Reporter receives violations of invariant I7: the configuration in force
	// never becomes lower.
	Reporter *invariant.Reporter
}

// Tracker holds the highest confirmed revision and the one in force. It is not
// safe for concurrent use.
type Tracker struct {
	options Options
	// known is the highest revision that the table or a peer has reported as
	// confirmed.
	known Revision
	// inForce is never higher than known and never decreases.
	inForce Revision
	// unconfirmedSince is when a confirmation became necessary. Answers to
	// requests that were sent before this time do not confirm anything.
	unconfirmedSince time.Time
	confirmed        bool
	// minNumber is the number of the revision that was known at the last
	// confirmation after a start or a pause. No lower revision is served.
	minNumber uint64
	lastEvent time.Time
	// knownAt is when known was first reported.
	knownAt time.Time
	serving bool
	reason  StopReason

	fetching     Revision
	nextFetch    time.Time
	peersQueried bool
}

// New returns the Tracker of a daemon that starts at now, together with its first
// actions. The daemon serves no requests until its first confirmation.
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

// Handle applies an event and returns the actions to execute, in order.
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

// Serving returns the revision to serve requests under at now, or
// NotConfirmedError. It detects a pause even before the next event arrives.
func (t *Tracker) Serving(now time.Time) (Revision, error) {
	if t.serving && Elapsed(t.lastEvent, now) > t.options.MaxPause {
		return Revision{}, &NotConfirmedError{Reason: StopPaused, Known: t.known}
	}
	if !t.serving {
		return Revision{}, &NotConfirmedError{Reason: t.reason, Known: t.known}
	}
	return t.inForce, nil
}

// Confirmed returns the highest confirmed revision for the answer to a peer. The
// second result is false while this daemon itself needs a confirmation.
func (t *Tracker) Confirmed(now time.Time) (Revision, bool) {
	ok := t.confirmed && t.known.Number > 0 && Elapsed(t.lastEvent, now) <= t.options.MaxPause
	return t.known, ok
}

// InForce returns the revision in force, whether or not the daemon serves requests.
func (t *Tracker) InForce() Revision { return t.inForce }

// Known returns the highest known revision.
func (t *Tracker) Known() Revision { return t.known }

// Lag returns how long a revision higher than the one in force has been known.
func (t *Tracker) Lag(now time.Time) time.Duration {
	if t.known.Number <= t.inForce.Number {
		return 0
	}
	return max(now.Sub(t.knownAt), 0)
}

// Elapsed returns the time between two instants on the monotonic or the wall
// clock, whichever is longer, because the monotonic clock stops while a machine
// is suspended.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// detectPause requires a new confirmation if the time since the last event exceeds
// MaxPause.
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

// headRead records the head and, if the read was sent after a confirmation became
// necessary, confirms the highest known revision. That is the head or a later
// revision that a peer has already read.
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

// tableFailed queries the peers if a confirmation is needed and no query is in
// progress.
func (t *Tracker) tableFailed(actions []Action) []Action {
	if t.confirmed || t.peersQueried {
		return actions
	}
	t.peersQueried = true
	return append(actions, QueryPeers{})
}

// peersAnswered confirms the highest known revision if at least one peer returned
// a confirmed revision. Otherwise the daemon continues to wait for the table.
func (t *Tracker) peersAnswered(actions []Action, e PeersAnswered) []Action {
	t.peersQueried = false
	if !t.confirmed && e.Confirmed > 0 && t.known.Number > 0 && !e.RequestedAt.Before(t.unconfirmedSince) {
		t.confirm()
	}
	return actions
}

// updateKnown raises the highest known revision to r and announces it. A lower
// revision is refused.
func (t *Tracker) updateKnown(actions []Action, r Revision, peer string) []Action {
	switch {
	case r.Number > t.known.Number:
		t.known, t.knownAt = r, t.lastEvent
		return append(actions, Announce{Revision: r})
	case r.Number < t.known.Number:
		return append(actions, RefuseLower{Offered: r, Known: t.known, Peer: peer})
	}
	_ = t.options.Reporter.Check(r.BodyHash == t.known.BodyHash, invariant.ConfigurationMonotonic,
		"revision %d has body hash %s from peer %q, but known body hash %s", r.Number, r.BodyHash, peer, t.known.BodyHash)
	return actions
}

// fetch requests the body of the highest known revision unless it is already being
// fetched or the retry delay after a failure has not passed.
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

// bodyReady puts a revision in force unless it is not higher than the one in force.
func (t *Tracker) bodyReady(actions []Action, r Revision) []Action {
	if t.fetching == r {
		t.fetching = Revision{}
	}
	if r.Number <= t.inForce.Number {
		return actions
	}
	err := t.options.Reporter.Check(r.Number <= t.known.Number, invariant.ConfigurationMonotonic,
		"body of revision %v is ready, but the highest known revision is %v", r, t.known)
	if err != nil {
		return actions
	}
	return t.putInForce(actions, r)
}

func (t *Tracker) putInForce(actions []Action, r Revision) []Action {
	if err := t.options.Reporter.Check(r.Number > t.inForce.Number, invariant.ConfigurationMonotonic,
		"revision %v would replace revision %v in force", r, t.inForce); err != nil {
		return actions
	}
	t.inForce = r
	return append(actions, PutInForce{Revision: r})
}

// updateServing starts or stops serving, depending on the confirmation and on the
// body of the confirmed revision.
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

// mayServe reports whether the daemon may serve requests, and the reason if not.
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
