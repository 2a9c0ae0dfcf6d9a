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
	a := &attempt{server: s, startedAt: now, expectedWait: d.ExpectedWait, plain: s.service.kvCapacity == 0, outputTokens: q.OutputTokens}
	a.load.Running = 1
	if !a.plain {
		uncached := q.PromptTokens - d.CachedTokens
		a.load.PrefillTokens, a.uncachedTokens = uncached, uncached
		s.service.mix.add(now, uncached)
		a.load.KVTokens = uncached + q.OutputTokens
		a.queuedPrefillTokens = s.totalLoad().PrefillTokens + uncached
		shared := prefixHashes(q.Parts)
		announced := s.recordParts(now, shared, uncached)
		s.unsummedTokens += uncached
		w := c.work[q.Service]
		w.Requests++
		w.PrefillTokens += uncached
		c.work[q.Service] = w
		if announced {
			shared = nil
		}
		c.placements.add(now, s, shared, uncached)
	}
	a.query = startedQuery{rank: q.Rank, outputTokens: q.OutputTokens, uncorrectedWait: d.UncorrectedWait}
	s.own.add(a.load)
	c.attempts[id] = a
}

// recordParts records the prompt parts that a server caches after a request,
// and the number of tokens that the request added to its KV cache. It reports whether all
// parts were known to have been used there within refreshPeriod.
func (s *server) recordParts(now time.Time, prefixes []uint64, uncached int) (fresh bool) {
	s.insertedTokens += uncached
	fresh = true
	for _, prefix := range prefixes {
		part, known := s.cached[prefix]
		if !known {
			s.service.serversByPrefix[prefix] = append(s.service.serversByPrefix[prefix], s)
		}
		fresh = fresh && known && now.Sub(part.usedAt) < refreshPeriod
		s.cached[prefix] = cachedPart{usedAt: now, insertedTokens: s.insertedTokens}
	}
	if len(s.cached) > maxCachedParts {
		for prefix, p := range s.cached {
			if !s.stillCached(now, p) {
				s.removePart(prefix)
			}
		}
	}
	return fresh
}

// refreshPeriod is how long after a use of a prompt part a further one at the same server
// is not announced. It is a small part of the time for which parts are cached.
const refreshPeriod = 3 * time.Second

// removePart removes a prompt part that the server no longer caches.
func (s *server) removePart(prefix uint64) {
	delete(s.cached, prefix)
	left := slices.DeleteFunc(s.service.serversByPrefix[prefix], func(o *server) bool { return o == s })
	if len(left) == 0 {
		delete(s.service.serversByPrefix, prefix)
		return
	}
	s.service.serversByPrefix[prefix] = left
}

// prefixHashes returns the hash of every prefix of a prompt that other requests
// may share, shortest first.
func prefixHashes(parts []PromptPart) []uint64 {
	shared := SharedParts(parts)
	if len(shared) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(shared))
	var prefix uint64
	for _, p := range shared {
		prefix = prefixHash(prefix, p.ID)
		hashes = append(hashes, prefix)
	}
	return hashes
}

// maxCachedParts is the number of prompt parts of one server beyond which those
// that have been evicted are removed, to bound this daemon's memory.
const maxCachedParts = 4000

// FirstEvent records that the first part of an answer has arrived.
func (c *Core) FirstEvent(now time.Time, id string) {
	a, ok := c.attempts[id]
	if !ok || a.firstEventSeen {
		return
	}
	a.firstEventSeen = true
	a.server.own.PrefillTokens -= a.load.PrefillTokens
	a.load.PrefillTokens = 0
	a.load.Generating = 1
	a.server.own.Generating++
	a.recordFirstEvent(now)
	c.observeSpeed(now, a, now.Sub(a.startedAt))
	a.server.updateEstimates(now, a, now.Sub(a.startedAt))
}

// updateEstimates updates the server's slowness and the estimated speed of its
// service. took is the time to the first event of an attempt, or the run time of
// a request to a plain service.
func (s *server) updateEstimates(now time.Time, a *attempt, took time.Duration) {
	// That all answers of the service are late says nothing of this server.
	ratio := float64(took) / float64(max(a.query.uncorrectedWait, time.Millisecond))
	ratio = math.Min(math.Max(ratio, 0.5), maxSlowness)
	s.slowness = 1 + (s.decayedSlowness(now)-1)*(1-slownessWeight) + (ratio-1)*slownessWeight
	s.slownessAt = now
	if a.plain {
		s.service.plainRunTime += time.Duration(sampleWeight * float64(took-s.service.plainRunTime))
		return
	}
	if a.queuedPrefillTokens < minSampleTokens {
		return
	}
	rate := float64(a.queuedPrefillTokens) / math.Max(float64(took-baseWait)/float64(time.Millisecond), 1)
	rate = math.Min(math.Max(rate/s.speed, minPrefillRate), maxPrefillRate)
	s.service.prefillRate += sampleWeight * (rate - s.service.prefillRate)
}

const (
	// slownessWeight is the weight of one answer in the moving average of a
	// server's slowness.
	slownessWeight = 0.3
	// maxSlowness bounds the slowness that a single answer can contribute.
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
	a.recordEnd(now, result)
	s.own.Running -= a.load.Running
	s.own.PrefillTokens -= a.load.PrefillTokens
	s.own.KVTokens -= a.load.KVTokens
	s.own.Generating -= a.load.Generating
	failures := s.failures * decay(now.Sub(s.failuresAt), failureHalfLife)
	switch result {
	case ResultAnswered:
		if a.plain {
			s.updateEstimates(now, a, now.Sub(a.startedAt))
		} else {
			a.observeTokenTime(now)
		}
		failures *= answerFailureFactor
	case ResultRefused:
		failures += refusalWeight
	case ResultFailed:
		failures++
	case ResultAbandoned:
	}
	s.failures, s.failuresAt = failures, now
}

const (
	// answerFailureFactor multiplies a server's failure count after an answer.
	answerFailureFactor = 0.8
	// refusalWeight is the weight of a refusal in the failure count. It is less
	// than that of a failure because a full server refuses quickly and no work
	// is lost.
	refusalWeight = 0.5
)
