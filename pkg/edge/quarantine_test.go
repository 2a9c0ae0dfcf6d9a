package edge

import (
	"net"
	"testing"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// namedState returns the state of a daemon with a name.
func namedState(t *testing.T, node string) *Daemon {
	own := settings
	own.Node = node
	return &Daemon{settings: own, state: newStateOf(t, own)}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return address
}

// Guards against a request that crashes one server again and again: a server that
// returned under its ID counted as one.
func TestEachRunOfAServerCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	d := namedState(t, "a")
	s := d.state
	server := fleet.Server{ID: "x", Service: "s", Address: closedAddress(t), StartedUnixMilli: 1}
	for run := range int64(3) {
		next := server
		next.StartedUnixMilli = run + 1
		s.mu.Lock()
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), uint64(run)+1, []fleet.Entry{{ID: "x", Server: &next}}), "store")
		s.mu.Unlock()
		id := next.RunID()
		s.quarantine.Started(quarantine.Attempt{ID: id, Fingerprint: "f", Server: id, Address: next.Address})
		s.quarantine.Abandoned(id, 0)
	}
	g.Eventually(func() int {
		e, _ := s.quarantine.Entry("f")
		return len(e.Servers)
	}).Should(gomega.Equal(2), "the two runs that were followed by another")
}
