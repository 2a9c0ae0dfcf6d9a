package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// allowedPartCrashes is the number of servers that requests with one part of their
	// prompts may crash before they must be kept from further ones.
	allowedPartCrashes = 5
	// crashPartShare is the share of the requests of crashPart that hold the part.
	crashPartShare = 0.4
	// minSoundRequests is the number of requests below which their share of successes is
	// not checked.
	minSoundRequests = 20
)

// crashPart is a part of prompts that crashes each server which begins an answer to a
// request with it. No two of these requests are alike; sound requests share their caller
// and all their other parts.
type crashPart struct {
	id, first, path string

	mu sync.Mutex
	// receivers holds the daemon that received each request with the part, by ID.
	receivers map[string]*daemon
	// sound holds the requests without the part.
	sound []soundRequest
}

// soundRequest is a request that shares parts with those that crash servers.
type soundRequest struct {
	sentAt    time.Time
	daemon    *daemon
	succeeded bool
}

// newCrashPart draws the route and the place of a part.
func newCrashPart(seed uint64, index int) *crashPart {
	random := rand.New(rand.NewPCG(seed, uint64(index)+1100))
	path := []string{resumablePath, "/stream/once/"}[random.IntN(2)]
	return &crashPart{id: standin.CrashPartID(index), first: fmt.Sprintf("f%d", index), path: path, receivers: make(map[string]*daemon)}
}

// sendRepeatedly sends requests with and without the part, to any daemon, until the run
// ends.
func (c *crashPart) sendRepeatedly(ctx context.Context, h *harness, index int) {
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(index)+1200))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 4 * time.Second}}
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		d := h.daemons[random.IntN(len(h.daemons))]
		id := fmt.Sprintf("part-%d-%d-%d", h.options.Seed, index, n)
		parts := []string{c.first, fmt.Sprintf("f%d%d", index, random.IntN(4))}
		crashing := random.Float64() < crashPartShare
		if crashing {
			parts = slices.Insert(parts, 1+random.IntN(2), c.id)
			c.mu.Lock()
			c.receivers[id] = d
			c.mu.Unlock()
		}
		running.Go(func() { c.send(ctx, h, client, d, id, append(parts, id), crashing) })
		sleep(ctx, time.Duration(50+random.IntN(250))*time.Millisecond)
	}
}

func (c *crashPart) send(ctx context.Context, h *harness, client *http.Client, d *daemon, id string, parts []string, crashing bool) {
	sentAt := time.Now()
	attemptCtx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	reply := standin.Send(attemptCtx, client, standin.Request{ID: id, Address: d.settings.Front, Host: hostName, Path: c.path + "x",
		Key: apiKey, Deadline: requestDeadline, Parts: parts})
	h.checkRefusal(id, reply)
	if reply.Status == http.StatusOK {
		h.checkStream(d, id, sentAt, reply)
	}
	if crashing || ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound = append(c.sound, soundRequest{sentAt: sentAt, daemon: d, succeeded: reply.Err == nil && reply.Status == http.StatusOK})
}

// check checks that requests with the part are kept from servers once it has crashed
// allowedPartCrashes of them, and that those without it are served.
func (c *crashPart) check(h *harness) {
	sends := sendsOf(h, c.receivers)
	crashed := make(map[string]bool)
	var limitAt, lastCrashAt time.Time
	late := 0
	for _, s := range sends {
		if !limitAt.IsZero() && s.run.At.After(limitAt.Add(contactTime)) && !s.daemon.disturbedBetween(s.run.At.Add(-contactTime), s.run.At) {
			late++
		}
		crashed[s.run.Server] = true
		lastCrashAt = s.run.At
		if len(crashed) == allowedPartCrashes && limitAt.IsZero() {
			limitAt = s.run.At
		}
	}
	if late > maxLateSends {
		h.addFinding("requests with part %q on %s reached servers %d times later than %v after %d of them had crashed; %d crashed",
			c.id, c.path, late, contactTime, allowedPartCrashes, len(crashed))
	}
	if limitAt.IsZero() {
		limitAt = lastCrashAt
	}
	c.checkSound(h, limitAt.Add(2*contactTime))
}

// checkSound checks that requests without the part are served about as often as others.
func (c *crashPart) checkSound(h *harness, from time.Time) {
	sent, succeeded := 0, 0
	for _, s := range c.sound {
		if s.sentAt.After(from) && !s.daemon.disturbedBetween(s.sentAt.Add(-contactTime), s.sentAt.Add(requestDeadline)) {
			sent++
			if s.succeeded {
				succeeded++
			}
		}
	}
	h.mu.Lock()
	usual := float64(h.succeeded) / float64(max(h.sent, 1))
	h.mu.Unlock()
	if sent >= minSoundRequests && float64(succeeded) < usual/2*float64(sent) {
		h.addFinding("requests without part %q on %s that share others with those that crash servers succeeded in %d of %d cases, other requests in %.0f %%",
			c.id, c.path, succeeded, sent, 100*usual)
	}
}

// sendsOf returns the arrivals at servers of requests, given the daemon that received
// each, oldest first.
func sendsOf(h *harness, receivers map[string]*daemon) []crashSend {
	var sends []crashSend
	for id, d := range receivers {
		for _, run := range h.ledger.Runs(id) {
			sends = append(sends, crashSend{run: run, daemon: d})
		}
	}
	slices.SortFunc(sends, func(a, b crashSend) int { return a.run.At.Compare(b.run.At) })
	return sends
}
