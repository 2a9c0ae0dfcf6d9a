package routing

import "time"

// score returns the expected time to first token in seconds, with the other
// terms of the choice expressed as times. A lower score is better.
func (r *Router) score(g *group, q *Query, c *candidate, at time.Duration) float64 {
	s, load := c.server, c.load
	uncached := max(float64(q.PromptTokens)-c.hitTokens, 0) + float64(q.ResumeTokens)
	score := s.prefillSecondsPerToken * (r.backlogTokens(s, at) + uncached*(1+r.options.PrefillWeight*load))
	score += r.slotWait(s, load)
	score += r.options.FullBatchPenalty.Seconds() * load / s.maxSequences
	if s.otherZone {
		score += r.options.OtherZonePenalty.Seconds()
	}
	if g.minPrice > 0 {
		score += r.options.DoublePricePenalty.Seconds() * (s.PricePerHour/g.minPrice - 1)
	}
	return score
}

// load returns the expected number of requests on a server.
func (r *Router) load(g *group, s *server, at time.Duration) float64 {
	return float64(s.outstanding) + s.expectedOtherLoad(at, r.options.LoadDecayTime, g.meanOtherLoad())
}

// backlog returns the expected tokens that are prefilled before a new request:
// exact for this daemon's requests, and for those of others the ones that the
// last report saw waiting, as far as they still wait.
func (r *Router) backlogTokens(s *server, at time.Duration) float64 {
	backlogTokens := float64(s.pendingPrefillTokens)
	if !s.hasLoadReport || s.otherWaiting == 0 {
		return backlogTokens
	}
	prefilled := max(at-s.measuredAt, 0).Seconds() / s.prefillSecondsPerToken
	return backlogTokens + max(s.otherWaiting*r.meanPrefillTokens-prefilled, 0)
}

// slotWait returns the expected wait for a place in a full batch.
func (r *Router) slotWait(s *server, load float64) float64 {
	excess := load + 1 - s.maxSequences
	if excess <= 0 {
		return 0
	}
	return r.meanDurationSeconds * excess / s.maxSequences
}

// withinLoadBound says whether one more request keeps a load within LoadBound times
// the mean load of the group.
func (r *Router) withinLoadBound(g *group, load float64) bool {
	return load < r.options.LoadBound*(g.meanLoad()+1)
}

// expectedHit returns the tokens of the prompt that a server's cache is
// expected to serve, by the prefixes found by lookUpPrefixes.
func (r *Router) expectedHit(q *Query, s *server, at time.Duration) float64 {
	best := 0.0
	for i := r.prefixCount - 1; i >= 0; i-- {
		p := &q.Prefixes[i]
		if float64(p.Tokens)*s.hitRatio <= best {
			break
		}
		if r.foundPrefixes[i] != nil {
			best = max(best, float64(p.Tokens)*s.hitRatio*r.prefixes.confidenceFor(r.foundPrefixes[i], s, at))
		}
	}
	return best
}
