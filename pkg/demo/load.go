package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/command"
)

// LoadOptions configure Load.
type LoadOptions struct {
	// Addresses are the daemons' addresses for callers.
	Addresses []string
	Key       string
	Model     string
	// Streams is the number of concurrent streams.
	Streams     int
	MaxTokens   int
	PromptWords int
	Duration    time.Duration
	Seed        uint64
}

// LoadResult holds the throughput, latencies and outcomes that callers measured.
type LoadResult struct {
	Requests                int            `json:"requests"`
	Tokens                  int            `json:"tokens"`
	Outcomes                map[string]int `json:"outcomes"`
	RequestsPerSecond       float64        `json:"requests_per_second"`
	TokensPerSecond         float64        `json:"tokens_per_second"`
	P50FirstTokenSeconds    float64        `json:"p50_first_token_seconds"`
	P95FirstTokenSeconds    float64        `json:"p95_first_token_seconds"`
	P95BetweenTokensSeconds float64        `json:"p95_between_tokens_seconds"`
	MeasuredSeconds         float64        `json:"measured_seconds"`
	// IncompleteOrCrossed counts streams without a complete answer, and streams
	// with events that were malformed or out of order.
	IncompleteOrCrossed int `json:"incomplete_or_crossed"`
}

// RegisterLoad adds the load command to an application.
func RegisterLoad(app *command.App) {
	var o LoadOptions
	c := app.Add("load", "Send streamed chat requests to daemons and report throughput, latencies and outcomes.",
		"monsooncrank load --callers 127.0.0.1:8080 --key example-key-parent-portal --model club-assistant --streams 64")
	c.Flag("callers", "Address of a daemon for callers; may be repeated.").Required().StringsVar(&o.Addresses)
	c.Flag("key", "API key.").Envar("MONSOONCRANK_API_KEY").Required().StringVar(&o.Key)
	c.Flag("model", "Model to request.").Required().StringVar(&o.Model)
	c.Flag("streams", "Number of concurrent streams.").Default("16").IntVar(&o.Streams)
	c.Flag("max-tokens", "Maximum length of an answer in tokens.").Default("64").IntVar(&o.MaxTokens)
	c.Flag("prompt-words", "Length of a prompt in words.").Default("64").IntVar(&o.PromptWords)
	c.Flag("duration", "How long new streams are started.").Default("10s").DurationVar(&o.Duration)
	c.Flag("seed", "Random seed of the prompts.").Default("1").Uint64Var(&o.Seed)
	c.OnRun(func(ctx context.Context) error {
		result, err := Load(ctx, o)
		if err != nil {
			return err
		}
		return app.Print(result, func() { result.write(app.Out) })
	})
}

// LoadOptionsError reports options without streams or without addresses.
type LoadOptionsError struct{}

func (e *LoadOptionsError) Error() string { return "at least one stream and one address are needed" }

// Load keeps Streams concurrent chat streams running against the daemons for
// Duration and measures them until the last one has ended.
func Load(ctx context.Context, o LoadOptions) (*LoadResult, error) {
	if o.Streams < 1 || len(o.Addresses) == 0 {
		return nil, errors.Trace(&LoadOptionsError{})
	}
	sendCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	l := &loadRun{
		options: o, latencies: newLatencies(), result: &LoadResult{Outcomes: make(map[string]int)},
		caller: &caller{
			apiKey:   o.Key,
			balancer: &balancer{random: rand.New(rand.NewPCG(o.Seed, 0)), addresses: o.Addresses},
			http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Streams}},
		},
	}
	started := time.Now()
	var group sync.WaitGroup
	for n := range o.Streams {
		group.Go(func() { l.run(sendCtx, ctx, n) })
	}
	group.Wait()
	l.caller.http.CloseIdleConnections()
	return l.summary(time.Since(started)), nil
}

// loadRun is the state of one call of Load.
type loadRun struct {
	options LoadOptions
	caller  *caller

	mu        sync.Mutex
	latencies *latencies
	result    *LoadResult
}

// run sends chats one after the other until sendCtx ends. After a problem it
// waits for reattachDelay.
func (l *loadRun) run(sendCtx, ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(n)+1))
	for sendCtx.Err() == nil {
		messages := []api.Message{{Role: "user", Content: randomWords(random, l.options.PromptWords)}}
		chatCtx, cancel := context.WithTimeout(ctx, chatTimeout)
		result := l.caller.chat(chatCtx, l.options.Model, messages, l.options.MaxTokens)
		cancel()
		l.record(result)
		if result.problem != nil && !sleep(sendCtx, reattachDelay) {
			return
		}
	}
}

// randomWords returns a prompt of n random words.
func randomWords(random *rand.Rand, n int) string {
	text := make([]byte, 0, 8*n)
	for range n {
		text = fmt.Appendf(text, "w%d ", random.IntN(1<<16))
	}
	return string(text)
}

// record adds the result of one chat.
func (l *loadRun) record(r *chatResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	l.result.Tokens += len(r.tokens)
	switch {
	case r.problem != nil:
		l.result.Outcomes[r.problem.Outcome]++
	case r.finished && !r.malformed:
		l.result.Outcomes[string(api.OutcomeDone)]++
		l.latencies.record(r)
	default:
		l.result.IncompleteOrCrossed++
	}
}

// summary computes rates and percentiles over the elapsed time.
func (l *loadRun) summary(elapsed time.Duration) *LoadResult {
	r := l.result
	r.MeasuredSeconds = elapsed.Seconds()
	r.RequestsPerSecond = float64(r.Requests) / elapsed.Seconds()
	r.TokensPerSecond = float64(r.Tokens) / elapsed.Seconds()
	r.P50FirstTokenSeconds = percentileSeconds(l.latencies.firstToken, 50)
	r.P95FirstTokenSeconds = percentileSeconds(l.latencies.firstToken, targetPercentile)
	r.P95BetweenTokensSeconds = percentileSeconds(l.latencies.betweenTokens, targetPercentile)
	return r
}

// write prints the result as text.
func (r *LoadResult) write(out io.Writer) {
	fmt.Fprintf(out, "requests            %d (%.1f/s)\n", r.Requests, r.RequestsPerSecond)
	fmt.Fprintf(out, "tokens              %d (%.0f/s)\n", r.Tokens, r.TokensPerSecond)
	fmt.Fprintf(out, "outcomes            %v, incomplete or crossed %d\n", r.Outcomes, r.IncompleteOrCrossed)
	fmt.Fprintf(out, "first token         p50 %.4f s, p95 %.4f s\n", r.P50FirstTokenSeconds, r.P95FirstTokenSeconds)
	fmt.Fprintf(out, "between tokens      p95 %.4f s\n", r.P95BetweenTokensSeconds)
}
