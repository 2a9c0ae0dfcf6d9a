package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// View is a daemon's view of the servers as it is sent to a peer, or the part of it
// that the peer lacks.
type View struct {
	// Version is the store's version as of which the sender's view is complete.
	Version table.Version `cbor:"1,keyasint,omitempty"`
	// Digest is a hash of the servers in the sender's view.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Entries holds what the receiver lacks, and Span the sender's changes that
	// they cover.
	Entries []Entry        `cbor:"3,keyasint,omitempty"`
	Span    changelog.Span `cbor:"4,keyasint"`
	// AgeMillis is the time since the store confirmed the view, to the sender or to
	// the daemon from which the sender has it; negative means unknown.
	AgeMillis int64 `cbor:"5,keyasint"`
	// Received is how far the sender has received the receiver's changes.
	Received changelog.Position `cbor:"6,keyasint"`
}

// InEpoch returns the view with all its versions in an epoch, for a daemon that does not know epochs
// or from one.
func (v View) InEpoch(epoch table.Epoch) View {
	v.Version = epoch.At(v.Version.Number())
	v.Entries = slices.Clone(v.Entries)
	for i := range v.Entries {
		v.Entries[i].Version = epoch.At(v.Entries[i].Version.Number())
	}
	return v
}

// Head returns the position of this daemon's newest change.
func (c *Core) Head() changelog.Position { return c.log.Head() }

// Digest returns a hash of the servers in the view.
func (c *Core) Digest() uint64 { return c.digest }

// ViewFor returns the view for a peer that has acknowledged a position in this
// daemon's changes. If the peer has acknowledged nothing but stated the digest of
// this view, it has the same servers. Changes that other peers have sent are
// included if forward is set.
func (c *Core) ViewFor(peer string, acknowledged changelog.Position, peerDigest uint64, forward bool) View {
	v := View{Version: c.version, Digest: c.digest}
	if head := c.log.Head(); acknowledged.Run != head.Run && peerDigest == c.digest {
		acknowledged = head
	}
	var keys []string
	keys, v.Span = c.log.Since(peer, acknowledged, func(string) bool { return forward }, math.MaxInt)
	for _, id := range keys {
		if m, ok := c.members[id]; ok {
			server := m.server
			v.Entries = append(v.Entries, Entry{ID: id, Server: &server, Version: m.version})
		} else {
			v.Entries = append(v.Entries, Entry{ID: id, Version: c.removed[id].version})
		}
	}
	return v
}

// Merge applies the view of a peer. The position is how far the peer's changes have
// been received before, and Merge returns how far they are received now. It reports
// whether both daemons then have the same servers, so that the store's confirmation
// of the peer's view is one of this view as well. Only the store can settle a
// difference that remains when both have each other's changes: one of the two has
// missed something.
func (c *Core) Merge(now time.Time, peer string, received changelog.Position, v *View) ([]Event, changelog.Position, bool) {
	var events []Event
	for _, e := range v.Entries {
		events = c.applyEntry(now, e, source{peer: peer}, events)
	}
	received, complete := received.Advance(v.Span)
	if v.Digest != c.digest {
		return events, received, false
	}
	if !complete {
		received = v.Span.End()
	}
	if v.Version > 0 {
		c.setComplete(v.Version)
	}
	return events, received, true
}
