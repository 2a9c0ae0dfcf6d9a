package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// pauseReaction is how long after a server has asked a daemon for a pause requests do not
	// count, and allowedInPause how many may reach it then until the end of the pause.
	pauseReaction  = 500 * time.Millisecond
	allowedInPause = 2
	// lapseTime is how long an entry lapses: longer than requests to a server that has said
	// that it leaves are allowed.
	lapseTime = drainLimit + 1500*time.Millisecond
	// statementTime is how long a server that has said that it leaves serves on, and how long
	// one turns requests away.
	statementTime = 7 * time.Second
	// slowTime is added to requests, so that some are in progress when an entry lapses.
	slowTime = 400 * time.Millisecond
)

// leavingNotice is when a caller had an answer which states that a run of its server leaves. That run
// may have ended, and the next one begun, while the answer went on.
type leavingNotice struct {
	at  time.Time
	run int64
}

// isOfAnotherRun reports whether a run of the server is not the one that leaves. If the ledger does not
// tell which that is, the runs that began later are others.
func (n leavingNotice) isOfAnotherRun(run int64) bool {
	if n.run == 0 {
		return time.UnixMilli(run).After(n.at)
	}
	return run != n.run
}

// recordLeaving records that a daemon has passed on an answer to a request which states that its
// server leaves.
func (h *harness) recordLeaving(d *daemon, id string, reply standin.Response) {
	if !reply.Leaving || reply.Server == "" {
		return
	}
	notice := leavingNotice{at: time.Now()}
	runs := h.ledger.Runs(id)
	for _, run := range runs {
		// The head of a stream is that of the run which began it.
		if run.ServerID == reply.Server && run.After == runs[0].After {
			notice.run = run.Start
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.toldLeaving[reply.Server] == nil {
		h.toldLeaving[reply.Server] = make(map[*daemon][]leavingNotice)
	}
	h.toldLeaving[reply.Server][d] = append(h.toldLeaving[reply.Server][d], notice)
}

// makeStatements lets one server after the other say that it leaves or ask for pauses.
func (h *harness) makeStatements(ctx context.Context, every time.Duration) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1000))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		sleep(ctx, every)
		if ctx.Err() != nil {
			return
		}
		h.mu.Lock()
		names := sortedNames(h.servers)
		s := h.servers[names[random.IntN(len(names))]]
		h.mu.Unlock()
		lapses, never := random.IntN(2) == 0, random.IntN(2) == 0
		faults := standin.ServerFaults{TurnAway: []float64{0.3, 1}[random.IntN(2)], Unstated: random.IntN(3) == 0,
			RetryAfter: []string{"0.4", "1.5", "4", "4", "600", "soon", "-1"}[random.IntN(7)]}
		if n%2 == 0 {
			running.Go(func() { h.leaveByAnswer(s, lapses, never) })
		} else {
			running.Go(func() { h.askForPauses(ctx, s, &faults, lapses) })
		}
	}
}

// leaveByAnswer replaces a server that says in its answers that it leaves. Its entry states
// that when the server stops, or never; it may lapse and return meanwhile.
func (h *harness) leaveByAnswer(s *standin.Server, lapses, never bool) {
	h.mu.Lock()
	_, found := h.servers[s.ID]
	delete(h.servers, s.ID)
	h.mu.Unlock()
	if !found {
		return
	}
	if err := h.addServer(s.Service); err != nil {
		h.addFinding("replacement server failed to start: %v", err)
	}
	time.Sleep(2 * time.Second)
	if lapses {
		s.SetFaults(standin.ServerFaults{Slow: slowTime})
		go s.Lapse(lapseTime)
		time.Sleep(slowTime / 2)
	}
	s.SayLeaving()
	time.Sleep(statementTime)
	h.mu.Lock()
	h.leavingServers = append(h.leavingServers, s)
	h.mu.Unlock()
	s.Drain(time.Second, !never)
}

// askForPauses lets a server turn requests away and ask for pauses. Its entry may lapse and
// return meanwhile.
func (h *harness) askForPauses(ctx context.Context, s *standin.Server, faults *standin.ServerFaults, lapses bool) {
	s.SetFaults(*faults)
	if lapses {
		sleep(ctx, pauseReaction)
		go s.Lapse(pauseReaction)
	}
	sleep(ctx, statementTime)
	s.SetFaults(h.usualFaults())
}

// checkStatements checks that servers which have told a daemon that they leave, or that they
// want nothing for a time, get no more from it than is allowed.
func (h *harness) checkStatements() {
	for _, s := range h.allServers {
		pauses := s.Pauses()
		h.pauseCount += len(pauses)
		for _, told := range h.toldLeaving[s.ID] {
			h.toldCount += len(told)
		}
		_, arrivals := s.Limits()
		h.checkTold(s, arrivals)
		h.checkPauses(s, pauses, arrivals)
	}
}

// checkTold checks that no request reaches a server from a daemon that was sent later than
// drainLimit after the daemon had passed on that the server leaves.
func (h *harness) checkTold(s *standin.Server, arrivals []standin.Arrival) {
	late := make(map[*daemon][]string)
	for _, a := range arrivals {
		d, sentAt := h.daemonsByAddress[a.From], h.sentAt[a.Request]
		for _, told := range h.toldLeaving[s.ID][d] {
			if sentAt.IsZero() || sentAt.Sub(told.at) <= drainLimit || told.isOfAnotherRun(a.Run) || d.disturbedBetween(told.at, a.At) {
				continue
			}
			late[d] = append(late[d], fmt.Sprintf("%s (sent %v after)", a.Request, sentAt.Sub(told.at)))
			break
		}
	}
	for d, requests := range late {
		h.addFinding("%d requests reached server %s from daemon %s, which had passed on that it leaves, such as %s", len(requests), s.ID, d.settings.Node, requests[0])
	}
}

// checkPauses checks that at most allowedInPause requests of a daemon reach a server in a
// pause that it has asked the daemon for.
func (h *harness) checkPauses(s *standin.Server, pauses []standin.Pause, arrivals []standin.Arrival) {
	worst := make(map[*daemon]string)
	most := make(map[*daemon]int)
	for _, p := range pauses {
		d := h.daemonsByAddress[p.From]
		if d == nil {
			continue
		}
		n := 0
		var last standin.Arrival
		for _, a := range arrivals {
			if a.At.After(p.At.Add(pauseReaction)) && a.At.Before(p.Until) && a.Run == p.Run && a.From == p.From && !h.isCutBetween(d, p.At, a.At) {
				n, last = n+1, a
			}
		}
		if n > max(allowedInPause, most[d]) && !d.disturbedBetween(p.At, last.At) {
			most[d], worst[d] = n, fmt.Sprintf("of %v after %s, the last %s after %v", p.Until.Sub(p.At), p.Request, last.Request, last.At.Sub(p.At))
		}
	}
	for d, pause := range worst {
		h.addFinding("%d requests from daemon %s reached server %s in a pause that it had asked for, %s", most[d], d.settings.Node, s.ID, pause)
	}
}

// Statements describes how much the servers said of themselves.
func (r Report) Statements() string {
	return strconv.Itoa(r.Told) + " answers of leaving servers, " + strconv.Itoa(r.Paused) + " pauses"
}
