package soak

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// limitWindow is the window in which requests to a server with a request limit are
	// counted, limitFactor and limitSlack by how much they may exceed it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	// toldDelay is how long after a daemon has passed on an answer that states a limit
	// its requests count.
	toldDelay = 500 * time.Millisecond
)

// stateLimit makes a server state a request limit for a while.
func stateLimit(ctx context.Context, s *standin.Server, perSecond float64, duration time.Duration) {
	s.StateLimit(perSecond)
	sleep(ctx, duration)
	s.EndLimit()
}

// recordLimit records that a daemon has passed on an answer that states a limit.
func (h *harness) recordLimit(d *daemon, reply standin.Response) {
	if !reply.Limited || reply.Err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.told[reply.Server] == nil {
		h.told[reply.Server] = make(map[*daemon][]time.Time)
	}
	h.told[reply.Server][d] = append(h.told[reply.Server][d], time.Now())
}

// isTold reports whether a daemon has passed on an answer of a server that states the
// limit, and has run undisturbed since.
func (h *harness) isTold(s *standin.Server, d *daemon, l *standin.Limit, at time.Time) bool {
	for _, told := range h.told[s.ID][d] {
		if told.After(l.From) && told.Before(at.Add(-toldDelay)) && !d.disturbedBetween(told, at) {
			return true
		}
	}
	return false
}

// checkLimits checks that servers that state a request limit get no more than that,
// with its tolerance, from the daemons that know of it.
func (h *harness) checkLimits() {
	for _, s := range h.allServers {
		limits, arrivals := s.Limits()
		for i := range limits {
			h.checkLimit(s, &limits[i], arrivals)
		}
	}
}

func (h *harness) checkLimit(s *standin.Server, l *standin.Limit, arrivals []standin.Arrival) {
	allowed := limitFactor*l.PerSecond*limitWindow.Seconds() + limitSlack
	var counted []time.Time
	most, mostAt := 0, time.Time{}
	for _, a := range arrivals {
		d := h.receivers[a.Request]
		if a.At.Before(l.From) || !l.To.IsZero() && a.At.After(l.To) || d == nil || !h.isTold(s, d, l, a.At) {
			continue
		}
		counted = append(counted, a.At)
		for counted[0].Before(a.At.Add(-limitWindow)) {
			counted = counted[1:]
		}
		if a.At.After(l.From.Add(contactTime)) && len(counted) > most {
			most, mostAt = len(counted), a.At
		}
	}
	if float64(most) > allowed {
		h.addFinding("server %s with a limit of %g a second got %d requests in %v from daemons that it had told, %v after it had stated the limit; allowed %g",
			s.ID, l.PerSecond, most, limitWindow, mostAt.Sub(l.From), allowed)
	}
}
