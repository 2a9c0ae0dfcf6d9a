// Package placement decides which BackendServer runs a request, and whether any
// can run it in time. The core does no I/O: it takes the time and what is known
// of servers, of this daemon's own requests and of the load that peers state.
package placement

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// Part is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Query describes a request to place.
type Query struct {
	Service string
	// Zone is the AvailabilityZone of this daemon.
	Zone string
	// Parts are the parts of the prompt in order; the last one is the
	// request's own.
	Parts []PromptPart
	// PromptTokens and OutputTokens are 0 for requests to plain services.
	PromptTokens int
	OutputTokens int
	// Target is how long the first part of the answer may take.
	LatencyTarget time.Duration
	Deadline      time.Time
	// Exclude names servers that have already been tried.
	Exclude []string
	// Repeat says that a server has begun to run the request: to refuse it now
	// would lose what the caller has of its answer.
	AlreadyStarted bool
}

// Decision is a placement.
type Decision struct {
	Server fleet.Server
	// Wait is the expected time to the first part of the answer.
	ExpectedWait time.Duration
	// Cached is the number of prompt tokens expected in the server's memory.
	CachedTokens int
	// Candidates is the number of servers that were compared.
	Candidates int
	// LoadAge is the age of the oldest peer report that was used.
	LoadAge time.Duration
	// FleetVersion and FleetAge tell which view of the servers was used.
	FleetVersion uint64
	FleetAge     time.Duration
}

// RefusalReason says why no server takes a request.
type RefusalReason string

// The reasons for refusals.
const (
	RefusedNoServer   RefusalReason = "no server"
	RefusedOverloaded RefusalReason = "overloaded"
)

// RefusedError reports a request that no server can run in time.
type RefusedError struct {
	Reason RefusalReason
	// Wait is the shortest expected wait.
	ExpectedWait time.Duration
	// RetryAfter is when a server can be expected to take the request.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "placement refused: " + string(e.Reason) }

// Load is the work that one daemon has given to a server.
type Load struct {
	// Running counts requests that were sent and have not ended.
	Running int `cbor:"1,keyasint,omitempty"`
	// Prefill counts prompt tokens still to be read.
	PrefillTokens int `cbor:"2,keyasint,omitempty"`
	// Memory counts tokens that running requests occupy.
	KVTokens int `cbor:"3,keyasint,omitempty"`
	// Generating counts running requests whose answer has begun.
	Generating int `cbor:"4,keyasint,omitempty"`
}

// Work is what was given to the engines of a service since a daemon's start.
type Work struct {
	Requests int `cbor:"1,keyasint"`
	// Prefill counts prompt tokens that were not expected in memory.
	PrefillTokens int `cbor:"2,keyasint"`
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.PrefillTokens += o.PrefillTokens
	l.KVTokens += o.KVTokens
	l.Generating += o.Generating
}

// Result says how an attempt at a server ended.
type Result int

// The results.
const (
	// ResultAnswered is a whole answer, also one that reports a failure of the
	// application.
	ResultAnswered Result = iota + 1
	// ResultRefused means that the server did not run the request.
	ResultRefused
	// ResultFailed means that the server broke off, stalled or could not be
	// reached.
	ResultFailed
	// ResultAbandoned means that the caller left; it says nothing of the server.
	ResultAbandoned
)

// Options configure a Core; zero values take defaults.
type Options struct {
	// PrefillRate is the assumed prompt tokens per millisecond of an engine
	// until it has been measured.
	PrefillRate float64
	// Seed draws the servers that are compared where there are many.
	Seed uint64
}

const (
	// maxComparedServers is the number of servers up to which all are compared;
	// deployments with more have dozens of daemons.
	maxComparedServers = 32
	// sampledServers is how many are drawn beyond that: with load reports that
	// are older than the time between requests, more choices send all daemons to
	// the same servers.
	sampledServers = 2
	// defaultPrefillRate is below the engines in use, so that the first
	// requests are spread.
	defaultPrefillRate = 40.0
	// minPrefillRate and maxPrefillRate bound the learned rate, so that a few
	// odd samples do not close or open an engine.
	minPrefillRate = 10.0
	maxPrefillRate = 200.0
	// sampleWeight is the weight of a new sample of the prefill rate.
	sampleWeight = 0.05
	// minSampleTokens is the work below which the time to the first event says
	// little about the prefill rate.
	minSampleTokens = 2000
	// baseWait is the part of the time to the first event that does not depend
	// on the prompt.
	baseWait = 15 * time.Millisecond
	// crossZoneWait is added for a server in another zone: a round trip and the
	// price of bytes between zones.
	crossZoneWait = 4 * time.Millisecond
	// recomputeWeight makes tokens that another server already holds cost more
	// than their time, since reading them again also takes the place of others.
	recomputeWeight = 2.5
	// maxKVShare is the part of an engine's memory that may be occupied
	// before it is taken for full; beyond it engines preempt requests.
	maxKVShare = 0.9
	// failureHalfLife is how fast failures of a server are forgotten.
	failureHalfLife = 2 * time.Second
	// slownessHalfLife is how fast a slow server is tried again.
	slownessHalfLife = 6 * time.Second
	// failurePenalty is the wait added per recent failure in relation to the
	// request's target.
	failurePenalty = 0.5
	// peerLoadMaxAge is when the load that a peer stated counts no longer.
	peerLoadMaxAge = 3 * time.Second
	// maxCachedPartAge is how long a prompt part is believed to stay at a server.
	maxCachedPartAge = 60 * time.Second
	// prefixCacheShare is the part of an engine's memory that holds parts which no
	// running request uses.
	prefixCacheShare = 0.6
	// defaultPlainRunTime is the assumed run time of a plain request until measured.
	defaultPlainRunTime = 40 * time.Millisecond
	// plainQueueFactor is how many requests per slot a plain server may be given;
	// servers queue a few and refuse the rest.
	plainQueueFactor = 2.5
)
