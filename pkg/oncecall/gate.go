package oncecall

import (
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"k8s.io/klog/v2"
)

// gate refuses claims at once while the table is down, but for one probe at a
// time. Without it each claim would wait for the table's timeout, and callers
// would be told near their deadlines what is known before.
type gate struct {
	interval time.Duration

	mu      sync.Mutex
	down    bool
	probing bool
	probeAt time.Time
}

// enter reports whether a claim may be tried.
func (g *gate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.down {
		return true
	}
	if g.probing || now.Before(g.probeAt) {
		return false
	}
	g.probing = true
	return true
}

// leave takes the end of a claim that was tried.
func (g *gate) leave(now time.Time, status idempotency.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	down := status == idempotency.StatusUnavailable || status == idempotency.StatusAmbiguous
	if down != g.down {
		klog.InfoS("table for claims", "down", down, "status", status)
	}
	g.down, g.probing, g.probeAt = down, false, now.Add(g.interval)
}
