package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// market holds the reclaims and refused starts that a Buyer has observed in one
// Pool.
type market struct {
	// hostHours and reclaims decay exponentially, so that old bursts of reclaims
	// lose their influence.
	hostHours, reclaims float64
	countedAt           time.Time
	// refusals counts consecutive refused starts. No start is tried before retryAt.
	refusals int
	retryAt  time.Time
}

const (
	// reclaimHalfLife is the time after which the weight of an observation halves.
	reclaimHalfLife = 24 * time.Hour
	// priorHostHours sets the prior rate to one reclaim in this many Host hours.
	// Without a prior, a market without observations would appear to have no
	// reclaims.
	priorHostHours = 100.0
	// reclaimCostHostHours is the cost of a reclaim, in Host hours: starting the
	// replacement, loading its model and recomputing the lost work.
	reclaimCostHostHours = 0.5
	// The first refused start delays the next one by a random time of up to
	// refusalBackoffBase. The bound doubles with each further refusal, at most
	// maxRefusalDoublings times and up to refusalBackoffMax.
	refusalBackoffBase  = 4 * time.Second
	refusalBackoffMax   = 5 * time.Minute
	maxRefusalDoublings = 10
)

// addHostHours adds the hours of the Hosts held since the last call and applies
// the decay.
func (m *market) addHostHours(now time.Time, hosts int) {
	if m.countedAt.IsZero() || now.Before(m.countedAt) {
		m.countedAt = now
		return
	}
	passed := now.Sub(m.countedAt)
	m.countedAt = now
	decay := math.Exp2(-float64(passed) / float64(reclaimHalfLife))
	m.hostHours = m.hostHours*decay + float64(hosts)*passed.Hours()
	m.reclaims *= decay
}

// reclaimsPerHour returns the expected number of reclaims of one Host per hour.
func (m *market) reclaimsPerHour() float64 {
	return (m.reclaims + 1) / (m.hostHours + priorHostHours)
}

// effectivePrice returns the price per hour plus the expected cost of reclaims.
// On-demand Hosts are not reclaimed.
func (m *market) effectivePrice(o *Offer) float64 {
	if o.Purchase == membership.PurchaseOnDemand {
		return o.PricePerHour
	}
	return o.PricePerHour * (1 + m.reclaimsPerHour()*reclaimCostHostHours)
}

// recordRefusal counts a refused start and sets the time of the next try.
func (m *market) recordRefusal(now time.Time, r *rand.Rand) {
	bound := min(refusalBackoffBase<<min(m.refusals, maxRefusalDoublings), refusalBackoffMax)
	m.refusals++
	// The delay is at least half of the bound, so that a refused offer is not
	// tried again at the next tick.
	m.retryAt = now.Add(bound/2 + time.Duration(r.Int64N(int64(bound/2))))
}

// recordAccept resets the back-off after a start that succeeded.
func (m *market) recordAccept() { m.refusals, m.retryAt = 0, time.Time{} }
