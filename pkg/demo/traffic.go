package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
)

// workload describes the requests that the callers of one operator send.
type workload struct {
	model string
	// deferredModel is the model of deferred requests; empty if there are none.
	deferredModel string
	service       string
	// check is the name of a read-only service call, bookings are the names of the
	// once-only ones.
	check    string
	bookings []string
	accounts []string
	// prompts are system messages, each shared by many chats.
	prompts []string
}

const (
	// Request rates for one operator. They keep the simulated servers of both
	// operators busy on one machine without saturating them.
	chatsPerSecond    = 12
	checksPerSecond   = 20
	bookingsPerSecond = 12
	deferredPerSecond = 1

	chatTokens     = 48
	deferredTokens = 160

	chatTimeout        = 20 * time.Second
	serviceCallTimeout = 8 * time.Second
	// answerMargin is subtracted from a caller's timeout to get the Request-Timeout
	// that it sends, so that the answer arrives before the caller gives up.
	answerMargin         = time.Second
	deferredPollInterval = 200 * time.Millisecond
	// duplicateShare is the share of bookings that are sent twice at the same time
	// with one idempotency key, each to a random daemon.
	duplicateShare = 0.15
)

// chatRecord is the result of a chat and the text that the engines should answer.
type chatRecord struct {
	result   *chatResult
	expected string
}

// bookingRecord holds the outcomes of all sends of a booking, for comparison with
// the ledger of the booking servers.
type bookingRecord struct {
	key string
	// outcomes holds the outcome of each send: done, not_run, unknown, or empty for
	// no answer.
	outcomes []string
	answers  []string
}

// deferredRecord is the result of a deferred request and its expected text.
type deferredRecord struct {
	id       string
	expected string
	accepted bool
	notRun   bool
	finished bool
	text     string
	problem  *problem
}

// records collects the results that the callers of one operator received.
type records struct {
	mu       sync.Mutex
	chats    []chatRecord
	bookings []*bookingRecord
	deferred []*deferredRecord
	// checkOutcomes counts the checks by outcome.
	checkOutcomes map[string]int
	// checkFailures are descriptions of checks without an answer.
	checkFailures []string
}

// traffic sends the requests of one operator's callers.
type traffic struct {
	workload workload
	balancer *balancer
	http     *http.Client
	random   *rand.Rand
	records  records

	inFlight sync.WaitGroup
}

// run sends requests until sendCtx ends, then waits for their answers until
// answerCtx ends.
func (t *traffic) run(sendCtx, answerCtx context.Context) {
	t.records.checkOutcomes = make(map[string]int)
	var generators sync.WaitGroup
	for _, kind := range []struct {
		rate float64
		send sendFunc
	}{
		{chatsPerSecond, t.sendChat},
		{checksPerSecond, t.sendCheck},
		{bookingsPerSecond, t.sendBooking},
		{deferredPerSecond, t.sendDeferred},
	} {
		random := rand.New(rand.NewPCG(t.random.Uint64(), 0))
		generators.Go(func() { t.generate(sendCtx, answerCtx, kind.rate, kind.send, random) })
	}
	generators.Wait()
	t.inFlight.Wait()
}

// sendFunc sends the n-th request of its kind and records the result.
type sendFunc func(ctx context.Context, n int, random *rand.Rand)

// generate sends requests until sendCtx ends, at exponentially distributed
// intervals with a mean rate per second.
func (t *traffic) generate(sendCtx, answerCtx context.Context, rate float64, send sendFunc, random *rand.Rand) {
	for n := 0; ; n++ {
		if !sleep(sendCtx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
			return
		}
		requestRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		t.inFlight.Go(func() { send(answerCtx, n, requestRandom) })
	}
}

// caller returns a caller with the API key of a random account.
func (t *traffic) caller(random *rand.Rand) *caller {
	account := t.workload.accounts[random.IntN(len(t.workload.accounts))]
	return &caller{apiKey: "example-key-" + account, balancer: t.balancer, http: t.http}
}

// sendChat sends a chat that begins with a shared prompt.
func (t *traffic) sendChat(ctx context.Context, n int, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, chatTimeout)
	defer cancel()
	messages := []api.Message{
		{Role: "system", Content: t.workload.prompts[random.IntN(len(t.workload.prompts))]},
		{Role: "user", Content: fmt.Sprintf("question %d", n)},
	}
	result := t.caller(random).chat(ctx, t.workload.model, messages, chatTokens)
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	t.records.chats = append(t.records.chats, chatRecord{
		result:   result,
		expected: standin.ExpectedText(t.workload.model, messages, chatTokens),
	})
}

// sendCheck sends a read-only service call.
func (t *traffic) sendCheck(ctx context.Context, n int, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, serviceCallTimeout)
	defer cancel()
	path := "/v1/services/" + t.workload.service + "/" + t.workload.check
	r, err := t.caller(random).roundTrip(ctx, http.MethodPost, path, fmt.Sprintf(`{"slot":%d}`, n), map[string]string{
		"Request-Timeout": timeoutHeader(serviceCallTimeout),
	})
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	t.records.checkOutcomes[outcomeOf(r, err)]++
	if err != nil {
		t.records.checkFailures = append(t.records.checkFailures, "check received no answer: "+err.Error())
	}
}

// outcomeOf returns the outcome that a reply reports, or "" without a reply.
func outcomeOf(r *reply, err error) string {
	switch {
	case err != nil:
		return ""
	case r.problem != nil:
		return r.problem.Outcome
	default:
		return string(api.OutcomeDone)
	}
}

// sendBooking sends a once-only booking, some of them twice at the same time.
func (t *traffic) sendBooking(ctx context.Context, n int, random *rand.Rand) {
	call := t.workload.bookings[random.IntN(len(t.workload.bookings))]
	record := &bookingRecord{key: fmt.Sprintf("%s-%d", call, n)}
	client := t.caller(random)
	copies := 1
	if random.Float64() < duplicateShare {
		copies = 2
	}
	var sends sync.WaitGroup
	for range copies {
		sends.Go(func() { t.sendBookingOnce(ctx, client, call, n, record) })
	}
	sends.Wait()
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	t.records.bookings = append(t.records.bookings, record)
}

// sendBookingOnce sends one copy of a booking. Callers do not retry after a missing
// answer.
func (t *traffic) sendBookingOnce(ctx context.Context, client *caller, call string, n int, record *bookingRecord) {
	ctx, cancel := context.WithTimeout(ctx, serviceCallTimeout)
	defer cancel()
	path := "/v1/services/" + t.workload.service + "/" + call
	body := fmt.Sprintf(`{"object":"%s-%d"}`, call, n)
	r, err := client.roundTrip(ctx, http.MethodPost, path, body, map[string]string{
		"Idempotency-Key": record.key, "Request-Timeout": timeoutHeader(serviceCallTimeout),
	})
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	record.outcomes = append(record.outcomes, outcomeOf(r, err))
	if err == nil && r.problem == nil {
		record.answers = append(record.answers, string(r.body))
	}
}

// timeoutHeader returns a Request-Timeout in seconds that ends answerMargin before
// the caller's own timeout.
func timeoutHeader(clientTimeout time.Duration) string {
	return strconv.FormatFloat((clientTimeout - answerMargin).Seconds(), 'f', -1, 64)
}

// sendDeferred sends a deferred request and polls for its answer.
func (t *traffic) sendDeferred(ctx context.Context, n int, random *rand.Rand) {
	if t.workload.deferredModel == "" {
		return
	}
	messages := []api.Message{{Role: "user", Content: fmt.Sprintf("lookbook brief %d", n)}}
	record := &deferredRecord{expected: standin.ExpectedText(t.workload.deferredModel, messages, deferredTokens)}
	t.records.mu.Lock()
	t.records.deferred = append(t.records.deferred, record)
	t.records.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"model": t.workload.deferredModel, "messages": messages, "max_tokens": deferredTokens})
	client := t.caller(random)
	r, err := client.roundTrip(ctx, http.MethodPost, "/v1/chat/completions", string(body), map[string]string{"Prefer": "respond-async"})
	if err != nil || r.status != http.StatusAccepted {
		record.notRun = err == nil && r.problem != nil && r.problem.Outcome == string(api.OutcomeNotRun)
		return
	}
	record.accepted, record.id = true, r.header.Get("Monsooncrank-Request")
	t.pollDeferred(ctx, client, r.header.Get("Location"), record)
}

// pollDeferred polls for the answer of a deferred request until it has finished or
// ctx ends.
func (t *traffic) pollDeferred(ctx context.Context, client *caller, location string, record *deferredRecord) {
	for sleep(ctx, deferredPollInterval) {
		r, err := client.roundTrip(ctx, http.MethodGet, location, "", nil)
		if err != nil || r.status != http.StatusOK {
			continue
		}
		var status struct {
			Finished bool     `json:"finished"`
			Text     string   `json:"text"`
			Problem  *problem `json:"problem"`
		}
		if json.Unmarshal(r.body, &status) == nil && status.Finished {
			record.finished, record.text, record.problem = true, status.Text, status.Problem
			return
		}
	}
}
