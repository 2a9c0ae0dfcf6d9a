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

// kind is a kind of request with its share and lengths.
type kind struct {
	Share        float64 `json:"share"`
	PromptTokens int     `json:"prompt_tokens"`
	OutputTokens int     `json:"output_tokens"`
	// OutputSpread is the relative half-width of the output length.
	OutputSpread float64 `json:"output_spread"`
	Priority     int     `json:"priority"`
}

// Operator is one user's deployment and workload at the size of section 1 of
// the design page.
type Operator struct {
	Name           string `json:"name"`
	Daemons        int    `json:"daemons"`
	Zones          int    `json:"zones"`
	WorkersPerZone int    `json:"workers_per_zone"`
	// SequencesPerHost is the pool's setting, from which daemons take slots.
	SequencesPerHost    int           `json:"sequences_per_host"`
	AccountShares       []float64     `json:"account_shares"`
	SystemTokens        int           `json:"system_tokens"`
	DocumentsPerAccount int           `json:"documents_per_account"`
	DocumentTokens      int           `json:"document_tokens"`
	DocumentSkew        float64       `json:"document_skew"`
	MaxTurns            int           `json:"max_turns"`
	ThinkTime           time.Duration `json:"think_time_nanoseconds"`
	Kinds               []kind        `json:"kinds"`
	// Deadline is when the whole answer must be there. Interactive requests
	// are in time only if they also keep the latency target.
	Deadline    time.Duration `json:"deadline_nanoseconds"`
	Interactive bool          `json:"interactive"`
	WarmUp      time.Duration `json:"warm_up_nanoseconds"`
	Horizon     time.Duration `json:"horizon_nanoseconds"`
}

// Kodiclub has latency-sensitive chats with shared prompt prefixes: a system
// prompt per account and a club's description, then the conversation.
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

// Ganda has long deferred briefs (and shorter summaries, which go first) over a
// style guide per account and a client's profile.
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

// request is one request of a trace.
type request struct {
	id           int
	account      int
	daemon       int
	arrival      time.Duration
	prefixes     []routing.Prefix
	answer       routing.Prefix
	promptTokens int
	outputTokens int
	// maxTokens is the largest output that the caller asks for.
	maxTokens int
	priority  int
	deadline  time.Duration

	delivered  int
	firstToken time.Duration
	lastToken  time.Duration
	ended      time.Duration
	done       bool
	refused    bool
	attempts   int
	excluded   []string
}

// capacity returns the requests a second at which an engine that recomputes
// nothing is full: its batch holds its most requests, or its iterations take
// the target time between tokens.
func (o *Operator) capacity(m engineModel) float64 {
	output, fresh := 0.0, 0.0
	for _, k := range o.Kinds {
		output += k.Share * float64(k.OutputTokens)
		fresh += k.Share * float64(k.PromptTokens)
	}
	perSequence := m.PerSequence.Seconds() + m.PerPrefillToken.Seconds()*fresh/output
	batch := min((betweenTokensTarget.Seconds()-m.Base.Seconds())/perSequence, float64(m.MaxSequences))
	return batch / (output * (m.Base.Seconds() + batch*perSequence))
}

// generator makes the trace of a run.
type generator struct {
	operator *Operator
	random   *rand.Rand
	zipf     *rand.Zipf
	requests []*request
}

// trace returns the requests of a run in order of arrival. factor scales the
// rate of an account at a time.
func (o *Operator) trace(seed uint64, rate float64, factor func(account int, at time.Duration) float64) []*request {
	random := rand.New(rand.NewPCG(seed, traceStream))
	g := &generator{operator: o, random: random}
	g.zipf = rand.NewZipf(random, o.DocumentSkew, documentZipfShift, uint64(o.DocumentsPerAccount-1))
	meanTurns := float64(1+o.MaxTurns) / 2
	for account, share := range o.AccountShares {
		peak := rate * share / meanTurns * peakFactor
		for at := g.gap(peak); at < o.Horizon; at += g.gap(peak) {
			if random.Float64()*peakFactor < factor(account, at) {
				g.conversation(account, at)
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
	traceStream = 1
	// peakFactor bounds the factor of a scenario.
	peakFactor = 8
	// documentZipfShift flattens the head of the distribution of documents.
	documentZipfShift = 4
	nominalPerToken   = 25 * time.Millisecond
)

func (g *generator) gap(rate float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// conversation adds the requests of one conversation. Each turn extends the
// prompt of the one before by its answer and a new message.
func (g *generator) conversation(account int, at time.Duration) {
	o := g.operator
	document, id := g.zipf.Uint64(), g.random.Uint64()
	prefixes := []routing.Prefix{
		{Hash: mix(uint64(account), 0), Tokens: o.SystemTokens},
		{Hash: mix(uint64(account), document+1), Tokens: o.SystemTokens + o.DocumentTokens},
	}
	for turn := range 1 + g.random.IntN(o.MaxTurns) {
		k := g.kind()
		tokens := prefixes[len(prefixes)-1].Tokens + k.PromptTokens
		prefixes = append(prefixes, routing.Prefix{Hash: mix(id, uint64(2*turn)), Tokens: tokens})
		output := g.output(k)
		answer := routing.Prefix{Hash: mix(id, uint64(2*turn+1)), Tokens: tokens + output}
		if at >= o.Horizon {
			return
		}
		g.requests = append(g.requests, &request{
			account: account, daemon: g.random.IntN(o.Daemons), arrival: at,
			prefixes: slices.Clone(prefixes), answer: answer, promptTokens: tokens,
			outputTokens: output, maxTokens: k.maxTokens(), priority: k.Priority, deadline: at + o.Deadline,
		})
		prefixes = append(prefixes, answer)
		at += time.Duration(output)*nominalPerToken + time.Second +
			time.Duration(g.random.ExpFloat64()*float64(o.ThinkTime))
	}
}

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

func (g *generator) output(k kind) int {
	factor := 1 + k.OutputSpread*(2*g.random.Float64()-1)
	return max(int(math.Round(float64(k.OutputTokens)*factor)), 1)
}

// maxTokens is the largest output of a kind.
func (k *kind) maxTokens() int {
	return int(math.Ceil(float64(k.OutputTokens) * (1 + k.OutputSpread)))
}

func mix(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
