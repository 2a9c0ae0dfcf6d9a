package oncecall

import (
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// servers chooses servers by this daemon's own outstanding calls.
type servers struct {
	directory membership.Directory

	mu          sync.Mutex
	random      *rand.Rand
	outstanding map[string]int
}

func newServers(directory membership.Directory, random *rand.Rand) *servers {
	return &servers{directory: directory, random: random, outstanding: make(map[string]int)}
}

// available lists the servers of all pools.
func (s *servers) available(pools []string) []membership.BackendServer {
	var found []membership.BackendServer
	for _, pool := range pools {
		found = append(found, s.directory.Available(pool)...)
	}
	return found
}

// acquire takes the less busy of two random servers that are not in tried, and
// counts a call on it. ok is false when none is left.
func (s *servers) acquire(pools []string, tried map[string]bool) (chosen membership.BackendServer, weighed []decision.Alternative, ok bool) {
	var candidates []membership.BackendServer
	for _, server := range s.available(pools) {
		if !tried[server.Name] {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return membership.BackendServer{}, nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 {
		candidate := candidates[s.random.IntN(len(candidates))]
		score := s.outstanding[candidate.Name]
		weighed = append(weighed, decision.Alternative{Name: candidate.Name, Score: float64(score)})
		if chosen.Name == "" || score < s.outstanding[chosen.Name] {
			chosen = candidate
		}
	}
	s.outstanding[chosen.Name]++
	return chosen, weighed, true
}

func (s *servers) release(server membership.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding[server.Name]--
	if s.outstanding[server.Name] <= 0 {
		delete(s.outstanding, server.Name)
	}
}

// float64 returns a random number in [0,1).
func (s *servers) float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// reportLeaving passes on that a server refused a call because it is leaving.
func (s *servers) reportLeaving(server membership.BackendServer, err error) {
	var refused *service.RefusedError
	if errors.As(err, &refused) && refused.Leaving {
		s.directory.ReportLeaving(server.Name, server.Incarnation)
	}
}

// resultOf names the end of an attempt for metrics and logs.
func resultOf(err error) string {
	var notSent *service.NotSentError
	var refused *service.RefusedError
	var broken *service.BrokenError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &notSent):
		return "not_sent"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &broken) && broken.Silent:
		return "silent"
	default:
		return "broken"
	}
}
