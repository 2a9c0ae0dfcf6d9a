package edge

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// serverEntries returns a list of the store with one server.
func serverEntries(s fleet.Server, version table.Version) []fleet.Entry {
	return []fleet.Entry{{ID: s.ID, Server: &s, Version: version}}
}

// TestEachChangeOfAServerIsReportedToTheQuarantine guards against changes of servers
// that are not reported, or as something else: a crash would pass for a shutdown, or a
// shutdown for a crash.
func TestEachChangeOfAServerIsReportedToTheQuarantine(t *testing.T) {
	address := closedAddress(t)
	server := fleet.Server{ID: "x", Service: "s", Address: address, StartedUnixMilli: 1}
	leaving, later, moved, other := server, server, server, server
	leaving.Leaving = true
	later.StartedUnixMilli = 2
	moved.StartedUnixMilli, moved.Address = 2, closedAddress(t)
	other.ID = "y"
	tests := []struct {
		name    string
		changes [][]fleet.Entry
		// endedBefore is set if the attempt ends, without an answer, before the changes.
		endedBefore bool
		crashes     int
	}{
		{"no change", nil, false, 1},
		{"announces its shutdown", [][]fleet.Entry{serverEntries(leaving, 2)}, false, 0},
		{"announces its shutdown and ends", [][]fleet.Entry{serverEntries(leaving, 2), {}}, true, 0},
		{"is removed and runs no more", [][]fleet.Entry{{}}, true, 1},
		{"starts again", [][]fleet.Entry{serverEntries(later, 2)}, true, 1},
		{"starts again at another address", [][]fleet.Entry{serverEntries(moved, 2)}, true, 1},
		{"has its address taken", [][]fleet.Entry{append(serverEntries(server, 1), serverEntries(other, 2)...)}, true, 1},
		{"is listed again", [][]fleet.Entry{serverEntries(server, 1)}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := namedState(t, "a").state
			apply := func(version table.Version, entries []fleet.Entry) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), version, entries), "store")
			}
			apply(1, serverEntries(server, 1))
			s.quarantine.Started(quarantine.Attempt{ID: "1", Fingerprint: "f", Server: server.RunID(), Address: address})
			if test.endedBefore {
				s.quarantine.Abandoned("1", 0)
			}
			for i, entries := range test.changes {
				apply(table.Version(i)+2, entries)
			}
			if !test.endedBefore {
				s.quarantine.Broken(context.Background(), "1", 0)
			}
			crashes := func() int {
				e, _ := s.quarantine.Entry("f")
				return len(e.Servers)
			}
			g.Eventually(crashes).Should(gomega.Equal(test.crashes))
			g.Consistently(crashes, 50*time.Millisecond).Should(gomega.Equal(test.crashes))
			g.Expect(s.quarantine.Running()).To(gomega.BeZero())
		})
	}
}

// TestTheEndOfALeavingServerIsNoCrash guards against a server that has served for so long
// after its announcement that the quarantine has forgotten it, and whose end passes for a
// crash.
func TestTheEndOfALeavingServerIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	s := namedState(t, "a").state
	server := fleet.Server{ID: "x", Service: "s", Address: closedAddress(t), Leaving: true}
	s.quarantine.Started(quarantine.Attempt{ID: "1", Fingerprint: "f", Server: server.RunID(), Address: server.Address})
	s.reportServerChange(&fleet.Event{Server: server, Change: fleet.ServerGone}, false)
	g.Consistently(func() bool { _, suspected := s.quarantine.Entry("f"); return suspected }, 50*time.Millisecond).Should(gomega.BeFalse())
}

// countingStore counts the reads of the quarantine's entries.
type countingStore struct {
	table.Store
	reads chan struct{}
}

func (s countingStore) Query(ctx context.Context, partition, after string, limit int) ([]table.Item, error) {
	s.reads <- struct{}{}
	return s.Store.Query(ctx, partition, after, limit)
}

// TestTheQuarantineIsConfiguredAsTheDaemonNeedsIt guards against an option of the
// quarantine that is not set: no wait for the suspects of other daemons, changes that
// peers take for those of an earlier run, decisions that peers are not told of at once, a
// daemon without peers that does not read the store, and crashes that no metric shows.
func TestTheQuarantineIsConfiguredAsTheDaemonNeedsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newState(settings, backendconn.NewPool())
	store, registry := countingStore{memtable.New(), make(chan struct{}, 100)}, prometheus.NewRegistry()
	s.startQuarantine(store, registry)
	t.Cleanup(s.quarantine.Close)
	d := &Daemon{settings: settings, state: s}
	s.mu.Lock()
	s.peers.UpdateEntry(bootNow(), "silent", "127.0.0.1:1", 1, 1)
	s.mu.Unlock()
	startedAt := time.Now()
	crash(t, d, "f", "s1")
	g.Expect(s.exchangeWake).NotTo(gomega.Receive(), "a first crash goes with the next message")
	crash(t, d, "f", "s2")
	g.Expect(s.exchangeWake).To(gomega.Receive())
	g.Expect(s.quarantine.Check(context.Background(), "f")).To(gomega.Equal(quarantine.VerdictRefuse))
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically(">=", quarantine.DefaultSettleDelay))
	_, span := s.quarantine.EntriesFor("peer", changelog.Position{}, true, 1)
	g.Expect(span.Run).To(gomega.Equal(s.incarnation))
	g.Expect(testutil.GatherAndCount(registry, "monsooncrank_quarantine_server_crashes_total")).To(gomega.Equal(1))
	g.Expect(testutil.GatherAndCount(registry, runningAttemptsMetric)).To(gomega.Equal(1))
	g.Eventually(func() error {
		_, err := store.Get(context.Background(), table.Key{Partition: "quarantine", Sort: "f"})
		return err
	}).Should(gomega.Succeed())
	g.Expect(s.isolated()).To(gomega.BeTrue())
	g.Eventually(func() int { return len(store.reads) }, 5*time.Second).Should(gomega.BeNumerically(">=", 2), "an isolated daemon reads the store every 2 s")
}
