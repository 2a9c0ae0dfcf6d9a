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

// objects is an in-memory object store. Put and Get fail while fail returns true.
type objects struct {
	mu     sync.Mutex
	values map[string][]byte
	fail   func() bool
}

type storeUnavailableError struct{}

func (storeUnavailableError) Error() string { return "injected outage" }

func (o *objects) injectedError() error {
	if o.fail != nil && o.fail() {
		return storeUnavailableError{}
	}
	return nil
}

func (o *objects) Put(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.injectedError(); err != nil {
		return err
	}
	o.values[key] = slices.Clone(value)
	return nil
}

func (o *objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.injectedError(); err != nil {
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

// ranges is one daemon's view of its leases: it holds all ranges or none.
type ranges struct {
	mu            sync.Mutex
	holds         bool
	fencingNumber uint64
}

func (r *ranges) Holds(int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds
}

func (r *ranges) FencingNumber(int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fencingNumber
}

// chat generates the expected answers and counts the generated tokens by request.
// beforeToken, if set, is called before each token; its error ends the chat.
type chat struct {
	mu          sync.Mutex
	generated   map[string]int
	beforeToken func(ctx context.Context, id string, offset int) error
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
		if c.beforeToken != nil {
			if err := c.beforeToken(ctx, req.ID, offset); err != nil {
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

// testCluster holds the stores and the daemons that share them.
type testCluster struct {
	table         *memtable.Store
	objects       *objects
	fencingNumber uint64
	drivers       []*deferred.Driver
	ranges        []*ranges
}

func newTestCluster() *testCluster {
	return &testCluster{table: memtable.New(), objects: &objects{values: make(map[string][]byte)}}
}

// startDaemon starts a daemon that holds all ranges with the next fencing number.
func (tc *testCluster) startDaemon(c deferred.ChatResumer, change func(*deferred.Options)) *deferred.Driver {
	tc.fencingNumber++
	held := &ranges{holds: true, fencingNumber: tc.fencingNumber}
	options := deferred.Options{
		Table: tc.table, Objects: tc.objects, Ranges: held, Chat: c,
		SaveInterval: time.Nanosecond, PollInterval: 2 * time.Millisecond, RetryBaseDelay: time.Millisecond,
		RetryMaxDelay: 4 * time.Millisecond, WritesPerSecond: 1e6, WriteBurst: 100, StoreTimeout: time.Second,
	}
	if change != nil {
		change(&options)
	}
	d := deferred.NewDriver(options)
	tc.drivers, tc.ranges = append(tc.drivers, d), append(tc.ranges, held)
	return d
}

func (tc *testCluster) close() {
	for _, d := range tc.drivers {
		_ = d.Close()
	}
}

// rows returns the number of rows whose sort key has a prefix, or -1 on an error.
func (tc *testCluster) rows(prefix string) int {
	n := 0
	for r := range deferred.RangeCount {
		items, err := tc.table.Query(context.Background(), fmt.Sprintf("deferred/%02d", r), "", 1000)
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

func testRequest(id string) *api.ChatRequest {
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

// answerOf returns a function that returns the final answer, or "" while there is
// none.
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

// blockAt blocks a chat at an offset until the chat's context ends, and closes
// reached.
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
	var cluster *testCluster
	BeforeEach(func() {
		cluster = newTestCluster()
		DeferCleanup(func() { cluster.close() })
	})

	// Guards against accepted requests that get no answer, and against answers kept
	// beyond their retention.
	It("is answered and its answer is kept for its retention", func() {
		d := cluster.startDaemon(newChat(), func(o *deferred.Options) {
			o.Retention, o.SweepInterval = 150*time.Millisecond, time.Millisecond
		})
		req := testRequest("r1")
		Expect(d.Accept(context.Background(), req)).To(Succeed())
		Eventually(answerOf(d, req)).Should(Equal(wantText(req)))
		Eventually(func() int { return cluster.rows("done/") }).Should(BeZero())
		_, err := d.Get(context.Background(), req.ClientAccount, req.ID)
		Expect(err).To(BeAssignableToTypeOf(&deferred.NotFoundError{}))
	})

	// Guards against an answer that another account can read.
	It("is not found by another account", func() {
		d := cluster.startDaemon(newChat(), nil)
		Expect(d.Accept(context.Background(), testRequest("r1"))).To(Succeed())
		_, err := d.Get(context.Background(), "kodiclub", "r1")
		Expect(err).To(BeAssignableToTypeOf(&deferred.NotFoundError{}))
	})

	// Guards against a 202 response for a request that is not stored durably.
	It("is refused when it cannot be stored", func() {
		d := cluster.startDaemon(newChat(), nil)
		cluster.objects.setFail(func() bool { return true })
		Expect(d.Accept(context.Background(), testRequest("r1"))).To(HaveField("Outcome", api.OutcomeNotRun))
		cluster.objects.setFail(nil)
		cluster.table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		Expect(d.Accept(context.Background(), testRequest("r2"))).To(HaveField("Name", api.ProblemStoreUnavailable))
		cluster.table.SetFault(nil)
		Expect(cluster.rows("open/")).To(BeZero())
	})

	// Guards against reporting a wrong outcome, success or failure, when the table's
	// response to the insert is lost.
	It("is accepted after reading back the row when the table's response is lost", func() {
		d := cluster.startDaemon(newChat(), func(o *deferred.Options) { o.PollInterval = time.Hour })
		once := true
		cluster.table.SetFault(func(op memtable.Operation) memtable.Fault {
			if op == memtable.OperationTransact && once {
				once = false
				return memtable.FaultAnswerLost
			}
			return memtable.FaultNone
		})
		req := testRequest("r1")
		Expect(d.Accept(context.Background(), req)).To(Succeed())
		Eventually(answerOf(d, req)).Should(Equal(wantText(req)))
	})

	// Guards against generating the whole answer again after a daemon failure.
	It("resumes from the last saved partial answer on another daemon", func() {
		reached := make(chan struct{})
		first := newChat()
		first.beforeToken = blockAt(10, reached)
		d := cluster.startDaemon(first, nil)
		req := testRequest("r1")
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
		next := cluster.startDaemon(second, nil)
		Eventually(answerOf(next, req)).Should(Equal(wantText(req)))
		Expect(second.generated[req.ID]).To(BeNumerically("<=", 24-9))
	})

	// Guards against tokens lost in a planned shutdown (invariant I6).
	It("loses no token on a drain", func() {
		reached := make(chan struct{})
		first := newChat()
		first.beforeToken = blockAt(7, reached)
		d := cluster.startDaemon(first, func(o *deferred.Options) { o.SaveInterval = time.Hour })
		req := testRequest("r1")
		Expect(d.Accept(context.Background(), req)).To(Succeed())
		Eventually(reached).Should(BeClosed())
		Expect(d.Drain(context.Background())).To(Succeed())
		second := newChat()
		next := cluster.startDaemon(second, nil)
		Eventually(answerOf(next, req)).Should(Equal(wantText(req)))
		Expect(first.generated[req.ID] + second.generated[req.ID]).To(Equal(
			len(standin.ExpectedTokens(req.Model, req.Messages, req.MaxTokens))))
	})

	// Guards against deferred requests that starve bookings: the rows written stay
	// within the rate limit.
	It("keeps to the rate limit of table writes", func() {
		d := cluster.startDaemon(newChat(), func(o *deferred.Options) {
			o.WritesPerSecond, o.WriteBurst, o.PollInterval = 1, 10, time.Hour
		})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() { _ = d.Accept(ctx, testRequest(fmt.Sprintf("r%d", i))) })
		}
		wg.Wait()
		Expect(cluster.table.Stats().RowsWritten).To(BeNumerically("<=", 11))
	})
})
