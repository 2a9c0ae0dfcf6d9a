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

// setOf returns a set that differs for every n.
func setOf(n int) *config.Set {
	return &config.Set{Models: []config.Model{{Name: "m", ContextTokens: n + 1, WeightsBytes: 1}}}
}

// rig is a platform with a publisher and two daemons on one fake clock.
type rig struct {
	table     *memtable.Store
	objects   *memstore.Store
	hooks     *hookedTable
	clock     *clocktesting.FakeClock
	publisher *Publisher
	reporter  *invariant.Reporter
	peers     []*localPeers
	// mu guards daemons, which a restart changes while peers talk.
	mu      sync.Mutex
	daemons []*Follower
}

// hookedTable calls functions before and after each transaction.
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

// localPeers connects one daemon with the others in the process.
type localPeers struct {
	rig  *rig
	self int
	cut  atomic.Bool
}

func (p *localPeers) others() []*Follower {
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	var others []*Follower
	for i, d := range p.rig.daemons {
		if i != p.self && !p.cut.Load() && !p.rig.peers[i].cut.Load() {
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

func newRig() *rig {
	r := &rig{table: memtable.New(), objects: memstore.New(), reporter: &invariant.Reporter{},
		clock: clocktesting.NewFakeClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))}
	r.hooks = &hookedTable{Store: r.table}
	r.publisher = NewPublisher(PublisherOptions{Table: r.hooks, Objects: r.objects, RetryWait: time.Microsecond,
		OnPublished: func(rec Record) { r.daemons[0].HandleAnnouncement(rec.Revision, rec.BodyHash) }})
	r.daemons, r.peers = make([]*Follower, 2), []*localPeers{{rig: r, self: 0}, {rig: r, self: 1}}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range r.peers {
		r.daemons[i] = r.follower(p)
	}
	return r
}

func (r *rig) follower(peers Peers) *Follower {
	return NewFollower(FollowerOptions{Table: r.table, Objects: r.objects, Peers: peers, Clock: r.clock, Reporter: r.reporter})
}

func (r *rig) restart(i int) {
	r.daemons[i].Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons[i] = r.follower(r.peers[i])
}

func (r *rig) close() {
	for _, d := range r.daemons {
		d.Close()
	}
}

// advance lets time pass in steps that no daemon takes for a pause.
func (r *rig) advance(g Gomega, d time.Duration) {
	const step = time.Second
	for ; d > 0; d -= step {
		r.clock.Step(step)
		now := r.clock.Now()
		for _, f := range r.daemons {
			g.Eventually(func() time.Time { return f.view.Load().at }).WithPolling(time.Millisecond).WithTimeout(5 * time.Second).Should(Equal(now))
		}
	}
}

// inForce waits until a daemon serves a revision, while the clock stands still.
func inForce(g Gomega, f *Follower, want uint64) {
	g.Eventually(func() uint64 {
		snapshot, err := f.Current()
		if err != nil {
			return 0
		}
		return snapshot.Revision
	}).WithPolling(time.Millisecond).WithTimeout(5 * time.Second).Should(Equal(want))
}

func (r *rig) publish(n int, against uint64) (Record, error) {
	return r.publisher.Publish(context.Background(), Request{Set: setOf(n), BaseRevision: against, Publisher: fmt.Sprint("operator-", n)})
}

// Guards against goroutines that outlive a Follower.
func TestFollowerStopsItsGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := newRig()
	if _, err := r.publish(1, 0); err != nil {
		t.Fatal(err)
	}
	r.close()
}

var _ = Describe("Publisher", func() {
	var r *rig
	ctx := context.Background()
	BeforeEach(func() { r = newRig(); DeferCleanup(r.close) })

	It("publishes, lists and returns revisions", func() {
		for n := range 3 {
			_, err := r.publish(n, uint64(n))
			Expect(err).NotTo(HaveOccurred())
		}
		history, err := r.publisher.History(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect([]uint64{history[0].Revision, history[1].Revision}).To(Equal([]uint64{3, 2}))
		record, body, err := r.publisher.Get(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		set, err := config.DecodeBody(body, record.BodyHash)
		Expect(err).NotTo(HaveOccurred())
		Expect(set).To(Equal(setOf(0)))
		_, _, err = r.publisher.Get(ctx, 9)
		Expect(err).To(MatchError(&UnknownRevisionError{Revision: 9}))
	})

	// Guards against a publish that is checked against one revision and
	// replaces another.
	It("names the winner to the publisher that comes second", func() {
		r.hooks.before = func() { _, _ = r.publish(7, 0) }
		_, err := r.publish(1, 0)
		var conflict *ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		conflict = err.(*ConflictError)
		Expect(conflict.Winner.Publisher).To(Equal("operator-7"))
		_, err = r.publish(2, 0)
		Expect(err.(*ConflictError).Winner.Publisher).To(Equal("operator-7"))
		_, err = r.publish(2, 5)
		Expect(err.(*ConflictError).Winner.Revision).To(Equal(uint64(1)))
	})

	It("refuses a set that does not pass the check", func() {
		_, err := r.publisher.Publish(ctx, Request{Set: &config.Set{Models: []config.Model{{}}}})
		Expect(err).To(BeAssignableToTypeOf(&config.InvalidError{}))
	})

	// Guards against a second revision when a caller that lost the answer sends
	// its publish again.
	It("answers a repeated publish ID with its revision", func() {
		req := Request{Set: setOf(1), PublishID: "id-1"}
		first, err := r.publisher.Publish(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		_, _ = r.publish(2, 1)
		Expect(r.publisher.Publish(ctx, req)).To(Equal(first))
	})

	It("says so when a lost answer cannot be settled", func() {
		r.table.SetFault(func(op memtable.Operation) memtable.Fault {
			if op == memtable.OperationTransact {
				return memtable.FaultRequestLost
			}
			return memtable.FaultNone
		})
		_, err := r.publish(1, 0)
		Expect(err).To(BeAssignableToTypeOf(&UndeterminedError{}))
	})
})

var _ = Describe("Follower", func() {
	var r *rig
	BeforeEach(func() { r = newRig(); DeferCleanup(r.close) })

	It("serves a publish at every daemon without waiting for a poll", func() {
		_, err := r.daemons[0].Current()
		Expect(err).To(BeAssignableToTypeOf(&revision.NotConfirmedError{}))
		_, err = r.publish(1, 0)
		Expect(err).NotTo(HaveOccurred())
		inForce(Default, r.daemons[0], 1)
		inForce(Default, r.daemons[1], 1)
	})

	It("learns of a publish from the table within 4 s when peers are cut off", func() {
		r.peers[0].cut.Store(true)
		r.publisher.o.OnPublished = nil
		_, _ = r.publish(1, 0)
		r.advance(Default, 2*time.Second)
		inForce(Default, r.daemons[0], 1)
		inForce(Default, r.daemons[1], 1)
	})

	// Guards against a daemon that never confirms because it is not its turn to
	// poll, and against one that polls out of turn.
	It("polls in its turn only, except until it has confirmed", func() {
		_, _ = r.publish(1, 0)
		d := NewFollower(FollowerOptions{Table: r.table, Objects: r.objects, Clock: r.clock, ShouldPoll: func() bool { return false }})
		DeferCleanup(d.Close)
		inForce(Default, d, 1)
		_, _ = r.publish(2, 1)
		for range 8 {
			r.clock.Step(500 * time.Millisecond)
			Eventually(func() time.Time { return d.view.Load().at }).Should(Equal(r.clock.Now()))
		}
		inForce(Default, d, 1)
		d.HandleAnnouncement(2, hashOf(2))
		inForce(Default, d, 2)
	})

	// Guards against work under an unconfirmed revision after a pause, and
	// against a start in an outage that never ends.
	It("confirms through its peer after a pause and a restart in an outage", func() {
		_, _ = r.publish(1, 0)
		inForce(Default, r.daemons[0], 1)
		inForce(Default, r.daemons[1], 1)
		r.table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		r.objects.SetFault(func(memstore.Operation) memstore.Fault { return memstore.FaultUnavailable })
		r.restart(1)
		r.advance(Default, time.Second)
		inForce(Default, r.daemons[1], 1)
		r.clock.Step(10 * time.Second)
		_, err := r.daemons[0].Current()
		Expect(err).To(BeAssignableToTypeOf(&revision.NotConfirmedError{}))
		r.advance(Default, 3*time.Second)
		_, err = r.daemons[0].Current()
		Expect(err).To(HaveOccurred(), "both daemons were paused, so neither can confirm the other")
		r.table.SetFault(nil)
		r.advance(Default, 2*time.Second)
		inForce(Default, r.daemons[0], 1)
	})

	It("calls subscribers with the newest configuration", func() {
		var seen atomic.Uint64
		r.daemons[1].Subscribe(func(s *config.Snapshot) { seen.Store(s.Revision) })
		_, _ = r.publish(1, 0)
		_, _ = r.publish(2, 1)
		Eventually(seen.Load).Should(Equal(uint64(2)))
		Expect(r.daemons[1].Status()).To(HaveField("InForce", uint64(2)))
	})

	It("does not put a damaged body in force", func() {
		_, _ = r.publish(1, 0)
		inForce(Default, r.daemons[1], 1)
		r.hooks.before = func() { _ = r.objects.Put(context.Background(), bodyKey(hashOf(2)), []byte("{}")) }
		_, _ = r.publish(2, 1)
		Eventually(r.daemons[1].Status).Should(HaveField("Known", uint64(2)))
		r.advance(Default, 2*time.Second)
		Expect(r.daemons[1].Status()).To(And(HaveField("Known", uint64(2)), HaveField("InForce", uint64(1)), HaveField("LagSeconds", BeNumerically(">", 1))))
	})
})

func hashOf(n int) string {
	body, _ := config.Canonical(setOf(n))
	return config.HashBody(body)
}
