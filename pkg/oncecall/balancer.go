package oncecall

import (
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// balancer chooses servers by the number of calls that this daemon has
// outstanding on each of them.
type balancer struct {
	directory membership.Directory

	mu          sync.Mutex
	random      *rand.Rand
	outstanding map[string]int
}

func newBalancer(directory membership.Directory, random *rand.Rand) *balancer {
	return &balancer{directory: directory, random: random, outstanding: make(map[string]int)}
}

// available returns the available servers of all given pools.
func (b *balancer) available(pools []string) []membership.BackendServer {
	var found []membership.BackendServer
	for _, pool := range pools {
		found = append(found, b.directory.Available(pool)...)
	}
	return found
}

// acquire draws two random servers that are not in tried, chooses the one with
// fewer outstanding calls and counts a call on it. ok is false when every server
// has been tried.
func (b *balancer) acquire(pools []string, tried map[string]bool) (chosen membership.BackendServer, alternatives []decision.Alternative, ok bool) {
	var candidates []membership.BackendServer
	for _, server := range b.available(pools) {
		if !tried[server.Name] {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return membership.BackendServer{}, nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for range 2 {
		candidate := candidates[b.random.IntN(len(candidates))]
		score := b.outstanding[candidate.Name]
		alternatives = append(alternatives, decision.Alternative{Name: candidate.Name, Score: float64(score)})
		if chosen.Name == "" || score < b.outstanding[chosen.Name] {
			chosen = candidate
		}
	}
	b.outstanding[chosen.Name]++
	return chosen, alternatives, true
}

// release removes a finished call from a server's count.
func (b *balancer) release(server membership.BackendServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding[server.Name]--
	if b.outstanding[server.Name] <= 0 {
		delete(b.outstanding, server.Name)
	}
}

// float64 returns a random number in [0,1). Unlike rand.Rand it is safe for
// concurrent use.
func (b *balancer) float64() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64()
}

// reportLeaving reports a server to the directory as leaving if it refused a
// call for that reason.
func (b *balancer) reportLeaving(server membership.BackendServer, err error) {
	var refused *service.RefusedError
	if errors.As(err, &refused) && refused.Leaving {
		b.directory.ReportLeaving(server.Name, server.Incarnation)
	}
}

// attemptResult returns the result of an attempt as a label for metrics and logs.
func attemptResult(err error) string {
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
