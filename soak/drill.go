package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// copyInterval is the time between two copies of the store, of which the last maxCopies are
	// kept for drills.
	copyInterval = 250 * time.Millisecond
	maxCopies    = 40
	// maxStoreAbsence is the longest time for which the store is away before it returns from a copy.
	maxStoreAbsence = 1200 * time.Millisecond
	// maxRewriteDelay is the longest time after which the operator writes again.
	maxRewriteDelay = time.Second
	// entryExpiry is the time after which the platform removes the entry of a server that is silent.
	entryExpiry = 3 * standin.HeartbeatInterval
)

// The operator's table, and the key of its order for a roll-out.
const (
	tableOperator = "op"
	keyRollout    = "rollout/" + rolloutService
)

// drills holds what is known of the drills of a run.
type drills struct {
	count int
	// lastEndedAt is when all was written again after the last of them.
	lastEndedAt time.Time
}

// drillRepeatedly lets the store return from a copy again and again, at times twice in a row. Servers
// write their entries again by themselves.
func (h *harness) drillRepeatedly(ctx context.Context, pause time.Duration) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1000))
	var running sync.WaitGroup
	defer running.Wait()
	var copies []standin.Copy
	next := time.Now().Add(pause/2 + time.Duration(random.Int64N(int64(pause))))
	for ctx.Err() == nil {
		copies = append(copies, h.store.Copy())
		copies = copies[max(len(copies)-maxCopies, 0):]
		sleep(ctx, copyInterval)
		if time.Now().Before(next) {
			continue
		}
		order := h.store.Value(tableOperator, keyRollout)
		h.drill(ctx, random, copies[random.IntN(len(copies))])
		copies = nil
		delay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
		running.Go(func() { h.writeAgain(delay, order) })
		next = time.Now().Add(pause/2 + time.Duration(random.Int64N(int64(pause))))
		if random.IntN(3) == 0 {
			next = time.Now().Add(time.Duration(random.Int64N(int64(time.Second))))
		}
	}
}

// drill lets the store be away for a moment and return from a copy.
func (h *harness) drill(ctx context.Context, random *rand.Rand, c standin.Copy) {
	defer h.disturb(storeName, time.Now())
	if random.IntN(3) > 0 {
		h.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
		sleep(ctx, time.Duration(random.Int64N(int64(maxStoreAbsence))))
	}
	h.store.Restore(c)
	h.store.SetFaults(standin.Faults{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drills.count++
}

// writeAgain writes the operator's rows again, and removes the entries of servers that have left.
func (h *harness) writeAgain(delay time.Duration, order []byte) {
	defer h.disturb(storeName, time.Now())
	time.Sleep(delay)
	h.store.PutConfiguration(h.configuration())
	if order != nil {
		h.store.Put(tableOperator, keyRollout, order)
	}
	time.Sleep(max(entryExpiry-delay, 0))
	h.mu.Lock()
	servers := append([]*standin.Server(nil), h.allServers...)
	h.drills.lastEndedAt = time.Now()
	h.mu.Unlock()
	for _, s := range servers {
		s.ExpireEntry()
	}
}

// cutFromPlatform cuts one daemon after the other off from the store and the cloud API for a while.
// What they have sent and is not delivered arrives after the cut, unless they have reset its
// connection.
func (h *harness) cutFromPlatform(ctx context.Context, pause time.Duration) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1100))
	for ctx.Err() == nil {
		sleep(ctx, pause/2+time.Duration(random.Int64N(int64(pause))))
		node := h.daemons[random.IntN(len(h.daemons))].settings.Node
		duration := time.Duration(200+random.IntN(9000)) * time.Millisecond
		var running sync.WaitGroup
		for _, link := range []string{node, cloudLink(node)} {
			running.Go(func() { h.linkFault(ctx, link, Blackhole, duration) })
		}
		running.Wait()
	}
}

// cloudLink returns the name of a daemon's link to the cloud API.
func cloudLink(node string) string { return node + "/cloud" }

// dutiesResumeTime is the time after a drill by which the duties are performed again: the lease of
// the former holder has ended, its calls have too, and the next holder has noticed.
const dutiesResumeTime = 12 * time.Second

// checkDutiesResumed checks that usage is reported again after the last drill, if callers sent
// requests and no further fault could keep daemons from it for long enough.
func (h *harness) checkDutiesResumed() {
	h.mu.Lock()
	count, endedAt := h.drills.count, h.drills.lastEndedAt
	h.mu.Unlock()
	served := h.callersEndedAt.Sub(endedAt) >= 2*reportedWindow
	if count == 0 || !h.options.NoFaults || !served || time.Since(endedAt) < dutiesResumeTime {
		return
	}
	for window := range h.cloud.Reports() {
		if time.Unix(0, window*int64(reportedWindow)).After(endedAt) {
			return
		}
	}
	h.addFinding("no usage window since %s was reported, %s after the last of %d drills", endedAt.Format(time.TimeOnly), time.Since(endedAt).Round(time.Second), count)
}
