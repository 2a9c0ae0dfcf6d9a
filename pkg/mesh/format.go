package mesh

import (
	"cmp"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
)

// Format is the format of the messages that a daemon sends and understands. During an upgrade,
// daemons of several formats exchange messages: fields are only added, their numbers are not
// used again, and what a daemon is sent depends on what it understands. A format that this
// daemon does not know is a later one, which understands all earlier ones.
type Format uint64

// Formats, oldest first.
const (
	// FormatRecords is that of daemons which take the records of all other daemons and know
	// neither digests nor grants. Their messages do not state a format.
	FormatRecords Format = iota + 1
	// FormatDigests is that of the first daemons that send and take digests and grants. Their
	// messages do not state a format either, but the span of the list of daemons.
	FormatDigests
	// FormatStated is that of daemons which state their format.
	FormatStated
	// FormatDemands is that of daemons which also state the speeds of servers, the demand for
	// services and the answers of versions that are rolled out.
	FormatDemands
	// FormatEpochs is that of daemons which order versions of the store by its epoch and state the
	// final counts of usage windows.
	FormatEpochs
	// FormatOrigins is that of daemons which state the routes and ages of streams that they know, and
	// answer for which versions they know a moment before these had begun any stream.
	FormatOrigins
	// FormatCollectors is that of daemons which store records of streams that other daemons have begun, and
	// which state the final counts of usage windows that they have accepted.
	FormatCollectors
)

// CurrentFormat is the format of this version.
const CurrentFormat = FormatCollectors

// formatMemory is how long a daemon that was heard counts when the oldest format is determined.
// It covers the restart of a daemon, after which it states another one.
const formatMemory = 5 * time.Second

// inferFormat returns the format of a message that states none.
func inferFormat(encoded []byte) (Format, error) {
	var m struct {
		MembersSpan *changelog.Span `cbor:"26,keyasint"`
	}
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return 0, err
	}
	if m.MembersSpan == nil {
		return FormatRecords, nil
	}
	return FormatDigests, nil
}

// speaks reports whether this daemon sends and understands a format.
func (d *Directory) speaks(f Format) bool { return d.options.Format == 0 || d.options.Format >= f }

// reliesOnRecords reports whether the hub of this daemon sends the records of all daemons, since
// it knows no digests.
func (d *Directory) reliesOnRecords() bool {
	for _, node := range d.neighbors() {
		if p := d.peers[node]; !p.lastMessageAt.IsZero() && p.format < FormatDigests {
			return true
		}
	}
	return false
}

// OldestHeard returns the oldest format of this daemon and those that it has heard lately.
func (d *Directory) OldestHeard(now time.Time) Format {
	oldest := cmp.Or(d.options.Format, CurrentFormat)
	for _, p := range d.peers {
		if !p.lastMessageAt.IsZero() && now.Sub(p.lastMessageAt) < formatMemory {
			oldest = min(oldest, p.format)
		}
	}
	return oldest
}

// OldestFormat returns the oldest format of all daemons, as far as those that this one has
// heard lately have heard them. A hub hears all daemons that rely on it and the other hubs.
func (d *Directory) OldestFormat(now time.Time) Format {
	if now.Sub(d.oldestAt) < oldestFormatAge {
		return d.oldest
	}
	oldest := d.OldestHeard(now)
	for _, p := range d.peers {
		if !p.lastMessageAt.IsZero() && now.Sub(p.lastMessageAt) < formatMemory {
			oldest = min(oldest, p.oldestHeard)
		}
	}
	d.oldest, d.oldestAt = oldest, now
	return oldest
}

// oldestFormatAge is how long the result of OldestFormat is used again. Its determination looks
// at all daemons.
const oldestFormatAge = 100 * time.Millisecond

// FormatOf returns the format of a daemon that this one has heard.
func (d *Directory) FormatOf(node string) (Format, bool) {
	p, ok := d.peers[node]
	if !ok || p.lastMessageAt.IsZero() {
		return 0, false
	}
	return p.format, true
}
