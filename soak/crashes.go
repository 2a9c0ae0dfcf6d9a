package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// contactTime is how long a daemon must have run undisturbed before the time
	// limits of the platform's rules apply to it.
	contactTime = 3 * time.Second
	// allowedCrashes is the number of servers that a request may crash before it
	// must be kept from further ones.
	allowedCrashes = 3
	// maxLateSends is how often a request may still reach servers later than
	// contactTime after the last of these crashes.
	maxLateSends = 3
	// minDownTime and maxDownTime bound how long a crashed server is down.
	minDownTime = 500 * time.Millisecond
	maxDownTime = 2500 * time.Millisecond
)

// crashRequest is a request that crashes each server that runs it. Its caller
// sends it again and again, each time with a new ID and to any daemon.
type crashRequest struct {
	body, path string

	mu sync.Mutex
	// receivers holds the daemon that received each attempt, by ID.
	receivers map[string]*daemon
}

// newCrashRequest draws how a request crashes servers and its route.
func newCrashRequest(seed uint64, index int) *crashRequest {
	random := rand.New(rand.NewPCG(seed, uint64(index)+500))
	kind := []standin.CrashKind{standin.CrashAtStart, standin.CrashAfterEvent, standin.CrashSilent}[random.IntN(3)]
	paths := []string{"/stream/resumable/", "/stream/once/", "/look/", "/once/"}
	if kind == standin.CrashAfterEvent {
		paths = paths[:2]
	}
	return &crashRequest{body: standin.CrashBody(kind, index), path: paths[random.IntN(len(paths))], receivers: make(map[string]*daemon)}
}

// sendRepeatedly sends the request as one of its callers until the run ends.
func (c *crashRequest) sendRepeatedly(ctx context.Context, h *harness, index, sender int) {
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(index)+600+uint64(sender)<<16))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 4 * time.Second}}
	for n := 0; ctx.Err() == nil; n++ {
		d := h.daemons[random.IntN(len(h.daemons))]
		id := fmt.Sprintf("crash-%d-%d-%d-%d", h.options.Seed, index, sender, n)
		c.mu.Lock()
		c.receivers[id] = d
		c.mu.Unlock()
		path := c.path + "x"
		if h.options.ChangeQueries {
			path += "?page=" + strconv.Itoa(random.IntN(1000))
		}
		attemptCtx, cancel := context.WithTimeout(ctx, callerPatience)
		reply := standin.Send(attemptCtx, client, standin.Request{ID: id, Address: d.settings.Front, Host: hostName, Path: path,
			Key: apiKey, Deadline: requestDeadline, Body: c.body})
		cancel()
		h.checkRefusal(id, reply)
		sleep(ctx, time.Duration(50+random.IntN(250))*time.Millisecond)
	}
}

// callerPatience is how long the caller of a crashRequest waits before it sends
// the request again.
const callerPatience = 1500 * time.Millisecond

// check checks that the request is kept from servers after it has crashed
// allowedCrashes of them, by all daemons that run undisturbed.
func (c *crashRequest) check(h *harness) {
	sends := sendsOf(h, c.receivers)
	crashed := make(map[string]bool)
	var limitAt time.Time
	late := 0
	for _, s := range sends {
		if !limitAt.IsZero() && s.run.At.After(limitAt.Add(contactTime)) && !s.daemon.disturbedBetween(s.run.At.Add(-contactTime), s.run.At) {
			late++
		}
		crashed[s.run.Server] = true
		if len(crashed) == allowedCrashes && limitAt.IsZero() {
			limitAt = s.run.At
		}
	}
	if late > maxLateSends {
		h.addFinding("request %q on %s reached servers %d times later than %v after it had crashed %d of them; it crashed %d",
			c.body, c.path, late, contactTime, allowedCrashes, len(crashed))
	}
}

// checkReportedEnds checks that no daemon has attempts in progress, as its quarantine
// knows them, while none of its callers has a request in progress.
func (h *harness) checkReportedEnds() {
	client := &http.Client{Timeout: time.Second}
	for _, d := range h.daemons {
		running, err := metric(client, d.metricsAddress(), "monsooncrank_quarantine_running_attempts")
		if err != nil || running != 0 {
			h.addFinding("daemon %s has %g attempts in progress after the last request (error: %v)", d.settings.Node, running, err)
		}
	}
}

// crashSend is one arrival at a server of a request that crashes it.
type crashSend struct {
	run    standin.Run
	daemon *daemon
}
