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

// workload is what the callers of one operator send.
type workload struct {
	model string
	// deferredModel is asked by requests that may wait; empty for none.
	deferredModel string
	service       string
	check         string
	bookings      []string
	accounts      []string
	// prompts are the beginnings that chats share.
	prompts []string
}

// Rates of the traffic, per second for one operator. They keep both operators'
// stand-ins busy on one machine without filling them.
const (
	chatsPerSecond    = 12
	checksPerSecond   = 20
	bookingsPerSecond = 12
	deferredPerSecond = 1

	chatTokens     = 48
	deferredTokens = 160

	chatPatience    = 20 * time.Second
	bookingPatience = 8 * time.Second
	// answerMargin is how much earlier than a caller's patience the answer is
	// asked for.
	answerMargin = time.Second
	deferredPoll = 200 * time.Millisecond
	// resendShare of the bookings are sent twice at the same time, to two
	// daemons, with one key.
	resendShare = 0.15
)

// chatRecord and bookingRecord are what the judge compares with the ledgers.
type chatRecord struct {
	result   *chatResult
	expected string
}

type bookingRecord struct {
	key string
	// outcomes are what the caller was told by each sending: done, not_run,
	// unknown, or empty for no answer.
	outcomes []string
	answers  []string
}

type deferredRecord struct {
	id       string
	expected string
	accepted bool
	notRun   bool
	finished bool
	text     string
	problem  *problem
}

// records collects what the callers of one operator were told.
type records struct {
	mu       sync.Mutex
	chats    []chatRecord
	bookings []*bookingRecord
	deferred []*deferredRecord
	checks   map[string]int
	// failures describe checks without an answer.
	failures []string
}

// traffic sends the requests of one operator's callers.
type traffic struct {
	workload  workload
	entrances *entrances
	http      *http.Client
	random    *rand.Rand
	records   records

	sends sync.WaitGroup
}

// run sends requests until ctx ends, then waits for their answers until
// deadline.
func (t *traffic) run(ctx, deadline context.Context) {
	t.records.checks = make(map[string]int)
	var sources sync.WaitGroup
	for _, kind := range []struct {
		rate float64
		send sender
	}{
		{chatsPerSecond, t.sendChat},
		{checksPerSecond, t.sendCheck},
		{bookingsPerSecond, t.sendBooking},
		{deferredPerSecond, t.sendDeferred},
	} {
		random := rand.New(rand.NewPCG(t.random.Uint64(), 0))
		sources.Go(func() { t.source(ctx, deadline, kind.rate, kind.send, random) })
	}
	sources.Wait()
	t.sends.Wait()
}

// sender sends the n-th request of its kind.
type sender func(ctx context.Context, n int, random *rand.Rand)

// source sends at random intervals with a mean rate.
func (t *traffic) source(ctx, deadline context.Context, rate float64, send sender, random *rand.Rand) {
	for n := 0; ; n++ {
		if !sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
			return
		}
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		t.sends.Go(func() { send(deadline, n, own) })
	}
}

func (t *traffic) caller(random *rand.Rand) *caller {
	account := t.workload.accounts[random.IntN(len(t.workload.accounts))]
	return &caller{key: "example-key-" + account, entrances: t.entrances, http: t.http}
}

func (t *traffic) sendChat(ctx context.Context, n int, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, chatPatience)
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

func (t *traffic) sendCheck(ctx context.Context, n int, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, bookingPatience)
	defer cancel()
	path := "/v1/services/" + t.workload.service + "/" + t.workload.check
	r, err := t.caller(random).exchange(ctx, http.MethodPost, path, fmt.Sprintf(`{"slot":%d}`, n), map[string]string{
		"Request-Timeout": timeoutHeader(bookingPatience),
	})
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	t.records.checks[outcomeOf(r, err)]++
	if err != nil {
		t.records.failures = append(t.records.failures, "check got no answer: "+err.Error())
	}
}

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

func (t *traffic) sendBooking(ctx context.Context, n int, random *rand.Rand) {
	call := t.workload.bookings[random.IntN(len(t.workload.bookings))]
	record := &bookingRecord{key: fmt.Sprintf("%s-%d", call, n)}
	from := t.caller(random)
	times := 1
	if random.Float64() < resendShare {
		times = 2
	}
	var sends sync.WaitGroup
	for range times {
		sends.Go(func() { t.book(ctx, from, call, n, record) })
	}
	sends.Wait()
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	t.records.bookings = append(t.records.bookings, record)
}

// book sends a booking once. Callers try once: an answer that did not come is
// not asked for again.
func (t *traffic) book(ctx context.Context, from *caller, call string, n int, record *bookingRecord) {
	ctx, cancel := context.WithTimeout(ctx, bookingPatience)
	defer cancel()
	path := "/v1/services/" + t.workload.service + "/" + call
	body := fmt.Sprintf(`{"object":"%s-%d"}`, call, n)
	r, err := from.exchange(ctx, http.MethodPost, path, body, map[string]string{
		"Idempotency-Key": record.key, "Request-Timeout": timeoutHeader(bookingPatience),
	})
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	record.outcomes = append(record.outcomes, outcomeOf(r, err))
	if err == nil && r.problem == nil {
		record.answers = append(record.answers, string(r.body))
	}
}

// timeoutHeader asks for an answer before a caller's patience ends.
func timeoutHeader(patience time.Duration) string {
	return strconv.FormatFloat((patience - answerMargin).Seconds(), 'f', -1, 64)
}

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
	from := t.caller(random)
	r, err := from.exchange(ctx, http.MethodPost, "/v1/chat/completions", string(body), map[string]string{"Prefer": "respond-async"})
	if err != nil || r.status != http.StatusAccepted {
		record.notRun = err == nil && r.problem != nil && r.problem.Outcome == string(api.OutcomeNotRun)
		return
	}
	record.accepted, record.id = true, r.header.Get("Monsooncrank-Request")
	t.await(ctx, from, r.header.Get("Location"), record)
}

// await polls for the answer of a deferred request.
func (t *traffic) await(ctx context.Context, from *caller, location string, record *deferredRecord) {
	for sleep(ctx, deferredPoll) {
		r, err := from.exchange(ctx, http.MethodGet, location, "", nil)
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
