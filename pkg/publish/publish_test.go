package publish

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/revision"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/memstore"
)

func TestPublish(t *testing.T) {
	klog.SetLogger(klog.Logger{})
	RegisterFailHandler(Fail)
	RunSpecs(t, "publish")
}

// setOf returns a valid set that is different for every n.
func setOf(n int) *config.Set {
	return &config.Set{Models: []config.Model{{Name: "m", ContextTokens: n + 1, WeightsBytes: 1}}}
}

// testEnv is a platform with a publisher and two daemons that share a fake clock.
type testEnv struct {
	table     *memtable.Store
	objects   *memstore.Store
	hooks     *hookedTable
	clock     *clocktesting.FakeClock
	publisher *Publisher
	reporter  *invariant.Reporter
	peers     []*localPeers
	// mu guards daemons, which a restart changes while peers access it.
	mu      sync.Mutex
	daemons []*Follower
}

// hookedTable calls the functions before and after around the next transaction,
// each of them once.
type hookedTable struct {
	table.Store
	before, after func()
}

func (h *hookedTable) Transact(ctx context.Context, writes []table.Write) error {
	if before := h.before; before != nil {
		h.before = nil
		before()
	}
	err := h.Store.Transact(ctx, writes)
	if after := h.after; after != nil {
		h.after = nil
		after()
	}
	return err
}

// localPeers connects one daemon with the other daemons of the test by direct
// calls.
type localPeers struct {
	testEnv      *testEnv
	self         int
	disconnected atomic.Bool
}

func (p *localPeers) others() []*Follower {
	p.testEnv.mu.Lock()
	defer p.testEnv.mu.Unlock()
	var others []*Follower
	for i, d := range p.testEnv.daemons {
		if i != p.self && !p.disconnected.Load() && !p.testEnv.peers[i].disconnected.Load() {
			others = append(others, d)
		}
	}
	return others
}

func (p *localPeers) Announce(_ context.Context, number uint64, hash string) {
	for _, d := range p.others() {
		d.HandleAnnouncement(number, hash)
	}
}

func (p *localPeers) Confirmed(context.Context) []PeerRevision {
	var answers []PeerRevision
	for i, d := range p.others() {
		if number, hash, ok := d.Confirmed(); ok {
			answers = append(answers, PeerRevision{fmt.Sprint(i), number, hash})
		}
	}
	return answers
}

func (p *localPeers) Body(_ context.Context, hash string) ([]byte, error) {
	for _, d := range p.others() {
		if body, ok := d.Body(hash); ok {
			return body, nil
		}
	}
	return nil, &objectstore.NotFoundError{Key: hash}
}

func newTestEnv() *testEnv {
	env := &testEnv{table: memtable.New(), objects: memstore.New(), reporter: &invariant.Reporter{},
		clock: clocktesting.NewFakeClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))}
	env.hooks = &hookedTable{Store: env.table}
	env.publisher = NewPublisher(PublisherOptions{Table: env.hooks, Objects: env.objects, RetryWait: time.Microsecond,
		OnPublished: func(rec Record) { env.daemons[0].HandleAnnouncement(rec.Revision, rec.BodyHash) }})
	env.daemons, env.peers = make([]*Follower, 2), []*localPeers{{testEnv: env, self: 0}, {testEnv: env, self: 1}}
	env.mu.Lock()
	defer env.mu.Unlock()
	for i, p := range env.peers {
		env.daemons[i] = env.follower(p)
	}
	return env
}

func (env *testEnv) follower(peers Peers) *Follower {
	return NewFollower(FollowerOptions{Table: env.table, Objects: env.objects, Peers: peers, Clock: env.clock, Reporter: env.reporter})
}

func (env *testEnv) restart(i int) {
	env.daemons[i].Close()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.daemons[i] = env.follower(env.peers[i])
}

func (env *testEnv) close() {
	for _, d := range env.daemons {
		d.Close()
	}
}

// advance advances the clock in steps that are too short for a daemon to detect a
// pause, and waits after each step until every daemon has handled it.
func (env *testEnv) advance(g Gomega, d time.Duration) {
	const step = time.Second
	for ; d > 0; d -= step {
		env.clock.Step(step)
		now := env.clock.Now()
		for _, f := range env.daemons {
			g.Eventually(func() time.Time { return f.state.Load().updatedAt }).WithPolling(time.Millisecond).WithTimeout(5 * time.Second).Should(Equal(now))
		}
	}
}

// eventuallyInForce waits until a daemon serves a revision. The clock does not
// advance meanwhile.
func eventuallyInForce(g Gomega, f *Follower, want uint64) {
	g.Eventually(func() uint64 {
		snapshot, err := f.Current()
		if err != nil {
			return 0
		}
		return snapshot.Revision
	}).WithPolling(time.Millisecond).WithTimeout(5 * time.Second).Should(Equal(want))
}

func (env *testEnv) publish(n int, baseRevision uint64) (Record, error) {
	return env.publisher.Publish(context.Background(), Request{Set: setOf(n), BaseRevision: baseRevision, Publisher: fmt.Sprint("operator-", n)})
}

// TestFollowerStopsItsGoroutines guards against goroutines that keep running after
// Close.
func TestFollowerStopsItsGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	env := newTestEnv()
	if _, err := env.publish(1, 0); err != nil {
		t.Fatal(err)
	}
	env.close()
}

var _ = Describe("Publisher", func() {
	var env *testEnv
	ctx := context.Background()
	BeforeEach(func() { env = newTestEnv(); DeferCleanup(env.close) })

	It("publishes, lists and returns revisions", func() {
		for n := range 3 {
			_, err := env.publish(n, uint64(n))
			Expect(err).NotTo(HaveOccurred())
		}
		history, err := env.publisher.History(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect([]uint64{history[0].Revision, history[1].Revision}).To(Equal([]uint64{3, 2}))
		record, body, err := env.publisher.Get(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		set, err := config.DecodeBody(body, record.BodyHash)
		Expect(err).NotTo(HaveOccurred())
		Expect(set).To(Equal(setOf(0)))
		_, _, err = env.publisher.Get(ctx, 9)
		Expect(err).To(MatchError(&UnknownRevisionError{Revision: 9}))
	})

	// Guards against a publish that was checked against one revision but replaces
	// another.
	It("returns the winning publish to a publisher that lost the race", func() {
		env.hooks.before = func() { _, _ = env.publish(7, 0) }
		_, err := env.publish(1, 0)
		var conflict *ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		conflict = err.(*ConflictError)
		Expect(conflict.Winner.Publisher).To(Equal("operator-7"))
		_, err = env.publish(2, 0)
		Expect(err.(*ConflictError).Winner.Publisher).To(Equal("operator-7"))
		_, err = env.publish(2, 5)
		Expect(err.(*ConflictError).Winner.Revision).To(Equal(uint64(1)))
	})

	It("rejects a set that does not pass the check", func() {
		_, err := env.publisher.Publish(ctx, Request{Set: &config.Set{Models: []config.Model{{}}}})
		Expect(err).To(BeAssignableToTypeOf(&config.InvalidError{}))
	})

	// Guards against a second revision when a caller repeats its publish because
	// the answer was lost.
	It("answers a repeated publish ID with its revision", func() {
		req := Request{Set: setOf(1), PublishID: "id-1"}
		first, err := env.publisher.Publish(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		_, _ = env.publish(2, 1)
		Expect(env.publisher.Publish(ctx, req)).To(Equal(first))
	})

	It("returns UndeterminedError when the outcome of a lost answer cannot be read back", func() {
		env.table.SetFault(func(op memtable.Operation) memtable.Fault {
			if op == memtable.OperationTransact {
				return memtable.FaultRequestLost
			}
			return memtable.FaultNone
		})
		_, err := env.publish(1, 0)
		Expect(err).To(BeAssignableToTypeOf(&UndeterminedError{}))
	})
})

var _ = Describe("Follower", func() {
	var env *testEnv
	BeforeEach(func() { env = newTestEnv(); DeferCleanup(env.close) })

	It("serves a publish at every daemon without waiting for a poll", func() {
		_, err := env.daemons[0].Current()
		Expect(err).To(BeAssignableToTypeOf(&revision.NotConfirmedError{}))
		_, err = env.publish(1, 0)
		Expect(err).NotTo(HaveOccurred())
		eventuallyInForce(Default, env.daemons[0], 1)
		eventuallyInForce(Default, env.daemons[1], 1)
	})

	It("reads a publish from the table within 4 s when peers are cut off", func() {
		env.peers[0].disconnected.Store(true)
		env.publisher.options.OnPublished = nil
		_, _ = env.publish(1, 0)
		env.advance(Default, 2*time.Second)
		eventuallyInForce(Default, env.daemons[0], 1)
		eventuallyInForce(Default, env.daemons[1], 1)
	})

	// Guards against a daemon that never confirms a revision because ShouldPoll
	// returns false, and against one that polls although ShouldPoll returns false.
	It("polls only when ShouldPoll allows it, except until it has confirmed a revision", func() {
		_, _ = env.publish(1, 0)
		d := NewFollower(FollowerOptions{Table: env.table, Objects: env.objects, Clock: env.clock, ShouldPoll: func() bool { return false }})
		DeferCleanup(d.Close)
		eventuallyInForce(Default, d, 1)
		_, _ = env.publish(2, 1)
		for range 8 {
			env.clock.Step(500 * time.Millisecond)
			Eventually(func() time.Time { return d.state.Load().updatedAt }).Should(Equal(env.clock.Now()))
		}
		eventuallyInForce(Default, d, 1)
		d.HandleAnnouncement(2, hashOf(2))
		eventuallyInForce(Default, d, 2)
	})

	// Guards against serving under an unconfirmed revision after a pause, and
	// against a daemon that cannot start while the table and the object store are
	// unavailable.
	It("confirms through its peer after a pause and a restart in an outage", func() {
		_, _ = env.publish(1, 0)
		eventuallyInForce(Default, env.daemons[0], 1)
		eventuallyInForce(Default, env.daemons[1], 1)
		env.table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		env.objects.SetFault(func(memstore.Operation) memstore.Fault { return memstore.FaultUnavailable })
		env.restart(1)
		env.advance(Default, time.Second)
		eventuallyInForce(Default, env.daemons[1], 1)
		env.clock.Step(10 * time.Second)
		_, err := env.daemons[0].Current()
		Expect(err).To(BeAssignableToTypeOf(&revision.NotConfirmedError{}))
		env.advance(Default, 3*time.Second)
		_, err = env.daemons[0].Current()
		Expect(err).To(HaveOccurred(), "both daemons were paused, so neither can confirm the other")
		env.table.SetFault(nil)
		env.advance(Default, 2*time.Second)
		eventuallyInForce(Default, env.daemons[0], 1)
	})

	It("calls subscribers with the newest configuration", func() {
		var seen atomic.Uint64
		env.daemons[1].Subscribe(func(s *config.Snapshot) { seen.Store(s.Revision) })
		_, _ = env.publish(1, 0)
		_, _ = env.publish(2, 1)
		Eventually(seen.Load).Should(Equal(uint64(2)))
		Expect(env.daemons[1].Status()).To(HaveField("InForce", uint64(2)))
	})

	It("does not put a damaged body in force", func() {
		_, _ = env.publish(1, 0)
		eventuallyInForce(Default, env.daemons[1], 1)
		env.hooks.before = func() { _ = env.objects.Put(context.Background(), bodyKey(hashOf(2)), []byte("{}")) }
		_, _ = env.publish(2, 1)
		Eventually(env.daemons[1].Status).Should(HaveField("Known", uint64(2)))
		env.advance(Default, 2*time.Second)
		Expect(env.daemons[1].Status()).To(And(HaveField("Known", uint64(2)), HaveField("InForce", uint64(1)), HaveField("LagSeconds", BeNumerically(">", 1))))
	})
})

// hashOf returns the body hash of setOf(n).
func hashOf(n int) string {
	body, _ := config.Canonical(setOf(n))
	return config.HashBody(body)
}
