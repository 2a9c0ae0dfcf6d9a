package peer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// HostLister reads the host list.
type HostLister interface {
	List(ctx context.Context) ([]membership.ListEntry, error)
}

// Hooks are the callbacks for updates from the membership core. They are called
// sequentially from one goroutine; nil hooks are skipped.
type Hooks struct {
	// OnAnnouncement is called once for each announcement.
	OnAnnouncement func(membership.Announcement)
	// OnRevision is called for each higher configuration revision that a peer has
	// confirmed.
	OnRevision func(membership.RevisionAction)
	// OnMemberChange is called for each change of a member's state.
	OnMemberChange func(membership.ChangeAction)
}

// GossipOptions configure a Gossip. Zero values select the defaults.
type GossipOptions struct {
	// TickInterval must equal the tick interval of the membership core.
	TickInterval time.Duration
	// CallTimeout is the deadline of each message.
	CallTimeout time.Duration
	ListTimeout time.Duration
	// MaxConcurrentSends bounds the messages in flight at the same time.
	MaxConcurrentSends int
	// HookQueueSize bounds the updates that are queued for the hooks.
	HookQueueSize int
	// Clock drives the ticks; nil selects the system clock.
	Clock   clock.WithTicker
	Hooks   Hooks
	Lister  HostLister
	Metrics *Metrics
}

const (
	defaultTickInterval       = 100 * time.Millisecond
	defaultListTimeout        = 5 * time.Second
	defaultMaxConcurrentSends = 64
	defaultHookQueueSize      = 4096
)

func (o GossipOptions) withDefaults() GossipOptions {
	setDefault(&o.TickInterval, defaultTickInterval)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.ListTimeout, defaultListTimeout)
	setDefault(&o.MaxConcurrentSends, defaultMaxConcurrentSends)
	setDefault(&o.HookQueueSize, defaultHookQueueSize)
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return o
}

// Gossip drives the membership core: it sends ticks to the core, exchanges the
// core's messages with the peers and passes its updates to the hooks. Its
// methods Heartbeat and Announce are the handlers to register with a Server.
type Gossip struct {
	options   GossipOptions
	directory *membership.PoolDirectory
	pool      *Pool
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	sendSlots chan struct{}
	hookQueue chan membership.Action

	mu                sync.Mutex
	heartbeatInFlight map[string]bool // by address
	polling           bool
	closed            bool
}

// NewGossip returns a Gossip that is idle until Start is called.
func NewGossip(options GossipOptions, directory *membership.PoolDirectory, pool *Pool) *Gossip {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Gossip{options: options, directory: directory, pool: pool, ctx: ctx, cancel: cancel,
		sendSlots: make(chan struct{}, options.MaxConcurrentSends), hookQueue: make(chan membership.Action, options.HookQueueSize),
		heartbeatInFlight: map[string]bool{}}
}

// Start starts sending heartbeats and calling the hooks.
func (g *Gossip) Start() {
	ticker := g.options.Clock.NewTicker(g.options.TickInterval)
	g.wg.Add(2)
	go g.runHooks()
	go func() {
		defer g.wg.Done()
		defer ticker.Stop()
		for {
			select {
			case <-g.ctx.Done():
				return
			case <-ticker.C():
				g.step(membership.TickEvent{})
			}
		}
	}()
}

// Close stops all goroutines and waits for them. The caller closes the Pool and
// the Server, the Server first.
func (g *Gossip) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
}

// Heartbeat handles a peer's heartbeat and returns the reply.
func (g *Gossip) Heartbeat(m *membership.Message) *membership.Message {
	g.options.Metrics.received.WithLabelValues("heartbeat").Inc()
	return g.step(membership.MessageEvent{Message: m, Heartbeat: true})
}

// Announce handles a peer's urgent message.
func (g *Gossip) Announce(m *membership.Message) {
	g.options.Metrics.received.WithLabelValues("announce").Inc()
	g.step(membership.MessageEvent{Message: m})
}

// Broadcast sends an announcement to all daemons, this one included. Repeated
// announcements with the same id are ignored.
func (g *Gossip) Broadcast(kind membership.AnnouncementKind, id string, payload []byte) {
	g.step(membership.AnnounceEvent{ID: id, Kind: kind, Payload: payload})
}

// SetRevision publishes the highest configuration revision that this daemon has
// confirmed.
func (g *Gossip) SetRevision(revision uint64, bodyHash string) {
	g.step(membership.RevisionEvent{Revision: revision, BodyHash: bodyHash})
}

// SetLoad sets this daemon's load, which is part of the aggregate of its zone.
func (g *Gossip) SetLoad(running, waiting uint32) {
	g.step(membership.LoadEvent{Running: running, Waiting: waiting})
}

// Leave announces to the peers that this daemon is shutting down. It returns
// after the announcement was sent to the first peers, or when ctx ends.
func (g *Gossip) Leave(ctx context.Context) {
	g.step(membership.LeaveEvent{})
	select {
	case <-g.options.Clock.After(leaveTicks * g.options.TickInterval):
	case <-ctx.Done():
	}
}

// leaveTicks is the number of ticks that Leave waits: the rounds in which the
// core sends urgent messages, plus one.
const leaveTicks = 5

// step passes an event to the core and performs the resulting actions. It
// returns the reply if the event was a heartbeat.
func (g *Gossip) step(event membership.Event) *membership.Message {
	var reply *membership.Message
	for _, action := range g.directory.Step(event) {
		switch a := action.(type) {
		case membership.ReplyAction:
			reply = a.Message
		case membership.SendAction:
			g.send(a)
		case membership.PollAction:
			g.poll()
		default:
			g.enqueueForHooks(a)
		}
	}
	return reply
}

func (g *Gossip) enqueueForHooks(a membership.Action) {
	select {
	case g.hookQueue <- a:
	default:
		g.options.Metrics.dropped.WithLabelValues("news").Inc()
		klog.ErrorS(nil, "hook queue is full, dropped an update from the peers", "limit", g.options.HookQueueSize)
	}
}

// runHooks calls the hooks for the queued updates until Close.
func (g *Gossip) runHooks() {
	defer g.wg.Done()
	for {
		select {
		case <-g.ctx.Done():
			return
		case action := <-g.hookQueue:
			g.options.Hooks.dispatch(action, g.options.Metrics)
		}
	}
}

// dispatch calls the hook for an action.
func (h *Hooks) dispatch(action membership.Action, metrics *Metrics) {
	switch a := action.(type) {
	case membership.DeliverAction:
		metrics.hops.Observe(float64(a.Announcement.Hops))
		if h.OnAnnouncement != nil {
			h.OnAnnouncement(a.Announcement)
		}
	case membership.RevisionAction:
		metrics.hops.Observe(float64(a.Hops))
		if h.OnRevision != nil {
			h.OnRevision(a)
		}
	case membership.ChangeAction:
		klog.V(1).InfoS("member changed", "member", a.Member.Name, "kind", a.Member.Kind,
			"incarnation", a.Member.Incarnation, "state", a.State)
		if h.OnMemberChange != nil {
			h.OnMemberChange(a)
		}
	}
}

// spawn runs f on a goroutine that Close waits for. It reports false, and does
// not run f, if this Gossip is closed.
func (g *Gossip) spawn(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
	return true
}

// send sends a message to a peer asynchronously. A heartbeat is skipped while
// the previous heartbeat to the same address is in flight, and any message is
// dropped at the limit of concurrent sends.
func (g *Gossip) send(a membership.SendAction) {
	if !a.Urgent && !g.markInFlight(a.Address) {
		return
	}
	select {
	case g.sendSlots <- struct{}{}:
	default:
		g.options.Metrics.dropped.WithLabelValues("send").Inc()
		g.clearInFlight(a)
		return
	}
	started := g.spawn(func() {
		defer func() { <-g.sendSlots }()
		defer g.clearInFlight(a)
		g.transmit(a)
	})
	if !started {
		<-g.sendSlots
		g.clearInFlight(a)
	}
}

// markInFlight reports false if a heartbeat to address is already in flight.
func (g *Gossip) markInFlight(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.heartbeatInFlight[address] {
		return false
	}
	g.heartbeatInFlight[address] = true
	return true
}

func (g *Gossip) clearInFlight(a membership.SendAction) {
	if a.Urgent {
		return
	}
	g.mu.Lock()
	delete(g.heartbeatInFlight, a.Address)
	g.mu.Unlock()
}

// transmit sends a message and waits for the response. It reports the peer as
// failed to the core if a heartbeat fails also after a new connection was tried.
func (g *Gossip) transmit(a membership.SendAction) {
	if a.Urgent {
		g.recordResult("announce", g.announceTo(a))
		return
	}
	err := g.heartbeatTo(a)
	if err != nil && g.shouldProbe(err) {
		// The connection may have failed and not the daemon, so a new connection
		// is probed before the daemon is suspected.
		if err = g.probeNewConnection(a); err != nil && g.ctx.Err() == nil {
			g.step(membership.PeerFailedEvent{Name: a.Name})
		}
	}
	g.recordResult("heartbeat", err)
}

// shouldProbe reports whether an error may be caused by a failed peer or
// connection. Errors from this daemon's own limits and errors that the peer
// returned are excluded.
func (g *Gossip) shouldProbe(err error) bool {
	var queueFull *QueueFullError
	var tooMany *TooManyConnectionsError
	var remote *RemoteError
	return g.ctx.Err() == nil && !errors.As(err, &queueFull) && !errors.As(err, &tooMany) && !errors.As(err, &remote)
}

// probeNewConnection pings the peer on a new connection and, if that succeeds,
// repeats the heartbeat.
func (g *Gossip) probeNewConnection(a membership.SendAction) error {
	ctx, cancel := context.WithTimeout(g.ctx, g.options.CallTimeout)
	defer cancel()
	if err := g.pool.PingNewConnection(ctx, a.Address); err != nil {
		return err
	}
	// The ping shows that the daemon is alive, so a failure of the repeated
	// heartbeat is ignored.
	_ = g.heartbeatTo(a)
	return nil
}

func (g *Gossip) heartbeatTo(a membership.SendAction) error {
	ctx, cancel := context.WithTimeout(g.ctx, g.options.CallTimeout)
	defer cancel()
	reply, err := g.pool.Heartbeat(ctx, a.Address, a.Message)
	if err != nil {
		return err
	}
	g.step(membership.MessageEvent{Message: reply})
	return nil
}

func (g *Gossip) announceTo(a membership.SendAction) error {
	ctx, cancel := context.WithTimeout(g.ctx, g.options.CallTimeout)
	defer cancel()
	return g.pool.Announce(ctx, a.Address, a.Message)
}

func (g *Gossip) recordResult(method string, err error) {
	if err != nil {
		g.options.Metrics.sent.WithLabelValues(method, "failed").Inc()
		klog.V(2).InfoS("message to a peer failed", "method", method, "err", err)
		return
	}
	g.options.Metrics.sent.WithLabelValues(method, "ok").Inc()
}

// poll starts a poll of the host list unless one is in progress.
func (g *Gossip) poll() {
	g.mu.Lock()
	skip := g.options.Lister == nil || g.polling
	g.polling = g.polling || !skip
	g.mu.Unlock()
	if skip {
		return
	}
	started := g.spawn(func() {
		g.pollOnce()
		g.mu.Lock()
		g.polling = false
		g.mu.Unlock()
	})
	if !started {
		klog.V(2).InfoS("host list not polled, gossip is closed")
	}
}

func (g *Gossip) pollOnce() {
	ctx, cancel := context.WithTimeout(g.ctx, g.options.ListTimeout)
	defer cancel()
	entries, err := g.options.Lister.List(ctx)
	if err != nil {
		g.options.Metrics.polls.WithLabelValues("failed").Inc()
		klog.ErrorS(err, "polling the host list failed, the previous list stays in use")
		return
	}
	g.options.Metrics.polls.WithLabelValues("ok").Inc()
	g.step(membership.HostListEvent{Entries: entries})
}
