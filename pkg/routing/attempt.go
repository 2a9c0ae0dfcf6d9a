package routing

import "time"

// requestMeanAlpha is the weight of one request in the moving averages.
const requestMeanAlpha = 0.05

// unconfirmedConfidence is the confidence that a server has a prefix after a
// request with that prefix was sent to it and before the answer or a cache event
// confirms it.
const unconfirmedConfidence = 0.7

// Started records that an attempt was sent to a server.
func (r *Router) Started(now time.Time, attemptID, name string, q *Query) error {
	s := r.servers[name]
	if s == nil {
		return &UnknownServerError{Name: name}
	}
	if _, ok := r.attempts[attemptID]; ok {
		return &DuplicateAttemptError{AttemptID: attemptID}
	}
	at := now.Sub(r.epoch)
	r.lookUpPrefixes(q)
	expectedTokens := r.expectedHit(q, s, at)
	a := attempt{
		server: s, startedAt: at, backlogTokens: s.pendingPrefillTokens, expectedTokens: int(expectedTokens / s.hitRatio),
		prefillTokens: max(q.PromptTokens-int(expectedTokens), 0) + q.ResumeTokens,
	}
	a.prefixCount = copy(a.prefixes[:], q.Prefixes)
	r.attempts[attemptID] = a
	s.addOutstanding(at, 1)
	s.pendingPrefillTokens += a.prefillTokens
	r.meanPrefillTokens += (float64(a.prefillTokens) - r.meanPrefillTokens) * requestMeanAlpha
	for _, p := range q.Prefixes {
		r.prefixes.add(at, p.Hash, s, unconfirmedConfidence)
	}
	return nil
}

// FirstToken records an attempt's first token.
func (r *Router) FirstToken(now time.Time, attemptID string) {
	a, ok := r.attempts[attemptID]
	if !ok || a.firstToken {
		return
	}
	a.firstToken = true
	a.server.pendingPrefillTokens -= a.prefillTokens
	r.attempts[attemptID] = a
	r.updatePrefillTime(&a, now.Sub(r.epoch)-a.startedAt)
}

// updatePrefillTime updates the server's prefill time per token with the time to
// the first token of an attempt.
func (r *Router) updatePrefillTime(a *attempt, elapsed time.Duration) {
	tokens := a.backlogTokens + a.prefillTokens
	if tokens < minPrefillSampleTokens {
		return
	}
	initial := r.options.PrefillPerToken.Seconds()
	observed := min(max(elapsed.Seconds()/float64(tokens), initial*minPrefillTimeFactor), initial*maxPrefillTimeFactor)
	a.server.prefillSecondsPerToken += (observed - a.server.prefillSecondsPerToken) * prefillTimeAlpha
}

// minPrefillSampleTokens is the shortest prefill whose duration is a usable
// measurement of the prefill time per token.
const minPrefillSampleTokens = 64

// Finished records the complete answer of an attempt with the usage that the
// server reported.
func (r *Router) Finished(now time.Time, attemptID string, usage Usage) {
	a, ok := r.end(now, attemptID)
	if !ok {
		return
	}
	at := now.Sub(r.epoch)
	r.meanDurationSeconds += ((at - a.startedAt).Seconds() - r.meanDurationSeconds) * requestMeanAlpha
	if a.expectedTokens > 0 {
		observed := min(float64(usage.CachedTokens)/float64(a.expectedTokens), 1)
		s := a.server
		s.hitRatio = max(s.hitRatio+(observed-s.hitRatio)*hitRatioAlpha, minHitRatio)
	}
	if usage.PromptTokens == 0 {
		return
	}
	for _, p := range a.prefixes[:a.prefixCount] {
		r.prefixes.add(at, p.Hash, a.server, 1)
	}
	if usage.Answer.Hash != 0 {
		r.prefixes.add(at, usage.Answer.Hash, a.server, 1)
	}
}

// Failed records the end of an attempt without a complete answer. It does not
// change the cache state, since the server may have the prefixes from other
// requests.
func (r *Router) Failed(now time.Time, attemptID string) { r.end(now, attemptID) }

// end removes an attempt and its share of the server's load. It returns false for
// an unknown attempt, such as one that has already ended.
func (r *Router) end(now time.Time, attemptID string) (attempt, bool) {
	a, ok := r.attempts[attemptID]
	if !ok {
		return a, false
	}
	delete(r.attempts, attemptID)
	s := a.server
	s.addOutstanding(now.Sub(r.epoch), -1)
	if !a.firstToken {
		s.pendingPrefillTokens -= a.prefillTokens
	}
	if !s.listed && s.outstanding == 0 {
		delete(r.servers, s.Name)
	}
	return a, true
}
