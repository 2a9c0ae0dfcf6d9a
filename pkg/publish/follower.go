package publish

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/revision"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
)

const (
	// DefaultPollInterval is the time between two reads of the head row.
	DefaultPollInterval = time.Second
	// requestTimeout bounds each request to the table, the object store and
	// the peers. Together with the poll interval it stays below the 4 s within
	// which a change must be in force at every daemon.
	requestTimeout = time.Second
	// ticksPerMaxPause is the number of Tick events that the tracker receives
	// within the longest pause that it tolerates.
	ticksPerMaxPause = 12
	// maxLag is the time within which a known revision must be in force
	// (invariant I7).
	maxLag = 4 * time.Second
	// maxQueuedEvents bounds the queue of events for the event loop.
	maxQueuedEvents = 256
)

// PeerRevision is a revision that a peer has confirmed.
type PeerRevision struct {
	Peer     string
	Revision uint64
	BodyHash string
}

// Peers is the interface through which a Follower communicates with the other
// daemons.
type Peers interface {
	// Announce sends a confirmed revision to the peers.
	Announce(ctx context.Context, revision uint64, bodyHash string)
	// Confirmed queries all known peers and returns the answers of those that
	// have confirmed a revision (see Follower.Confirmed).
	Confirmed(ctx context.Context) []PeerRevision
	// Body fetches a body from a peer (see Follower.Body).
	Body(ctx context.Context, bodyHash string) ([]byte, error)
}

// FollowerOptions are the settings of a Follower.
type FollowerOptions struct {
	// Table and Objects must return when a request's context ends, because the
	// Follower does not read the head row again before the previous read has
	// returned.
	Table   table.Store
	Objects objectstore.Store
	// Peers may be nil for a daemon without peers.
	Peers Peers
	Clock clock.WithTicker
	// PollInterval is the time between two reads of the head row.
	PollInterval time.Duration
	// ShouldPoll is called at each interval and reports whether this daemon
	// reads the head row. In a large deployment only a few daemons poll at a
	// time and announce changes to the others. Nil means always. A daemon that
	// has not confirmed a revision polls regardless.
	ShouldPoll func() bool
	// MaxPause is the longest pause of the process after which its confirmed
	// revision is still valid without a new confirmation.
	MaxPause time.Duration
	// Reporter receives violations of invariant I7: the revision in force never
	// becomes lower.
	Reporter *invariant.Reporter
}

// Follower tracks the published configuration and determines which revision is
// in force at this daemon.
type Follower struct {
	options FollowerOptions
	queue   chan queuedEvent
	state   atomic.Pointer[state]
	dropped atomic.Uint64
	refused atomic.Uint64

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// Only the event loop accesses the fields from tracker to lagLogged.
	tracker *revision.Tracker
	// eventBody is the body of the BodyReady event that is being handled.
	eventBody   *loadedBody
	current     *loadedBody
	readingHead bool
	// rereadHead requests another read of the head row once the read in
	// progress has returned.
	rereadHead bool
	// lagLogged is set while a known revision is not in force within maxLag, so
	// that this is logged only once.
	lagLogged bool

	subscribers subscribers
}

// queuedEvent is an event for the event loop. A BodyReady event carries the body.
type queuedEvent struct {
	event revision.Event
	body  *loadedBody
}

// loadedBody is a published body with its decoded configuration.
type loadedBody struct {
	snapshot *config.Snapshot
	bytes    []byte
}

// state is the state of the event loop that other goroutines read. It is
// immutable and is replaced after every event.
type state struct {
	updatedAt time.Time
	current   *loadedBody
	err       error
	known     revision.Revision
	confirmed bool
	lag       time.Duration
}

// NewFollower returns a Follower and starts its goroutines, which run until Close.
func NewFollower(options FollowerOptions) *Follower {
	if options.Clock == nil {
		options.Clock = clock.RealClock{}
	}
	if options.PollInterval <= 0 {
		options.PollInterval = DefaultPollInterval
	}
	if options.MaxPause <= 0 {
		options.MaxPause = revision.DefaultMaxPause
	}
	f := &Follower{options: options, queue: make(chan queuedEvent, maxQueuedEvents)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	now := options.Clock.Now()
	tracker, actions := revision.New(now, revision.Options{MaxPause: options.MaxPause, Reporter: options.Reporter})
	f.tracker = tracker
	f.updateState(now)
	tick, poll := options.Clock.NewTicker(options.MaxPause/ticksPerMaxPause), options.Clock.NewTicker(options.PollInterval)
	f.goroutines.Go(func() { f.loop(actions, tick, poll) })
	f.goroutines.Go(func() { f.subscribers.run(f.ctx) })
	return f
}

// Close stops the Follower and waits for its goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.goroutines.Wait()
}

// Current returns the configuration to serve under, or
// revision.NotConfirmedError while the daemon must not serve requests.
func (f *Follower) Current() (*config.Snapshot, error) {
	v := f.state.Load()
	if v.err != nil {
		return nil, v.err
	}
	if f.stale(v) {
		return nil, &revision.NotConfirmedError{Reason: revision.StopPaused, Known: v.known}
	}
	return v.current.snapshot, nil
}

// Confirmed returns the number and the body hash of the highest confirmed
// revision, to answer queries of peers. ok is false while this daemon itself waits
// for a confirmation.
func (f *Follower) Confirmed() (number uint64, bodyHash string, ok bool) {
	v := f.state.Load()
	return v.known.Number, v.known.BodyHash, v.confirmed && !f.stale(v)
}

// Body returns the body in force if it has this hash, to answer queries of peers.
func (f *Follower) Body(bodyHash string) ([]byte, bool) {
	v := f.state.Load()
	if v.current == nil || v.current.snapshot.BodyHash != bodyHash {
		return nil, false
	}
	return v.current.bytes, true
}

// HandleAnnouncement queues a peer's announcement of a confirmed revision. It does
// not block. If the queue is full, the announcement is dropped and the next poll
// reads the revision instead.
func (f *Follower) HandleAnnouncement(number uint64, bodyHash string) {
	peerEvent := revision.PeerReported{Peer: "announcement", Revision: revision.Revision{Number: number, BodyHash: bodyHash}}
	select {
	case f.queue <- queuedEvent{event: peerEvent}:
	default:
		f.dropped.Add(1)
	}
}

// Subscribe calls onChange with the configuration in force and with later ones.
// All calls are made by one goroutine, one at a time. If calls are slow,
// intermediate configurations are skipped. The daemon may already serve under the
// new configuration when onChange is called.
func (f *Follower) Subscribe(onChange func(*config.Snapshot)) {
	f.subscribers.add(onChange)
}

// Status is the state of a Follower for status pages and metrics.
type Status struct {
	Known    uint64 `json:"known"`
	InForce  uint64 `json:"in_force"`
	BodyHash string `json:"body_hash,omitempty"`
	Serving  bool   `json:"serving"`
	// Reason is why the daemon does not serve requests; empty while it does.
	Reason string `json:"reason,omitempty"`
	// LagSeconds is how long a revision higher than the one in force has been
	// known.
	LagSeconds           float64 `json:"lag_seconds"`
	RefusedLower         uint64  `json:"refused_lower"`
	DroppedAnnouncements uint64  `json:"dropped_announcements"`
}

// Status returns the current status.
func (f *Follower) Status() Status {
	v := f.state.Load()
	s := Status{Known: v.known.Number, LagSeconds: v.lag.Seconds(), RefusedLower: f.refused.Load(), DroppedAnnouncements: f.dropped.Load()}
	if v.current != nil {
		s.InForce, s.BodyHash = v.current.snapshot.Revision, v.current.snapshot.BodyHash
	}
	if _, err := f.Current(); err != nil {
		s.Reason = err.Error()
	} else {
		s.Serving = true
	}
	return s
}

// stale reports whether the event loop has not run for longer than MaxPause. It is
// checked for each request, because after a pause of the process a request can run
// before the loop does.
func (f *Follower) stale(v *state) bool {
	return revision.Elapsed(v.updatedAt, f.options.Clock.Now()) > f.options.MaxPause
}

// loop is the event loop. It handles timer ticks and queued events until Close.
func (f *Follower) loop(actions []revision.Action, tick, poll clock.Ticker) {
	defer tick.Stop()
	defer poll.Stop()
	f.executeActions(actions)
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C():
			f.handle(queuedEvent{event: revision.Tick{}})
		case <-poll.C():
			f.handle(queuedEvent{event: revision.Tick{}})
			f.poll()
		case queued := <-f.queue:
			f.handle(queued)
		}
	}
}

// poll reads the head row if this daemon should poll or has not confirmed a
// revision.
func (f *Follower) poll() {
	if f.options.ShouldPoll == nil || f.options.ShouldPoll() || !f.state.Load().confirmed {
		f.readHead()
	}
}

// handle passes an event to the tracker, executes the resulting actions and
// updates the state that other goroutines read.
func (f *Follower) handle(queued queuedEvent) {
	now := f.options.Clock.Now()
	switch queued.event.(type) {
	case revision.HeadRead, revision.TableFailed:
		f.readingHead = false
	}
	f.eventBody = queued.body
	f.executeActions(f.tracker.Handle(now, queued.event))
	f.updateState(now)
	f.logLag(now)
	if f.rereadHead && !f.readingHead {
		f.rereadHead = false
		f.readHead()
	}
}

// logLag logs once when a known revision is not in force within maxLag. This
// happens when its body cannot be loaded; the daemon keeps serving under the
// previous revision.
func (f *Follower) logLag(now time.Time) {
	late := f.tracker.Lag(now) > maxLag
	if late && !f.lagLogged {
		klog.InfoS("known configuration revision is not in force within the limit", "known", f.tracker.Known().Number,
			"inForce", f.tracker.InForce().Number, "limit", maxLag)
	}
	f.lagLogged = late
}

func (f *Follower) updateState(now time.Time) {
	v := &state{updatedAt: now, current: f.current, known: f.tracker.Known(), lag: f.tracker.Lag(now)}
	_, v.err = f.tracker.Serving(now)
	_, v.confirmed = f.tracker.Confirmed(now)
	f.state.Store(v)
}

func (f *Follower) executeActions(actions []revision.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case revision.ReadHead:
			f.rereadHead = f.readingHead
			f.readHead()
		case revision.QueryPeers:
			f.queryPeers()
		case revision.FetchBody:
			f.fetchBody(a.Revision)
		case revision.PutInForce:
			f.putInForce(a.Revision)
		case revision.Announce:
			f.announce(a.Revision)
		case revision.RefuseLower:
			f.refused.Add(1)
			klog.InfoS("lower configuration revision refused", "offered", a.Offered.Number, "known", a.Known.Number, "peer", a.Peer)
		case revision.StopServing:
			klog.InfoS("serving stopped", "reason", a.Reason)
		case revision.StartServing:
			klog.InfoS("serving started", "revision", a.Revision.Number, "bodyHash", a.Revision.BodyHash)
		}
	}
}

// putInForce makes the body of the event that is being handled the current one
// and notifies the subscribers.
func (f *Follower) putInForce(r revision.Revision) {
	f.current = f.eventBody
	klog.InfoS("configuration in force", "revision", r.Number, "bodyHash", r.BodyHash)
	f.subscribers.setLatest(f.current.snapshot)
}
