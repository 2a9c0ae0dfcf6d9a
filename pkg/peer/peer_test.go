package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

func TestPeer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

const loopback = "127.0.0.1:0"

func serve(o ServerOptions, h Handlers) *Server {
	if o.Address == "" {
		o.Address = loopback
	}
	s, err := NewServer(o, h)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

func newPool(o PoolOptions) *Pool {
	p := NewPool(o)
	DeferCleanup(p.Close)
	return p
}

func echo(_ context.Context, payload []byte) ([]byte, error) { return payload, nil }

// within returns a context with the timeout d that ends with the spec.
func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

// silentListener accepts connections and never sends anything on them.
func silentListener() net.Listener {
	l, err := net.Listen("tcp", loopback)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn); conn.Close() }()
		}
	}()
	return l
}

var _ = Describe("calls", func() {
	It("carry payloads and typed errors", func() {
		s := serve(ServerOptions{}, Handlers{HandOver: echo, Fetch: func(context.Context, []byte) ([]byte, error) {
			return nil, &RemoteError{Code: "not-found", Detail: "request r1"}
		}})
		p := newPool(PoolOptions{})
		answer, err := p.HandOver(within(time.Second), s.Address(), []byte("tokens"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal([]byte("tokens")))
		_, err = p.Fetch(within(time.Second), s.Address(), nil)
		Expect(err).To(Equal(&RemoteError{Code: "not-found", Detail: "request r1"}))
		_, err = p.Heartbeat(within(time.Second), s.Address(), &membership.Message{})
		var remote *RemoteError
		Expect(errorAs(err, &remote)).To(BeTrue())
	})

	It("end at their deadline when the handler does not return, and fail when the queue is full", func() {
		release := make(chan struct{})
		s := serve(ServerOptions{}, Handlers{HandOver: func(ctx context.Context, _ []byte) ([]byte, error) {
			<-release
			return nil, ctx.Err()
		}})
		p := newPool(PoolOptions{MaxPending: 2, PingInterval: 10 * time.Millisecond})
		DeferCleanup(func() { close(release) })
		var timeout *TimeoutError
		for range 2 {
			_, err := p.HandOver(within(100*time.Millisecond), s.Address(), []byte("x"))
			Expect(errorAs(err, &timeout)).To(BeTrue())
		}
		_, err := p.HandOver(within(100*time.Millisecond), s.Address(), []byte("x"))
		var full *QueueFullError
		Expect(errorAs(err, &full)).To(BeTrue(), "%v", err)
	})

	It("return NotSentError if they were not sent", func() {
		p := newPool(PoolOptions{MaxFrameBytes: 1024})
		var notSent *NotSentError
		_, err := p.HandOver(within(time.Second), "127.0.0.1:1", nil)
		Expect(errorAs(err, &notSent)).To(BeTrue())
		s := serve(ServerOptions{}, Handlers{HandOver: echo})
		_, err = p.HandOver(within(time.Second), s.Address(), make([]byte, 2048))
		Expect(errorAs(err, &notSent)).To(BeTrue(), "a frame above the limit")
	})

	It("use a new connection after a restart of the peer", func() {
		s := serve(ServerOptions{}, Handlers{HandOver: echo})
		p := newPool(PoolOptions{})
		_, err := p.HandOver(within(time.Second), s.Address(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		Eventually(p.Connections).Should(BeZero())
		serve(ServerOptions{Address: s.Address()}, Handlers{HandOver: echo})
		_, err = p.HandOver(within(time.Second), s.Address(), nil)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("connections", func() {
	It("are closed if nothing is received, both after a call and when idle", func() {
		l := silentListener()
		p := newPool(PoolOptions{PingInterval: 10 * time.Millisecond, ProgressTimeout: 50 * time.Millisecond})
		var timeout *TimeoutError
		err := p.Announce(within(20*time.Millisecond), l.Addr().String(), &membership.Message{})
		Expect(errorAs(err, &timeout)).To(BeTrue())
		Expect(timeout.Silent).To(BeTrue())
		Expect(p.Connections()).To(BeZero())
		Expect(p.PingNewConnection(within(20*time.Millisecond), l.Addr().String())).NotTo(Succeed())
		_, err = p.HandOver(within(5*time.Second), l.Addr().String(), nil)
		var broken *ConnectionLostError
		Expect(errorAs(err, &broken)).To(BeTrue(), "the progress deadline ends the call: %v", err)
	})

	It("are limited in number at the client and at the server", func() {
		s := serve(ServerOptions{MaxConnections: 1}, Handlers{HandOver: echo})
		other := serve(ServerOptions{}, Handlers{HandOver: echo})
		first, second := newPool(PoolOptions{MaxConnections: 1}), newPool(PoolOptions{})
		_, err := first.HandOver(within(time.Second), s.Address(), nil)
		Expect(err).NotTo(HaveOccurred())
		var many *TooManyConnectionsError
		_, err = first.HandOver(within(time.Second), other.Address(), nil)
		Expect(errorAs(err, &many)).To(BeTrue())
		_, err = second.HandOver(within(time.Second), s.Address(), nil)
		Expect(err).To(HaveOccurred())
	})

	It("without TLS require a loopback address or PlatformEndsTLS", func() {
		_, err := NewServer(ServerOptions{Address: "0.0.0.0:0"}, Handlers{})
		Expect(err).To(Equal(&PlaintextListenerError{Address: "0.0.0.0:0"}))
		_, err = NewServer(ServerOptions{Address: ":0"}, Handlers{})
		Expect(err).To(HaveOccurred())
		serve(ServerOptions{Address: "0.0.0.0:0", PlatformEndsTLS: true}, Handlers{})
	})

	It("with mutual TLS reject a peer without a certificate", func() {
		config := mutualTLS()
		s := serve(ServerOptions{TLS: config}, Handlers{HandOver: echo})
		_, err := newPool(PoolOptions{TLS: config}).HandOver(within(2*time.Second), s.Address(), []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		bare := &tls.Config{RootCAs: config.RootCAs}
		_, err = newPool(PoolOptions{TLS: bare}).HandOver(within(2*time.Second), s.Address(), []byte("x"))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("gossip", func() {
	It("delivers announcements to all daemons and detects a stopped one", func() {
		type daemon struct {
			gossip    *Gossip
			directory *membership.PoolDirectory
			server    *Server
		}
		announcements := make(chan string, 16)
		var daemons []*daemon
		for i := range 3 {
			d := &daemon{}
			// The handlers read d.gossip at the time of the call, because the address
			// that gossip needs is known only after the listener is open.
			d.server = serve(ServerOptions{}, Handlers{
				Heartbeat: func(m *membership.Message) *membership.Message { return d.gossip.Heartbeat(m) },
				Announce:  func(m *membership.Message) { d.gossip.Announce(m) },
			})
			o := membership.Options{TickInterval: 5 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond,
				SuspicionTimeout: 50 * time.Millisecond}
			if i > 0 {
				o.Seeds = []string{daemons[0].server.Address()}
			}
			self := membership.Member{Name: fmt.Sprint("daemon-", i), Address: d.server.Address(), Incarnation: 1}
			core := membership.New(o, self, rand.New(rand.NewPCG(1, uint64(i))), time.Now())
			d.directory = membership.NewDirectory(core, time.Now, nil)
			pool := newPool(PoolOptions{})
			d.gossip = NewGossip(GossipOptions{TickInterval: o.TickInterval, Hooks: Hooks{
				OnAnnouncement: func(a membership.Announcement) { announcements <- fmt.Sprint(i, " ", a.ID) },
			}}, d.directory, pool)
			daemons = append(daemons, d)
		}
		for _, d := range daemons {
			d.gossip.Start()
			DeferCleanup(d.gossip.Close)
		}
		alive := func(i int) func() int {
			return func() int { return len(daemons[i].directory.Daemons(membership.StateAlive)) }
		}
		Eventually(alive(0), 5*time.Second).Should(Equal(2))
		Eventually(alive(2), 5*time.Second).Should(Equal(2))
		daemons[1].gossip.Broadcast(membership.AnnounceQuarantine, "q", nil)
		for range 3 {
			Eventually(announcements, 5*time.Second).Should(Receive())
		}
		Consistently(announcements, 50*time.Millisecond).ShouldNot(Receive())
		Expect(daemons[2].server.Close()).To(Succeed())
		daemons[2].gossip.Close()
		Eventually(alive(0), 5*time.Second).Should(Equal(1))
	})
})

// mutualTLS returns a configuration for both ends with one self-signed
// certificate.
func mutualTLS() *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs: roots, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert}
}
