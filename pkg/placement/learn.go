package placement

import (
	"math"
	"slices"
	"time"
)

// Started records that a request was sent to a server.
func (c *Core) Started(now time.Time, id string, d *Decision, q *Query) {
	s, ok := c.servers[d.Server.ID]
	if !ok {
		return
	}
	a := &attempt{server: s, startedAt: now, expected: d.Wait, plain: s.service.memory == 0}
	a.load.Running = 1
	if !a.plain {
		uncached := q.PromptTokens - d.Cached
		a.load.Prefill = uncached
		a.load.Memory = uncached + q.OutputTokens
		a.ahead = s.total().Prefill + uncached
		shared := chains(q.Parts)
		s.remember(now, shared, uncached)
		w := c.work[q.Service]
		w.Requests++
		w.Prefill += uncached
		c.work[q.Service] = w
		c.placed.add(Placed{Server: s.ID, Chains: shared, Uncached: uncached}, now)
	}
	s.own.add(a.load)
	c.attempts[id] = a
}

// remember notes the parts that a server has read for a request.
func (s *server) remember(now time.Time, chains []uint64, uncached int) {
	s.inserted += uncached
	for _, chain := range chains {
		if _, known := s.cached[chain]; !known {
			s.service.keepers[chain] = append(s.service.keepers[chain], s)
		}
		s.cached[chain] = cachedPart{at: now, inserted: s.inserted}
	}
	if len(s.cached) > maxCachedParts {
		for chain, p := range s.cached {
			if !s.kept(now, p) {
				s.forget(chain)
			}
		}
	}
}

// forget removes a part that the server does not keep any more.
func (s *server) forget(chain uint64) {
	delete(s.cached, chain)
	left := slices.DeleteFunc(s.service.keepers[chain], func(o *server) bool { return o == s })
	if len(left) == 0 {
		delete(s.service.keepers, chain)
		return
	}
	s.service.keepers[chain] = left
}

// chains names the shared parts of a prompt.
func chains(parts []Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	names := make([]uint64, 0, len(parts)-1)
	var chain uint64
	for _, p := range parts[:len(parts)-1] {
		chain = chainHash(chain, p.ID)
		names = append(names, chain)
	}
	return names
}

// maxCachedParts bounds the memory for the parts of one server.
const maxCachedParts = 4000

// FirstEvent records that the first part of an answer has come.
func (c *Core) FirstEvent(now time.Time, id string) {
	a, ok := c.attempts[id]
	if !ok || a.first {
		return
	}
	a.first = true
	a.server.own.Prefill -= a.load.Prefill
	a.load.Prefill = 0
	a.load.Generating = 1
	a.server.own.Generating++
	a.server.learn(now, a, now.Sub(a.startedAt))
}

// learn updates the speed of the service and the slowness of the server.
func (s *server) learn(now time.Time, a *attempt, took time.Duration) {
	ratio := float64(took) / float64(max(a.expected, time.Millisecond))
	ratio = math.Min(math.Max(ratio, 0.5), maxSlowness)
	s.slowness = 1 + (s.slow(now)-1)*(1-slownessWeight) + (ratio-1)*slownessWeight
	s.slownessAt = now
	if a.plain {
		s.service.work += time.Duration(rateWeight * float64(took-s.service.work))
		return
	}
	if a.ahead < minSampleTokens {
		return
	}
	rate := float64(a.ahead) / math.Max(float64(took-baseWait)/float64(time.Millisecond), 1)
	rate = math.Min(math.Max(rate, minPrefillRate), maxPrefillRate)
	s.service.prefillRate += rateWeight * (rate - s.service.prefillRate)
}

const (
	// slownessWeight is the weight of one answer in a server's slowness.
	slownessWeight = 0.3
	// maxSlowness bounds what a single answer can say about a server.
	maxSlowness = 12.0
)

// Finished records the end of an attempt.
func (c *Core) Finished(now time.Time, id string, result Result) {
	a, ok := c.attempts[id]
	if !ok {
		return
	}
	delete(c.attempts, id)
	s := a.server
	s.own.Running -= a.load.Running
	s.own.Prefill -= a.load.Prefill
	s.own.Memory -= a.load.Memory
	s.own.Generating -= a.load.Generating
	failures := s.failures * decay(now.Sub(s.failuresAt), failureHalfLife)
	switch result {
	case ResultAnswered:
		if a.plain {
			s.learn(now, a, now.Sub(a.startedAt))
		}
		failures *= answeredRelief
	case ResultRefused:
		failures += refusalWeight
	case ResultFailed:
		failures++
	case ResultAbandoned:
	}
	s.failures, s.failuresAt = failures, now
}

const (
	// answeredRelief is what remains of a server's failures after an answer.
	answeredRelief = 0.8
	// refusalWeight is the weight of a refusal against a failure: a full
	// server says so quickly and nothing was lost.
	refusalWeight = 0.5
)
