package edge

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// tell passes a message from one daemon to another.
func tell(t *testing.T, from, to *duties) {
	t.Helper()
	from.daemon.state.mu.Lock()
	encoded, err := from.daemon.state.messageFor(to.daemon.settings.Node).Encode()
	from.daemon.state.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	m, err := mesh.DecodeMessage(encoded)
	if err != nil {
		t.Fatal(err)
	}
	to.daemon.handleMessage(m, bootNow())
}

// Guards against a usage window that is reported twice with different counts: the store has lost
// the final counts of the first report, and the next holder of the duties has started again since.
func TestFinalCountsOutliveTheStoresCopy(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	all := make([]*duties, 3)
	for i, node := range []string{"first", "second", "restarted"} {
		all[i] = newTestDuties(t, &fakePlatform{Store: store})
		all[i].daemon.settings.Node, all[i].daemon.state.settings.Node = node, node
		defer all[i].manager.Close()
	}
	first, second, restarted := all[0], all[1], all[2]
	at := time.Unix(1002, 0)
	window := first.daemon.state.usage.WindowAt(at)
	for range 3 {
		first.daemon.state.usage.Began(at, "account")
	}
	copied := store.Copy()
	counts, err := first.finalCounts(t.Context(), window)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(counts).To(gomega.BeEmpty(), "no other daemon knows them")
	tell(t, first, second)
	time.Sleep(finalsSpreadTime)
	counts, err = first.finalCounts(t.Context(), window)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(counts).To(gomega.Equal(usage.Counts{"account": 3}))
	store.Restore(copied)
	restarted.daemon.state.usage.Began(at, "account")
	tell(t, second, restarted)
	for _, holder := range all[1:] {
		counts, err = holder.finalCounts(t.Context(), window)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(counts).To(gomega.Equal(usage.Counts{"account": 3}))
	}
	_, err = store.Get(t.Context(), table.Key{Partition: usagePartition, Sort: "00000000000000000200"})
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the counts are written again")
}

// Guards against a daemon that reports a window by what it alone knows, right after the store has
// returned from a copy without the final counts, while it hears none of the daemons that know them.
func TestADaemonThatHearsNobodyReportsNothingAfterADrill(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	u := newTestDuties(t, &fakePlatform{Store: store})
	defer u.manager.Close()
	s := u.daemon.state
	at := time.Unix(1002, 0)
	s.usage.Began(at, "account")
	for _, node := range []string{"a", "b", "c"} {
		s.peers.UpdateEntry(bootNow(), node, "127.0.0.1:1", 1, 1)
	}
	store.Restore(store.Copy())
	counts, err := u.finalCounts(t.Context(), s.usage.WindowAt(at))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(counts).To(gomega.BeEmpty())
	_, isFinal := s.usage.Final(s.usage.WindowAt(at))
	g.Expect(isFinal).To(gomega.BeFalse())
}

// slowPlatform does not answer the calls of duty holders.
type slowPlatform struct{ fakePlatform }

func (p *slowPlatform) ReportUsage(ctx context.Context, _ uint64, _ int64, _ usage.Counts) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a call of a duty holder that goes on for longer than the next holder waits before it
// acts: the timeout counts the time in which the host is suspended.
func TestCallsOfDutyHoldersEndBeforeTheNextHolderActs(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &Daemon{settings: settings, platform: &slowPlatform{fakePlatform{Store: memtable.New()}}, state: newTestState(t)}
	u := newDuties(d)
	defer u.manager.Close()
	at := time.Unix(1002, 0)
	window := d.state.usage.WindowAt(at)
	d.state.usage.SetFinal(window, usage.Counts{"account": 3})
	g.Eventually(func() bool { _, held := u.held(); return held }, 2*time.Second).Should(gomega.BeTrue())
	startedAt := bootNow()
	g.Expect(u.reportWindow(t.Context(), window)).NotTo(gomega.Succeed())
	took := bootNow().Sub(startedAt)
	g.Expect(took).To(gomega.BeNumerically(">=", dutyCallTimeout))
	g.Expect(took).To(gomega.BeNumerically("<", orderDeadline))
}
