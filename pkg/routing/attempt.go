package routing

import "time"

// meanStep is the weight of one request in the moving means.
const meanStep = 0.05

// startedTrust is the belief that a server holds a prefix whose prefill has
// been sent to it but not confirmed.
const startedTrust = 0.7

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
	r.lookUp(q)
	expected := r.expectedHit(q, s, at)
	a := attempt{
		server: s, startedAt: at, backlog: s.pendingPrefill, expected: int(expected / s.cacheTrust),
		prefill: max(q.PromptTokens-int(expected), 0) + q.ResumeTokens,
	}
	a.levels = copy(a.prefixes[:], q.Prefixes)
	r.attempts[attemptID] = a
	s.changeOwn(at, 1)
	s.pendingPrefill += a.prefill
	r.meanPrefill += (float64(a.prefill) - r.meanPrefill) * meanStep
	for _, p := range q.Prefixes {
		r.prefixes.stored(at, p.Hash, s, startedTrust)
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
	a.server.pendingPrefill -= a.prefill
	r.attempts[attemptID] = a
	r.learnSpeed(&a, now.Sub(r.epoch)-a.startedAt)
}

// learnSpeed corrects the server's prefill time per token.
func (r *Router) learnSpeed(a *attempt, took time.Duration) {
	tokens := a.backlog + a.prefill
	if tokens < minSpeedTokens {
		return
	}
	first := r.options.PrefillPerToken.Seconds()
	observed := min(max(took.Seconds()/float64(tokens), first*fastest), first*slowest)
	a.server.prefillPerToken += (observed - a.server.prefillPerToken) * speedStep
}

// minSpeedTokens is the least prefill that says something about the speed.
const minSpeedTokens = 64

// Finished records the end of an attempt with what the server reported.
func (r *Router) Finished(now time.Time, attemptID string, usage Usage) {
	a, ok := r.end(now, attemptID)
	if !ok {
		return
	}
	at := now.Sub(r.epoch)
	r.meanDuration += ((at - a.startedAt).Seconds() - r.meanDuration) * meanStep
	if a.expected > 0 {
		observed := min(float64(usage.CachedTokens)/float64(a.expected), 1)
		s := a.server
		s.cacheTrust = max(s.cacheTrust+(observed-s.cacheTrust)*trustStep, minTrust)
	}
	if usage.PromptTokens == 0 {
		return
	}
	for _, p := range a.prefixes[:a.levels] {
		r.prefixes.stored(at, p.Hash, a.server, 1)
	}
	if usage.Answer.Hash != 0 {
		r.prefixes.stored(at, usage.Answer.Hash, a.server, 1)
	}
}

// Failed records the end of an attempt that gave no whole answer. Nothing is
// learnt from it: the server may hold the prefixes from other requests.
func (r *Router) Failed(now time.Time, attemptID string) { r.end(now, attemptID) }

func (r *Router) end(now time.Time, attemptID string) (attempt, bool) {
	a, ok := r.attempts[attemptID]
	if !ok {
		return a, false
	}
	delete(r.attempts, attemptID)
	s := a.server
	s.changeOwn(now.Sub(r.epoch), -1)
	if !a.firstToken {
		s.pendingPrefill -= a.prefill
	}
	if !s.listed && s.outstanding == 0 {
		delete(r.servers, s.Name)
	}
	return a, true
}
