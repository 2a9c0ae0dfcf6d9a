package soak

import "github.com/monsooncrank/monsooncrank/platform/standin"

const (
	// allowedFalls and allowedFallShare bound how often the servers of a service may fall over
	// while they are brittle: a number and a share of the servers.
	allowedFalls     = 2
	allowedFallShare = 0.1
)

// stateBrittle makes all servers state that they are brittle.
func (h *harness) stateBrittle() {
	for _, s := range h.allServers {
		s.StateBrittle(h.options.BrittleMost, h.options.BrittleRoom)
	}
}

// sentInTouch returns how many of the requests came from daemons that ran undisturbed.
func (h *harness) sentInTouch(requests []standin.Arrival) int {
	n := 0
	for _, r := range requests {
		if d := h.receivers[r.Request]; d != nil && !d.disturbedBetween(r.At.Add(-contactTime), r.At) {
			n++
		}
	}
	return n
}

// checkBrittle checks that brittle servers fall over rarely because they have to turn
// requests away.
func (h *harness) checkBrittle() {
	falls, servers := make(map[string]int), make(map[string]int)
	for _, s := range h.allServers {
		servers[s.Service]++
		for _, turnedAway := range s.Falls() {
			if 2*h.sentInTouch(turnedAway) > len(turnedAway) {
				falls[s.Service]++
			}
		}
	}
	for service, n := range falls {
		if float64(n) > allowedFalls+allowedFallShare*float64(servers[service]) {
			h.addFinding("%d brittle servers of service %s, which turn away at most %d requests in a second, fell over %d times",
				servers[service], service, h.options.BrittleMost, n)
		}
	}
}
