// Package changelog determines which changes of a replicated set of keys a daemon
// must send to another one.
//
// Each daemon numbers the changes to its own copy. A message covers a Span of
// these changes, and the receiver acknowledges the Position up to which it has all
// of them. What a receiver has therefore follows from its acknowledgements alone,
// and not from properties of the data, such as a version in the store that the data
// comes from. The package does no I/O; how copies of an entry are merged is up to
// the caller.
package changelog

import (
	"cmp"
	"slices"
)

// Position is a point in the changes that one run of a daemon has made.
type Position struct {
	// Run identifies the run of the daemon; it differs between runs.
	Run uint64 `cbor:"1,keyasint,omitempty"`
	// Revision is the number of changes up to this point.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// Span is the part of the sender's changes that a message covers: a receiver that
// has all changes up to From has all of them up to To once it has merged the
// message. Messages from 0 on hold the sender's complete copy.
type Span struct {
	Run  uint64 `cbor:"1,keyasint,omitempty"`
	From uint64 `cbor:"2,keyasint,omitempty"`
	To   uint64 `cbor:"3,keyasint,omitempty"`
}

// End returns the position at the end of the span.
func (s Span) End() Position { return Position{Run: s.Run, Revision: s.To} }

// Advance returns the position of a receiver at p that has merged a message with
// the span. It returns false if the receiver lacks changes before the span.
func (p Position) Advance(s Span) (Position, bool) {
	if p.Run != s.Run {
		p = Position{Run: s.Run}
	}
	if s.From > p.Revision {
		return p, false
	}
	p.Revision = max(p.Revision, s.To)
	return p, true
}

// change is the last change of a key.
type change struct {
	revision uint64
	// ownRevision is the revision of the last change after which no other daemon
	// was known to have the same entry.
	ownRevision uint64
	// from is the daemon that has sent the entry as it is, or empty.
	from string
}

// Log numbers the changes of a daemon's copy. It is not safe for concurrent use.
type Log[K cmp.Ordered] struct {
	run      uint64
	revision uint64
	changes  map[K]change
	// truncated is the revision of the newest change that is no longer known.
	truncated uint64
	// completeUntil holds, for each daemon that has been sent a complete copy, the
	// revision at its beginning. A copy may take several messages.
	completeUntil map[string]uint64
}

// New returns an empty Log of a run.
func New[K cmp.Ordered](run uint64) *Log[K] {
	return &Log[K]{run: run, changes: make(map[K]change), completeUntil: make(map[string]uint64)}
}

// Record numbers a change of a key. The parameter from is the daemon that has sent
// the entry as it is now, or empty if no other daemon is known to have it.
func (l *Log[K]) Record(key K, from string) {
	l.revision++
	c := change{revision: l.revision, ownRevision: l.changes[key].ownRevision, from: from}
	if from == "" {
		c.ownRevision = l.revision
	}
	l.changes[key] = c
}

// Forget removes a key that other daemons need not be told of any more.
func (l *Log[K]) Forget(key K) { delete(l.changes, key) }

// Truncate removes a key whose last change, such as a removal, is no longer known.
// Daemons that lack that change are sent a complete copy.
func (l *Log[K]) Truncate(key K) {
	l.truncated = max(l.truncated, l.changes[key].revision)
	delete(l.changes, key)
}

// Head returns the position of the newest change.
func (l *Log[K]) Head() Position { return Position{Run: l.run, Revision: l.revision} }

// Since returns up to limit keys that changed after the position that a daemon has
// acknowledged, oldest change first, and the span that they cover.
//
// Entries as another daemon has sent them are left out if that is the daemon to.
// Those from third daemons are included only if forward returns true for the key:
// usually the third daemon sends them itself. A daemon without a valid position
// gets all entries, as it may have lost even its own.
func (l *Log[K]) Since(to string, acknowledged Position, forward func(K) bool, limit int) ([]K, Span) {
	from := acknowledged.Revision
	if acknowledged.Run != l.run || from > l.revision || from < l.truncated {
		from = 0
	}
	span := Span{Run: l.run, From: from, To: l.revision}
	if from == l.revision {
		return nil, span
	}
	if from == 0 {
		l.completeUntil[to] = l.revision
	}
	complete := from < l.completeUntil[to]
	var keys []K
	for key, c := range l.changes {
		if c.ownRevision > from || c.revision > from && (complete || c.from != to && forward(key)) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(l.changes[a].revision, l.changes[b].revision) })
	if len(keys) > limit {
		keys = keys[:limit]
		span.To = l.changes[keys[limit-1]].revision
	}
	return keys, span
}
