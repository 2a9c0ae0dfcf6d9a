// Package invariant reports violated invariants: a typed error for the caller,
// a count for metrics and a callback for logs and failed runs.
package invariant

import (
	"fmt"
	"sync"
)

// ID identifies an invariant of the design page, section 2.
type ID string

// The invariants.
const (
	SurvivesReclaim        ID = "I1"
	AnswerIntegrity        ID = "I2"
	NotRunIsAccurate       ID = "I3"
	AtMostOnce             ID = "I4"
	NoWorkForLeavingServer ID = "I5"
	GracefulStop           ID = "I6"
	ConfigurationMonotonic ID = "I7"
	LeaseExclusive         ID = "lease-exclusive"
	FencingNumberMonotonic ID = "fencing-number-rises"
	AnsweredExactlyOnce    ID = "answered-once"
)

// ViolationError reports a violated invariant with the state that shows it.
type ViolationError struct {
	Invariant ID
	State     string
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Invariant, e.State)
}

// Reporter counts violations and passes them on. The zero value counts only. It
// is safe for concurrent use; a nil Reporter discards.
type Reporter struct {
	// OnViolation is called for each violation, if set.
	OnViolation func(*ViolationError)

	mu     sync.Mutex
	counts map[ID]uint64
}

// Check returns nil if ok, otherwise it reports and returns a ViolationError.
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

// Counts returns the violations so far by invariant.
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
