package measure

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// kind describes one kind of request: its share of the requests, its mean lengths
// and its priority. A lower number is a higher priority.
type kind struct {
	Share        float64 `json:"share"`
	PromptTokens int     `json:"prompt_tokens"`
	OutputTokens int     `json:"output_tokens"`
	// OutputSpread is the half-width of the range of output lengths, relative to
	// OutputTokens.
	OutputSpread float64 `json:"output_spread"`
	Priority     int     `json:"priority"`
}

// Operator describes the deployment and the workload of one operator of
// monsooncrank, at the size that section 1 of the design page states.
type Operator struct {
	Name           string `json:"name"`
	Daemons        int    `json:"daemons"`
	Zones          int    `json:"zones"`
	WorkersPerZone int    `json:"workers_per_zone"`
	// SequencesPerHost is the setting of the pool that determines the slots of
	// each host.
	SequencesPerHost    int           `json:"sequences_per_host"`
	AccountShares       []float64     `json:"account_shares"`
	SystemTokens        int           `json:"system_tokens"`
	DocumentsPerAccount int           `json:"documents_per_account"`
	DocumentTokens      int           `json:"document_tokens"`
	DocumentSkew        float64       `json:"document_skew"`
	MaxTurns            int           `json:"max_turns"`
	ThinkTime           time.Duration `json:"think_time_nanoseconds"`
	Kinds               []kind        `json:"kinds"`
	// Deadline is the time from the arrival of a request within which the whole
	// answer must be complete. Interactive requests are in time only if they also
	// meet the latency target.
	Deadline    time.Duration `json:"deadline_nanoseconds"`
	Interactive bool          `json:"interactive"`
	WarmUp      time.Duration `json:"warm_up_nanoseconds"`
	Horizon     time.Duration `json:"horizon_nanoseconds"`
}

// Kodiclub returns an operator with latency-sensitive chats. Their prompts share
// prefixes: a system prompt per account and the description of a club, followed
// by the conversation.
func Kodiclub() Operator {
	return Operator{
		Name: "kodiclub", Daemons: 7, Zones: 4, WorkersPerZone: 3, SequencesPerHost: 38,
		AccountShares: []float64{0.35, 0.3, 0.2, 0.1, 0.05},
		SystemTokens:  1200, DocumentsPerAccount: 60, DocumentTokens: 800, DocumentSkew: 1.2,
		MaxTurns: 4, ThinkTime: 8 * time.Second,
		Kinds:    []kind{{Share: 1, PromptTokens: 60, OutputTokens: 120, OutputSpread: 0.6}},
		Deadline: 30 * time.Second, Interactive: true,
		WarmUp: 20 * time.Second, Horizon: 80 * time.Second,
	}
}

// Ganda returns an operator with deferred requests: long briefs, and shorter
// summaries with a higher priority. Their prompts start with a style guide per
// account and the profile of a client.
func Ganda() Operator {
	return Operator{
		Name: "ganda", Daemons: 7, Zones: 4, WorkersPerZone: 3, SequencesPerHost: 48,
		AccountShares: []float64{0.35, 0.3, 0.2, 0.1, 0.05},
		SystemTokens:  2500, DocumentsPerAccount: 200, DocumentTokens: 1500, DocumentSkew: 1.1,
		MaxTurns: 3, ThinkTime: 30 * time.Second,
		Kinds: []kind{
			{Share: 0.6, PromptTokens: 150, OutputTokens: 1100, OutputSpread: 0.5, Priority: 1},
			{Share: 0.4, PromptTokens: 100, OutputTokens: 220, OutputSpread: 0.4},
		},
		Deadline: 120 * time.Second,
		WarmUp:   60 * time.Second, Horizon: 240 * time.Second,
	}
}

// request is one request of a trace, with its progress in the run.
type request struct {
	id           int
	account      int
	daemon       int
	arrival      time.Duration
	prefixes     []routing.Prefix
	answer       routing.Prefix
	promptTokens int
	outputTokens int
	// maxTokens is the limit of output tokens that the caller sets.
	maxTokens int
	priority  int
	deadline  time.Duration

	// deliveredTokens is the number of output tokens delivered to the caller.
	deliveredTokens int
	firstToken      time.Duration
	lastToken       time.Duration
	endedAt         time.Duration
	done            bool
	refused         bool
	attempts        int
	excluded        []string
}

// engineCapacity returns the requests per second that saturate one engine if no
// prefix is recomputed. An engine is saturated when its batch has MaxSequences
// requests or when its iterations take as long as the target time between tokens.
func (o *Operator) engineCapacity(m engineModel) float64 {
	output, newPromptTokens := 0.0, 0.0
	for _, k := range o.Kinds {
		output += k.Share * float64(k.OutputTokens)
		newPromptTokens += k.Share * float64(k.PromptTokens)
	}
	perSequence := m.PerSequence.Seconds() + m.PerPrefillToken.Seconds()*newPromptTokens/output
	batch := min((betweenTokensTarget.Seconds()-m.Base.Seconds())/perSequence, float64(m.MaxSequences))
	return batch / (output * (m.Base.Seconds() + batch*perSequence))
}

// generator generates the trace of a run.
type generator struct {
	operator *Operator
	random   *rand.Rand
	zipf     *rand.Zipf
	requests []*request
}

// trace returns the requests of a run in order of arrival. rate is in requests
// per second; rateFactor returns the factor that scales the rate of an account at
// a time. Arrivals are drawn at maxRateFactor times the rate and thinned.
func (o *Operator) trace(seed uint64, rate float64, rateFactor func(account int, at time.Duration) float64) []*request {
	random := rand.New(rand.NewPCG(seed, traceRandomStream))
	g := &generator{operator: o, random: random}
	g.zipf = rand.NewZipf(random, o.DocumentSkew, documentZipfShift, uint64(o.DocumentsPerAccount-1))
	meanTurns := float64(1+o.MaxTurns) / 2
	for account, share := range o.AccountShares {
		peakRate := rate * share / meanTurns * maxRateFactor
		for at := g.sampleInterarrival(peakRate); at < o.Horizon; at += g.sampleInterarrival(peakRate) {
			if random.Float64()*maxRateFactor < rateFactor(account, at) {
				g.addConversation(account, at)
			}
		}
	}
	slices.SortStableFunc(g.requests, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, q := range g.requests {
		q.id = i
	}
	return g.requests
}

const (
	// traceRandomStream selects the random number stream of the trace.
	traceRandomStream = 1
	// maxRateFactor is an upper bound of the rate factors of all scenarios.
	maxRateFactor = 8
	// documentZipfShift is the offset v of the Zipf distribution of documents. It
	// flattens the head of the distribution.
	documentZipfShift = 4
	// nominalTokenInterval is the time between tokens that is assumed where none has
	// been observed.
	nominalTokenInterval = 25 * time.Millisecond
)

// sampleInterarrival returns an exponentially distributed time between arrivals at
// a rate per second.
func (g *generator) sampleInterarrival(rate float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// addConversation adds the requests of one conversation that starts at a time.
// The prompt of each turn is the prompt of the turn before, its answer and a new
// message. Turns after the horizon are dropped.
func (g *generator) addConversation(account int, at time.Duration) {
	o := g.operator
	document, id := g.zipf.Uint64(), g.random.Uint64()
	prefixes := []routing.Prefix{
		{Hash: hashPair(uint64(account), 0), Tokens: o.SystemTokens},
		{Hash: hashPair(uint64(account), document+1), Tokens: o.SystemTokens + o.DocumentTokens},
	}
	for turn := range 1 + g.random.IntN(o.MaxTurns) {
		k := g.kind()
		tokens := prefixes[len(prefixes)-1].Tokens + k.PromptTokens
		prefixes = append(prefixes, routing.Prefix{Hash: hashPair(id, uint64(2*turn)), Tokens: tokens})
		output := g.output(k)
		answer := routing.Prefix{Hash: hashPair(id, uint64(2*turn+1)), Tokens: tokens + output}
		if at >= o.Horizon {
			return
		}
		g.requests = append(g.requests, &request{
			account: account, daemon: g.random.IntN(o.Daemons), arrival: at,
			prefixes: slices.Clone(prefixes), answer: answer, promptTokens: tokens,
			outputTokens: output, maxTokens: k.maxTokens(), priority: k.Priority, deadline: at + o.Deadline,
		})
		prefixes = append(prefixes, answer)
		at += time.Duration(output)*nominalTokenInterval + time.Second +
			time.Duration(g.random.ExpFloat64()*float64(o.ThinkTime))
	}
}

// kind draws a kind of request according to the shares.
func (g *generator) kind() kind {
	x := g.random.Float64()
	for _, k := range g.operator.Kinds {
		if x < k.Share {
			return k
		}
		x -= k.Share
	}
	return g.operator.Kinds[0]
}

// output draws an output length in tokens.
func (g *generator) output(k kind) int {
	factor := 1 + k.OutputSpread*(2*g.random.Float64()-1)
	return max(int(math.Round(float64(k.OutputTokens)*factor)), 1)
}

// maxTokens returns the longest output of a kind, in tokens.
func (k *kind) maxTokens() int {
	return int(math.Ceil(float64(k.OutputTokens) * (1 + k.OutputSpread)))
}

// hashPair returns a hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
