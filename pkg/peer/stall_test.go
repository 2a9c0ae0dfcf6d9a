package peer

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// proxy forwards connections to target. stall stops forwarding on the open
// connections for good without closing them; new connections are forwarded.
type proxy struct {
	listener net.Listener
	target   string
	opened   atomic.Int32

	mu      sync.Mutex
	stalled *atomic.Bool // shared by the connections opened since the last stall
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", loopback)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	p := &proxy{listener: l, target: target, stalled: &atomic.Bool{}}
	go p.accept()
	return p
}

func (p *proxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled.Store(true)
	p.stalled = &atomic.Bool{}
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.opened.Add(1)
		p.mu.Lock()
		stalled := p.stalled
		p.mu.Unlock()
		go copyUntilStalled(out, in, stalled)
		go copyUntilStalled(in, out, stalled)
	}
}

// copyUntilStalled copies data until stalled is set, and discards it afterwards.
func copyUntilStalled(to, from net.Conn, stalled *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if err != io.EOF && stalled.Load() {
				from.Close()
			}
			return
		}
		if !stalled.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

var _ = Describe("a connection that stops delivering data", func() {
	It("is replaced by a new one and its peer is not suspected", func() {
		heartbeats := make(chan struct{}, 1024)
		s := serve(ServerOptions{}, Handlers{Heartbeat: func(*membership.Message) *membership.Message {
			select {
			case heartbeats <- struct{}{}:
			default:
			}
			return &membership.Message{Sender: membership.Delta{Name: "b", Kind: membership.KindDaemon, Incarnation: 1}}
		}, Announce: func(*membership.Message) {}})
		p := newProxy(s.Address())
		o := membership.Options{TickInterval: 5 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond}
		core := membership.New(o, membership.Member{Name: "a", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), time.Now())
		directory := membership.NewDirectory(core, time.Now, nil)
		directory.Step(membership.MessageEvent{Message: &membership.Message{Sender: membership.Delta{
			Name: "b", Kind: membership.KindDaemon, Address: p.listener.Addr().String(), Incarnation: 1}}})
		var suspected atomic.Int32
		g := NewGossip(GossipOptions{TickInterval: o.TickInterval, CallTimeout: 200 * time.Millisecond, Hooks: Hooks{
			OnMemberChange: func(a membership.ChangeAction) {
				if a.State != membership.StateAlive {
					suspected.Add(1)
				}
			}}}, directory, newPool(PoolOptions{}))
		DeferCleanup(g.Close)
		g.Start()
		Eventually(heartbeats, 5*time.Second).Should(Receive())
		p.stall()
		before := p.opened.Load()
		Eventually(p.opened.Load, 5*time.Second).Should(BeNumerically(">", before))
		for len(heartbeats) > 0 {
			<-heartbeats
		}
		Eventually(heartbeats, 5*time.Second).Should(Receive(), "heartbeats continue")
		Consistently(suspected.Load, 100*time.Millisecond).Should(BeZero())
	})
})
