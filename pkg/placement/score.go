package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// preferred returns the server that all daemons prefer for a shared prompt part,
// or nil if the prompt has no shared part. It is chosen without coordination by
// rendezvous hashing: the server with the highest hash of the prompt part and
// the server's ID.
func (s *service) preferred(q *Query) *server {
	key := affinityKey(q.Parts)
	if key == "" {
		return nil
	}
	var best *server
	var highest uint64
	var hashInput [16]byte
	binary.LittleEndian.PutUint64(hashInput[:8], xxhash.Sum64String(key))
	for _, o := range s.servers {
		if o.misdirected || slices.Contains(q.DeniedVersions, o.Version) {
			continue
		}
		binary.LittleEndian.PutUint64(hashInput[8:], o.idHash)
		if h := xxhash.Sum64(hashInput[:]); best == nil || h > highest {
			best, highest = o, h
		}
	}
	return best
}

// affinityKey returns the ID of the last shared part, which identifies the
// longest prefix that other requests may share: all parts but the last.
func affinityKey(parts []PromptPart) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// cachedTokens returns how many tokens of the prompt are expected in the KV
// cache. On the preferred server, parts of which this daemon has no record count
// as cached, since other daemons send requests with these parts there.
func (s *server) cachedTokens(now time.Time, parts []PromptPart, preferred bool) int {
	tokens := 0
	var prefix uint64
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		prefix = prefixHash(prefix, p.ID)
		part, used := s.cached[prefix]
		if used && !s.stillCached(now, part) || !used && !preferred {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// stillCached reports whether a prompt part is expected to be still in the KV
// cache, from which newly prefilled tokens evict the least recently used parts.
func (s *server) stillCached(now time.Time, p cachedPart) bool {
	return now.Sub(p.usedAt) < maxCachedPartAge && float64(s.insertedTokens-p.insertedTokens) < prefixCacheShare*float64(s.service.kvCapacity)
}

// prefixHash returns the hash of a part together with all parts before it, whose
// hash is previous.
func prefixHash(previous uint64, id string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(previous)
	// Writing to a hash never fails.
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

func (s *server) totalLoad() Load {
	l := s.own
	l.add(s.others)
	return l
}

// expectedWait returns the expected time to the first part of the answer and the
// number of prompt tokens expected in the KV cache.
func (s *server) expectedWait(now time.Time, q *Query, preferred bool) (time.Duration, int) {
	load := s.totalLoad()
	if s.service.kvCapacity == 0 {
		return s.plainWait(now, load, q), 0
	}
	cached := s.cachedTokens(now, q.Parts, preferred)
	tokens := load.PrefillTokens + q.PromptTokens - cached
	ms := float64(tokens) / (s.service.prefillRate * s.speed)
	ms += s.capacityWait(now, load, q.PromptTokens-cached+q.OutputTokens)
	expectedWait := time.Duration(ms*float64(time.Millisecond)) + baseWait
	if s.AvailabilityZone != q.Zone {
		expectedWait += crossZoneWait
	}
	return expectedWait, cached
}

func (s *server) slots() int {
	if s.service.slots > 0 {
		return s.service.slots
	}
	return s.Slots
}

func (s *server) plainWait(now time.Time, load Load, q *Query) time.Duration {
	// The number of slots may be unknown.
	queued := max(load.Running+1-s.Slots, 0)
	wait := time.Duration(float64(s.service.plainRunTime) * (1 + float64(queued)/float64(max(s.Slots, 1))) * s.decayedSlowness(now))
	// Prefer the least loaded among servers with free slots.
	wait += time.Duration(load.Running) * time.Millisecond
	if s.AvailabilityZone != q.Zone {
		wait += crossZoneWait
	}
	return wait
}

func (s *server) decayedSlowness(now time.Time) float64 {
	return 1 + (s.slowness-1)*decay(now.Sub(s.slownessAt), slownessHalfLife)
}

// expectedSlowness returns the factor by which the expected wait at the server is longer than at
// one of the mean speed of its service.
func (s *server) expectedSlowness(now time.Time) float64 {
	if s.service.kvCapacity == 0 {
		return s.decayedSlowness(now)
	}
	return 1 / s.speed
}

func (s *server) penalty(now time.Time, q *Query) float64 {
	return s.failures * decay(now.Sub(s.failuresAt), failureHalfLife) * failurePenalty * float64(q.LatencyTarget)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
