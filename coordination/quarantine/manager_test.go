package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

// servers is the result of probes by address; servers that are not listed run.
type servers struct {
	mu     sync.Mutex
	states map[string]quarantine.ServerState
	probes int
}

func (s *servers) set(address string, state quarantine.ServerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = make(map[string]quarantine.ServerState)
	}
	s.states[address] = state
}

func (s *servers) probe(_ context.Context, address string) quarantine.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
	if state, ok := s.states[address]; ok {
		return state
	}
	return quarantine.ServerRuns
}

// failingStore fails all calls while down is set.
type failingStore struct {
	table.Store
	down atomic.Bool
}

var errDown = errors.New("the table is down")

func (s *failingStore) Query(ctx context.Context, partition, after string, limit int) ([]table.Item, error) {
	if s.down.Load() {
		return nil, errDown
	}
	return s.Store.Query(ctx, partition, after, limit)
}

func (s *failingStore) Get(ctx context.Context, key table.Key) (table.Item, error) {
	if s.down.Load() {
		return table.Item{}, errDown
	}
	return s.Store.Get(ctx, key)
}

// none is the position of a daemon that has received nothing.
var none changelog.Position

const settleDelay = 20 * time.Millisecond

func newManager(t *testing.T, store table.Store, s *servers, change func(*quarantine.ManagerOptions)) *quarantine.Manager {
	t.Helper()
	options := quarantine.DefaultOptions()
	options.SettleDelay, options.Run = settleDelay, uint64(time.Now().UnixNano())
	o := quarantine.ManagerOptions{Core: options, Store: store, Clock: clock.RealClock{}, Probe: s.probe}
	if change != nil {
		change(&o)
	}
	m := quarantine.NewManager(o)
	t.Cleanup(m.Close)
	return m
}

func start(m *quarantine.Manager, id string, f quarantine.Fingerprint, server string) {
	m.Started(quarantine.Attempt{ID: id, Request: id, Fingerprint: f, Server: server, Address: server})
}

func crashes(m *quarantine.Manager, f quarantine.Fingerprint) func() int {
	return func() int {
		e, _ := m.Entry(f)
		return len(e.Servers)
	}
}

// TestABrokenConnectionIsACrashIfTheServerIsDown guards against crashes that are
// not counted, and against suspicion of requests whose connection alone broke.
func TestABrokenConnectionIsACrashIfTheServerIsDown(t *testing.T) {
	g := NewWithT(t)
	s := &servers{}
	s.set("down", quarantine.ServerDown)
	s.set("silent", quarantine.ServerSilent)
	m := newManager(t, memtable.New(), s, nil)
	for _, server := range []string{"down", "silent", "runs"} {
		start(m, server, quarantine.Fingerprint("f-"+server), server)
		g.Expect(m.Broken(context.Background(), server, 0)).To(Equal(server == "down"), server)
	}
	g.Expect(m.Check(context.Background(), "f-down")).To(Equal(quarantine.VerdictIsolate))
	g.Expect(m.Check(context.Background(), "f-runs")).To(Equal(quarantine.VerdictRun))
	g.Expect(m.Check(context.Background(), "f-silent")).To(Equal(quarantine.VerdictRun))
}

// TestASilentServersCrashIsDiscoveredLater guards against requests that silence
// their servers: no connection breaks and their callers give up. The crash shows
// when the server is back, under its name or under another at its address, or when
// its entry is gone and nothing answers there.
func TestASilentServersCrashIsDiscoveredLater(t *testing.T) {
	g := NewWithT(t)
	s := &servers{}
	m := newManager(t, memtable.New(), s, nil)
	for _, server := range []string{"restarted", "replaced", "removed", "leaves quietly"} {
		start(m, server, quarantine.Fingerprint(server), server)
		m.Abandoned(server, 0)
		s.set(server, quarantine.ServerSilent)
	}
	s.set("leaves quietly", quarantine.ServerRuns)
	m.ServerRestarted("restarted")
	m.ServerJoined("another", "replaced")
	m.ServerRemoved("removed", "removed")
	m.ServerRemoved("leaves quietly", "leaves quietly")
	for _, server := range []string{"restarted", "replaced", "removed"} {
		g.Eventually(crashes(m, quarantine.Fingerprint(server))).Should(Equal(1), server)
	}
	g.Consistently(crashes(m, "leaves quietly"), 50*time.Millisecond).Should(BeZero())
}

// TestASilentServerWithoutAnEntryIsFoundWhenItReturns guards against a silent server
// that still accepts connections when its entry is removed, and is taken for one that
// shuts down without notice. Its return shows that it has crashed, also under requests
// that ended after the removal.
func TestASilentServerWithoutAnEntryIsFoundWhenItReturns(t *testing.T) {
	g := NewWithT(t)
	m := newManager(t, memtable.New(), &servers{}, nil)
	attempt := func(id string) {
		m.Started(quarantine.Attempt{ID: id, Request: id, Fingerprint: quarantine.Fingerprint(id), Server: "s#1", Address: "address"})
	}
	attempt("before")
	attempt("after")
	attempt("answered")
	m.Abandoned("before", 0)
	m.ServerRemoved("s#1", "address")
	g.Consistently(crashes(m, "before"), 50*time.Millisecond).Should(BeZero())
	g.Expect(m.Broken(context.Background(), "after", 0)).To(BeFalse())
	m.Resolved("answered", true)
	m.ServerJoined("s#2", "address")
	g.Eventually(crashes(m, "before")).Should(Equal(1))
	g.Eventually(crashes(m, "after")).Should(Equal(1))
	g.Consistently(crashes(m, "answered"), 50*time.Millisecond).Should(BeZero())
}

// TestACrashIsFoundWhenAnotherServerHasTakenTheAddress guards against the end of a server
// that passes for a shutdown because another server, with an ID of its own, accepts
// connections at its address by the time its entry is removed.
func TestACrashIsFoundWhenAnotherServerHasTakenTheAddress(t *testing.T) {
	for _, joinedFirst := range []bool{false, true} {
		g := NewWithT(t)
		m := newManager(t, memtable.New(), &servers{}, nil)
		m.Started(quarantine.Attempt{ID: "a", Request: "a", Fingerprint: "f", Server: "s#1", Address: "address"})
		m.Abandoned("a", 0)
		if joinedFirst {
			m.ServerJoined("other#2", "address")
		}
		m.ServerRemoved("s#1", "address")
		if !joinedFirst {
			g.Consistently(crashes(m, "f"), 50*time.Millisecond).Should(BeZero())
			m.ServerJoined("other#2", "address")
		}
		g.Eventually(crashes(m, "f")).Should(Equal(1))
		g.Consistently(crashes(m, "f"), 50*time.Millisecond).Should(Equal(1))
	}
}

// TestCrashesOfSeveralDaemonsAddUp guards against daemons that each allow a request
// to crash servers of their own before one of them refuses it.
func TestCrashesOfSeveralDaemonsAddUp(t *testing.T) {
	g := NewWithT(t)
	s := &servers{}
	s.set("s1", quarantine.ServerDown)
	s.set("s2", quarantine.ServerDown)
	store := memtable.New()
	var urgent atomic.Int32
	one, two := newManager(t, store, s, nil), newManager(t, store, s, func(o *quarantine.ManagerOptions) {
		o.OnChange = func(c quarantine.Change) {
			if c.Urgent {
				urgent.Add(1)
			}
		}
	})
	start(one, "a", "f", "s1")
	one.Broken(context.Background(), "a", 0)
	entries, span := one.EntriesFor("two", none, false, 10)
	two.MergeFrom("one", entries...)
	g.Expect(two.Check(context.Background(), "f")).To(Equal(quarantine.VerdictIsolate))
	entries, _ = one.EntriesFor("two", span.End(), false, 10)
	g.Expect(entries).To(BeEmpty(), "acknowledged entries are not sent again")
	start(two, "b", "f", "s2")
	two.Broken(context.Background(), "b", 0)
	g.Expect(urgent.Load()).To(BeNumerically(">", 0))
	g.Expect(two.Check(context.Background(), "f")).To(Equal(quarantine.VerdictRefuse), "the check waits for the decision")
	entries, _ = two.EntriesFor("one", none, false, 10)
	one.MergeFrom("two", entries...)
	g.Expect(one.Check(context.Background(), "f")).To(Equal(quarantine.VerdictRefuse))
}

// TestARestartedDaemonLearnsWhatOthersKnow guards against a restarted daemon that
// receives only later changes: its peers must send all entries, including those of
// other daemons.
func TestARestartedDaemonLearnsWhatOthersKnow(t *testing.T) {
	g := NewWithT(t)
	s := &servers{}
	s.set("s1", quarantine.ServerDown)
	one, two := newManager(t, memtable.New(), s, nil), newManager(t, memtable.New(), s, nil)
	start(one, "a", "f", "s1")
	one.Broken(context.Background(), "a", 0)
	entries, _ := one.EntriesFor("two", none, false, 10)
	two.MergeFrom("one", entries...)
	entries, span := two.EntriesFor("three", none, false, 10)
	g.Expect(entries).To(HaveLen(1))
	start(one, "b", "g", "s1")
	one.Broken(context.Background(), "b", 0)
	entries, _ = one.EntriesFor("two", none, false, 10)
	two.MergeFrom("one", entries...)
	entries, _ = two.EntriesFor("three", span.End(), false, 10)
	g.Expect(entries).To(BeEmpty(), "in a full mesh each daemon sends its own changes")
	entries, _ = two.EntriesFor("three", span.End(), true, 10)
	g.Expect(entries).To(HaveLen(1), "a hub forwards them")
	entries, _ = two.EntriesFor("one", span.End(), true, 10)
	g.Expect(entries).To(BeEmpty(), "entries are not sent back to the daemon they came from")
	entries, _ = two.EntriesFor("one", none, false, 10)
	g.Expect(entries).To(HaveLen(2), "a daemon that has restarted has lost its own")
	// Daemon three has acknowledged changes of the run of daemon two before, whose
	// clock was ahead.
	before := changelog.Position{Run: uint64(time.Now().Add(time.Hour).UnixNano()), Revision: 2}
	entries, _ = two.EntriesFor("three", before, false, 10)
	g.Expect(entries).To(HaveLen(2))
}

// TestAFreshDaemonGetsAllEntriesOverSeveralMessages guards against a restarted
// daemon that is sent only as many entries of other daemons as fit one message.
func TestAFreshDaemonGetsAllEntriesOverSeveralMessages(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	core := quarantine.New(quarantine.Options{Crashes: 2, SuspectRetention: time.Minute, MaxEntries: 100, Run: 1000})
	for i := range 25 {
		core.Merge(now, "other", quarantine.Entry{Fingerprint: quarantine.Fingerprint(fmt.Sprint(i)), Servers: []string{"s"}, LastCrash: now})
	}
	received := make(map[quarantine.Fingerprint]bool)
	acknowledged := none
	for range 5 {
		entries, span := core.Since(acknowledged, "fresh", false, 10)
		g.Expect(len(entries)).To(BeNumerically("<=", 10))
		for _, e := range entries {
			received[e.Fingerprint] = true
		}
		complete := false
		acknowledged, complete = acknowledged.Advance(span)
		g.Expect(complete).To(BeTrue())
	}
	g.Expect(received).To(HaveLen(25))
	core.Merge(now, "other", quarantine.Entry{Fingerprint: "later", Servers: []string{"s"}, LastCrash: now})
	entries, _ := core.Since(acknowledged, "fresh", false, 10)
	g.Expect(entries).To(BeEmpty(), "later changes come from the daemons that made them")
}

// TestAReceivedChangeDoesNotHideAnOwnOne guards against a crash that a daemon does
// not send on because another daemon's entry of the same request arrived first.
func TestAReceivedChangeDoesNotHideAnOwnOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for _, received := range [][]string{{"s2"}, {"s1", "s2"}} {
		core := quarantine.New(quarantine.Options{Crashes: 3, SuspectRetention: time.Minute, MaxEntries: 100, Run: 1000})
		core.RecordCrash(now, "before", "s0", 0)
		_, span := core.Since(none, "third", false, 10)
		core.RecordCrash(now, "f", "s1", 0)
		core.Merge(now, "other", quarantine.Entry{Fingerprint: "f", Servers: received, LastCrash: now})
		entries, _ := core.Since(span.End(), "third", false, 10)
		g.Expect(entries).To(HaveLen(1))
		g.Expect(entries[0].Servers).To(ConsistOf("s1", "s2"))
	}
}

// TestADecisionIsForwarded guards against daemons that never learn of a decision
// because the daemon that made it ended after telling only one of them.
func TestADecisionIsForwarded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	core := quarantine.New(quarantine.Options{Crashes: 2, SuspectRetention: time.Minute, MaxEntries: 100, Run: 1000})
	core.RecordCrash(now, "before", "s0", 0)
	acknowledged := make(map[string]changelog.Position)
	for _, daemon := range []string{"ended", "third"} {
		_, span := core.Since(none, daemon, false, 10)
		acknowledged[daemon] = span.End()
	}
	core.Merge(now, "ended", quarantine.Entry{Fingerprint: "f", Servers: []string{"s1"}, Quarantined: true, LastCrash: now})
	entries, _ := core.Since(acknowledged["third"], "third", false, 10)
	g.Expect(entries).To(HaveLen(1))
	entries, _ = core.Since(acknowledged["ended"], "ended", false, 10)
	g.Expect(entries).To(BeEmpty())
}

// TestEntriesOutlastAllDaemons guards against a request that crashes two servers
// after each time that all daemons are killed. The table may be down when the
// crashes happen.
func TestEntriesOutlastAllDaemons(t *testing.T) {
	for _, down := range []bool{false, true} {
		g := NewWithT(t)
		s := &servers{}
		s.set("s1", quarantine.ServerDown)
		s.set("s2", quarantine.ServerDown)
		store := &failingStore{Store: memtable.New()}
		store.down.Store(down)
		one := newManager(t, store, s, nil)
		time.Sleep(50 * time.Millisecond)
		for id, server := range map[string]string{"a": "s1", "b": "s2"} {
			start(one, id, "f", server)
			one.Broken(context.Background(), id, 0)
		}
		g.Expect(one.Check(context.Background(), "f")).To(Equal(quarantine.VerdictRefuse))
		store.down.Store(false)
		g.Eventually(func() ([]table.Item, error) { return store.Query(context.Background(), "quarantine", "", 10) }, 5*time.Second).Should(HaveLen(1))
		one.Close()
		two := newManager(t, store, s, nil)
		g.Eventually(func() quarantine.Verdict { return two.Check(context.Background(), "f") }).Should(Equal(quarantine.VerdictRefuse))
	}
}

// TestEntriesAreSavedAgainInANewEpoch guards against a request that crashes servers again after all
// daemons are killed, because the table has returned from a copy without its entry.
func TestEntriesAreSavedAgainInANewEpoch(t *testing.T) {
	g := NewWithT(t)
	s := &servers{}
	s.set("s1", quarantine.ServerDown)
	s.set("s2", quarantine.ServerDown)
	store := memtable.New()
	copied := store.Copy()
	one := newManager(t, store, s, nil)
	time.Sleep(50 * time.Millisecond)
	for id, server := range map[string]string{"a": "s1", "b": "s2"} {
		start(one, id, "f", server)
		one.Broken(context.Background(), id, 0)
	}
	rows := func() ([]table.Item, error) { return store.Query(context.Background(), "quarantine", "", 10) }
	g.Eventually(rows, 5*time.Second).Should(HaveLen(1))
	store.Restore(copied)
	g.Expect(rows()).To(BeEmpty())
	g.Eventually(rows, 5*time.Second).Should(HaveLen(1))
}

// TestAnIsolatedDaemonReadsTheTable guards against a daemon that reaches the table
// but no other daemon, and lets a request crash servers that all others refuse.
func TestAnIsolatedDaemonReadsTheTable(t *testing.T) {
	g := NewWithT(t)
	s := &servers{}
	s.set("s1", quarantine.ServerDown)
	s.set("s2", quarantine.ServerDown)
	store := memtable.New()
	isolated := newManager(t, store, s, func(o *quarantine.ManagerOptions) { o.Isolated = func() bool { return true } })
	time.Sleep(50 * time.Millisecond)
	one := newManager(t, store, s, nil)
	for id, server := range map[string]string{"a": "s1", "b": "s2"} {
		start(one, id, "f", server)
		one.Broken(context.Background(), id, 0)
	}
	g.Eventually(func() quarantine.Verdict { return isolated.Check(context.Background(), "f") }, 4*time.Second).Should(Equal(quarantine.VerdictRefuse))
}

// TestProbeTCP guards against a running server that is taken for crashed, and the
// opposite.
func TestProbeTCP(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(quarantine.ProbeTCP(context.Background(), address)).To(Equal(quarantine.ServerRuns))
	g.Expect(listener.Close()).To(Succeed())
	g.Expect(quarantine.ProbeTCP(context.Background(), address)).To(Equal(quarantine.ServerDown))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(quarantine.ProbeTCP(ended, address)).To(Equal(quarantine.ServerSilent), "a probe that was cut short shows nothing")
}
