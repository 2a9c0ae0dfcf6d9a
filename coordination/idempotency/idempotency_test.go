package idempotency_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

func TestIdempotency(t *testing.T) {
	defer goleak.VerifyNone(t,
		goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "once-only records")
}

func submitWrites(id uint64, class idempotency.Class, rows ...string) idempotency.Submit {
	c := idempotency.Commit{ID: id, Class: class}
	for _, row := range rows {
		c.Writes = append(c.Writes, table.Write{Key: table.Key{Partition: "p", Sort: row}, Value: []byte{1}})
	}
	return idempotency.Submit{Commit: c}
}

var _ = Describe("Batcher", func() {
	var (
		batcher *idempotency.Batcher
		now     time.Time
	)
	BeforeEach(func() { batcher = idempotency.NewBatcher(idempotency.BatchOptions{MaxInFlight: 1}) })
	// transactions returns the transactions among the actions of events.
	transactions := func(events ...idempotency.BatchEvent) []idempotency.Transact {
		var found []idempotency.Transact
		for _, event := range events {
			for _, action := range batcher.Handle(now, event) {
				if t, ok := action.(idempotency.Transact); ok {
					found = append(found, t)
				}
			}
		}
		return found
	}
	fill := func(class idempotency.Class, first, n int) {
		for i := first; i < first+n; i++ {
			transactions(submitWrites(uint64(i), class, fmt.Sprint(class, "-", i)))
		}
	}

	// Guards against a transaction of its own for each once-only call.
	It("puts commits that wait at the same time into one transaction of at most 100 writes", func() {
		first := transactions(submitWrites(1, idempotency.ClassOnceOnly, "first"))
		Expect(first).To(HaveLen(1))
		fill(idempotency.ClassOnceOnly, 10, 130)
		next := transactions(idempotency.Transacted{Batch: first[0].Batch})
		Expect(next[0].Writes).To(HaveLen(100))
		next = transactions(idempotency.Transacted{Batch: next[0].Batch})
		Expect(next[0].Writes).To(HaveLen(30))
	})

	// Guards against one class starving while the other is busy.
	DescribeTable("gives each class its share",
		func(onceOnly, deferred, wantOnceOnly, wantDeferred int) {
			first := transactions(submitWrites(1, idempotency.ClassOnceOnly, "first"))
			fill(idempotency.ClassOnceOnly, 1000, onceOnly)
			fill(idempotency.ClassDeferred, 2000, deferred)
			next := transactions(idempotency.Transacted{Batch: first[0].Batch})
			counts := map[string]int{}
			for _, w := range next[0].Writes {
				counts[w.Key.Sort[:1]]++
			}
			Expect(counts["0"]).To(Equal(wantOnceOnly))
			Expect(counts["1"]).To(Equal(wantDeferred))
		},
		Entry("both busy", 500, 500, 80, 20),
		Entry("few once-only calls", 5, 500, 5, 95),
		Entry("little deferred work", 500, 3, 97, 3),
	)

	// Guards against one caller's conflict failing the calls of others.
	It("fails only the commit whose condition failed", func() {
		first := transactions(submitWrites(1, idempotency.ClassOnceOnly, "first"))
		transactions(submitWrites(2, idempotency.ClassOnceOnly, "a"), submitWrites(3, idempotency.ClassOnceOnly, "b", "c"), submitWrites(4, idempotency.ClassOnceOnly, "d"))
		next := transactions(idempotency.Transacted{Batch: first[0].Batch})
		Expect(next[0].Writes).To(HaveLen(4))
		actions := batcher.Handle(now, idempotency.Transacted{Batch: next[0].Batch, Err: &table.ConditionFailedError{Indexes: []int{2}}})
		Expect(actions).To(HaveLen(2))
		Expect(actions[0]).To(Equal(idempotency.Read{Commit: 3, Key: table.Key{Partition: "p", Sort: "b"}}))
		Expect(actions[1].(idempotency.Transact).Writes).To(HaveLen(2))
	})

	It("never writes a row twice in one transaction", func() {
		first := transactions(submitWrites(1, idempotency.ClassOnceOnly, "first"))
		transactions(submitWrites(2, idempotency.ClassOnceOnly, "a"), submitWrites(3, idempotency.ClassOnceOnly, "a"))
		next := transactions(idempotency.Transacted{Batch: first[0].Batch})
		Expect(table.Validate(next[0].Writes)).To(Succeed())
		Expect(next[0].Writes).To(HaveLen(1))
	})

	// Guards against unbounded memory growth while the table is slow.
	It("rejects commits when its queue is full", func() {
		batcher = idempotency.NewBatcher(idempotency.BatchOptions{MaxInFlight: 1, MaxQueued: 1})
		transactions(submitWrites(1, idempotency.ClassOnceOnly, "a"), submitWrites(2, idempotency.ClassOnceOnly, "b"))
		actions := batcher.Handle(now, submitWrites(3, idempotency.ClassOnceOnly, "c"))
		Expect(actions).To(Equal([]idempotency.BatchAction{
			idempotency.Finish{Commit: 3, Result: idempotency.Result{Status: idempotency.StatusQueueFull}},
		}))
	})
})

var _ = Describe("Committer", func() {
	It("commits concurrent claims and stops on Close", func() {
		store := memtable.New()
		committer := idempotency.NewCommitter(idempotency.CommitterOptions{Store: store})
		var group sync.WaitGroup
		for i := range 500 {
			group.Go(func() {
				defer GinkgoRecover()
				id := idempotency.ID{Account: "a", Key: fmt.Sprint(i)}
				result, err := committer.Commit(idempotency.ClassOnceOnly, idempotency.ClaimWrites(id, 0, &idempotency.Record{}))
				Expect(err).NotTo(HaveOccurred())
				Expect(result.Status).To(Equal(idempotency.StatusApplied))
			})
		}
		group.Wait()
		committer.Close()
		_, err := committer.Commit(idempotency.ClassOnceOnly, nil)
		Expect(err).To(MatchError(&idempotency.ClosedError{}))
		Expect(store.Stats().RowsWritten).To(Equal(uint64(1000)))
	})
})

var _ = Describe("ID", func() {
	// Guards against two accounts that share a record.
	It("has different row keys for different accounts and keys", func() {
		one := idempotency.ID{Account: "a/b", Key: "c"}
		two := idempotency.ID{Account: "a", Key: "b/c"}
		Expect(one.RowKey()).NotTo(Equal(two.RowKey()))
		parsed, err := idempotency.ParseOpenKey(one.OpenKey())
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(Equal(one))
	})
})

// slowStore delays transactions by storeLatency, which is typical of a table
// service.
type slowStore struct{ *memtable.Store }

const storeLatency = 5 * time.Millisecond

func (s slowStore) Transact(ctx context.Context, writes []table.Write) error {
	time.Sleep(storeLatency)
	return s.Store.Transact(ctx, writes)
}

// BenchmarkClaims measures claims through group commit against a table that
// answers after 5 ms, with 1, 40 and 400 concurrent callers.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 40, 400} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			store := slowStore{memtable.New()}
			committer := idempotency.NewCommitter(idempotency.CommitterOptions{Store: store})
			defer committer.Close()
			next := make(chan int)
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for i := range next {
						id := idempotency.ID{Account: "a", Key: fmt.Sprint(i)}
						_, _ = committer.Commit(idempotency.ClassOnceOnly, idempotency.ClaimWrites(id, 0, &idempotency.Record{}))
					}
				})
			}
			for i := range b.N {
				next <- i
			}
			close(next)
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(b.N)/float64(store.Stats().Transactions), "claims/transaction")
		})
	}
}

// BenchmarkBatcher measures the cost of one claim in the Batcher when
// transactions are full.
func BenchmarkBatcher(b *testing.B) {
	b.ReportAllocs()
	batcher := idempotency.NewBatcher(idempotency.BatchOptions{MaxInFlight: 1})
	var running uint64
	for i := range b.N {
		id := idempotency.ID{Account: "a", Key: fmt.Sprint(i)}
		writes := idempotency.ClaimWrites(id, 0, &idempotency.Record{})
		event := idempotency.Submit{Commit: idempotency.Commit{ID: uint64(i), Writes: writes}}
		for _, action := range batcher.Handle(time.Time{}, event) {
			if t, ok := action.(idempotency.Transact); ok {
				running = t.Batch
			}
		}
		if i%50 == 0 {
			for _, action := range batcher.Handle(time.Time{}, idempotency.Transacted{Batch: running}) {
				if t, ok := action.(idempotency.Transact); ok {
					running = t.Batch
				}
			}
		}
	}
}
