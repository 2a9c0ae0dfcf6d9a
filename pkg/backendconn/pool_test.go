package backendconn_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
)

// listen accepts connections and delivers them on the returned channel.
func listen(t *testing.T) (string, chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	}()
	return l.Addr().String(), conns
}

func get(t *testing.T, p *backendconn.Pool, address string, limit int) *backendconn.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), "s", address, limit)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// New connections are expensive, so a connection whose response was read to the
// end is reused.
func TestConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	address, _ := listen(t)
	p := backendconn.NewPool()
	first := get(t, p, address, 2)
	p.Put(first, 5*time.Second)
	second := get(t, p, address, 2)
	g.Expect(second).To(gomega.BeIdenticalTo(first))
	g.Expect(second.Reused).To(gomega.BeTrue())
}

// Servers may close idle connections or send late responses on them.
func TestClosedConnectionsAndThoseWithUnreadBytesAreNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	address, conns := listen(t)
	p := backendconn.NewPool()
	for _, disturb := range []func(net.Conn){
		func(c net.Conn) { _ = c.Close() },
		func(c net.Conn) { _, _ = c.Write([]byte("late answer")) },
	} {
		first := get(t, p, address, 2)
		server := <-conns
		p.Put(first, 5*time.Second)
		disturb(server)
		time.Sleep(20 * time.Millisecond)
		second := get(t, p, address, 2)
		<-conns
		g.Expect(second.Reused).To(gomega.BeFalse())
		p.Discard(second)
	}
}

// A server that states no idle timeout closes idle connections within a second,
// so such a connection is reused for only a short time.
func TestConnectionsAreNotReusedNearTheirIdleTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	address, _ := listen(t)
	p := backendconn.NewPool()
	p.Put(get(t, p, address, 2), 0)
	time.Sleep(450 * time.Millisecond)
	g.Expect(get(t, p, address, 2).Reused).To(gomega.BeFalse())
}

// Servers reset connections beyond their limit, so the pool must not exceed it.
func TestConnectionsPerServerAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	address, _ := listen(t)
	p := backendconn.NewPool()
	held := get(t, p, address, 1)
	_, err := p.Get(context.Background(), "s", address, 1)
	var limit *backendconn.ConnectionLimitError
	g.Expect(errors.As(err, &limit)).To(gomega.BeTrue())
	p.Discard(held)
	p.Discard(get(t, p, address, 1))
}

// A failed dial has its own error type, because no byte was sent. It does not
// count against the connection limit.
func TestAFailedDialReturnsADialError(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := l.Addr().String()
	_ = l.Close()
	p := backendconn.NewPool()
	for range 3 {
		_, err = p.Get(context.Background(), "s", address, 1)
		var dial *backendconn.DialError
		g.Expect(errors.As(err, &dial)).To(gomega.BeTrue(), "a failed dial does not count against the limit")
	}
}
