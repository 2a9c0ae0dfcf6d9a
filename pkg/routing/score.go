package routing

import "time"

// score returns the expected time to first token in seconds, with the other
// terms of the choice expressed as times. A lower score is better.
func (r *Router) score(g *group, q *Query, c *candidate, at time.Duration) float64 {
	s, load := c.server, c.load
	uncached := max(float64(q.PromptTokens)-c.hit, 0) + float64(q.ResumeTokens)
	score := s.prefillPerToken * (r.backlog(s, at) + uncached*(1+r.options.PrefillWeight*load))
	score += r.slotWait(s, load)
	score += r.options.FullBatch.Seconds() * load / s.sequences
	if s.otherZone {
		score += r.options.OtherZone.Seconds()
	}
	if g.lowest > 0 {
		score += r.options.PriceWeight.Seconds() * (s.PricePerHour/g.lowest - 1)
	}
	return score
}

// load returns the expected number of requests on a server.
func (r *Router) load(g *group, s *server, at time.Duration) float64 {
	return float64(s.outstanding) + s.othersNow(at, r.options.LoadMemory, g.meanOthers())
}

// backlog returns the expected tokens that are prefilled before a new request:
// exact for this daemon's requests, and for those of others the ones that the
// last report saw waiting, as far as they still wait.
func (r *Router) backlog(s *server, at time.Duration) float64 {
	backlog := float64(s.pendingPrefill)
	if !s.reported || s.waiting == 0 {
		return backlog
	}
	done := max(at-s.measuredAt, 0).Seconds() / s.prefillPerToken
	return backlog + max(s.waiting*r.meanPrefill-done, 0)
}

// slotWait returns the expected wait for a place in a full batch.
func (r *Router) slotWait(s *server, load float64) float64 {
	excess := load + 1 - s.sequences
	if excess <= 0 {
		return 0
	}
	return r.meanDuration * excess / s.sequences
}

// withinBound says whether one more request keeps a load within LoadBound times
// the mean load of the group.
func (r *Router) withinBound(g *group, load float64) bool {
	return load < r.options.LoadBound*(g.meanLoad()+1)
}

// expectedHit returns the tokens of the prompt that a server's cache is
// expected to serve, by the prefixes found by lookUp.
func (r *Router) expectedHit(q *Query, s *server, at time.Duration) float64 {
	best := 0.0
	for i := r.levels - 1; i >= 0; i-- {
		p := &q.Prefixes[i]
		if float64(p.Tokens)*s.cacheTrust <= best {
			break
		}
		if r.found[i] != nil {
			best = max(best, float64(p.Tokens)*s.cacheTrust*r.prefixes.beliefOf(r.found[i], s, at))
		}
	}
	return best
}
