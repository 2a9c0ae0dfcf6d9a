package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// InPlace states how servers of streams start again under their IDs and at their addresses with
// another software version, and soon end that run too.
type InPlace struct {
	// Pause is the mean time from the end of one of them to the next.
	Pause time.Duration
	// StoreAway is the share of them during which the store answers nothing, so that no daemon
	// learns of the run in between.
	StoreAway float64
	// Quiet lets no stream be in progress or begin until the server is back, as in a planned upgrade.
	// Daemons that have seen a server fail avoid it for a while.
	Quiet bool
}

const (
	// minOutageLead is the least time from the begin of an outage to the end of a server's run:
	// writes and watches in progress have ended by then.
	minOutageLead = 300 * time.Millisecond
	// longStreamPath is the path of streams that last about a second.
	longStreamPath = resumablePath + standin.LongStreams
	// longStreamTries and longStreamPause are the number of tries of their callers and the longest
	// pause between two of them.
	longStreamTries = 6
	longStreamPause = 1200 * time.Millisecond
	// maxIdleTime is the longest time from the end of a stream to the next of its caller.
	maxIdleTime = 800 * time.Millisecond
)

// startInPlace lets one server of streams after the other start again in place.
func (h *harness) startInPlace(ctx context.Context, p *InPlace) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1300))
	for {
		sleep(ctx, p.Pause/2+time.Duration(random.Int64N(int64(p.Pause))))
		if ctx.Err() != nil {
			return
		}
		s := h.pickStreamServer(random)
		r := inPlaceRestart{server: s, lead: minOutageLead + time.Duration(random.IntN(500))*time.Millisecond, lifetime: time.Duration(800+random.IntN(2200)) * time.Millisecond,
			down: [2]time.Duration{time.Duration(100+random.IntN(700)) * time.Millisecond, time.Duration(100+random.IntN(700)) * time.Millisecond}, skip: random.IntN(2)}
		storeAway := random.Float64() < p.StoreAway
		if s == nil {
			continue
		}
		h.unsettle(s, 1)
		if p.Quiet {
			h.streamGate.Lock()
		}
		var outage sync.WaitGroup
		if storeAway {
			outage.Go(func() {
				h.storeFault(ctx, standin.Faults{Status: http.StatusServiceUnavailable}, r.lead+r.lifetime+r.down[0]+r.down[1])
			})
			sleep(ctx, r.lead)
		}
		h.playInPlace(ctx, &r, p.Quiet)
		outage.Wait()
		time.AfterFunc(contactTime, func() { h.unsettle(s, -1) })
	}
}

// inPlaceRestart is what happens to a server that starts again in place: it does so lead after the
// begin of an outage of the store, and ends the new run after its lifetime. It is down twice, and
// skip is the number of versions that are left out at its second start.
type inPlaceRestart struct {
	server         *standin.Server
	lead, lifetime time.Duration
	down           [2]time.Duration
	skip           int
}

// playInPlace starts a server again in place twice. It opens the gate of streams after the first time
// if quiet is set.
func (h *harness) playInPlace(ctx context.Context, r *inPlaceRestart, quiet bool) {
	r.server.StartAgain(h.versionAfter(r.server.SoftwareVersion(), 0), r.down[0])
	if quiet {
		h.streamGate.Unlock()
	}
	sleep(ctx, r.lifetime)
	r.server.StartAgain(h.versionAfter(r.server.SoftwareVersion(), r.skip), r.down[1])
}

// pickStreamServer draws a server of streams that is in service, or none.
func (h *harness) pickStreamServer(random *rand.Rand) *standin.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	var servers []*standin.Server
	for _, id := range sortedNames(h.servers) {
		if s := h.servers[id]; s.Service == "models" {
			servers = append(servers, s)
		}
	}
	index := random.Int()
	if len(servers) == 0 {
		return nil
	}
	return servers[index%len(servers)]
}

// versionAfter returns another version than the given one, of those of the run and at least two.
func (h *harness) versionAfter(version string, skip int) string {
	var others []string
	for n := range max(h.options.Versions, 2) {
		if v := fmt.Sprint("v", n+1); v != version {
			others = append(others, v)
		}
	}
	return others[skip%len(others)]
}

// unsettle counts what changes the run of a server while daemons may not have learned of it.
func (h *harness) unsettle(s *standin.Server, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unsettled[s] += n
	if n > 0 {
		h.startedInPlace++
	}
}

// runStreamCaller sends long streams as one caller until the run ends.
func (h *harness) runStreamCaller(ctx context.Context, index int) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1400+uint64(index)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 4 * time.Second}}
	for n := 0; ctx.Err() == nil; n++ {
		h.runStream(client, random, h.retryDaemon(random), fmt.Sprintf("long-%d-%d-%d", h.options.Seed, index, n),
			streamPlan{path: longStreamPath, tries: longStreamTries, pause: longStreamPause})
		sleep(ctx, time.Duration(random.Int64N(int64(maxIdleTime))))
	}
}
