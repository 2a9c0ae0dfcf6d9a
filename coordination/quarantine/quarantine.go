// Package quarantine detects requests that crash BackendServers and prevents
// them from running again.
//
// A request is identified by a fingerprint of its ClientAccount and body, so that
// the same request is detected when its caller sends it again. After the first
// crash the request is a suspect and its next attempt runs isolated. After the
// second crash it is quarantined, unless another suspect was running at the same
// crashes. In that case both may run until one of them has crashed a server
// without the other. Parts of prompts are quarantined as well (see parts.go). The core
// does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
)

// Fingerprint is a hash that identifies a request by account and body.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request body of an account.
func FingerprintOf(account string, body ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(account)))
	h.Write(length[:])
	h.Write([]byte(account))
	for _, part := range body {
		h.Write(part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// shortLength is the length of a shortened fingerprint in hexadecimal digits.
const shortLength = 12

// Short returns the beginning of the fingerprint, for logs.
func (f Fingerprint) Short() string { return string(f[:min(len(f), shortLength)]) }

// Verdict states whether and how a request may run.
type Verdict int

// Verdicts on a request.
const (
	// VerdictRun allows the request to run like any other.
	VerdictRun Verdict = iota
	// VerdictIsolate makes the request run alone, where a crash loses the least
	// work.
	VerdictIsolate
	// VerdictRefuse rejects the request.
	VerdictRefuse
)

// Entry holds the crash history and quarantine state of one fingerprint.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	// Servers lists the distinct BackendServers (name and incarnation) that
	// crashed while they ran the request.
	Servers []string `json:"servers" cbor:"2,keyasint,omitempty"`
	// Positions holds how many parts of the answer (tokens or events) had been
	// produced at each crash, by server. Crashes before the first part are left
	// out.
	Positions   map[string]int `json:"positions,omitempty" cbor:"3,keyasint,omitempty"`
	Quarantined bool           `json:"quarantined" cbor:"4,keyasint,omitempty"`
	Released    bool           `json:"released" cbor:"5,keyasint,omitempty"`
	LastCrash   time.Time      `json:"last_crash" cbor:"6,keyasint"`
	// Generation increases whenever the crashes of the entry are cleared, such as
	// by a release, so that a daemon that missed the release cannot restore the
	// old entry.
	Generation uint64 `json:"generation" cbor:"7,keyasint,omitempty"`
	// Rounds is, for a part of prompts, the number of rounds that its crashes are spread
	// over. Parts holds, for a request, the parts of its prompt.
	Rounds int           `json:"rounds,omitempty" cbor:"8,keyasint,omitempty"`
	Parts  []Fingerprint `json:"parts,omitempty" cbor:"9,keyasint,omitempty"`

	// changedAt is the local time of the last change of the entry, and decisiveAt that
	// since which it has held enough crashes for a decision.
	changedAt, decisiveAt time.Time
}

// Options configures a Core.
type Options struct {
	// Crashes is the number of crashes after which a request is quarantined.
	Crashes int
	// SuspectRetention is how long after its last crash a suspect is kept.
	SuspectRetention time.Duration
	// MaxEntries limits the number of entries. The oldest suspects are evicted
	// first.
	MaxEntries int
	// SettleDelay is the time between a crash and the quarantine decision. It
	// allows other daemons to report their suspects of the same crash.
	SettleDelay time.Duration
	// Run identifies the run of the daemon, so that peers can tell changes of an
	// earlier run apart.
	Run uint64
}

// DefaultOptions returns options that quarantine a request after its second
// crash.
func DefaultOptions() Options {
	return Options{Crashes: 2, SuspectRetention: 10 * time.Minute, MaxEntries: 10000}
}

// Core holds the suspects and quarantined requests of one daemon. It is not safe
// for concurrent use.
type Core struct {
	options Options
	entries map[Fingerprint]*Entry
	log     *changelog.Log[Fingerprint]
}

// New returns an empty Core.
func New(options Options) *Core {
	return &Core{options: options, entries: make(map[Fingerprint]*Entry), log: changelog.New[Fingerprint](options.Run)}
}

// markChanged records a change of an entry. The parameter from is the daemon that
// has sent the entry as it is now, or empty if no other daemon is known to have it.
func (c *Core) markChanged(now time.Time, e *Entry, from string) {
	e.changedAt = now
	switch {
	case !c.isDecisive(e):
		e.decisiveAt = time.Time{}
	case e.decisiveAt.IsZero():
		e.decisiveAt = now
	}
	c.log.Record(e.Fingerprint, from)
}

// Since returns up to limit entries that changed after the position that a daemon
// has acknowledged, oldest change first, and the span that they cover. Entries that
// third daemons have sent are included if forward is set or they are decisive: the
// third daemon may have ended before it could send them to all others.
func (c *Core) Since(acknowledged changelog.Position, to string, forward bool, limit int) ([]Entry, changelog.Span) {
	keys, span := c.log.Since(to, acknowledged, func(f Fingerprint) bool { return forward || c.isDecisive(c.entries[f]) }, limit)
	entries := make([]Entry, len(keys))
	for i, f := range keys {
		entries[i] = c.entries[f].copy()
	}
	return entries, span
}

// Check returns whether and how a request may run now.
func (c *Core) Check(now time.Time, fingerprint Fingerprint) Verdict {
	e, ok := c.entries[fingerprint]
	if !ok || c.expired(now, e) {
		return VerdictRun
	}
	c.updateQuarantine(now, e)
	switch {
	case e.Quarantined:
		return VerdictRefuse
	case len(e.Servers) > 0:
		return VerdictIsolate
	default:
		return VerdictRun
	}
}

// setParts records the parts of the prompt of a request.
func (c *Core) setParts(now time.Time, fingerprint Fingerprint, parts []Fingerprint) {
	if e := c.getOrCreateEntry(now, fingerprint); len(e.Parts) == 0 {
		e.Parts = parts
	}
}

// RecordCrash records that server crashed while it ran the request, after position
// parts of the answer in total. It returns the entry to send to other daemons, and
// whether this call quarantined the request.
//
// A request that crashes servers always does so at the same point of its answer.
// Crashes at earlier positions than the furthest one therefore do not count: the
// request was only running at the time.
func (c *Core) RecordCrash(now time.Time, fingerprint Fingerprint, server string, position int) (Entry, bool) {
	e := c.getOrCreateEntry(now, fingerprint)
	e.LastCrash = now
	e.Released = false
	if e.addCrashes([]string{server}, map[string]int{server: position}) {
		c.markChanged(now, e, "")
	}
	before := e.Quarantined
	c.updateQuarantine(now, e)
	c.evict()
	return e.copy(), e.Quarantined && !before
}

// addCrashes adds crashes of servers to those of the entry and reports whether
// that changed it. Of two positions for one server, the further one is kept.
func (e *Entry) addCrashes(servers []string, positions map[string]int) bool {
	before := len(e.Servers)
	e.Servers = union(e.Servers, servers)
	changed := len(e.Servers) != before
	for server, position := range positions {
		if position > e.Positions[server] {
			if e.Positions == nil {
				e.Positions = make(map[string]int)
			}
			e.Positions[server] = position
			changed = true
		}
	}
	return changed
}

// clear removes all crashes of the entry.
func (e *Entry) clear() {
	e.Generation++
	e.Servers, e.Positions, e.Rounds = nil, nil, 0
}

// positionTolerance is the number of parts by which the positions of two crashes
// at the same point may differ: the last part may be the one that crashes the
// server.
const positionTolerance = 1

// countedServers returns the servers whose crashes count against the request:
// those at the furthest position.
func (e *Entry) countedServers() []string {
	furthest := 0
	for _, position := range e.Positions {
		furthest = max(furthest, position)
	}
	var counted []string
	for _, server := range e.Servers {
		if e.Positions[server]+positionTolerance >= furthest {
			counted = append(counted, server)
		}
	}
	return counted
}

// decide quarantines the request or part of a fingerprint if that is due, and reports
// whether it is quarantined.
func (c *Core) decide(now time.Time, fingerprint Fingerprint) bool {
	e, ok := c.entries[fingerprint]
	if !ok || c.expired(now, e) {
		return false
	}
	c.updateQuarantine(now, e)
	return e.Quarantined
}

// RecordSuccess clears the crashes of a suspect that has run to completion: they had
// another cause, such as a failed Host. Without this, a request that many callers
// send in identical form would be quarantined because of unrelated failures. It
// returns the entry to send to other daemons, and false if there was nothing to
// clear.
func (c *Core) RecordSuccess(now time.Time, fingerprint Fingerprint) (Entry, bool) {
	e, ok := c.entries[fingerprint]
	if !ok || e.Quarantined || len(e.Servers) == 0 {
		return Entry{}, false
	}
	e.clear()
	e.LastCrash = now
	c.markChanged(now, e, "")
	return e.copy(), true
}

// Merge merges an entry that was received from a daemon, or read from the table, and
// reports whether the local entry changed. Crashes that different daemons recorded
// add up.
func (c *Core) Merge(now time.Time, from string, other Entry) bool {
	e, known := c.entries[other.Fingerprint]
	if !known {
		e = &Entry{Fingerprint: other.Fingerprint}
	}
	if other.Generation < e.Generation {
		return false
	}
	head, changed := c.log.Head(), !known
	if other.Generation > e.Generation {
		e.replace(&other)
		changed = true
	} else {
		changed = e.addCrashes(other.Servers, other.Positions) || other.Quarantined && !e.Quarantined || other.Rounds > e.Rounds || changed
		e.Quarantined = e.Quarantined || other.Quarantined
		e.Rounds = max(e.Rounds, other.Rounds)
		if len(e.Parts) == 0 {
			e.Parts = slices.Clone(other.Parts)
		}
	}
	if other.LastCrash.After(e.LastCrash) {
		e.LastCrash = other.LastCrash
	}
	// The clock of a peer may be ahead, and an entry must not be kept for longer
	// than its retention.
	if e.LastCrash.After(now) {
		e.LastCrash = now
	}
	c.entries[other.Fingerprint] = e
	if changed {
		if !e.hasContentOf(&other) {
			from = ""
		}
		c.markChanged(now, e, from)
	}
	c.updateQuarantine(now, e)
	c.evict()
	return c.log.Head() != head
}

// replace takes over the content of another entry.
func (e *Entry) replace(other *Entry) {
	changedAt, decisiveAt := e.changedAt, e.decisiveAt
	*e = other.copy()
	e.changedAt, e.decisiveAt = changedAt, decisiveAt
}

// hasContentOf reports whether an entry, into which the other one was merged, holds
// nothing else.
func (e *Entry) hasContentOf(other *Entry) bool {
	return len(e.Servers) == len(other.Servers) && maps.Equal(e.Positions, other.Positions) &&
		e.Quarantined == other.Quarantined && e.Generation == other.Generation && e.Rounds == other.Rounds
}

// Pending reports whether a request has crashed enough servers to be quarantined
// but SettleDelay has not passed, so that other daemons may still report their
// suspects.
func (c *Core) Pending(now time.Time, fingerprint Fingerprint) bool {
	e, ok := c.entries[fingerprint]
	return ok && !e.Quarantined && c.isDecisive(e) && now.Sub(e.changedAt) < c.options.SettleDelay
}

// isDecisive reports whether a request is quarantined or has crashed enough servers
// for that.
func (c *Core) isDecisive(e *Entry) bool {
	if e.Fingerprint.isPart() {
		return e.isDecisivePart()
	}
	return e.Quarantined || len(e.countedServers()) >= c.options.Crashes || len(e.Servers) >= c.options.Crashes+maxSharedCrashes
}

// updateQuarantine quarantines a request that has crashed enough servers, unless
// another suspect that was running at all of its crashes may have caused them
// instead.
func (c *Core) updateQuarantine(now time.Time, e *Entry) {
	if e.Fingerprint.isPart() || e.Quarantined || now.Sub(e.changedAt) < c.options.SettleDelay {
		return
	}
	counted := e.countedServers()
	e.Quarantined = len(e.Servers) >= c.options.Crashes+maxSharedCrashes && !c.explainedByPart(now, e, counted) ||
		len(counted) >= c.options.Crashes && !c.hasAlternativeSuspect(now, e, counted)
	if e.Quarantined {
		c.markChanged(now, e, "")
	}
}

// maxSharedCrashes is how many crashes beyond Options.Crashes a request may share
// with another suspect, or outlive with a longer answer, before it is quarantined.
// The limit ensures that requests that always crash servers together, or at
// varying points of their answers, are quarantined as well.
const maxSharedCrashes = 2

// hasAlternativeSuspect reports whether the counted crashes of another suspect
// include those of e.
func (c *Core) hasAlternativeSuspect(now time.Time, e *Entry, counted []string) bool {
	for _, o := range c.entries {
		if o != e && !e.hasPart(o) && !c.expired(now, o) && isSubset(counted, o.Servers) && isSubset(counted, o.countedServers()) {
			return true
		}
	}
	return false
}

// isSubset reports whether all names of a are in b.
func isSubset(a, b []string) bool {
	for _, name := range a {
		if !slices.Contains(b, name) {
			return false
		}
	}
	return true
}

// Release removes a request from quarantine and returns the entry to send to other
// daemons.
func (c *Core) Release(now time.Time, fingerprint Fingerprint) (Entry, error) {
	e, ok := c.entries[fingerprint]
	if !ok {
		return Entry{}, &NotQuarantinedError{Fingerprint: fingerprint}
	}
	e.clear()
	e.Quarantined = false
	e.Released = true
	c.markChanged(now, e, "")
	return e.copy(), nil
}

// Entry returns the entry of a fingerprint.
func (c *Core) Entry(fingerprint Fingerprint) (Entry, bool) {
	e, ok := c.entries[fingerprint]
	if !ok {
		return Entry{}, false
	}
	return e.copy(), true
}

// isRefused reports whether the entry is that of a request in quarantine, or of a part that
// may be refused. Such entries do not expire.
func (e *Entry) isRefused() bool {
	return e.Quarantined || e.Fingerprint.isPart() && e.isDecisivePart()
}

// List returns the entries of requests in quarantine and of parts that have enough crashes
// to be refused, sorted by fingerprint.
func (c *Core) List() []Entry {
	var list []Entry
	for _, e := range c.entries {
		if e.isRefused() {
			list = append(list, e.copy())
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Fingerprint < list[j].Fingerprint })
	return list
}

// Expire deletes suspects whose retention has passed.
func (c *Core) Expire(now time.Time) {
	for fingerprint, e := range c.entries {
		if c.expired(now, e) {
			c.delete(fingerprint)
		}
	}
}

func (c *Core) delete(fingerprint Fingerprint) {
	delete(c.entries, fingerprint)
	c.log.Forget(fingerprint)
}

func (c *Core) expired(now time.Time, e *Entry) bool {
	return !e.isRefused() && now.Sub(e.LastCrash) > c.options.SuspectRetention
}

func (c *Core) getOrCreateEntry(now time.Time, fingerprint Fingerprint) *Entry {
	e, ok := c.entries[fingerprint]
	if !ok {
		e = &Entry{Fingerprint: fingerprint}
		c.entries[fingerprint] = e
	}
	if ok && c.expired(now, e) {
		e.Servers, e.Positions, e.Rounds = nil, nil, 0
	}
	return e
}

// evict deletes entries until at most MaxEntries are left: suspects before
// quarantined requests, and older entries before newer ones.
func (c *Core) evict() {
	for len(c.entries) > c.options.MaxEntries {
		var victim *Entry
		for _, e := range c.entries {
			if victim == nil || evictBefore(e, victim) {
				victim = e
			}
		}
		c.delete(victim.Fingerprint)
	}
}

func evictBefore(a, b *Entry) bool {
	if a.isRefused() != b.isRefused() {
		return !a.isRefused()
	}
	if !a.LastCrash.Equal(b.LastCrash) {
		return a.LastCrash.Before(b.LastCrash)
	}
	return a.Fingerprint < b.Fingerprint
}

func (e *Entry) copy() Entry {
	c := *e
	c.Servers, c.Positions, c.Parts = slices.Clone(e.Servers), maps.Clone(e.Positions), slices.Clone(e.Parts)
	return c
}

// union returns the distinct names of both lists, sorted.
func union(a, b []string) []string {
	seen := make(map[string]struct{}, len(a)+len(b))
	var names []string
	for _, list := range [][]string{a, b} {
		for _, name := range list {
			if _, ok := seen[name]; !ok {
				seen[name] = struct{}{}
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

// NotQuarantinedError is returned when the fingerprint to release is unknown.
type NotQuarantinedError struct{ Fingerprint Fingerprint }

func (e *NotQuarantinedError) Error() string {
	return fmt.Sprintf("request %s is not quarantined", e.Fingerprint)
}
