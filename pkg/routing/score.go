package routing

import "time"

// score returns the expected time to first token in seconds plus penalties, also
// in seconds, for a full batch, another zone, a high price and the delay of
// other requests by the prefill. A lower score is better.
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

// load returns the expected number of requests on a server, from all daemons.
func (r *Router) load(g *group, s *server, at time.Duration) float64 {
	return float64(s.outstanding) + s.expectedOtherLoad(at, r.options.LoadDecayTime, g.meanOtherLoad())
}

// backlogTokens returns the expected number of tokens that the server prefills
// before a new request. It is exact for this daemon's requests. For other
// daemons it is estimated from the requests waiting in the last load report,
// less what has been prefilled since.
func (r *Router) backlogTokens(s *server, at time.Duration) float64 {
	backlogTokens := float64(s.pendingPrefillTokens)
	if !s.hasLoadReport || s.otherWaiting == 0 {
		return backlogTokens
	}
	prefilled := max(at-s.measuredAt, 0).Seconds() / s.prefillSecondsPerToken
	return backlogTokens + max(s.otherWaiting*r.meanPrefillTokens-prefilled, 0)
}

// slotWait returns the expected wait for a place in a full batch, in seconds.
func (r *Router) slotWait(s *server, load float64) float64 {
	excess := load + 1 - s.maxSequences
	if excess <= 0 {
		return 0
	}
	return r.meanDurationSeconds * excess / s.maxSequences
}

// withinLoadBound reports whether a load plus one more request stays within
// LoadBound times the mean load of the group.
func (r *Router) withinLoadBound(g *group, load float64) bool {
	return load < r.options.LoadBound*(g.meanLoad()+1)
}

// expectedHit returns the number of prompt tokens that a server is expected to
// serve from its cache, according to the entries found by lookUpPrefixes.
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
