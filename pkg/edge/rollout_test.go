package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/rollout"
)

// rolloutPlatform keeps the table and the statuses of roll-outs in memory.
type rolloutPlatform struct {
	fakePlatform
	statusMu sync.Mutex
	statuses []RolloutStatus
	// silent, if it is set, holds up the calls on statuses until it is closed.
	silent chan struct{}
}

// awaitStatuses waits until a number of statuses was written.
func (p *rolloutPlatform) awaitStatuses(g *gomega.WithT, n int) {
	g.Eventually(func() int {
		p.statusMu.Lock()
		defer p.statusMu.Unlock()
		return len(p.statuses)
	}, 2*time.Second, 5*time.Millisecond).Should(gomega.Equal(n))
}

func (p *rolloutPlatform) ReadRolloutStatus(context.Context, string) (RolloutStatus, table.Version, error) {
	if p.silent != nil {
		<-p.silent
	}
	p.statusMu.Lock()
	defer p.statusMu.Unlock()
	if len(p.statuses) == 0 {
		return RolloutStatus{}, 0, nil
	}
	return p.statuses[len(p.statuses)-1], table.Version(len(p.statuses)), nil
}

func (p *rolloutPlatform) WriteRolloutStatus(ctx context.Context, _ string, status RolloutStatus, version table.Version, row table.Key, rowVersion table.Version) (table.Version, error) {
	p.statusMu.Lock()
	defer p.statusMu.Unlock()
	item, err := p.Get(ctx, row)
	if err != nil || item.Version != rowVersion || version != table.Version(len(p.statuses)) {
		return 0, &table.ConditionFailedError{Indexes: []int{0}}
	}
	p.statuses = append(p.statuses, status)
	return version + 1, nil
}

var rolloutOrder = rollout.Order{Service: "s", To: "v2", Revision: 10, Duration: 20 * time.Second}

// rolloutNetwork returns daemons with servers of two versions, and the platform that they share.
func rolloutNetwork(t *testing.T, n int) ([]*Daemon, *rolloutPlatform) {
	p := &rolloutPlatform{fakePlatform: fakePlatform{Store: memtable.New()}}
	all := hubNetwork(t, n)
	for _, d := range all {
		d.platform = p
		d.settings.Rollout = rollout.Bounds{MaxShare: 0.1, Slack: 50, StopTime: 5 * time.Second}
		d.state.settings.Rollout = d.settings.Rollout
		d.state.rollouts = newRolloutState(d.settings.Rollout, d.state.incarnation)
		addServers(d, 8, "v1", 4, 6)
		addServers(d, 20, "v2", 6, 14)
	}
	return all, p
}

// addServers lets a daemon learn of servers from a to b of a version as of a version of the store.
func addServers(d *Daemon, storeVersion table.Version, version string, a, b int) {
	var entries []fleet.Entry
	for i := a; i < b; i++ {
		server := &fleet.Server{ID: fmt.Sprint("server-", i), Service: "s", Address: fmt.Sprintf("10.0.1.%d:80", i), Slots: 32, Version: version}
		entries = append(entries, fleet.Entry{ID: server.ID, Server: server, Version: storeVersion})
	}
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), storeVersion, entries), "store")
}

// sendMany places requests at a daemon and returns how many went to each version.
func sendMany(t *testing.T, d *Daemon, n int) map[string]int {
	t.Helper()
	versions := make(map[string]int)
	for i := range n {
		q := limitQuery()
		q.Route = "r"
		decision, err := d.state.Place(q)
		if err != nil {
			t.Fatal(err)
		}
		versions[decision.Server.Version]++
		id := fmt.Sprint(d.settings.Node, "/", i)
		d.state.Started(id, &decision, q)
		// An answer within no time would make its server the fastest of all.
		d.state.Finished(id, placement.ResultAbandoned)
	}
	return versions
}

// A version in use of which it is not known whether there is an order gets nothing while there
// are others, and then is served like all.
func TestAVersionGetsNothingBeforeItsOrderIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	all, _ := rolloutNetwork(t, 1)
	d := all[0]
	d.state.applyOrders(nil, 9)
	g.Expect(sendMany(t, d, 200)["v2"]).To(gomega.BeZero())
	d.state.applyOrders(nil, 20)
	g.Expect(sendMany(t, d, 200)["v2"]).To(gomega.BeNumerically(">", 50))
}

// Guards against a slow version that makes the answers of its service late, and so passes for as
// fast as expected.
func TestASlowVersionShowsWhileAnswersAreLate(t *testing.T) {
	g := gomega.NewWithT(t)
	all, _ := rolloutNetwork(t, 1)
	s := all[0].state
	s.applyOrders([]rollout.Order{rolloutOrder}, 30)
	d := placement.Decision{Server: fleet.Server{ID: "server-6", Service: "s", Version: "v2"},
		ExpectedWait: 1200 * time.Millisecond, UncorrectedWait: 100 * time.Millisecond, Slowness: 5}
	q := limitQuery()
	q.Route = "r"
	s.Started("late", &d, q)
	time.Sleep(170 * time.Millisecond)
	s.FirstEvent("late")
	s.Finished("late", placement.ResultAnswered)
	slow := uint64(0)
	for _, cell := range s.rollouts.follower.Counts()["s"].Cells {
		slow += cell.Slow[0]
	}
	g.Expect(slow).To(gomega.BeEquivalentTo(1), "20 ms are expected without the slowness of the server")
}

// Without bounds in the settings, versions are not told apart.
func TestVersionsAreServedAlikeWithoutBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	all, _ := rolloutNetwork(t, 1)
	d := all[0]
	d.state.rollouts = newRolloutState(rollout.Bounds{}, 1)
	d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
	g.Expect(sendMany(t, d, 200)["v2"]).To(gomega.BeNumerically(">", 50))
}

// The share that one daemon decides on reaches all daemons, those behind hubs and those that do
// not decide; a daemon that hears nothing sends the version nothing more, and a decision against
// it reaches all, also through a message that answers none.
func TestDirectivesReachAllDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	all, p := rolloutNetwork(t, 20)
	for _, d := range all {
		d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
		g.Expect(sendMany(t, d, 50)["v2"]).To(gomega.BeZero())
	}
	duty := newRolloutDuty(all[0], func() (uint64, bool) { return 1, true })
	ctx := context.Background()
	meet := func() {
		for _, d := range all[1:] {
			request(t, d, all[0])
		}
	}
	// An earlier daemon states no format for a while; then all take part.
	duty.decide(ctx, rolloutOrder)
	p.awaitStatuses(g, 1)
	meet()
	time.Sleep(110 * time.Millisecond)
	duty.decide(ctx, rolloutOrder)
	meet()
	g.Expect(p.statuses).To(gomega.Equal([]RolloutStatus{{To: "v2", State: rollout.Running}}))
	sent, toNew := 0, 0
	for _, d := range all {
		versions := sendMany(t, d, 100)
		sent, toNew = sent+100, toNew+versions["v2"]
	}
	g.Expect(float64(toNew)).To(gomega.BeNumerically("~", 0.03*float64(sent), 15))
	g.Expect(all[0].state.rollouts.follower.Counts()["s"].SentNew).To(gomega.BeNumerically(">", 0))
	// The decider is gone, and a daemon that it told last is not.
	for _, d := range all {
		d.state.mu.Lock()
		follower := d.state.rollouts.follower
		choice := follower.Choose(bootNow().Add(3*time.Second), "s", "r", false, false)
		g.Expect(choice.Denied).To(gomega.ContainElement("v2"))
		d.state.mu.Unlock()
	}
	d := duty.deciders["s"]
	g.Expect(duty.settle(ctx, d, rollout.Outcome{State: rollout.RolledBack, Reason: "test"})).To(gomega.BeTrue())
	duty.decide(ctx, rolloutOrder)
	p.awaitStatuses(g, 2)
	g.Expect(p.statuses[1].State).To(gomega.Equal(rollout.RolledBack))
	for _, d := range all[1:] {
		request(t, all[0], d)
		g.Expect(sendMany(t, d, 50)["v2"]).To(gomega.BeZero())
		_, state, _ := d.state.rollouts.follower.Order("s")
		g.Expect(state).To(gomega.Equal(rollout.RolledBack))
	}
}

// Two daemons decide at once, as after a pause of one: there is one outcome, and a status never
// goes back.
func TestThereIsOneOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	all, p := rolloutNetwork(t, 2)
	ctx := context.Background()
	duties := make([]*rolloutDuty, 2)
	for i, d := range all {
		d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
		duties[i] = newRolloutDuty(d, func() (uint64, bool) { return 1, true })
		duties[i].decide(ctx, rolloutOrder)
	}
	first, second := duties[0].deciders["s"], duties[1].deciders["s"]
	g.Expect(second.stored.Term).To(gomega.BeNumerically(">", first.stored.Term))
	g.Expect(duties[0].settle(ctx, first, rollout.Outcome{State: rollout.Completed})).To(gomega.BeFalse())
	g.Expect(duties[1].settle(ctx, second, rollout.Outcome{State: rollout.RolledBack})).To(gomega.BeTrue())
	for i, stated := 1, func() bool { return duties[1].deciders["s"].stated }; !stated() || i < 4; i++ {
		duties[1].decide(ctx, rolloutOrder)
		duties[0].decide(ctx, rolloutOrder)
		time.Sleep(5 * time.Millisecond)
		g.Expect(i).To(gomega.BeNumerically("<", 400))
	}
	g.Expect(p.statuses[len(p.statuses)-1]).To(gomega.Equal(RolloutStatus{To: "v2", State: rollout.RolledBack}))
	// A daemon that starts again reads the outcome before the version gets anything.
	fresh, _ := rolloutNetwork(t, 1)
	fresh[0].platform = p
	fresh[0].state.applyOrders([]rollout.Order{rolloutOrder}, 30)
	g.Expect(sendMany(t, fresh[0], 50)["v2"]).To(gomega.BeZero())
	fresh[0].readOutcome(ctx, rolloutOrder)
	_, state, _ := fresh[0].state.rollouts.follower.Order("s")
	g.Expect(state).To(gomega.Equal(rollout.RolledBack))
}

// A daemon of an earlier build does not apply directives: nothing begins beside it.
func TestNothingBeginsBesideAnEarlierDaemon(t *testing.T) {
	g := gomega.NewWithT(t)
	all, _ := rolloutNetwork(t, 3)
	speakRecords(all[2])
	for _, d := range all {
		d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
		for _, other := range all {
			d.state.peers.UpdateEntry(bootNow(), other.settings.Node, other.settings.Node, other.settings.Cores, 1)
		}
	}
	duty := newRolloutDuty(all[0], func() (uint64, bool) { return 1, true })
	m := &mesh.Message{Record: mesh.Record{Node: all[2].settings.Node, Incarnation: 1, Sequence: 1}, Format: mesh.FormatStated, OldestHeard: mesh.FormatStated}
	all[0].handleMessage(m, time.Time{})
	for range 3 {
		duty.decide(context.Background(), rolloutOrder)
	}
	g.Expect(sendMany(t, all[0], 300)["v2"]).To(gomega.BeZero())
}

// Guards against daemons behind a hub that don't learn of the bad answers of others, and so
// don't stop before a decision reaches them.
func TestTheExcessOfAllReachesLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	all, _ := rolloutNetwork(t, 20)
	hub, leaf, other := all[0], all[18], all[19]
	for _, d := range all {
		d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
	}
	server := fleet.Server{ID: "server-6", Service: "s", Version: "v2"}
	for i := range 30 {
		id := fmt.Sprint(i)
		other.state.rollouts.follower.Started(bootNow(), id, "r", &server, time.Millisecond)
		other.state.rollouts.follower.Failed(id, false)
		other.state.rollouts.follower.Finished(bootNow(), id, true)
	}
	request(t, other, hub)
	time.Sleep(110 * time.Millisecond)
	request(t, leaf, hub)
	s := leaf.state
	s.mu.Lock()
	defer s.mu.Unlock()
	e := rollout.Entry{Order: rolloutOrder, Directive: rollout.Directive{Term: 1, Sequence: 1, Share: 1, Servers: 9, ValidFor: time.Minute}}
	s.mergeRollout(e, bootNow(), "test")
	g.Expect(s.rollouts.follower.Choose(bootNow(), "s", "r", false, false).Denied).To(gomega.ConsistOf("v2"))
	e.Directive.Sequence, e.Directive.Cleared = 2, 30
	s.mergeRollout(e, bootNow(), "test")
	g.Expect(s.rollouts.follower.Choose(bootNow(), "s", "r", false, false).Only).To(gomega.Equal("v2"))
}

// Guards against a deadline that moves by the difference of two hosts' clocks when another
// daemon begins to decide.
func TestTheTimeOfAnOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	at := time.Unix(1000, 0)
	up, started := at.Add(-time.Minute), at.Add(3*time.Second)
	g.Expect(orderTime(at.Add(600*time.Millisecond), at, up)).To(gomega.Equal(at))
	g.Expect(orderTime(at.Add(-600*time.Millisecond), at, up)).To(gomega.Equal(at))
	// A daemon that starts later sees it late, and one that was cut off does.
	g.Expect(orderTime(at, at.Add(4*time.Second), started)).To(gomega.Equal(at))
	g.Expect(orderTime(at, at.Add(4*time.Second), up)).To(gomega.Equal(at))
	g.Expect(orderTime(at.Add(time.Second), at, at.Add(-time.Second))).To(gomega.Equal(at))
}

// Guards against orders for the version in force that withdraw it, and against a version that
// is taken for the one in force because it was tried or served long ago.
func TestOrdersForTheVersionInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	again := rolloutOrder
	again.Revision = 20
	tried := storedRollout{Order: 10, To: "v2", Term: 3, InForce: []string{"v1"}}
	back := supersede(&tried, rollout.Order{Service: "s", To: "v1", Revision: 20}, false, false)
	g.Expect(back.State).To(gomega.Equal(rollout.Completed))
	g.Expect(back.Denied).To(gomega.ConsistOf("v2"))
	g.Expect(supersede(&tried, again, false, false).State).To(gomega.Equal(rollout.Running))
	tried.State = rollout.Completed
	g.Expect(supersede(&tried, again, false, false).State).To(gomega.Equal(rollout.Completed))
	// Releases without an order have replaced it since.
	g.Expect(supersede(&tried, again, false, true).State).To(gomega.Equal(rollout.Running))
	g.Expect(supersede(&storedRollout{}, again, true, true).State).To(gomega.Equal(rollout.Completed))
}

// unwritable is a store that answers no writes.
type unwritable struct{ table.Store }

func (unwritable) Transact(context.Context, []table.Write) error {
	return &table.UnavailableError{Reason: "test"}
}

// answerMany lets a daemon count answers of servers of both versions, those of the new one bad.
func answerMany(d *Daemon, prefix string, others, bad int) {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	follower := s.rollouts.follower
	for i := range others + bad {
		id := fmt.Sprint(prefix, i)
		server := fleet.Server{ID: fmt.Sprint("server-", 4+i%2), Service: "s", Version: "v1"}
		if i >= others {
			server = fleet.Server{ID: fmt.Sprint("server-", 6+i%8), Service: "s", Version: "v2"}
		}
		follower.Started(bootNow(), id, "r", &server, time.Second)
		if i >= others {
			follower.Failed(id, false)
		}
		follower.Finished(bootNow(), id, true)
	}
}

// Guards against a version that was found bad and keeps its share while the outcome cannot be
// stored.
func TestABadVersionGetsNothingWhileTheStoreIsAway(t *testing.T) {
	g := gomega.NewWithT(t)
	all, p := rolloutNetwork(t, 1)
	d, ctx := all[0], context.Background()
	d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
	duty := newRolloutDuty(d, func() (uint64, bool) { return 1, true })
	for range 4 {
		duty.decide(ctx, rolloutOrder)
		answerMany(d, fmt.Sprint(time.Now().UnixNano(), "-"), 10, 0)
		time.Sleep(60 * time.Millisecond)
	}
	duty.decide(ctx, rolloutOrder)
	g.Expect(d.state.rollouts.follower.Share(bootNow(), "s")).To(gomega.BeNumerically("~", 0.03, 1e-9))
	p.Store = unwritable{p.Store}
	// Fewer than those at which the daemon stops by itself.
	answerMany(d, "bad-", 300, 18)
	time.Sleep(510 * time.Millisecond)
	for range 3 {
		duty.decide(ctx, rolloutOrder)
		g.Expect(d.state.rollouts.follower.Share(bootNow(), "s")).To(gomega.BeZero())
		_, state, _ := d.state.rollouts.follower.Order("s")
		g.Expect(state).To(gomega.Equal(rollout.Running))
	}
	p.Store = p.Store.(unwritable).Store
	answerMany(d, "good-", 300, 0)
	duty.decide(ctx, rolloutOrder)
	_, state, _ := d.state.rollouts.follower.Order("s")
	g.Expect(state).To(gomega.Equal(rollout.RolledBack))
}

// Guards against a decider that was frozen between its begin and the status, and replaces the
// status of a newer one.
func TestAFrozenDeciderStatesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	all, p := rolloutNetwork(t, 2)
	ctx := context.Background()
	duties := make([]*rolloutDuty, 2)
	for i, d := range all {
		d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
		duties[i] = newRolloutDuty(d, func() (uint64, bool) { return 1, true })
	}
	frozen := duties[0].begin(ctx, rolloutOrder)
	duties[0].deciders["s"] = frozen
	duties[1].decide(ctx, rolloutOrder)
	g.Expect(duties[1].settle(ctx, duties[1].deciders["s"], rollout.Outcome{State: rollout.RolledBack})).To(gomega.BeTrue())
	g.Eventually(func() bool {
		duties[1].decide(ctx, rolloutOrder)
		return duties[1].deciders["s"].stated
	}, 2*time.Second, 5*time.Millisecond).Should(gomega.BeTrue())
	want := RolloutStatus{To: "v2", State: rollout.RolledBack}
	g.Expect(p.statuses[len(p.statuses)-1]).To(gomega.Equal(want))
	duties[0].state(ctx, frozen)
	g.Eventually(func() bool {
		duties[0].state(ctx, frozen)
		return frozen.statement == nil
	}, 2*time.Second, 5*time.Millisecond).Should(gomega.BeTrue())
	g.Expect(p.statuses[len(p.statuses)-1]).To(gomega.Equal(want))
	g.Expect(duties[0].deciders).To(gomega.BeEmpty())
}

// Guards against a decider that hears no other daemon and gives the version its share.
func TestADeciderThatHearsNobodyGivesNoShare(t *testing.T) {
	g := gomega.NewWithT(t)
	all, _ := rolloutNetwork(t, 7)
	d, ctx := all[0], context.Background()
	d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
	duty := newRolloutDuty(d, func() (uint64, bool) { return 1, true })
	decide := func() float64 {
		time.Sleep(110 * time.Millisecond)
		duty.decide(ctx, rolloutOrder)
		return d.state.rollouts.follower.Share(bootNow(), "s")
	}
	g.Expect(decide()).To(gomega.BeZero())
	for _, other := range all[1:3] {
		request(t, other, d)
	}
	g.Expect(decide()).To(gomega.BeZero())
	request(t, all[3], d)
	g.Expect(decide()).To(gomega.BeNumerically("~", 0.03, 1e-9))
	time.Sleep(deciderHearing)
	g.Expect(decide()).To(gomega.BeZero())
}

// Guards against daemons that forget an order because one of them has started again and cannot
// read the row that replaced it; a withdrawal still reaches all.
func TestAnUnreadableRowWithdrawsNoOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	all, _ := rolloutNetwork(t, 20)
	hub, leaf, fresh := all[0], all[19], all[1]
	orders := func(d *Daemon) []rollout.Order { return d.state.rollouts.follower.Orders() }
	want := []rollout.Order{rolloutOrder}
	hub.state.applyOrders(want, 30)
	request(t, leaf, hub)
	g.Expect(orders(leaf)).To(gomega.Equal(want))
	// What the platform returns of an unreadable row names no version.
	fresh.state.applyOrders([]rollout.Order{{Service: "s"}}, 31)
	request(t, fresh, hub)
	request(t, leaf, fresh)
	for _, d := range []*Daemon{hub, leaf, fresh} {
		g.Expect(orders(d)).To(gomega.Equal(want), d.settings.Node)
		g.Expect(sendMany(t, d, 50)["v2"]).To(gomega.BeZero())
	}
	hub.state.applyOrders(nil, 40)
	g.Expect(orders(hub)).To(gomega.BeEmpty())
	request(t, leaf, hub)
	request(t, fresh, hub)
	request(t, fresh, leaf)
	g.Expect(orders(leaf)).To(gomega.BeEmpty())
	g.Expect(orders(fresh)).To(gomega.BeEmpty())
	// A daemon that knows from the store that there is no order tells so to those that have one.
	late, other := all[18], all[2]
	late.state.applyOrders(want, 30)
	other.state.applyOrders(nil, 41)
	request(t, late, other)
	request(t, late, other)
	g.Expect(orders(late)).To(gomega.BeEmpty())
}

// Guards against an outcome, or the directives of other services, that wait for a status which
// the store doesn't take.
func TestAStatusHoldsNothingUp(t *testing.T) {
	g := gomega.NewWithT(t)
	all, p := rolloutNetwork(t, 1)
	d, ctx := all[0], context.Background()
	d.state.applyOrders([]rollout.Order{rolloutOrder}, 30)
	duty := newRolloutDuty(d, func() (uint64, bool) { return 1, true })
	p.silent = make(chan struct{})
	steps := make(chan struct{})
	go func() {
		defer close(steps)
		duty.decide(ctx, rolloutOrder)
		duty.settle(ctx, duty.deciders["s"], rollout.Outcome{State: rollout.RolledBack})
		duty.decide(ctx, rolloutOrder)
	}()
	told := func() rollout.State {
		d.state.mu.Lock()
		defer d.state.mu.Unlock()
		_, state, _ := d.state.rollouts.follower.Order("s")
		return state
	}
	g.Eventually(told, time.Second, 5*time.Millisecond).Should(gomega.Equal(rollout.RolledBack))
	g.Eventually(steps, time.Second).Should(gomega.BeClosed())
	close(p.silent)
	g.Eventually(func() []RolloutStatus {
		duty.decide(ctx, rolloutOrder)
		p.statusMu.Lock()
		defer p.statusMu.Unlock()
		return slices.Clone(p.statuses)
	}, 2*time.Second, 5*time.Millisecond).Should(gomega.ContainElement(RolloutStatus{To: "v2", State: rollout.RolledBack}))
}
