package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// resumablePath is the path of streams that may be taken up.
	resumablePath = "/stream/resumable/"
	// streamEvents is the number of events of a stream.
	streamEvents = 12
	// maxTries is how often the caller of a stream sends it by default.
	maxTries = 4
	// allowedMixed is the number of streams of a run that may hold events of two versions.
	allowedMixed = 2
	// minResumed is the number of streams taken up from which on their share is checked,
	// and minSameVersion that of the servers of their version.
	minResumed     = 12
	minSameVersion = 2
)

// streamPlan is how a caller sends a stream: its path, how often, and the longest pause between two
// tries.
type streamPlan struct {
	path  string
	tries int
	pause time.Duration
}

// usualPlan is how most callers send streams.
func (h *harness) usualPlan() streamPlan {
	return streamPlan{path: resumablePath, tries: cmp.Or(h.options.StreamTries, maxTries), pause: 100 * time.Millisecond}
}

// runStream sends a stream, takes it up at any daemon when it breaks off, and records
// what came of each try.
func (h *harness) runStream(client *http.Client, random *rand.Rand, d *daemon, id string, plan streamPlan) {
	var tries []streamTry
	version, last := "", 0
	request := standin.Request{ID: id}
	for try := range plan.tries {
		if try > 0 {
			request.ID = fmt.Sprintf("%s-%d", id, try)
			d = h.retryDaemon(random)
		}
		request.LastEventID = strconv.Itoa(last)
		t := streamTry{id: request.ID, daemon: d, at: time.Now(), after: last, resumes: last > 0}
		if t.resumes {
			t.servers = h.servingAt(version)
		}
		h.streamGate.RLock()
		reply := h.send(client, d, plan.path, request)
		h.streamGate.RUnlock()
		t.received(reply)
		if t.resumes {
			t.servers = min(t.servers, h.servingAt(version))
			if t.servers > 0 && reply.Status != 0 {
				h.countTakeUp(reply)
			}
		} else if t.progressed() {
			request.Resumes, version = request.ID, t.events[0].Version
		}
		for _, e := range t.events {
			last = max(last, e.Number)
		}
		tries = append(tries, t)
		if t.complete() {
			break
		}
		time.Sleep(time.Duration(20+random.IntN(int(plan.pause.Milliseconds()))) * time.Millisecond)
	}
	h.endStream(id, tries)
}

// retryDaemon returns the daemon for a further try of a stream. In runs with planned stops only,
// it is one to which a load balancer would send the try: every refusal is a finding there.
func (h *harness) retryDaemon(random *rand.Rand) *daemon {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	d := h.daemons[random.IntN(len(h.daemons))]
	for tries := 0; h.planned && tries < 2*len(h.daemons) && !standin.Ready(client, d.settings.Ready); tries++ {
		d = h.daemons[random.IntN(len(h.daemons))]
	}
	return d
}

// servingAt returns the number of servers of a version that accept streams and of whose runs daemons
// may know.
func (h *harness) servingAt(version string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.servers {
		if s.Service == "models" && h.unsettled[s] == 0 && s.Serves(version) {
			n++
		}
	}
	return n
}

// checkStreams checks that streams hold events of one version only, and that streams
// which are taken up are not refused much more often than new ones. While no daemon reaches
// servers, streams are cut and all tries to take them up fail.
func (h *harness) checkStreams() {
	allowed := allowedMixed
	if len(h.options.Releases) > 0 {
		allowed = 0
	}
	if len(h.joinedStreams) > allowed {
		h.addFinding("%d streams hold events of two software versions, such as %s", len(h.joinedStreams), h.joinedStreams[0])
	}
	var begun, begunTries, resumed, resumedTries float64
	cut := 0
	for i := range h.streamTries {
		t := &h.streamTries[i]
		if !h.inTouch(t.daemon, t.at) || h.allCutAt(t.at) {
			continue
		}
		if h.isCutBetween(t.daemon, t.at, t.at) {
			cut++
		}
		progressed := 0.0
		if t.progressed() {
			progressed = 1
		}
		switch {
		case !t.resumes:
			begun, begunTries = begun+progressed, begunTries+1
		case t.servers >= minSameVersion:
			resumed, resumedTries = resumed+progressed, resumedTries+1
		}
	}
	h.resumed, h.resumedTries = int(resumed), int(resumedTries)
	if resumedTries >= minResumed && begunTries > 0 && resumed/resumedTries < begun/begunTries/2 {
		h.fewTakenUp = fmt.Sprintf("of %g streams taken up %g went on, of %g new ones %g began; %d of these tries were at daemons cut off from servers", resumedTries, resumed, begunTries, begun, cut)
	}
}
