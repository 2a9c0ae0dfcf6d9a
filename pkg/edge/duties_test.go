package edge

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

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

// usageNetwork returns the duties of daemons that know one another, share a store and have counted
// requests in a window that has ended: as many as their number from 1 on.
func usageNetwork(t *testing.T, daemons int, windowLength time.Duration) (all []*duties, store *memtable.Store, window int64) {
	t.Helper()
	store = memtable.New()
	for i := range daemons {
		u := newTestDuties(t, &fakePlatform{Store: store})
		node := fmt.Sprint("daemon-", i)
		u.daemon.settings.Node = node
		own := u.daemon.settings
		own.Node, own.UsageWindow, own.Cores = node, windowLength, 1
		u.daemon.settings, u.daemon.state = own, newStateWithStore(t, own, store)
		u.daemon.state.versionStore, u.daemon.state.daemonsListed = store, true
		t.Cleanup(u.manager.Close)
		all = append(all, u)
	}
	for _, u := range all {
		for _, o := range all {
			if o != u {
				u.daemon.state.peers.UpdateEntry(bootNow(), o.daemon.settings.Node, "127.0.0.1:1", 1, 1)
			}
		}
		u.daemon.state.noteEpoch(bootNow())
	}
	// The first and the last one may hold the duties.
	slices.SortStableFunc(all, func(a, b *duties) int {
		return map[bool]int{true: -1, false: 1}[a.daemon.ranksAsHub()] - map[bool]int{true: -1, false: 1}[b.daemon.ranksAsHub()]
	})
	all[1], all[daemons-1] = all[daemons-1], all[1]
	core := all[0].daemon.state.usage
	at := core.End(core.WindowAt(time.Now()))
	window = core.WindowAt(at)
	for i, u := range all {
		for range i + 1 {
			u.daemon.state.usage.Began(at, "account")
		}
	}
	time.Sleep(time.Until(core.End(window)) + 20*time.Millisecond)
	return all, store, window
}

// exchangeAll lets daemons exchange messages with one another.
func exchangeAll(t *testing.T, all ...*duties) {
	t.Helper()
	for range 2 {
		for _, from := range all {
			for _, to := range all {
				if from != to {
					tell(t, from, to)
				}
			}
		}
	}
}

func finalCounts(t *testing.T, u *duties, window int64) usage.Counts {
	t.Helper()
	counts, err := u.finalCounts(t.Context(), window)
	if err != nil {
		t.Log(err)
	}
	return counts
}

// Guards against a usage window that is reported twice with different counts: the store has lost
// the final counts of the first report, and the next holder of the duties, which was cut off when they
// were made, has counted others.
func TestFinalCountsOutliveTheStoresCopy(t *testing.T) {
	for _, daemons := range []int{3, 7, 13} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			all, store, window := usageNetwork(t, daemons, 100*time.Millisecond)
			exchangeAll(t, all...)
			copied := store.Copy()
			g.Expect(finalCounts(t, all[0], window)).To(gomega.BeEmpty(), "no other daemon knows them")
			majority := daemons/2 + 1
			exchangeAll(t, all[:majority]...)
			reported := finalCounts(t, all[0], window)
			g.Expect(reported).To(gomega.Equal(usage.Counts{"account": daemons * (daemons + 1) / 2}))
			store.Restore(copied)
			// The next one has heard of further requests since.
			last := all[daemons-1]
			last.daemon.state.usage.SetPeer("gone", 1, usage.Windows{window: {"account": 5}})
			exchangeAll(t, all[majority:]...)
			g.Expect(finalCounts(t, last, window)).To(gomega.BeEmpty(), "daemons that know the counts are not heard")
			exchangeAll(t, all[1:]...)
			g.Expect(finalCounts(t, last, window)).To(gomega.BeEmpty())
			exchangeAll(t, all[1:]...)
			g.Expect(finalCounts(t, last, window)).To(gomega.Equal(reported))
			item, err := store.Get(t.Context(), finalCountsKey(window))
			g.Expect(err).NotTo(gomega.HaveOccurred(), "the counts are written again")
			g.Expect(item.Copied()).To(gomega.BeFalse())
		})
	}
}

// Guards against a holder that is cut off from the other daemons and makes counts final, or reports them,
// which lack what the others have counted (review case 12), and against one that goes on trying while
// another one could report in time.
func TestAHolderThatIsCutOffHandsTheDutiesOver(t *testing.T) {
	g := gomega.NewWithT(t)
	all, store, window := usageNetwork(t, 7, 2*time.Second)
	exchangeAll(t, all...)
	time.Sleep(deciderHearing + 50*time.Millisecond)
	exchangeAll(t, all[1:]...)
	cut := all[0]
	for range 3 {
		g.Expect(finalCounts(t, cut, window)).To(gomega.BeEmpty())
		time.Sleep(finalsSpreadTime / 2)
	}
	_, err := store.Get(t.Context(), finalCountsKey(window))
	g.Expect(err).To(gomega.HaveOccurred(), "it stores none")
	time.Sleep(time.Until(cut.daemon.state.usage.End(window).Add(usageSettleTime + proofPatience + 50*time.Millisecond)))
	cut.daemon.settings.MaxUsageReportDelay = time.Minute
	cut.reportUsage(t.Context())
	g.Expect(cut.handsOver).To(gomega.BeTrue())
	exchangeAll(t, all[1:]...)
	g.Expect(finalCounts(t, all[1], window)).To(gomega.BeEmpty())
	exchangeAll(t, all[1:]...)
	g.Expect(finalCounts(t, all[1], window)).NotTo(gomega.BeEmpty(), "the next one reports")
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
	d.state.usage.EpochSeen(bootNow(), 0)
	d.state.usage.SetDaemons(bootNow(), 1)
	d.state.usage.Accept(bootNow(), window, usage.Final{Counts: usage.Counts{"account": 3}})
	g.Eventually(func() bool { _, held := u.held(); return held }, 2*time.Second).Should(gomega.BeTrue())
	startedAt := bootNow()
	g.Expect(u.reportWindow(t.Context(), window)).NotTo(gomega.Succeed())
	took := bootNow().Sub(startedAt)
	g.Expect(took).To(gomega.BeNumerically(">=", dutyCallTimeout))
	g.Expect(took).To(gomega.BeNumerically("<", orderDeadline))
}
