package oncecall

import (
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"k8s.io/klog/v2"
)

// claimBreaker is a circuit breaker for claims. While the table is down it
// refuses them immediately, except for one probe at a time. Without it each claim
// would wait for the table's timeout, and callers would get the same error only
// shortly before their deadlines.
type claimBreaker struct {
	probeInterval time.Duration

	mu          sync.Mutex
	down        bool
	probing     bool
	nextProbeAt time.Time
}

// allow reports whether a claim may be sent to the table. Each claim that was
// allowed must be followed by recordResult.
func (b *claimBreaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.down {
		return true
	}
	if b.probing || now.Before(b.nextProbeAt) {
		return false
	}
	b.probing = true
	return true
}

// recordResult records the status of a claim that was allowed and opens or closes
// the breaker accordingly.
func (b *claimBreaker) recordResult(now time.Time, status idempotency.Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	down := status == idempotency.StatusUnavailable || status == idempotency.StatusAmbiguous
	if down != b.down {
		klog.InfoS("availability of the claim table changed", "down", down, "status", status)
	}
	b.down, b.probing, b.nextProbeAt = down, false, now.Add(b.probeInterval)
}
