package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reread is the extra cost of reading tokens that another server holds.
func reread(q *Query, cached int, rate float64) float64 {
	if q.PromptTokens == 0 {
		return 0
	}
	return (rereadWeight - 1) * float64(q.PromptTokens-cached) / rate * float64(time.Millisecond)
}

// home returns the server to which all daemons send a shared prompt part
// without telling one another: the one with the highest hash of both names.
func (s *service) home(parts []Part) *server {
	key := affinityKey(parts)
	if key == "" {
		return nil
	}
	var best *server
	var highest uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	for _, o := range s.servers {
		if o.unusable {
			continue
		}
		binary.LittleEndian.PutUint64(pair[8:], o.hash)
		if h := xxhash.Sum64(pair[:]); best == nil || h > highest {
			best, highest = o, h
		}
	}
	return best
}

// affinityKey names the longest run of parts that other requests share: all but
// the last part.
func affinityKey(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// hit returns how many tokens of the prompt are expected in memory.
func (s *server) hit(now time.Time, parts []Part, home bool) int {
	tokens := 0
	var chain uint64
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		chain = chainHash(chain, p.ID)
		part, used := s.cached[chain]
		if used && !s.kept(now, part) || !used && !home {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// kept reports whether a part is still in memory: the least recently used parts
// yield to what is read.
func (s *server) kept(now time.Time, p cachedPart) bool {
	return now.Sub(p.at) < cacheMemory && float64(s.inserted-p.inserted) < cacheShare*float64(s.service.memory)
}

// chainHash names a part together with all parts before it.
func chainHash(before uint64, id string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(before)
	// A hash takes any string.
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

func (s *server) total() Load {
	l := s.own
	l.add(s.others)
	return l
}

// wait returns the expected time to the first part of the answer.
func (s *server) wait(now time.Time, q *Query, home bool) (time.Duration, int) {
	load := s.total()
	if s.service.memory == 0 {
		return s.plainWait(now, load, q), 0
	}
	cached := s.hit(now, q.Parts, home)
	tokens := load.Prefill + q.PromptTokens - cached
	ms := float64(tokens) / s.service.prefillRate
	ms += s.memoryWait(load, q.PromptTokens-cached+q.OutputTokens)
	wait := time.Duration(ms*s.slow(now)*float64(time.Millisecond)) + baseWait
	if s.AvailabilityZone != q.Zone {
		wait += zoneWait
	}
	return wait, cached
}

// memoryWait is the expected wait in milliseconds for running requests to end
// when slots or memory are taken.
func (s *server) memoryWait(load Load, need int) float64 {
	over := math.Max(float64(load.Running+1)/float64(max(s.slots(), 1)),
		float64(load.Memory+need)/(memoryLimit*float64(s.service.memory)))
	if over <= 1 {
		return 0
	}
	return (over - 1) * fullWaitMs
}

// fullWaitMs is the wait for as many requests to end as an engine runs.
const fullWaitMs = 2000.0

func (s *server) slots() int {
	if s.service.slots > 0 {
		return s.service.slots
	}
	return s.Slots
}

func (s *server) plainWait(now time.Time, load Load, q *Query) time.Duration {
	queued := max(load.Running+1-s.Slots, 0)
	wait := time.Duration(float64(s.service.work) * (1 + float64(queued)/float64(s.Slots)) * s.slow(now))
	// Among servers with free slots the least loaded one goes first.
	wait += time.Duration(load.Running) * time.Millisecond
	if s.AvailabilityZone != q.Zone {
		wait += zoneWait
	}
	return wait
}

func (s *server) slow(now time.Time) float64 {
	return 1 + (s.slowness-1)*decay(now.Sub(s.slownessAt), slownessHalfLife)
}

func (s *server) penalty(now time.Time, q *Query) float64 {
	return s.failures * decay(now.Sub(s.failuresAt), failureHalfLife) * failurePenalty * float64(q.Target)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// admit refuses a request that would not be answered in time.
func (s *service) admit(now time.Time, q *Query, best *Decision) error {
	if s.memory == 0 {
		if best.Wait > time.Duration(plainQueue*float64(s.work))+q.Target && now.Add(best.Wait).After(q.Deadline) {
			return &RefusedError{Reason: RefusedOverloaded, Wait: best.Wait, RetryAfter: best.Wait / 2}
		}
		return nil
	}
	latest := time.Duration(float64(q.Deadline.Sub(now)) * latestStart)
	if q.Target > 0 && !q.Repeat {
		latest = min(latest, time.Duration(targetQueue*float64(q.Target)))
	}
	if best.Wait > latest {
		return &RefusedError{Reason: RefusedOverloaded, Wait: best.Wait, RetryAfter: max(best.Wait-q.Target, q.Target/2)}
	}
	return nil
}

// latestStart is the part of the remaining time by which a stream has to start
// to be whole before its deadline.
const latestStart = 0.6

// targetQueue bounds the wait for an engine in relation to the request's target.
// Where engines are overloaded for seconds, a longer queue makes every answer
// late; refused callers are told when to come back, and those taken are served
// in time.
const targetQueue = 1.5
