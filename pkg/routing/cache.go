package routing

import (
	"math"
	"time"
)

// maxHolders is the maximum number of servers recorded for a prefix.
const maxHolders = 4

// holder is a server that probably has a prefix in its cache.
type holder struct {
	server *server
	// incarnation is the server's incarnation at recordedAt. After a restart
	// the server's cache is empty.
	incarnation uint64
	recordedAt  time.Duration
	// confidence is the estimated probability at recordedAt, from 0 to 1, that
	// the server has the prefix.
	confidence float64
}

// prefixEntry is a prefix with the servers that probably have it.
type prefixEntry struct {
	hash    uint64
	holders [maxHolders]holder
}

// prefixTable records which servers probably have which prefix in their cache.
// It is bounded: when it is full, a new prefix replaces the oldest one.
type prefixTable struct {
	halfLife time.Duration
	index    map[uint64]int32
	entries  []prefixEntry
	// next is the index of the oldest entry once the table is full.
	next     int
	capacity int
}

func newPrefixTable(capacity int, halfLife time.Duration) *prefixTable {
	return &prefixTable{halfLife: halfLife, index: make(map[uint64]int32), capacity: capacity}
}

func (t *prefixTable) find(hash uint64) *prefixEntry {
	i, ok := t.index[hash]
	if !ok {
		return nil
	}
	return &t.entries[i]
}

func (t *prefixTable) findOrAdd(hash uint64) *prefixEntry {
	if entry := t.find(hash); entry != nil {
		return entry
	}
	if len(t.entries) < t.capacity {
		t.entries = append(t.entries, prefixEntry{hash: hash})
		t.index[hash] = int32(len(t.entries) - 1)
		return &t.entries[len(t.entries)-1]
	}
	entry := &t.entries[t.next]
	delete(t.index, entry.hash)
	*entry = prefixEntry{hash: hash}
	t.index[hash] = int32(t.next)
	t.next = (t.next + 1) % len(t.entries)
	return entry
}

// valid reports whether the holder is set and its server has not restarted
// since.
func (h *holder) valid() bool {
	return h.server != nil && h.incarnation == h.server.Incarnation
}

// currentConfidence returns the confidence of a holder, which halves every
// halfLife; 0 if the holder is not valid.
func (t *prefixTable) currentConfidence(h *holder, now time.Duration) float64 {
	if !h.valid() {
		return 0
	}
	age := max(now-h.recordedAt, 0)
	return h.confidence * math.Exp2(-float64(age)/float64(t.halfLife))
}

// add records that s has the prefix. If the entry is full, it replaces the
// holder with the lowest confidence.
func (t *prefixTable) add(now time.Duration, hash uint64, s *server, confidence float64) {
	entry := t.findOrAdd(hash)
	slot, lowest := 0, math.Inf(1)
	for i := range entry.holders {
		if entry.holders[i].server == s {
			slot = i
			break
		}
		if current := t.currentConfidence(&entry.holders[i], now); current < lowest {
			slot, lowest = i, current
		}
	}
	h := &entry.holders[slot]
	if h.server == s && h.incarnation == s.Incarnation {
		confidence = max(confidence, t.currentConfidence(h, now))
	}
	*h = holder{server: s, incarnation: s.Incarnation, recordedAt: now, confidence: confidence}
}

// remove records that s no longer has the prefix.
func (t *prefixTable) remove(hash uint64, s *server) {
	entry := t.find(hash)
	if entry == nil {
		return
	}
	for i := range entry.holders {
		if entry.holders[i].server == s {
			entry.holders[i] = holder{}
		}
	}
}

// confidenceFor returns the confidence that s has the prefix of an entry.
func (t *prefixTable) confidenceFor(entry *prefixEntry, s *server, now time.Duration) float64 {
	for i := range entry.holders {
		if entry.holders[i].server == s {
			return t.currentConfidence(&entry.holders[i], now)
		}
	}
	return 0
}
