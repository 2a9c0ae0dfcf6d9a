package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/rollout"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// Guards against streams that are joined after a drill and a loss of all daemons: the row of the
// copy lacks a version that has begun streams, and says that it is complete.
func TestARowOfTheCopyIsNotComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	complete := streamversion.Row{Versions: streamversion.InUse{"s": {"v1"}}, Complete: true}
	g.Expect(writeVersions(t.Context(), store, 0, complete)).To(gomega.Succeed())
	_, row, err := readVersions(t.Context(), store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(row.Complete).To(gomega.BeTrue())
	store.Restore(store.Copy())
	version, row, err := readVersions(t.Context(), store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(row.Complete).To(gomega.BeFalse())
	g.Expect(writeVersions(t.Context(), store, version, complete)).To(gomega.Succeed())
	_, row, err = readVersions(t.Context(), store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(row.Complete).To(gomega.BeTrue(), "written in this epoch")
}

// Guards against streams that begin at a version which the store no longer holds, as it has returned
// from a copy: after a loss of all daemons nobody would know of them.
func TestVersionsThatTheCopyLacksAreStoredAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	s := newStateWithStore(t, settings, store)
	s.versionStore = store
	join := func(version string) {
		s.applyServerEvents([]fleet.Event{{Server: fleet.Server{ID: version, Service: "s", Slots: 4, Version: version, StartedUnixMilli: 1}, Change: fleet.ServerJoined}}, "store")
	}
	join("v1")
	g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	copied := store.Copy()
	join("v2")
	g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	store.Restore(copied)
	g.Expect(s.storeNewVersionsOnce(t.Context(), true)).To(gomega.Succeed())
	_, row, err := readVersions(t.Context(), store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(row.Versions.Contains("s", "v2")).To(gomega.BeTrue())
}

// Guards against records of streams that are stored once and lost with the store's copy.
func TestRecordsOfStreamsAreStoredAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	s := newStateWithStore(t, settings, store)
	s.versionStore = store
	for _, version := range []string{"v1", "v2"} {
		s.applyServerEvents([]fleet.Event{{Server: fleet.Server{ID: version, Service: "s", Version: version, StartedUnixMilli: 1}, Change: fleet.ServerJoined}}, "store")
	}
	copied := store.Copy()
	beginStored(t, s, "v1", "stream")
	defer runRecords(t, s)()
	time.Sleep(2 * collectIdleInterval)
	store.Restore(copied)
	g.Expect(rowsOf(t, store)).To(gomega.BeEmpty())
	g.Eventually(func() []table.Item { return rowsOf(t, store) }, "3s").ShouldNot(gomega.BeEmpty())
	g.Eventually(func() bool { return isStored(s, "stream") }).Should(gomega.BeTrue())
}

// Guards against a user of the store that does not hear of a return, or waits for its next turn.
func TestReturnsOfTheStoreAreNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	watch := epochWatch{store: store}
	g.Expect(watch.changed()).To(gomega.BeFalse())
	time.AfterFunc(epochCheckInterval, func() { store.Restore(store.Copy()) })
	startedAt := time.Now()
	pauseInEpoch(t.Context(), store, time.Minute)
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 10*epochCheckInterval))
	g.Expect(watch.changed()).To(gomega.BeTrue())
	g.Expect(watch.changed()).To(gomega.BeFalse())
}

// Guards against a roll-out that starts anew, or takes back what was decided, because the operator
// writes the order again and the store has lost the decision.
func TestARolloutOutlivesTheStoresCopy(t *testing.T) {
	g := gomega.NewWithT(t)
	all, p := rolloutNetwork(t, 1)
	d, store := all[0], p.Store.(*memtable.Store)
	duty := newRolloutDuty(d, func() (uint64, bool) { return 1, true })
	order := rollout.Order{Service: "s", To: "v2", Revision: 5, Duration: time.Minute}
	d.state.applyOrders([]rollout.Order{order}, 5)
	decider := duty.begin(t.Context(), order)
	g.Expect(decider).NotTo(gomega.BeNil())
	copied := store.Copy()
	next := decider.stored
	next.State = rollout.RolledBack
	g.Expect(duty.store(t.Context(), decider, "s", next)).To(gomega.Succeed())
	d.state.mergeRollout(rollout.Entry{Order: order, Directive: rollout.Directive{Term: decider.stored.Term, Sequence: 9, State: rollout.RolledBack}}, bootNow(), "decider")
	store.Restore(copied)
	again := order
	again.Revision = table.Epoch(1).At(5)
	d.state.applyOrders([]rollout.Order{again}, again.Revision)
	g.Expect(d.state.rollouts.follower.Orders()).To(gomega.Equal([]rollout.Order{order}), "it is the same order")
	decider = duty.begin(t.Context(), order)
	g.Expect(decider).NotTo(gomega.BeNil())
	g.Expect(decider.stored.State).To(gomega.Equal(rollout.RolledBack))
	// A daemon that has started since knows the order only as it was written again.
	restarted, _ := rolloutNetwork(t, 1)
	restarted[0].platform = p
	restarted[0].state.applyOrders([]rollout.Order{again}, again.Revision)
	decider = newRolloutDuty(restarted[0], duty.held).begin(t.Context(), again)
	g.Expect(decider).NotTo(gomega.BeNil())
	g.Expect(decider.stored.State).To(gomega.Equal(rollout.RolledBack))
}
