// Package placement decides which BackendServer runs a request, and whether any
// can run it in time. The core does no I/O: callers pass in the current time,
// changes of the fleet, the progress of this daemon's own requests and the load
// that peers report.
package placement

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// PromptPart is a section of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// SharedParts returns the parts of a prompt that other requests may share: all but the
// last one.
func SharedParts(parts []PromptPart) []PromptPart { return parts[:max(len(parts)-1, 0)] }

// Query describes a request to place.
type Query struct {
	Service string
	// Zone is the AvailabilityZone of this daemon.
	Zone string
	// Parts are the parts of the prompt in order; the last one is specific to
	// this request.
	Parts []PromptPart
	// PromptTokens and OutputTokens are 0 for requests to plain services, which
	// have no engines.
	PromptTokens int
	OutputTokens int
	// LatencyTarget is the time within which the first part of the answer
	// should arrive.
	LatencyTarget time.Duration
	Deadline      time.Time
	// Exclude holds the IDs of servers that have already been tried.
	Exclude []string
	// Forwarded is set if another daemon has forwarded the request.
	Forwarded bool
	// MayUse reports whether a server that is running a number of requests, as far as is
	// known, accepts a further one; nil means that all servers do.
	MayUse func(server *fleet.Server, running int) bool
	// OnlyVersion is set if the request may run at servers of one software version only,
	// which is Version. An empty version is not known, and no server has it.
	OnlyVersion bool
	Version     string
	// Resumable is set if the answer is a stream that the caller may take up at any daemon.
	Resumable bool
	// DeniedVersions holds the versions at whose servers the request may not run.
	DeniedVersions []string
	// Route is the name of the request's route.
	Route string
	// Favoured is set while less urgent requests of a contended service are refused by their
	// share and this one is not: it is refused for its deadline only.
	Favoured bool
	// AlreadyStarted is set when a server has begun to run the request: refusing
	// it now would discard the part of the answer that the caller already has.
	AlreadyStarted bool
	// Rank orders requests of different urgency; 0 is the most urgent. Account and Caller
	// identify the account and the request over the tries of its caller.
	Rank    int
	Account string
	Caller  uint64
}

// Decision is the server chosen for a request and the estimates behind the
// choice.
type Decision struct {
	Server fleet.Server
	// ExpectedWait is the estimated time to the first part of the answer, and UncorrectedWait
	// the same without regard to how late other answers are.
	ExpectedWait    time.Duration
	UncorrectedWait time.Duration
	// Slowness is the measured slowness of the server that ExpectedWait includes as a factor.
	Slowness float64
	// ExpectedEnd is the estimated time to the end of a stream.
	ExpectedEnd time.Duration
	// CachedTokens is the number of prompt tokens expected in the server's KV
	// cache.
	CachedTokens int
	// Order is when the engine should prefill the prompt.
	Order PromptOrder
	// Sender is the daemon that sends the requests of all daemons to the server, or empty if
	// each sends its own.
	Sender string
	// Running is the number of requests that the server was running, as far as was known.
	Running int
	// Speed is the speed of the server as a multiple of the mean speed of its service.
	Speed float64
	// Candidates is the number of servers that were compared.
	Candidates int
	// LoadAge is the age of the oldest peer report that was used.
	LoadAge time.Duration
	// Limited is set if the server has a request limit, of which this request uses a
	// part.
	Limited bool
	// FleetVersion and FleetAge identify the view of the fleet that was used.
	FleetVersion table.Version
	FleetAge     time.Duration
}

// PromptOrder tells when an engine should prefill a prompt in relation to the others that
// wait there.
type PromptOrder int

const (
	// OrderByRank is that of requests to plain services, which have no prompts.
	OrderByRank PromptOrder = iota
	// OrderAfterShort is the order of ranks, after short prompts if there are any.
	OrderAfterShort
	// OrderFirst is that of a short prompt, which goes before longer ones of any rank.
	OrderFirst
)

// String returns the name of the order in logs.
func (o PromptOrder) String() string { return [...]string{"rank", "after short", "first"}[o] }

// RefusalReason is the reason why no server accepts a request.
type RefusalReason string

// Reasons for refusing a request.
const (
	RefusedNoServer   RefusalReason = "no server"
	RefusedOverloaded RefusalReason = "overloaded"
)

// RefusedError reports a request that no server can run in time.
type RefusedError struct {
	Reason RefusalReason
	// ExpectedWait is the expected wait at the best candidate.
	ExpectedWait time.Duration
	// RetryAfter is the delay after which a server is expected to accept the
	// request.
	RetryAfter time.Duration
	// CachedTokens is the number of prompt tokens expected in the best candidate's KV cache.
	CachedTokens int
}

func (e *RefusedError) Error() string { return "placement refused: " + string(e.Reason) }

// Load is the unfinished work that one daemon has sent to a server.
type Load struct {
	// Running counts requests that were sent and have not ended.
	Running int `cbor:"1,keyasint,omitempty"`
	// PrefillTokens counts prompt tokens still to be prefilled.
	PrefillTokens int `cbor:"2,keyasint,omitempty"`
	// KVTokens counts the tokens that running requests occupy in the KV cache.
	KVTokens int `cbor:"3,keyasint,omitempty"`
	// Generating counts running requests whose answer has begun.
	Generating int `cbor:"4,keyasint,omitempty"`
}

// Work is the cumulative work that callers have offered to the engines of a service at one
// daemon since its start: what was sent to engines and what was refused for want of room.
type Work struct {
	Requests int `cbor:"1,keyasint"`
	// PrefillTokens counts prompt tokens that were not expected in a KV cache.
	PrefillTokens int `cbor:"2,keyasint"`
	// RefusedRequests counts requests that were within their account's usage limit and were
	// refused for want of room before any server had them.
	RefusedRequests int `cbor:"3,keyasint,omitempty"`
	// RefusedTokens counts the prompt tokens of these requests that were not expected in a KV
	// cache.
	RefusedTokens int `cbor:"4,keyasint,omitempty"`
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.PrefillTokens += o.PrefillTokens
	l.KVTokens += o.KVTokens
	l.Generating += o.Generating
}

func (l *Load) subtract(o Load) {
	l.Running -= o.Running
	l.PrefillTokens -= o.PrefillTokens
	l.KVTokens -= o.KVTokens
	l.Generating -= o.Generating
}

// Result says how an attempt at a server ended.
type Result int

// Results of attempts.
const (
	// ResultAnswered is a complete answer, including one that reports an
	// application error.
	ResultAnswered Result = iota + 1
	// ResultRefused means that the server did not run the request.
	ResultRefused
	// ResultFailed means that the server closed the connection early, stalled or
	// could not be reached.
	ResultFailed
	// ResultAbandoned means that the caller disconnected; it does not count for
	// or against the server.
	ResultAbandoned
)

// Options configures a Core. Zero values select defaults.
type Options struct {
	// PrefillRate is the assumed prefill speed of an engine, in prompt tokens
	// per millisecond, until it has been measured.
	PrefillRate float64
	// Seed initializes the random choice of candidate servers.
	Seed uint64
}

const (
	// maxComparedServers is the number of servers up to which every one is a
	// candidate. Deployments with more servers have dozens of daemons, which
	// would all choose the same server if each compared all servers.
	maxComparedServers = 32
	// sampledServers is the number of random candidates in larger deployments.
	// Load reports there are older than the time between requests, so that with
	// more choices all daemons would select the same servers.
	sampledServers = 2
	// defaultPrefillRate, in prompt tokens per millisecond, is below the speed of
	// the engines in use, so that the first requests are spread over servers.
	defaultPrefillRate = 40.0
	// minPrefillRate and maxPrefillRate, in prompt tokens per millisecond, bound
	// the measured rate, so that a few outliers neither take an engine out of
	// use nor overload it.
	minPrefillRate = 10.0
	maxPrefillRate = 200.0
	// sampleWeight is the weight of a new sample in the moving averages of the
	// prefill rate and of the run time of plain requests.
	sampleWeight = 0.05
	// minSampleTokens is the number of queued prompt tokens below which the time
	// to the first event says little about the prefill rate.
	minSampleTokens = 2000
	// baseWait is the part of the time to the first event that does not depend
	// on the prompt.
	baseWait = 15 * time.Millisecond
	// crossZoneWait is added for a server in another zone: it covers a round trip
	// and the price of traffic between zones.
	crossZoneWait = 4 * time.Millisecond
	// recomputeWeight is the cost of prefilling an uncached token as a multiple of
	// the time it takes. It is above 1 because tokens that another server already
	// caches also evict others when they are prefilled again.
	recomputeWeight = 2.5
	// maxKVShare is the fraction of an engine's KV cache that running requests
	// may occupy before it counts as full; beyond it engines preempt requests.
	maxKVShare = 0.9
	// failureHalfLife is the half-life of a server's failure count.
	failureHalfLife = 2 * time.Second
	// slownessHalfLife is the half-life of a server's measured slowness; it sets
	// how soon a slow server is tried again.
	slownessHalfLife = 6 * time.Second
	// failurePenalty is the wait added per recent failure, as a fraction of the
	// request's latency target.
	failurePenalty = 0.5
	// peerLoadMaxAge is the age at which the load reported by a peer is dropped.
	peerLoadMaxAge = 3 * time.Second
	// maxCachedPartAge is how long after its last use a prompt part is assumed to
	// stay in a server's KV cache.
	maxCachedPartAge = 60 * time.Second
	// prefixCacheShare is the fraction of an engine's KV cache that holds prompt
	// parts which no running request uses.
	prefixCacheShare = 0.6
	// defaultPlainRunTime is the assumed run time of a plain request until it has
	// been measured.
	defaultPlainRunTime = 40 * time.Millisecond
	// plainQueueFactor bounds the wait for a plain server beyond the latency
	// target, in multiples of the mean run time, that is in requests per slot:
	// servers queue a few requests and refuse the rest.
	plainQueueFactor = 2.5
)
