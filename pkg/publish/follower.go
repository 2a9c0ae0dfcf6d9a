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
	// the peers. Together with the poll interval it stays below the 4 s in
	// which a change must be in force everywhere.
	requestTimeout = time.Second
	// ticksPerPause is how often the tracker hears the time within the pause
	// that it tolerates.
	ticksPerPause = 12
	// maxLag is the time in which a known revision must be in force (I7).
	maxLag = 4 * time.Second
	// eventBacklog bounds the events that wait for the loop.
	eventBacklog = 256
)

// PeerRevision is what a peer has confirmed.
type PeerRevision struct {
	Peer     string
	Revision uint64
	BodyHash string
}

// Peers is what a Follower needs of the other daemons.
type Peers interface {
	// Announce tells peers of a confirmed revision.
	Announce(ctx context.Context, revision uint64, bodyHash string)
	// Confirmed asks all known peers and returns the answers of those that
	// have confirmed a revision (see Follower.Confirmed).
	Confirmed(ctx context.Context) []PeerRevision
	// Body asks peers for a body (see Follower.Body).
	Body(ctx context.Context, bodyHash string) ([]byte, error)
}

// FollowerOptions are the settings of a Follower.
type FollowerOptions struct {
	// Table and Objects must return when a request's context ends; the
	// Follower sends no second read of the head row before.
	Table   table.Store
	Objects objectstore.Store
	// Peers may be nil for a daemon without peers.
	Peers Peers
	Clock clock.WithTicker
	// PollInterval is the time between two reads of the head row.
	PollInterval time.Duration
	// Polls tells at each interval whether this daemon reads the head row, so
	// that in a large deployment a few daemons at a time poll and tell the
	// rest. Nil means always. A daemon without a confirmation reads anyway.
	ShouldPoll func() bool
	// MaxPause is the longest pause after which the daemon still trusts what
	// it has confirmed.
	MaxPause time.Duration
	// Reporter receives violations of I7.
	Reporter *invariant.Reporter
}

// Follower follows the published configuration and says which one is in force.
type Follower struct {
	o       FollowerOptions
	events  chan message
	view    atomic.Pointer[view]
	dropped atomic.Uint64
	refused atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	// The loop owns these.
	tracker *revision.Tracker
	// ready is the body of the BodyReady event that is being handled.
	ready   *loadedBody
	current *loadedBody
	polling bool
	repoll  bool
	// lagging is set once the log says that a revision is late.
	lagging bool

	subscribers subscribers
}

// message is an event for the loop, with the body that it brings.
type message struct {
	event revision.Event
	body  *loadedBody
}

type loadedBody struct {
	snapshot *config.Snapshot
	bytes    []byte
}

// view is what other goroutines see. It is replaced after every event.
type view struct {
	at        time.Time
	current   *loadedBody
	err       error
	known     revision.Revision
	confirmed bool
	lag       time.Duration
}

// NewFollower returns a Follower that runs until Close.
func NewFollower(o FollowerOptions) *Follower {
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.MaxPause <= 0 {
		o.MaxPause = revision.DefaultMaxPause
	}
	f := &Follower{o: o, events: make(chan message, eventBacklog)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	now := o.Clock.Now()
	tracker, actions := revision.New(now, revision.Options{MaxPause: o.MaxPause, Reporter: o.Reporter})
	f.tracker = tracker
	f.publishView(now)
	tick, poll := o.Clock.NewTicker(o.MaxPause/ticksPerPause), o.Clock.NewTicker(o.PollInterval)
	f.done.Go(func() { f.loop(actions, tick, poll) })
	f.done.Go(func() { f.subscribers.run(f.ctx) })
	return f
}

// Close stops the Follower and waits for its goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

// Current returns the configuration to serve under, or
// revision.NotConfirmedError when the daemon must serve nothing.
func (f *Follower) Current() (*config.Snapshot, error) {
	v := f.view.Load()
	if v.err != nil {
		return nil, v.err
	}
	if f.stale(v) {
		return nil, &revision.NotConfirmedError{Reason: revision.StopPaused, Known: v.known}
	}
	return v.current.snapshot, nil
}

// Confirmed returns the highest confirmed revision to answer peers with; it is
// not ok while this daemon itself waits for a confirmation.
func (f *Follower) Confirmed() (number uint64, bodyHash string, ok bool) {
	v := f.view.Load()
	return v.known.Number, v.known.BodyHash, v.confirmed && !f.stale(v)
}

// Body returns the body in force to answer peers with.
func (f *Follower) Body(bodyHash string) ([]byte, bool) {
	v := f.view.Load()
	if v.current == nil || v.current.snapshot.BodyHash != bodyHash {
		return nil, false
	}
	return v.current.bytes, true
}

// HandleAnnouncement takes a peer's announcement of a confirmed revision. It
// does not block; an announcement that finds the backlog full is dropped, and
// the next poll makes up for it.
func (f *Follower) HandleAnnouncement(number uint64, bodyHash string) {
	word := revision.PeerReported{Peer: "announcement", Revision: revision.Revision{Number: number, BodyHash: bodyHash}}
	select {
	case f.events <- message{event: word}:
	default:
		f.dropped.Add(1)
	}
}

// Subscribe calls onChange with the configuration in force and with each later
// one. Calls come one at a time from one goroutine, and only the newest when
// they take long. The daemon may already serve under the new configuration.
func (f *Follower) Subscribe(onChange func(*config.Snapshot)) {
	f.subscribers.add(onChange)
}

// Status describes a Follower.
type Status struct {
	Known    uint64 `json:"known"`
	InForce  uint64 `json:"in_force"`
	BodyHash string `json:"body_hash,omitempty"`
	Serving  bool   `json:"serving"`
	// Reason says why the daemon serves nothing.
	Reason string `json:"reason,omitempty"`
	// LagSeconds is for how long a higher revision has been known than is in
	// force.
	LagSeconds           float64 `json:"lag_seconds"`
	RefusedLower         uint64  `json:"refused_lower"`
	DroppedAnnouncements uint64  `json:"dropped_announcements"`
}

// Status returns the present status.
func (f *Follower) Status() Status {
	v := f.view.Load()
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

// stale reports whether the loop has not run for longer than the tolerated
// pause. A request can run before the loop does after a pause.
func (f *Follower) stale(v *view) bool {
	return revision.Elapsed(v.at, f.o.Clock.Now()) > f.o.MaxPause
}

func (f *Follower) loop(actions []revision.Action, tick, poll clock.Ticker) {
	defer tick.Stop()
	defer poll.Stop()
	f.carryOut(actions)
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C():
			f.handle(message{event: revision.Tick{}})
		case <-poll.C():
			f.handle(message{event: revision.Tick{}})
			f.poll()
		case m := <-f.events:
			f.handle(m)
		}
	}
}

// poll reads the head row if it is this daemon's turn.
func (f *Follower) poll() {
	if f.o.ShouldPoll == nil || f.o.ShouldPoll() || !f.view.Load().confirmed {
		f.readHead()
	}
}

func (f *Follower) handle(m message) {
	now := f.o.Clock.Now()
	switch m.event.(type) {
	case revision.HeadRead, revision.TableFailed:
		f.polling = false
	}
	f.ready = m.body
	f.carryOut(f.tracker.Handle(now, m.event))
	f.publishView(now)
	f.logLag(now)
	if f.repoll && !f.polling {
		f.repoll = false
		f.readHead()
	}
}

// logLag tells once when a known revision is not in force in time. The body
// cannot be loaded then; serving goes on under the revision before.
func (f *Follower) logLag(now time.Time) {
	late := f.tracker.Lag(now) > maxLag
	if late && !f.lagging {
		klog.InfoS("configuration not in force in time", "known", f.tracker.Known().Number,
			"inForce", f.tracker.InForce().Number, "limit", maxLag)
	}
	f.lagging = late
}

func (f *Follower) publishView(now time.Time) {
	v := &view{at: now, current: f.current, known: f.tracker.Known(), lag: f.tracker.Lag(now)}
	_, v.err = f.tracker.Serving(now)
	_, v.confirmed = f.tracker.Confirmed(now)
	f.view.Store(v)
}

func (f *Follower) carryOut(actions []revision.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case revision.ReadHead:
			f.repoll = f.polling
			f.readHead()
		case revision.QueryPeers:
			f.askPeers()
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

// putInForce makes the body that is ready current.
func (f *Follower) putInForce(r revision.Revision) {
	f.current = f.ready
	klog.InfoS("configuration in force", "revision", r.Number, "bodyHash", r.BodyHash)
	f.subscribers.set(f.current.snapshot)
}
