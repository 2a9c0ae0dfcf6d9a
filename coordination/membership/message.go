package membership

import (
	"math"
	"time"
)

// AnnouncementKind is the type of the content of an Announcement.
type AnnouncementKind string

// Kinds of announcements.
const (
	// AnnounceQuarantine carries a quarantine entry.
	AnnounceQuarantine AnnouncementKind = "quarantine"
	// AnnounceReclaim carries a reclaim notice.
	AnnounceReclaim AnnouncementKind = "reclaim"
	// AnnounceServer carries a BackendServer that was added to or removed from
	// the host list. The core applies it itself and does not deliver it.
	AnnounceServer AnnouncementKind = "server"
)

// Delta is the state of one member in a message between daemons. Its CBOR keys
// are small integers, because deltas make up most of the traffic between daemons.
type Delta struct {
	Name             string   `cbor:"1,keyasint"`
	Kind             Kind     `cbor:"2,keyasint,omitempty"`
	Address          string   `cbor:"3,keyasint,omitempty"`
	Pool             string   `cbor:"4,keyasint,omitempty"`
	AvailabilityZone string   `cbor:"5,keyasint,omitempty"`
	MachineClass     string   `cbor:"6,keyasint,omitempty"`
	Purchase         Purchase `cbor:"7,keyasint,omitempty"`
	Incarnation      uint64   `cbor:"8,keyasint"`
	// Rank is the index of the state in the order alive, suspect, leaving, gone.
	Rank uint8 `cbor:"9,keyasint,omitempty"`
	// AgeMillis is the age of the state at the sender in milliseconds. It is an
	// age and not a time because the clocks of different hosts are not compared.
	AgeMillis int64 `cbor:"10,keyasint,omitempty"`
}

// Announcement is a message that every daemon delivers once.
type Announcement struct {
	ID   string           `cbor:"1,keyasint"`
	Kind AnnouncementKind `cbor:"2,keyasint"`
	// Hops counts the daemons that have forwarded the announcement.
	Hops    uint8  `cbor:"3,keyasint,omitempty"`
	Server  *Delta `cbor:"4,keyasint,omitempty"`
	Payload []byte `cbor:"5,keyasint,omitempty"`
}

// ZoneLoad is the total load of the daemons in an AvailabilityZone.
type ZoneLoad struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	Daemons          uint32 `cbor:"2,keyasint"`
	Running          uint64 `cbor:"3,keyasint"`
	Waiting          uint64 `cbor:"4,keyasint"`
	// Version is the time of the measurement in Unix milliseconds on the
	// reporting daemon of the zone. A higher version replaces a lower one.
	Version int64 `cbor:"5,keyasint"`
}

// Message is a heartbeat, a reply to a heartbeat, or an urgent update.
type Message struct {
	// Sender is the state of the sender.
	Sender        Delta          `cbor:"1,keyasint"`
	Deltas        []Delta        `cbor:"2,keyasint,omitempty"`
	Announcements []Announcement `cbor:"3,keyasint,omitempty"`
	Zones         []ZoneLoad     `cbor:"4,keyasint,omitempty"`
	Running       uint32         `cbor:"5,keyasint,omitempty"`
	Waiting       uint32         `cbor:"6,keyasint,omitempty"`
	// Revision and BodyHash identify the highest configuration revision that the
	// sender has confirmed or received as confirmed from a peer.
	Revision     uint64 `cbor:"7,keyasint,omitempty"`
	BodyHash     string `cbor:"8,keyasint,omitempty"`
	RevisionHops uint8  `cbor:"9,keyasint,omitempty"`
	// Digest is a hash of the states that should be equal on all daemons.
	Digest uint64 `cbor:"10,keyasint,omitempty"`
	// Sync requests the states of the members whose names sort after SyncAfter.
	Sync      bool   `cbor:"11,keyasint,omitempty"`
	SyncAfter string `cbor:"12,keyasint,omitempty"`
	// SyncReply marks the reply to Sync. SyncNext is the SyncAfter value for the
	// next request; it is empty after the last part.
	SyncReply bool   `cbor:"13,keyasint,omitempty"`
	SyncNext  string `cbor:"14,keyasint,omitempty"`
}

// Ranks of the states: a higher rank overrides a lower one of the same
// incarnation.
const (
	rankAlive uint8 = iota
	rankSuspect
	rankLeaving
	rankGone
)

var statesByRank = [...]State{StateAlive, StateSuspect, StateLeaving, StateGone}

// State returns the state of the delta. An unknown rank is treated as gone.
func (d *Delta) State() State {
	if int(d.Rank) >= len(statesByRank) {
		return StateGone
	}
	return statesByRank[d.Rank]
}

// maxAge limits the ages in messages from peers. It is longer than every
// retention.
const maxAge = 30 * 24 * time.Hour

func (d *Delta) age() time.Duration {
	return time.Duration(min(max(d.AgeMillis, 0), maxAge.Milliseconds())) * time.Millisecond
}

// valid reports whether a delta can be applied. The maximum incarnation is
// rejected because no higher incarnation exists to refute it.
func (d *Delta) valid() bool { return d.Name != "" && d.Incarnation < math.MaxUint64 }

func (d *Delta) member() Member {
	return Member{
		Name: d.Name, Kind: d.Kind, Address: d.Address, Pool: d.Pool,
		AvailabilityZone: d.AvailabilityZone, MachineClass: d.MachineClass,
		Purchase: d.Purchase, Incarnation: d.Incarnation,
	}
}

func newDelta(m *Member, rank uint8, age time.Duration) Delta {
	return Delta{
		Name: m.Name, Kind: m.Kind, Address: m.Address, Pool: m.Pool,
		AvailabilityZone: m.AvailabilityZone, MachineClass: m.MachineClass,
		Purchase: m.Purchase, Incarnation: m.Incarnation, Rank: rank,
		AgeMillis: max(age, 0).Milliseconds(),
	}
}

// Upper bounds of the encoded sizes in bytes, without the strings and payloads.
const (
	deltaOverheadBytes        = 40
	announcementOverheadBytes = 16
)

func (d *Delta) size() int {
	return deltaOverheadBytes + len(d.Name) + len(d.Kind) + len(d.Address) + len(d.Pool) +
		len(d.AvailabilityZone) + len(d.MachineClass) + len(d.Purchase)
}

func (a *Announcement) size() int {
	size := announcementOverheadBytes + len(a.ID) + len(a.Kind) + len(a.Payload)
	if a.Server != nil {
		size += a.Server.size()
	}
	return size
}
