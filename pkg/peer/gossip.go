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

// HostLister polls the host list.
type HostLister interface {
	List(ctx context.Context) ([]membership.ListEntry, error)
}

// Hooks tell this daemon's duties about news. They are called one after the
// other on one goroutine and may be nil.
type Hooks struct {
	// OnAnnouncement gets each announcement once.
	OnAnnouncement func(membership.Announcement)
	// OnRevision gets each higher revision that a peer has confirmed.
	OnRevision func(membership.RevisionAction)
	// OnMemberChange gets each change of a member's state.
	OnMemberChange func(membership.ChangeAction)
}

// GossipOptions are the settings of a Gossip. Zero values take the defaults.
type GossipOptions struct {
	// TickInterval must be the one of the core.
	TickInterval time.Duration
	// CallTimeout is the deadline of each message.
	CallTimeout time.Duration
	ListTimeout time.Duration
	// MaxConcurrentSends bounds the messages that are being sent at the same time.
	MaxConcurrentSends int
	// HookQueueSize bounds the news that waits for the hooks.
	HookQueueSize int
	// Clock paces the ticks; nil means the real one.
	Clock   clock.WithTicker
	Hooks   Hooks
	Lister  HostLister
	Metrics *Metrics
}

const (
	defaultTickInterval = 100 * time.Millisecond
	defaultListTimeout  = 5 * time.Second
	defaultMaxSends     = 64
	defaultMaxNews      = 4096
)

func (o GossipOptions) withDefaults() GossipOptions {
	orDefault(&o.TickInterval, defaultTickInterval)
	orDefault(&o.CallTimeout, defaultCallTimeout)
	orDefault(&o.ListTimeout, defaultListTimeout)
	orDefault(&o.MaxConcurrentSends, defaultMaxSends)
	orDefault(&o.HookQueueSize, defaultMaxNews)
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return o
}

// Gossip drives the membership core: it lets time pass, carries its messages
// and hands out its news. Heartbeat and Announce are the Server's handlers.
type Gossip struct {
	o         GossipOptions
	directory *membership.PoolDirectory
	pool      *Pool
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	sends     chan struct{}
	news      chan membership.Action

	mu      sync.Mutex
	busy    map[string]bool // addresses to which a heartbeat is on its way
	polling bool
	closed  bool
}

// NewGossip returns a Gossip that does nothing until Start.
func NewGossip(o GossipOptions, directory *membership.PoolDirectory, pool *Pool) *Gossip {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Gossip{o: o, directory: directory, pool: pool, ctx: ctx, cancel: cancel,
		sends: make(chan struct{}, o.MaxConcurrentSends), news: make(chan membership.Action, o.HookQueueSize),
		busy: map[string]bool{}}
}

// Start begins to send heartbeats and to deliver news.
func (g *Gossip) Start() {
	ticker := g.o.Clock.NewTicker(g.o.TickInterval)
	g.wg.Add(2)
	go g.deliver()
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

// Close stops and waits. The Pool and the Server are closed by their owner; the
// Server first.
func (g *Gossip) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
}

// Heartbeat answers a peer's heartbeat.
func (g *Gossip) Heartbeat(m *membership.Message) *membership.Message {
	g.o.Metrics.received.WithLabelValues("heartbeat").Inc()
	return g.step(membership.MessageEvent{Message: m, Heartbeat: true})
}

// Announce takes a peer's urgent news.
func (g *Gossip) Announce(m *membership.Message) {
	g.o.Metrics.received.WithLabelValues("announce").Inc()
	g.step(membership.MessageEvent{Message: m})
}

// Spread announces news to all daemons, this one included. The same id is
// announced once.
func (g *Gossip) Broadcast(kind membership.AnnouncementKind, id string, payload []byte) {
	g.step(membership.AnnounceEvent{ID: id, Kind: kind, Payload: payload})
}

// SetRevision tells the peers of the highest revision this daemon has confirmed.
func (g *Gossip) SetRevision(revision uint64, bodyHash string) {
	g.step(membership.RevisionEvent{Revision: revision, BodyHash: bodyHash})
}

// SetLoad sets this daemon's load for the aggregate of its zone.
func (g *Gossip) SetLoad(running, waiting uint32) {
	g.step(membership.LoadEvent{Running: running, Waiting: waiting})
}

// Leave tells the peers that this daemon is going to stop. It returns after the
// news was handed to the first peers, or when ctx ends.
func (g *Gossip) Leave(ctx context.Context) {
	g.step(membership.LeaveEvent{})
	select {
	case <-g.o.Clock.After(leaveTicks * g.o.TickInterval):
	case <-ctx.Done():
	}
}

// leaveTicks is how many ticks Leave waits: the urgent rounds and one more.
const leaveTicks = 5

// step passes an event to the core and does the actions. It returns the reply to
// a heartbeat.
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
			g.queueNews(a)
		}
	}
	return reply
}

func (g *Gossip) queueNews(a membership.Action) {
	select {
	case g.news <- a:
	default:
		g.o.Metrics.dropped.WithLabelValues("news").Inc()
		klog.ErrorS(nil, "news from peers dropped: the hooks are too slow", "limit", g.o.HookQueueSize)
	}
}

func (g *Gossip) deliver() {
	defer g.wg.Done()
	for {
		select {
		case <-g.ctx.Done():
			return
		case action := <-g.news:
			g.o.Hooks.call(action, g.o.Metrics)
		}
	}
}

func (h *Hooks) call(action membership.Action, metrics *Metrics) {
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

// start runs f unless this Gossip is closed.
func (g *Gossip) start(f func()) bool {
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

// send carries a message to a peer. A heartbeat to a peer that has not answered
// the last one yet is left out.
func (g *Gossip) send(a membership.SendAction) {
	if !a.Urgent && !g.claim(a.Address) {
		return
	}
	select {
	case g.sends <- struct{}{}:
	default:
		g.o.Metrics.dropped.WithLabelValues("send").Inc()
		g.release(a)
		return
	}
	started := g.start(func() {
		defer func() { <-g.sends }()
		defer g.release(a)
		g.deliverTo(a)
	})
	if !started {
		<-g.sends
		g.release(a)
	}
}

func (g *Gossip) claim(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy[address] {
		return false
	}
	g.busy[address] = true
	return true
}

func (g *Gossip) release(a membership.SendAction) {
	if a.Urgent {
		return
	}
	g.mu.Lock()
	delete(g.busy, a.Address)
	g.mu.Unlock()
}

func (g *Gossip) deliverTo(a membership.SendAction) {
	if a.Urgent {
		g.result("announce", g.announceTo(a))
		return
	}
	err := g.heartbeatTo(a)
	if err != nil && g.worthAsking(err) {
		// The connection may be at fault, not the daemon: a new one is asked
		// before the daemon is suspected.
		if err = g.onNewConnection(a); err != nil && g.ctx.Err() == nil {
			g.step(membership.PeerFailedEvent{Name: a.Name})
		}
	}
	g.result("heartbeat", err)
}

// worthAsking reports whether an error may come from the peer or the connection
// and not from this daemon's own limits.
func (g *Gossip) worthAsking(err error) bool {
	var full *QueueFullError
	var many *TooManyConnectionsError
	var remote *RemoteError
	return g.ctx.Err() == nil && !errors.As(err, &full) && !errors.As(err, &many) && !errors.As(err, &remote)
}

func (g *Gossip) onNewConnection(a membership.SendAction) error {
	ctx, cancel := context.WithTimeout(g.ctx, g.o.CallTimeout)
	defer cancel()
	if err := g.pool.PingNewConnection(ctx, a.Address); err != nil {
		return err
	}
	// The daemon answers. A failure of the repeat is not held against it.
	_ = g.heartbeatTo(a)
	return nil
}

func (g *Gossip) heartbeatTo(a membership.SendAction) error {
	ctx, cancel := context.WithTimeout(g.ctx, g.o.CallTimeout)
	defer cancel()
	reply, err := g.pool.Heartbeat(ctx, a.Address, a.Message)
	if err != nil {
		return err
	}
	g.step(membership.MessageEvent{Message: reply})
	return nil
}

func (g *Gossip) announceTo(a membership.SendAction) error {
	ctx, cancel := context.WithTimeout(g.ctx, g.o.CallTimeout)
	defer cancel()
	return g.pool.Announce(ctx, a.Address, a.Message)
}

func (g *Gossip) result(method string, err error) {
	if err != nil {
		g.o.Metrics.sent.WithLabelValues(method, "failed").Inc()
		klog.V(2).InfoS("message to a peer failed", "method", method, "err", err)
		return
	}
	g.o.Metrics.sent.WithLabelValues(method, "ok").Inc()
}

// poll reads the host list, one poll at a time.
func (g *Gossip) poll() {
	g.mu.Lock()
	skip := g.o.Lister == nil || g.polling
	g.polling = g.polling || !skip
	g.mu.Unlock()
	if skip {
		return
	}
	started := g.start(func() {
		g.pollOnce()
		g.mu.Lock()
		g.polling = false
		g.mu.Unlock()
	})
	if !started {
		klog.V(2).InfoS("host list not polled: closed")
	}
}

func (g *Gossip) pollOnce() {
	ctx, cancel := context.WithTimeout(g.ctx, g.o.ListTimeout)
	defer cancel()
	entries, err := g.o.Lister.List(ctx)
	if err != nil {
		g.o.Metrics.polls.WithLabelValues("failed").Inc()
		klog.ErrorS(err, "poll of the host list failed; the last list stays in use")
		return
	}
	g.o.Metrics.polls.WithLabelValues("ok").Inc()
	g.step(membership.HostListEvent{Entries: entries})
}
