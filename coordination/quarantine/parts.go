package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// A part of a prompt may crash each server that begins an answer to a request with it,
// whatever else the request holds. The requests have little in common: they share the
// part, and with sound requests their account and other parts. Crashes are therefore also
// counted for each part, in entries of their own.
//
// A part is suspected of a crash if an attempt with it had not produced more of its answer
// than positionTolerance when the server crashed. The crashes of a part are cleared when a
// request with it completes that was sent after they were known. What remains is a part
// that was present at all crashes and with which no request has completed since.
//
// With little traffic, a shared part may be left as well as the one that is to blame. A
// request is then refused only if it holds all of them: sound requests lack the part that
// is to blame, run, and clear the others.

const (
	// partCrashes is the number of crashes after which a part is refused.
	partCrashes = 4
	// partRounds is the number of rounds that these crashes must be spread over. An
	// attempt belongs to the round after the last one whose crash was known when it was
	// sent. When many servers crash at once for another reason, all parts that were in use
	// have many crashes in one round.
	partRounds = 2
	// unexplainedCrashes is the number of crashes of a part that another part need not
	// share to be the better explanation of them, if it has none of its own: a server may
	// crash for another reason.
	unexplainedCrashes = 1
	// partPrefix marks the fingerprints of parts, and partHashLength is the number of
	// their hexadecimal digits.
	partPrefix     = "part-"
	partHashLength = 16
)

// PartFingerprint returns the fingerprint of a part of a prompt.
func PartFingerprint(id string) Fingerprint {
	hash := sha256.Sum256([]byte(id))
	return partPrefix + Fingerprint(hex.EncodeToString(hash[:]))[:partHashLength]
}

// isPart reports whether the fingerprint is that of a part.
func (f Fingerprint) isPart() bool { return strings.HasPrefix(string(f), partPrefix) }

// partStart is what was known of a part when an attempt with it was sent.
type partStart struct {
	rounds     int
	generation uint64
}

// partStarts returns what is known of parts now.
func (c *Core) partStarts(parts []Fingerprint) []partStart {
	starts := make([]partStart, len(parts))
	for i, part := range parts {
		if e, ok := c.entries[part]; ok {
			starts[i] = partStart{rounds: e.Rounds, generation: e.Generation}
		}
	}
	return starts
}

// recordPartCrash records that a server crashed under an attempt with a part that was sent
// at start. It returns the entry and whether it has changed.
func (c *Core) recordPartCrash(now time.Time, part Fingerprint, server string, start partStart) (Entry, bool) {
	e := c.getOrCreateEntry(now, part)
	rounds := 1
	if start.generation == e.Generation {
		rounds += start.rounds
	}
	changed := e.addCrashes([]string{server}, nil)
	if rounds > e.Rounds {
		e.Rounds, changed = rounds, true
	}
	if changed {
		e.LastCrash, e.Released = now, false
		c.markChanged(now, e, "")
		c.evict()
	}
	return e.copy(), changed
}

// recordPartSuccess clears a part with which a request has completed that was sent at
// start. It returns the entry to send to other daemons, and false if nothing was cleared.
// A request that was sent before the crashes of the part were known proves nothing: the
// part may have been harmless to servers until then.
func (c *Core) recordPartSuccess(now time.Time, part Fingerprint, start partStart) (Entry, bool) {
	e, ok := c.entries[part]
	if !ok || len(e.Servers) == 0 || start.rounds == 0 || start.generation != e.Generation {
		return Entry{}, false
	}
	e.clear()
	e.LastCrash = now
	c.markChanged(now, e, "")
	return e.copy(), true
}

// checkParts returns whether a request with the parts may run, and whether that must wait
// until other daemons have reported their suspects.
func (c *Core) checkParts(now time.Time, parts []Fingerprint) (verdict Verdict, pending bool) {
	verdict = VerdictRun
	for _, part := range parts {
		e, ok := c.entries[part]
		if !ok || c.expired(now, e) {
			continue
		}
		switch {
		case !c.isDecisive(e) || c.explainedByOther(now, e, parts):
		case now.Sub(e.decisiveAt) < c.options.SettleDelay:
			pending = true
		default:
			verdict = VerdictRefuse
		}
	}
	return verdict, pending && verdict != VerdictRefuse
}

// isDecisivePart reports whether a part has enough crashes to be refused.
func (e *Entry) isDecisivePart() bool { return len(e.Servers) >= partCrashes && e.Rounds >= partRounds }

// isNearlyDecisivePart reports whether other daemons need the entry of a part soon: to
// refuse it, and not to quarantine requests that were at the same servers.
func (e *Entry) isNearlyDecisivePart() bool {
	return e.Fingerprint.isPart() && len(e.Servers) >= partCrashes/2
}

// explainedByOther reports whether a part that is not among the listed ones explains the
// crashes of e as well.
func (c *Core) explainedByOther(now time.Time, e *Entry, listed []Fingerprint) bool {
	for _, o := range c.entries {
		if o.Fingerprint.isPart() && o.explains(e) && !slices.Contains(listed, o.Fingerprint) && !c.expired(now, o) {
			return true
		}
	}
	return false
}

// explains reports whether the part is as good an explanation of the crashes of another
// one: it was present at all of them, at all but unexplainedCrashes and at no others, or at
// as many crashes or more, and those which it does not share prove too little.
func (e *Entry) explains(other *Entry) bool {
	if len(e.Servers)+unexplainedCrashes < len(other.Servers) {
		return false
	}
	switch missing := countMissing(other.Servers, e.Servers); {
	case missing == 0:
		return true
	case len(e.Servers) >= len(other.Servers):
		return missing < partCrashes
	default:
		return missing <= unexplainedCrashes && countMissing(e.Servers, other.Servers) == 0
	}
}

// countMissing returns how many names of a are not in b.
func countMissing(a, b []string) int {
	missing := 0
	for _, name := range a {
		if !slices.Contains(b, name) {
			missing++
		}
	}
	return missing
}

// hasPart reports whether other is a part of the request of e.
func (e *Entry) hasPart(other *Entry) bool { return slices.Contains(e.Parts, other.Fingerprint) }

// explainedByPart reports whether a part that the request of e lacks was present at all
// of its counted crashes.
func (c *Core) explainedByPart(now time.Time, e *Entry, counted []string) bool {
	for _, o := range c.entries {
		if o.Fingerprint.isPart() && !e.hasPart(o) && !c.expired(now, o) && isSubset(counted, o.Servers) {
			return true
		}
	}
	return false
}
