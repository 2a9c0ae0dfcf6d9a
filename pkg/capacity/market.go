package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// market is what a Buyer has learned of one Pool's market.
type market struct {
	// hostHours and reclaims decay, so that old waves of reclaims fade.
	hostHours, reclaims float64
	countedAt           time.Time
	// refusals in a row, and until when no start is tried.
	refusals int
	until    time.Time
}

const (
	// Half of what was observed counts after reclaimHalfLife.
	reclaimHalfLife = 24 * time.Hour
	// The prior is one reclaim in priorHostHours; it keeps a market without
	// observations from looking free of reclaims.
	priorHostHours = 100.0
	// lostHostHours is what a reclaim costs: the replacement's start and load,
	// and the work that is computed again.
	lostHostHours = 0.5
	// A refused start waits a random time up to the base, doubled with each
	// refusal.
	refusalBase    = 4 * time.Second
	refusalMaximum = 5 * time.Minute
	maxDoublings   = 10
)

// count adds the Hosts held since the last count.
func (m *market) count(now time.Time, hosts int) {
	if m.countedAt.IsZero() || now.Before(m.countedAt) {
		m.countedAt = now
		return
	}
	passed := now.Sub(m.countedAt)
	m.countedAt = now
	keep := math.Exp2(-float64(passed) / float64(reclaimHalfLife))
	m.hostHours = m.hostHours*keep + float64(hosts)*passed.Hours()
	m.reclaims *= keep
}

// reclaimsPerHour is the expected rate for one Host.
func (m *market) reclaimsPerHour() float64 {
	return (m.reclaims + 1) / (m.hostHours + priorHostHours)
}

// effectivePrice adds the expected cost of reclaims.
func (m *market) effectivePrice(o *Offer) float64 {
	if o.Purchase == membership.PurchaseOnDemand {
		return o.PricePerHour
	}
	return o.PricePerHour * (1 + m.reclaimsPerHour()*lostHostHours)
}

func (m *market) refuse(now time.Time, r *rand.Rand) {
	bound := min(refusalBase<<min(m.refusals, maxDoublings), refusalMaximum)
	m.refusals++
	// At least half of the bound, so that a refused offer is not tried again
	// at the next tick.
	m.until = now.Add(bound/2 + time.Duration(r.Int64N(int64(bound/2))))
}

func (m *market) accept() { m.refusals, m.until = 0, time.Time{} }
