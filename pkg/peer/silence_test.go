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

// proxy passes connections on to target. silence stops the open ones for ever,
// without closing them; new ones work.
type proxy struct {
	listener net.Listener
	target   string
	opened   atomic.Int32

	mu   sync.Mutex
	gate *atomic.Bool // set once the connections that share it are silent
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", loopback)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	p := &proxy{listener: l, target: target, gate: &atomic.Bool{}}
	go p.accept()
	return p
}

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Store(true)
	p.gate = &atomic.Bool{}
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
		gate := p.gate
		p.mu.Unlock()
		go copyUntil(out, in, gate)
		go copyUntil(in, out, gate)
	}
}

// copyUntil copies until gate is set, and then reads without passing on.
func copyUntil(to, from net.Conn, gate *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if err != io.EOF && gate.Load() {
				from.Close()
			}
			return
		}
		if !gate.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

var _ = Describe("a silent connection", func() {
	It("leads to a new connection and to no suspicion", func() {
		heard := make(chan struct{}, 1024)
		s := serve(ServerOptions{}, Handlers{Heartbeat: func(*membership.Message) *membership.Message {
			select {
			case heard <- struct{}{}:
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
		Eventually(heard, 5*time.Second).Should(Receive())
		p.silence()
		before := p.opened.Load()
		Eventually(p.opened.Load, 5*time.Second).Should(BeNumerically(">", before))
		for len(heard) > 0 {
			<-heard
		}
		Eventually(heard, 5*time.Second).Should(Receive(), "heartbeats go on")
		Consistently(suspected.Load, 100*time.Millisecond).Should(BeZero())
	})
})
