package deferred_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
)

// ginkgoInterrupts is a goroutine of ginkgo that outlives the specs.
const ginkgoInterrupts = "github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"

func TestDeferred(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deferred")
	goleak.VerifyNone(t, goleak.IgnoreAnyFunction(ginkgoInterrupts))
}

// objects is an object store in memory.
type objects struct {
	mu     sync.Mutex
	values map[string][]byte
	fail   func() bool
}

type storeDownError struct{}

func (storeDownError) Error() string { return "injected outage" }

func (o *objects) try() error {
	if o.fail != nil && o.fail() {
		return storeDownError{}
	}
	return nil
}

func (o *objects) Put(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.try(); err != nil {
		return err
	}
	o.values[key] = slices.Clone(value)
	return nil
}

func (o *objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.try(); err != nil {
		return nil, err
	}
	value, ok := o.values[key]
	if !ok {
		return nil, fmt.Errorf("object %s not found", key)
	}
	return value, nil
}

func (o *objects) Delete(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.values, key)
	return nil
}

func (o *objects) setFail(fail func() bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fail = fail
}

// ranges is what one daemon believes it holds.
type ranges struct {
	mu     sync.Mutex
	holds  bool
	number uint64
}

func (r *ranges) Holds(int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds
}

func (r *ranges) FencingNumber(int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.number
}

// chat generates expected answers; gate, if set, is asked before each token.
type chat struct {
	mu        sync.Mutex
	generated map[string]int
	gate      func(ctx context.Context, id string, offset int) error
}

func (c *chat) Resume(ctx context.Context, req *api.ChatRequest, tokens []string, sink api.EventSink) error {
	want := standin.ExpectedTokens(req.Model, req.Messages, req.MaxTokens)
	if !slices.Equal(want[:len(tokens)], tokens) {
		return api.NewNotRunProblem(api.ProblemBadRequest, 400, "wrong tokens to resume from")
	}
	for offset := len(tokens); offset < len(want); offset++ {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if c.gate != nil {
			if err := c.gate(ctx, req.ID, offset); err != nil {
				return err
			}
		}
		if err := sink.Send(api.TokenEvent{Offset: offset, Text: want[offset]}); err != nil {
			return err
		}
		c.mu.Lock()
		c.generated[req.ID]++
		c.mu.Unlock()
	}
	return sink.Send(api.TokenEvent{Offset: len(want), FinishReason: "stop"})
}

// world is the stores and the daemons that share them.
type world struct {
	table   *memtable.Store
	objects *objects
	number  uint64
	drivers []*deferred.Driver
	ranges  []*ranges
}

func newWorld() *world {
	return &world{table: memtable.New(), objects: &objects{values: make(map[string][]byte)}}
}

// daemon starts a daemon that holds all ranges under the next number.
func (w *world) daemon(c deferred.ChatResumer, change func(*deferred.Options)) *deferred.Driver {
	w.number++
	held := &ranges{holds: true, number: w.number}
	options := deferred.Options{
		Table: w.table, Objects: w.objects, Ranges: held, Chat: c,
		SaveInterval: time.Nanosecond, PollInterval: 2 * time.Millisecond, RetryBaseDelay: time.Millisecond,
		RetryMaxDelay: 4 * time.Millisecond, WritesPerSecond: 1e6, WriteBurst: 100, StoreTimeout: time.Second,
	}
	if change != nil {
		change(&options)
	}
	d := deferred.NewDriver(options)
	w.drivers, w.ranges = append(w.drivers, d), append(w.ranges, held)
	return d
}

func (w *world) close() {
	for _, d := range w.drivers {
		_ = d.Close()
	}
}

// rows counts the rows with a prefix.
func (w *world) rows(prefix string) int {
	n := 0
	for r := range deferred.RangeCount {
		items, err := w.table.Query(context.Background(), fmt.Sprintf("deferred/%02d", r), "", 1000)
		if err != nil {
			return -1
		}
		for _, item := range items {
			if strings.HasPrefix(item.Key.Sort, prefix) {
				n++
			}
		}
	}
	return n
}

func brief(id string) *api.ChatRequest {
	return &api.ChatRequest{
		Request: api.Request{ID: id, ClientAccount: "ganda"}, Model: "styling", MaxTokens: 24,
		Messages: []api.Message{{Role: "user", Content: "lookbook brief " + id}},
	}
}

func wantText(req *api.ChatRequest) string {
	return standin.ExpectedText(req.Model, req.Messages, req.MaxTokens)
}

func wantTokens(req *api.ChatRequest) []string {
	return standin.ExpectedTokens(req.Model, req.Messages, req.MaxTokens)
}

func answerOf(d *deferred.Driver, req *api.ChatRequest) func() string {
	return func() string {
		status, err := d.Get(context.Background(), req.ClientAccount, req.ID)
		if err != nil || !status.Done {
			return ""
		}
		return status.Text()
	}
}

func newChat() *chat { return &chat{generated: make(map[string]int)} }

// blockAt holds a chat at an offset until its context ends.
func blockAt(at int, reached chan<- struct{}) func(context.Context, string, int) error {
	var once sync.Once
	return func(ctx context.Context, _ string, offset int) error {
		if offset < at {
			return nil
		}
		once.Do(func() { close(reached) })
		<-ctx.Done()
		return ctx.Err()
	}
}

var _ = Describe("a deferred request", func() {
	var w *world
	BeforeEach(func() {
		w = newWorld()
		DeferCleanup(func() { w.close() })
	})

	// Guards against an accepted request without an answer.
	It("is answered and its answer is kept for its retention", func() {
		d := w.daemon(newChat(), func(o *deferred.Options) {
			o.Retention, o.SweepInterval = 150*time.Millisecond, time.Millisecond
		})
		req := brief("r1")
		Expect(d.Accept(context.Background(), req)).To(Succeed())
		Eventually(answerOf(d, req)).Should(Equal(wantText(req)))
		Eventually(func() int { return w.rows("done/") }).Should(BeZero())
		_, err := d.Get(context.Background(), req.ClientAccount, req.ID)
		Expect(err).To(BeAssignableToTypeOf(&deferred.NotFoundError{}))
	})

	// Guards against an answer that another account can read.
	It("is not found by another account", func() {
		d := w.daemon(newChat(), nil)
		Expect(d.Accept(context.Background(), brief("r1"))).To(Succeed())
		_, err := d.Get(context.Background(), "kodiclub", "r1")
		Expect(err).To(BeAssignableToTypeOf(&deferred.NotFoundError{}))
	})

	// Guards against a 202 for a request that exists nowhere but in memory.
	It("is refused when it cannot be stored", func() {
		d := w.daemon(newChat(), nil)
		w.objects.setFail(func() bool { return true })
		Expect(d.Accept(context.Background(), brief("r1"))).To(HaveField("Outcome", api.OutcomeNotRun))
		w.objects.setFail(nil)
		w.table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		Expect(d.Accept(context.Background(), brief("r2"))).To(HaveField("Name", api.ProblemStoreUnavailable))
		w.table.SetFault(nil)
		Expect(w.rows("open/")).To(BeZero())
	})

	// Guards against both wrong reports after a lost answer of the table.
	It("is settled by reading back after a lost answer", func() {
		d := w.daemon(newChat(), func(o *deferred.Options) { o.PollInterval = time.Hour })
		once := true
		w.table.SetFault(func(op memtable.Operation) memtable.Fault {
			if op == memtable.OperationTransact && once {
				once = false
				return memtable.FaultAnswerLost
			}
			return memtable.FaultNone
		})
		req := brief("r1")
		Expect(d.Accept(context.Background(), req)).To(Succeed())
		Eventually(answerOf(d, req)).Should(Equal(wantText(req)))
	})

	// Guards against work that starts from nothing after a death.
	It("goes on from the last saved partial answer on another daemon", func() {
		reached := make(chan struct{})
		first := newChat()
		first.gate = blockAt(10, reached)
		d := w.daemon(first, nil)
		req := brief("r1")
		Expect(d.Accept(context.Background(), req)).To(Succeed())
		Eventually(reached).Should(BeClosed())
		Eventually(func() int {
			status, err := d.Get(context.Background(), req.ClientAccount, req.ID)
			if err != nil {
				return -1
			}
			return status.SavedTokens
		}).Should(BeNumerically(">=", 9))
		Expect(d.Close()).To(Succeed())
		second := newChat()
		next := w.daemon(second, nil)
		Eventually(answerOf(next, req)).Should(Equal(wantText(req)))
		Expect(second.generated[req.ID]).To(BeNumerically("<=", 24-9))
	})

	// Guards against tokens lost by a planned stop (I6).
	It("loses no token on a drain", func() {
		reached := make(chan struct{})
		first := newChat()
		first.gate = blockAt(7, reached)
		d := w.daemon(first, func(o *deferred.Options) { o.SaveInterval = time.Hour })
		req := brief("r1")
		Expect(d.Accept(context.Background(), req)).To(Succeed())
		Eventually(reached).Should(BeClosed())
		Expect(d.Drain(context.Background())).To(Succeed())
		second := newChat()
		next := w.daemon(second, nil)
		Eventually(answerOf(next, req)).Should(Equal(wantText(req)))
		Expect(first.generated[req.ID] + second.generated[req.ID]).To(Equal(
			len(standin.ExpectedTokens(req.Model, req.Messages, req.MaxTokens))))
	})

	// Guards against bookings that are starved by deferred work: the rows
	// written stay within the share.
	It("keeps to its share of the table's writes", func() {
		d := w.daemon(newChat(), func(o *deferred.Options) {
			o.WritesPerSecond, o.WriteBurst, o.PollInterval = 1, 10, time.Hour
		})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() { _ = d.Accept(ctx, brief(fmt.Sprintf("r%d", i))) })
		}
		wg.Wait()
		Expect(w.table.Stats().RowsWritten).To(BeNumerically("<=", 11))
	})
})
