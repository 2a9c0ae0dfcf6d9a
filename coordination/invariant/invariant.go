// Package invariant reports violated invariants: with an error to the caller, a
// count for metrics and a callback for logs and test failures.
package invariant

import (
	"fmt"
	"sync"
)

// ID identifies an invariant in metrics, logs and errors. I1 to I7 are the numbers
// that section 2 of the design page gives to the invariants.
type ID string

// The invariants.
const (
	// SurvivesReclaim means that requests survive the reclaim of a Host.
	SurvivesReclaim ID = "I1"
	// AnswerIntegrity means that a caller gets the whole answer of its own request.
	AnswerIntegrity ID = "I2"
	// NotRunIsAccurate means that a request that is reported as not run did not run.
	NotRunIsAccurate ID = "I3"
	// AtMostOnce means that a once-only call runs at most once.
	AtMostOnce ID = "I4"
	// NoWorkForLeavingServer means that a leaving BackendServer gets no new work.
	NoWorkForLeavingServer ID = "I5"
	// GracefulStop means that a daemon that drains ends all its streams.
	GracefulStop ID = "I6"
	// ConfigurationMonotonic means that the configuration revision never decreases.
	ConfigurationMonotonic ID = "I7"
	// LeaseExclusive means that a lease has at most one holder at a time.
	LeaseExclusive ID = "lease-exclusive"
	// FencingNumberMonotonic means that the fencing number of a lease never decreases.
	FencingNumberMonotonic ID = "fencing-number-rises"
	// AnsweredExactlyOnce means that an accepted request is answered exactly once.
	AnsweredExactlyOnce ID = "answered-once"
)

// ViolationError reports a violated invariant with the state that shows it.
type ViolationError struct {
	Invariant ID
	State     string
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Invariant, e.State)
}

// Reporter counts violations and passes them to a callback. The zero value only
// counts them, and a nil Reporter discards them. It is safe for concurrent use.
type Reporter struct {
	// OnViolation, if set, is called for each violation.
	OnViolation func(*ViolationError)

	mu     sync.Mutex
	counts map[ID]uint64
}

// Check returns nil if ok. Otherwise it counts and returns a ViolationError with
// the formatted state, and passes it to OnViolation.
func (r *Reporter) Check(ok bool, id ID, format string, args ...any) error {
	if ok {
		return nil
	}
	err := &ViolationError{Invariant: id, State: fmt.Sprintf(format, args...)}
	if r == nil {
		return err
	}
	r.mu.Lock()
	if r.counts == nil {
		r.counts = make(map[ID]uint64)
	}
	r.counts[id]++
	r.mu.Unlock()
	if r.OnViolation != nil {
		r.OnViolation(err)
	}
	return err
}

// Counts returns the number of violations so far of each invariant.
func (r *Reporter) Counts() map[ID]uint64 {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[ID]uint64, len(r.counts))
	for id, n := range r.counts {
		counts[id] = n
	}
	return counts
}
