// Package contention decides, before a server is chosen, which requests of a service are
// admitted while the service has less capacity than is asked of it. All daemons apply the
// same limits: the fraction of requests that are admitted, for each rank and account. The
// core does no I/O: callers pass in the time, the demand that other daemons state, and the
// capacity and the backlog of each service.
package contention

import "time"

// Request is a request that asks to be admitted.
type Request struct {
	Service string
	// Rank orders requests; 0 is the most urgent.
	Rank    int
	Account string
	// Caller identifies the request over the tries of its caller.
	Caller uint64
	// ServerTime is how long the request keeps one server busy.
	ServerTime time.Duration
	// Continues is set for a request that is admitted in any case, because a server has begun
	// to run it.
	Continues bool
	// Unplaced is set for a request that no server can answer in time, so that it is refused
	// in any case.
	Unplaced bool
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// Fraction is the limit in force: the fraction of requests of the rank and account that
	// are admitted.
	Fraction float64
	// RetryAfter is the time after which a refused caller may come back.
	RetryAfter time.Duration
}

// RefusedError reports a request that was refused because its rank or its account asks for
// more of the service than its share.
type RefusedError struct {
	Service  string
	Rank     int
	Account  string
	Fraction float64
	// RetryAfter is the time after which the caller may come back.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return "share of the service " + e.Service + " used up by rank and account"
}

// Policy is what the configuration says of the division of a service.
type Policy struct {
	// TargetBacklog is the mean time that requests may wait at the servers. A service with
	// 0 is not divided.
	TargetBacklog time.Duration
}

// Supply is what a service offers, and how much waits for it.
type Supply struct {
	// ServerTimePerSecond is the server time that its servers offer in a second.
	ServerTimePerSecond time.Duration
	// Backlog is the mean over the servers of the time until what waits there is done.
	Backlog time.Duration
}

// Offer is the demand that one daemon states for a rank and an account of a service.
type Offer struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Rank    int
	Account string
	// Micros is the server time asked for in a second, in microseconds.
	Micros int
}

// Level is the limit in force for a service.
type Level struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// ScalePerMille is the learned factor on the capacity, in thousandths.
	ScalePerMille int
	// Ranks holds the ranks that are limited.
	Ranks []RankLevel
}

// RankLevel is the limit in force for a rank of a service.
type RankLevel struct {
	_    struct{} `cbor:",toarray"`
	Rank int
	// PerMille is the fraction of the requests that are admitted, in thousandths, for
	// accounts that are not in Accounts.
	PerMille int
	Accounts map[string]int
}
