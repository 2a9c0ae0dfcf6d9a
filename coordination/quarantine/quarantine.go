// Package quarantine finds requests that crash the BackendServers which run
// them and stops them from being run again.
//
// A request is known by the fingerprint of its ClientAccount and body, so that
// a resend by its caller is recognised. After the first crash the request is a
// suspect and its next attempt runs isolated; after the second it is
// quarantined, unless another suspect was present at the same crashes: then both
// run on until one of them has crashed a server without the other. The core does
// no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"sort"
	"time"
)

// Fingerprint identifies a request by account and body.
type Fingerprint string

// FingerprintOf returns the fingerprint of an account's request body.
func FingerprintOf(account string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(account)))
	h.Write(length[:])
	h.Write([]byte(account))
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// Verdict says how a request may be run.
type Verdict int

// The verdicts.
const (
	// VerdictRun runs the request as any other.
	VerdictRun Verdict = iota
	// VerdictIsolate runs the request alone, where least is lost by a crash.
	VerdictIsolate
	// VerdictRefuse does not run the request.
	VerdictRefuse
)

// Entry is what is known about one fingerprint.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Servers are the distinct BackendServers (name and incarnation) that
	// crashed while they ran the request.
	Servers     []string  `json:"servers"`
	Quarantined bool      `json:"quarantined"`
	Released    bool      `json:"released"`
	LastCrash   time.Time `json:"last_crash"`
	// Generation rises with every release, so that a daemon which has missed
	// the release does not bring the entry back.
	Generation uint64 `json:"generation"`
}

// Options configure a Core.
type Options struct {
	// Crashes is how many crashes quarantine a request.
	Crashes int
	// SuspectRetention is how long a single crash is remembered.
	SuspectRetention time.Duration
	// MaxEntries bounds the memory; the oldest suspects go first.
	MaxEntries int
	// Settle is how long after a crash a request is not quarantined yet: by
	// then other daemons have told of their suspects of the same crash.
	SettleDelay time.Duration
}

// DefaultOptions quarantine a request after its second crash.
func DefaultOptions() Options {
	return Options{Crashes: 2, SuspectRetention: 10 * time.Minute, MaxEntries: 10000}
}

// Core is the quarantine of one daemon. It is not safe for concurrent use.
type Core struct {
	options Options
	entries map[Fingerprint]*Entry
}

// New returns an empty Core.
func New(options Options) *Core {
	return &Core{options: options, entries: make(map[Fingerprint]*Entry)}
}

// Check returns how a request may be run now.
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

// Crashed records that server died while it ran the request. It returns the
// entry to spread to other daemons, and whether it became quarantined now.
//
// Advanced says that the attempt had produced new output before the crash. A
// request that crashes servers does so at the same point of its answer again
// and again, so that output clears it of its earlier crashes: it was merely
// present at them.
func (c *Core) RecordCrash(now time.Time, fingerprint Fingerprint, server string, producedOutput bool) (Entry, bool) {
	e := c.getOrCreateEntry(now, fingerprint)
	e.LastCrash = now
	e.Released = false
	if producedOutput && !e.Quarantined && len(e.Servers) > 0 {
		e.Generation++
		e.Servers = nil
	}
	e.Servers = union(e.Servers, []string{server})
	before := e.Quarantined
	c.updateQuarantine(now, e)
	c.evict()
	return e.copy(), e.Quarantined && !before
}

// Succeeded clears a suspect whose request has run to its end: its crashes had
// another cause, such as a Host that failed. Without it a request that many
// callers send alike would be blamed for unrelated failures. It returns the
// entry to spread, and false if there was nothing to clear.
func (c *Core) RecordSuccess(now time.Time, fingerprint Fingerprint) (Entry, bool) {
	e, ok := c.entries[fingerprint]
	if !ok || e.Quarantined || len(e.Servers) == 0 {
		return Entry{}, false
	}
	e.Generation++
	e.Servers = nil
	e.LastCrash = now
	return e.copy(), true
}

// Merge takes in an entry from another daemon or the table and reports whether
// it changed anything. Two daemons that saw one crash each add up.
func (c *Core) Merge(now time.Time, other Entry) bool {
	e, known := c.entries[other.Fingerprint]
	if !known {
		e = &Entry{Fingerprint: other.Fingerprint}
	}
	if other.Generation < e.Generation {
		return false
	}
	before := e.copy()
	if other.Generation > e.Generation {
		*e = other.copy()
	} else {
		e.Servers = union(e.Servers, other.Servers)
		e.Quarantined = e.Quarantined || other.Quarantined
	}
	if other.LastCrash.After(e.LastCrash) {
		e.LastCrash = other.LastCrash
	}
	// A peer's clock may be ahead; an entry must not outlive its retention.
	if e.LastCrash.After(now) {
		e.LastCrash = now
	}
	c.entries[other.Fingerprint] = e
	c.updateQuarantine(now, e)
	c.evict()
	return !known || len(before.Servers) != len(e.Servers) ||
		before.Quarantined != e.Quarantined || before.Generation != e.Generation
}

// Pending reports whether a request has crashed enough servers to be
// quarantined, but other daemons may not have told of their suspects yet.
func (c *Core) Pending(now time.Time, fingerprint Fingerprint) bool {
	e, ok := c.entries[fingerprint]
	return ok && !e.Quarantined && len(e.Servers) >= c.options.Crashes && now.Sub(e.LastCrash) < c.options.SettleDelay
}

// settle quarantines a request that has crashed enough servers. Another suspect
// that was present at all of its crashes may have caused them instead.
func (c *Core) updateQuarantine(now time.Time, e *Entry) {
	switch {
	case e.Quarantined || len(e.Servers) < c.options.Crashes || now.Sub(e.LastCrash) < c.options.SettleDelay:
	case len(e.Servers) >= c.options.Crashes+maxSharedCrashes:
		e.Quarantined = true
	default:
		e.Quarantined = !c.hasAlternativeSuspect(now, e)
	}
}

// maxSharedCrashes is how many crashes beyond the usual number a request may share with
// another suspect: requests that always crash servers together go as well.
const maxSharedCrashes = 2

// explained reports whether another suspect was present at all crashes of e.
func (c *Core) hasAlternativeSuspect(now time.Time, e *Entry) bool {
	for _, o := range c.entries {
		if o != e && !c.expired(now, o) && len(o.Servers) >= len(e.Servers) && isSubset(e.Servers, o.Servers) {
			return true
		}
	}
	return false
}

// subset reports whether all names of a are in b.
func isSubset(a, b []string) bool {
	for _, name := range a {
		if !slices.Contains(b, name) {
			return false
		}
	}
	return true
}

// Release lets a request run again and returns the entry to spread.
func (c *Core) Release(fingerprint Fingerprint) (Entry, error) {
	e, ok := c.entries[fingerprint]
	if !ok {
		return Entry{}, &NotQuarantinedError{Fingerprint: fingerprint}
	}
	e.Generation++
	e.Servers = nil
	e.Quarantined = false
	e.Released = true
	return e.copy(), nil
}

// Entry returns what is known about a fingerprint.
func (c *Core) Entry(fingerprint Fingerprint) (Entry, bool) {
	e, ok := c.entries[fingerprint]
	if !ok {
		return Entry{}, false
	}
	return e.copy(), true
}

// List returns the quarantined entries in the order of their fingerprints.
func (c *Core) List() []Entry {
	var list []Entry
	for _, e := range c.entries {
		if e.Quarantined {
			list = append(list, e.copy())
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Fingerprint < list[j].Fingerprint })
	return list
}

// Expire forgets suspects whose retention has passed.
func (c *Core) Expire(now time.Time) {
	for fingerprint, e := range c.entries {
		if c.expired(now, e) {
			delete(c.entries, fingerprint)
		}
	}
}

func (c *Core) expired(now time.Time, e *Entry) bool {
	return !e.Quarantined && now.Sub(e.LastCrash) > c.options.SuspectRetention
}

func (c *Core) getOrCreateEntry(now time.Time, fingerprint Fingerprint) *Entry {
	e, ok := c.entries[fingerprint]
	if !ok {
		e = &Entry{Fingerprint: fingerprint}
		c.entries[fingerprint] = e
	}
	if ok && c.expired(now, e) {
		e.Servers = nil
	}
	return e
}

// evict keeps the entries within their bound: suspects go before quarantined
// requests, older ones before newer ones.
func (c *Core) evict() {
	for len(c.entries) > c.options.MaxEntries {
		var victim *Entry
		for _, e := range c.entries {
			if victim == nil || evictBefore(e, victim) {
				victim = e
			}
		}
		delete(c.entries, victim.Fingerprint)
	}
}

func evictBefore(a, b *Entry) bool {
	if a.Quarantined != b.Quarantined {
		return !a.Quarantined
	}
	if !a.LastCrash.Equal(b.LastCrash) {
		return a.LastCrash.Before(b.LastCrash)
	}
	return a.Fingerprint < b.Fingerprint
}

func (e *Entry) copy() Entry {
	c := *e
	c.Servers = append([]string(nil), e.Servers...)
	return c
}

// union returns the sorted distinct names of both lists.
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

// NotQuarantinedError reports a release of an unknown fingerprint.
type NotQuarantinedError struct{ Fingerprint Fingerprint }

func (e *NotQuarantinedError) Error() string {
	return fmt.Sprintf("request %s is not quarantined", e.Fingerprint)
}
