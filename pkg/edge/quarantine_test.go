package edge

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
)

// namedState returns the state of a daemon with a name.
func namedState(t *testing.T, node string) *Daemon {
	own := settings
	own.Node = node
	return &Daemon{settings: own, state: newStateOf(t, own)}
}

// exchangeBetween makes two daemons exchange messages once.
func exchangeBetween(t *testing.T, a, b *Daemon) {
	t.Helper()
	send := func(from, to *Daemon) {
		from.state.mu.Lock()
		encoded, err := from.state.messageFor(to.settings.Node).Encode()
		from.state.mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		m, err := mesh.DecodeMessage(encoded)
		if err != nil {
			t.Fatal(err)
		}
		to.handleMessage(m, time.Time{})
	}
	send(a, b)
	send(b, a)
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

// crash reports an attempt of a request whose server has crashed.
func crash(t *testing.T, d *Daemon, f quarantine.Fingerprint, server string) {
	d.state.quarantine.Started(quarantine.Attempt{ID: server, Fingerprint: f, Server: server, Address: closedAddress(t)})
	if !d.state.quarantine.Broken(context.Background(), server, 0) {
		t.Fatalf("the crash of %s was not discovered", server)
	}
}

// Guards against daemons that tell one another of a request only when it is
// quarantined: each of them let the request crash servers of its own first.
func TestCrashesAreCountedOverAllDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b, c := namedState(t, "a"), namedState(t, "b"), namedState(t, "c")
	crash(t, a, "f", "s1")
	exchangeBetween(t, a, b)
	exchangeBetween(t, a, c)
	crash(t, b, "f", "s2")
	exchangeBetween(t, b, c)
	exchangeBetween(t, b, a)
	for _, d := range []*Daemon{a, b, c} {
		g.Expect(d.state.quarantine.Check(context.Background(), "f")).To(gomega.Equal(quarantine.VerdictRefuse), d.settings.Node)
	}
}

// Guards against restarted daemons that forget requests that crash servers: peers
// told them only of crashes in the last 15 s.
func TestARestartedDaemonIsToldOfEarlierCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := namedState(t, "a"), namedState(t, "b")
	exchangeBetween(t, a, b)
	crash(t, a, "f", "s1")
	exchangeBetween(t, a, b)
	restarted := namedState(t, "a")
	exchangeBetween(t, restarted, b)
	crash(t, restarted, "f", "s2")
	g.Expect(restarted.state.quarantine.Check(context.Background(), "f")).To(gomega.Equal(quarantine.VerdictRefuse))
}

// Guards against entries that a restarted daemon never gets: a message that a peer
// had built for its earlier run made it acknowledge all that the earlier run had.
func TestAMessageToAnEarlierRunHidesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := namedState(t, "a"), namedState(t, "b")
	crash(t, a, "f", "s1")
	exchangeBetween(t, a, b)
	exchangeBetween(t, a, b)
	crash(t, a, "other", "s3")
	a.state.mu.Lock()
	m := a.state.messageFor("b")
	a.state.mu.Unlock()
	restarted := namedState(t, "b")
	restarted.handleMessage(m, time.Time{})
	exchangeBetween(t, restarted, a)
	crash(t, restarted, "f", "s2")
	g.Expect(restarted.state.quarantine.Check(context.Background(), "f")).To(gomega.Equal(quarantine.VerdictRefuse))
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
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), table.Version(run)+1, []fleet.Entry{{ID: "x", Server: &next, Version: table.Version(run) + 1}}), "store")
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

// crashUnderPart reports an attempt with parts whose server has crashed. No two of the
// requests are alike.
func crashUnderPart(t *testing.T, d *Daemon, server string, parts ...quarantine.Fingerprint) {
	d.state.quarantine.Started(quarantine.Attempt{ID: server, Fingerprint: quarantine.Fingerprint("of " + server), Server: server,
		Address: closedAddress(t), Parts: parts})
	if !d.state.quarantine.Broken(context.Background(), server, 0) {
		t.Fatalf("the crash of %s was not discovered", server)
	}
}

// Guards against daemons that count the crashes of a part each for itself, or that do not
// know of them after a restart, when they are new, or while they reach only the store.
func TestCrashesOfAPartAreKnownToAllDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	daemon := func(node string) *Daemon {
		own := settings
		own.Node = node
		return &Daemon{settings: own, state: newStateWithStore(t, own, store)}
	}
	daemons := []*Daemon{daemon("a"), daemon("b"), daemon("c")}
	exchangeAll := func(daemons ...*Daemon) {
		for _, from := range daemons {
			for _, to := range daemons {
				if from != to {
					exchangeBetween(t, from, to)
				}
			}
		}
	}
	shared, crashing := quarantine.PartFingerprint("shared"), quarantine.PartFingerprint("crashing")
	exchangeAll(daemons...)
	for i := range 4 {
		crashUnderPart(t, daemons[i%len(daemons)], fmt.Sprint("s", i), shared, crashing)
		exchangeAll(daemons...)
	}
	check := func(d *Daemon) {
		t.Helper()
		for parts, verdict := range map[*[]quarantine.Fingerprint]quarantine.Verdict{{shared, crashing}: quarantine.VerdictRefuse, {shared}: quarantine.VerdictRun} {
			g.Eventually(func() quarantine.Verdict { return d.state.quarantine.CheckParts(context.Background(), *parts) }, 5*time.Second).Should(
				gomega.Equal(verdict), "%s, %v", d.settings.Node, *parts)
		}
	}
	for _, d := range daemons {
		check(d)
	}
	restarted := daemon("a")
	exchangeAll(restarted, daemons[1])
	check(restarted)
	check(daemon("cut off from other daemons"))

	// A request with the shared part completes at one daemon.
	q := daemons[2].state.quarantine
	q.Started(quarantine.Attempt{ID: "sound", Fingerprint: "sound", Server: "s9", Address: "s9", Parts: []quarantine.Fingerprint{shared}})
	q.Completed("sound")
	exchangeAll(daemons...)
	for _, d := range daemons {
		e, _ := d.state.quarantine.Entry(shared)
		g.Expect(e.Servers).To(gomega.BeEmpty(), d.settings.Node)
		check(d)
	}
}
