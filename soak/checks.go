package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// sortedNames returns the server IDs in a fixed order.
func sortedNames(servers map[string]*standin.Server) []string {
	return slices.Sorted(maps.Keys(servers))
}

// runCaller sends requests as one caller until the run ends. It keeps its
// connections open and uses the daemon that a load balancer would choose for it.
func (h *harness) runCaller(ctx context.Context, callerIndex int) {
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(callerIndex)+100))
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 4 * time.Second}
	client := &http.Client{Transport: transport}
	readyClient := &http.Client{Timeout: 500 * time.Millisecond}
	d := h.daemons[callerIndex%len(h.daemons)]
	checkedAt := time.Time{}
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(checkedAt) > time.Second {
			// A load balancer checks readiness once a second and allows two
			// failed checks. Here the caller moves to another daemon after the
			// first failed check.
			checkedAt = time.Now()
			for tries := 0; tries < 2*len(h.daemons) && !standin.Ready(readyClient, d.settings.Ready); tries++ {
				d = h.daemons[random.IntN(len(h.daemons))]
			}
		}
		path := []string{"/once/", "/once/", "/look/", resumablePath, "/stream/once/"}[random.IntN(5)]
		id := fmt.Sprintf("%d-%d-%d", h.options.Seed, callerIndex, n)
		if path == resumablePath {
			h.runStream(client, random, d, id, h.usualPlan())
		} else {
			at := time.Now()
			reply := h.send(client, d, path, standin.Request{ID: id})
			h.recordFirstTry(firstTry{at: at, daemon: d, served: reply.Err == nil && reply.Status == http.StatusOK})
			h.checkAnswer(d, id, path, at, reply)
			if h.options.BrittleMost > 0 && callerIndex%impatientCallers != 0 {
				time.Sleep(retryAfter(reply))
			}
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// impatientCallers is the number of callers of which one does not wait as Retry-After says.
const impatientCallers = 4

// retryAfter returns how long a caller waits after a refusal: up to a third of its deadline.
func retryAfter(reply standin.Response) time.Duration {
	seconds, err := strconv.ParseFloat(reply.RetryAfter, 64)
	if err != nil || reply.Status == http.StatusOK {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), requestDeadline/3)
}

// send sends one attempt to a daemon and checks what does not depend on its answer's
// content.
func (h *harness) send(client *http.Client, d *daemon, path string, request standin.Request) standin.Response {
	id := request.ID
	starts, stoppingAt := d.state()
	h.mu.Lock()
	h.receivers[id], h.sentAt[id] = d, time.Now()
	h.mu.Unlock()
	request.Address, request.Host, request.Path, request.Key, request.Deadline = d.settings.Front, hostName, path+"x", apiKey, requestDeadline
	reply := standin.Send(context.Background(), client, request)
	h.mu.Lock()
	h.sent++
	if reply.Err == nil && reply.Status == http.StatusOK {
		h.succeeded++
	}
	if reply.Err == nil && reply.Status == http.StatusTooManyRequests {
		h.overLimit++
	}
	h.mu.Unlock()
	h.recordLimit(d, reply)
	h.recordLeaving(d, id, reply)
	h.checkRefusal(id, reply)
	if h.planned {
		h.checkNotInterrupted(d, id, path, starts, stoppingAt, reply)
	}
	return reply
}

// checkAnswer checks that a successful answer is complete and belongs to the
// request, and that one which breaks off holds nothing but events of its stream.
func (h *harness) checkAnswer(d *daemon, id, path string, at time.Time, reply standin.Response) {
	if reply.Status != http.StatusOK {
		return
	}
	if strings.HasPrefix(path, "/stream/") {
		h.checkStream(d, id, at, reply)
		return
	}
	if reply.Err == nil && reply.Body != standin.ResponseBody(id) {
		h.addFinding("request %s got an unexpected body: %.60q", id, reply.Body)
	}
}

// checkRefusal checks that a once-only request did not run if its answer says
// that it did not.
func (h *harness) checkRefusal(id string, reply standin.Response) {
	refused := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if reply.Err != nil || !slices.Contains(refused, reply.Status) {
		return
	}
	if runs := h.ledger.Runs(id); len(runs) > 0 && strings.Contains(runs[0].Path, "/once/") {
		h.addFinding("request %s was refused with status %d but ran on server %s", id, reply.Status, runs[0].Server)
	}
}

// checkNotInterrupted checks that planned stops neither refuse requests nor
// interrupt running ones. A request that fails without having run is no violation:
// it was sent while the daemon closed the idle connection, and was not forwarded.
func (h *harness) checkNotInterrupted(d *daemon, id, path string, starts int, stoppingAt time.Time, reply standin.Response) {
	if reply.Err == nil && reply.Status < http.StatusInternalServerError {
		return
	}
	if reply.Err == nil && (reply.Status == http.StatusServiceUnavailable) {
		h.addFinding("request %s (%s) was refused in a run without faults", id, path)
		return
	}
	if len(h.ledger.Runs(id)) == 0 {
		return
	}
	currentStarts, _ := d.state()
	h.addFinding("request %s (%s) to daemon %s ran but was interrupted: status %d, %v; daemon start %d before and %d after, stopping since %v",
		id, path, d.settings.Node, reply.Status, reply.Err, starts, currentStarts, stoppingAt)
}

// checkFinalState checks, at the end of the run, that once-only requests ran at
// most once, that requests ran for the right account, that duties were held
// without violations and that every published configuration is in force.
func (h *harness) checkFinalState() {
	for id, runs := range h.ledger.All() {
		once := strings.Contains(runs[0].Path, "/once/")
		if once && len(runs) > 1 {
			h.addFinding("request %s ran %d times", id, len(runs))
		}
		for _, run := range runs {
			if run.Account != "account" {
				h.addFinding("request %s ran for account %q", id, run.Account)
			}
		}
	}
	for _, violation := range h.cloud.Violations() {
		h.addFinding("duty violation: %s", violation)
	}
	for _, c := range h.crashRequests {
		c.check(h)
	}
	for _, c := range h.crashParts {
		c.check(h)
	}
	h.checkLeavingServers()
	h.checkReportedEnds()
	h.checkStreams()
	h.checkLimits()
	h.checkStatements()
	h.checkUsage()
	h.checkDutiesResumed()
	h.checkCuts()
	h.checkBrittle()
	h.checkRollout()
	client := &http.Client{}
	for _, d := range h.daemons {
		for v := 1; v <= h.version; v++ {
			id := fmt.Sprintf("marker-%s-%d", d.settings.Node, v)
			reply := standin.Send(context.Background(), client, standin.Request{ID: id, Address: d.settings.Front, Host: hostName,
				Path: markerPrefix(v) + "x", Key: apiKey, Deadline: requestDeadline})
			if reply.Err == nil && reply.Status == http.StatusNotFound {
				h.addFinding("configuration %d of %d is not in force on daemon %s", v, h.version, d.settings.Node)
				break
			}
		}
	}
}
