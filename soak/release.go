package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// Release is what happens beside a loss of all daemons: servers of a new software version come into
// service right before, and some servers leave at the same moment.
type Release int

// Releases.
const (
	// ReleaseNone is a loss of all daemons without a release.
	ReleaseNone Release = iota
	// ReleaseTakenBack lets the new servers leave.
	ReleaseTakenBack
	// ReleaseFinished lets all others leave.
	ReleaseFinished
	// ReleaseBeside lets both go on.
	ReleaseBeside
)

// String returns the name of the release in test names.
func (r Release) String() string {
	return [...]string{"no release", "taken back", "finished", "beside"}[r]
}

const (
	// releasedServers is the number of servers of a new version.
	releasedServers = 2
	// minReleaseLead and maxReleaseLead bound how long before the loss they come into service. The
	// first streams begin there when daemons have seen them, some 0.5 s later.
	minReleaseLead = 300 * time.Millisecond
	maxReleaseLead = 1200 * time.Millisecond
	// daemonsDownTime is how long the daemons are down.
	daemonsDownTime = 300 * time.Millisecond
	// unknownVersionDetail is what a daemon states when it refuses to take a stream up because it
	// does not know its version.
	unknownVersionDetail = "version of the stream not known"
)

// loseAllBeside kills all daemons at a time, beside a release of the service of streams.
func (h *harness) loseAllBeside(ctx context.Context, number int, at time.Duration, release Release) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1200+uint64(number)))
	lead := minReleaseLead + time.Duration(random.Int64N(int64(maxReleaseLead-minReleaseLead)))
	sleep(ctx, at)
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	var before, added []*standin.Server
	for _, name := range sortedNames(h.servers) {
		if s := h.servers[name]; s.Service == "models" {
			before = append(before, s)
		}
	}
	h.mu.Unlock()
	if release != ReleaseNone {
		h.mu.Lock()
		h.released = fmt.Sprint("r", number+1)
		h.mu.Unlock()
		for range releasedServers {
			s, err := h.startServer("models", nil)
			if err != nil {
				h.addFinding("server of a release failed to start: %v", err)
				return
			}
			h.mu.Lock()
			h.servers[s.ID] = s
			h.mu.Unlock()
			added = append(added, s)
		}
		sleep(ctx, lead)
	}
	leaving := map[Release][]*standin.Server{ReleaseTakenBack: added, ReleaseFinished: before}[release]
	for _, d := range h.daemons {
		d.signal(syscall.SIGKILL)
	}
	h.leaveAtOnce(leaving)
	time.Sleep(daemonsDownTime)
	var starting sync.WaitGroup
	for _, d := range h.daemons {
		starting.Go(func() {
			d.wait()
			if err := d.start(); err != nil {
				h.addFinding("daemon %s failed to start: %v", d.settings.Node, err)
			}
		})
	}
	starting.Wait()
}

// leaveAtOnce ends servers and removes their entries.
func (h *harness) leaveAtOnce(servers []*standin.Server) {
	var leaving sync.WaitGroup
	for _, s := range servers {
		h.mu.Lock()
		delete(h.servers, s.ID)
		h.leavingServers = append(h.leavingServers, s)
		h.mu.Unlock()
		leaving.Go(func() { s.Drain(0, false) })
	}
	leaving.Wait()
}

// countTakeUp counts an answer to a try to take a stream up while servers of its version serve.
func (h *harness) countTakeUp(reply standin.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeUps++
	if strings.Contains(reply.Body, unknownVersionDetail) {
		h.takeUpsUnknown++
	}
}
