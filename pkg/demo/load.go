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
	// Addresses are the callers' addresses of daemons.
	Addresses []string
	Key       string
	Model     string
	// Streams is how many streams run at the same time.
	Streams     int
	MaxTokens   int
	PromptWords int
	Duration    time.Duration
	Seed        uint64
}

// LoadResult is what callers saw.
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
	IncompleteOrCrossed     int            `json:"incomplete_or_crossed"`
}

// RegisterLoad adds the command load to an application.
func RegisterLoad(app *command.App) {
	var o LoadOptions
	c := app.Add("load", "Send chat streams to daemons and report what callers saw.",
		"monsooncrank load --callers 127.0.0.1:8080 --key example-key-parent-portal --model club-assistant --streams 64")
	c.Flag("callers", "Callers' address of a daemon; repeat for several.").Required().StringsVar(&o.Addresses)
	c.Flag("key", "API key.").Envar("MONSOONCRANK_API_KEY").Required().StringVar(&o.Key)
	c.Flag("model", "Model to ask.").Required().StringVar(&o.Model)
	c.Flag("streams", "Streams at the same time.").Default("16").IntVar(&o.Streams)
	c.Flag("max-tokens", "Length of an answer.").Default("64").IntVar(&o.MaxTokens)
	c.Flag("prompt-words", "Length of a prompt.").Default("64").IntVar(&o.PromptWords)
	c.Flag("duration", "How long streams are started.").Default("10s").DurationVar(&o.Duration)
	c.Flag("seed", "Seed of the prompts.").Default("1").Uint64Var(&o.Seed)
	c.OnRun(func(ctx context.Context) error {
		result, err := Load(ctx, o)
		if err != nil {
			return err
		}
		return app.Print(result, func() { result.write(app.Out) })
	})
}

// LoadOptionsError reports a load without streams.
type LoadOptionsError struct{}

func (e *LoadOptionsError) Error() string { return "at least one stream and one address are needed" }

// Load keeps a number of streams running against daemons.
func Load(ctx context.Context, o LoadOptions) (*LoadResult, error) {
	if o.Streams < 1 || len(o.Addresses) == 0 {
		return nil, errors.Trace(&LoadOptionsError{})
	}
	sending, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	l := &loadRun{
		options: o, times: newTimes(), result: &LoadResult{Outcomes: make(map[string]int)},
		caller: &caller{
			key:       o.Key,
			entrances: &entrances{random: rand.New(rand.NewPCG(o.Seed, 0)), addresses: o.Addresses},
			http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Streams}},
		},
	}
	started := time.Now()
	var group sync.WaitGroup
	for n := range o.Streams {
		group.Go(func() { l.run(sending, ctx, n) })
	}
	group.Wait()
	l.caller.http.CloseIdleConnections()
	return l.summary(time.Since(started)), nil
}

// loadRun is the state of one Load.
type loadRun struct {
	options LoadOptions
	caller  *caller

	mu     sync.Mutex
	times  *times
	result *LoadResult
}

// run sends one stream after the other.
func (l *loadRun) run(sending, ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(n)+1))
	for sending.Err() == nil {
		messages := []api.Message{{Role: "user", Content: randomWords(random, l.options.PromptWords)}}
		bounded, cancel := context.WithTimeout(ctx, chatPatience)
		result := l.caller.chat(bounded, l.options.Model, messages, l.options.MaxTokens)
		cancel()
		l.record(result)
		if result.problem != nil && !sleep(sending, reattachDelay) {
			return
		}
	}
}

func randomWords(random *rand.Rand, n int) string {
	text := make([]byte, 0, 8*n)
	for range n {
		text = fmt.Appendf(text, "w%d ", random.IntN(1<<16))
	}
	return string(text)
}

func (l *loadRun) record(r *chatResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	l.result.Tokens += len(r.tokens)
	switch {
	case r.problem != nil:
		l.result.Outcomes[r.problem.Outcome]++
	case r.finished && !r.gap:
		l.result.Outcomes[string(api.OutcomeDone)]++
		l.times.record(r)
	default:
		l.result.IncompleteOrCrossed++
	}
}

func (l *loadRun) summary(took time.Duration) *LoadResult {
	r := l.result
	r.MeasuredSeconds = took.Seconds()
	r.RequestsPerSecond = float64(r.Requests) / took.Seconds()
	r.TokensPerSecond = float64(r.Tokens) / took.Seconds()
	r.P50FirstTokenSeconds = quantileSeconds(l.times.firstToken, 50)
	r.P95FirstTokenSeconds = quantileSeconds(l.times.firstToken, targetQuantile)
	r.P95BetweenTokensSeconds = quantileSeconds(l.times.betweenTokens, targetQuantile)
	return r
}

func (r *LoadResult) write(out io.Writer) {
	fmt.Fprintf(out, "requests            %d (%.1f/s)\n", r.Requests, r.RequestsPerSecond)
	fmt.Fprintf(out, "tokens              %d (%.0f/s)\n", r.Tokens, r.TokensPerSecond)
	fmt.Fprintf(out, "outcomes            %v, incomplete or crossed %d\n", r.Outcomes, r.IncompleteOrCrossed)
	fmt.Fprintf(out, "first token         p50 %.4f s, p95 %.4f s\n", r.P50FirstTokenSeconds, r.P95FirstTokenSeconds)
	fmt.Fprintf(out, "between tokens      p95 %.4f s\n", r.P95BetweenTokensSeconds)
}
