// Package mesh lets daemons tell one another what each of them has done and
// learned. A daemon states itself in a record. Few daemons exchange records with
// one another directly; where there are more, each talks to one of a few hubs,
// and hubs pass the records of all others on, so that the messages grow with
// the number of daemons and not with its square. What the store cannot tell a
// daemon, its peers can.
package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/quota"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// Record is what one daemon states of itself.
type Record struct {
	Node string `cbor:"1,keyasint"`
	// Incarnation is the start of the daemon, in Unix nanoseconds.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence rises with every record of an incarnation.
	Sequence uint64                    `cbor:"3,keyasint"`
	Loads    map[string]placement.Load `cbor:"4,keyasint,omitempty"`
	Quota    quota.Totals              `cbor:"5,keyasint"`
	Usage    usage.Windows             `cbor:"6,keyasint,omitempty"`
	// Placed are the newest placements of prompt parts.
	Placed []placement.Placed `cbor:"7,keyasint,omitempty"`
	// Work is what the daemon gave to each service since its start.
	Work map[string]placement.Work `cbor:"9,keyasint,omitempty"`
	// Stopping daemons take no part in shares any more.
	Stopping bool `cbor:"8,keyasint,omitempty"`
}

// Message is one half of an exchange between two daemons.
type Message struct {
	// Record is the sender's own.
	Record  Record `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// WallUnixMilli is the sender's time of day.
	WallUnixMilli int64 `cbor:"3,keyasint"`
	// Records are those of other daemons that the receiver may not have.
	Records []Record `cbor:"4,keyasint,omitempty"`
	// Stamp counts the records that the sender has taken; Since is the stamp of
	// the receiver up to which the sender has everything.
	Revision         uint64 `cbor:"5,keyasint"`
	ReceivedRevision uint64 `cbor:"6,keyasint"`
	// CatalogVersion is the configuration in force; Catalog is its source as
	// packed by Pack, for a receiver that has an older one.
	CatalogVersion int64  `cbor:"7,keyasint"`
	Catalog        []byte `cbor:"15,keyasint,omitempty"`
	// FleetAgeMillis is how long ago the store confirmed the sender's view of
	// servers, to the sender or to whoever told it; negative means unknown.
	// FleetVersion is the store's version of the view.
	FleetAgeMillis int64  `cbor:"9,keyasint"`
	FleetVersion   uint64 `cbor:"10,keyasint"`
	// Fleet holds the entries that changed after FleetSince, or all if
	// FleetSince is 0.
	Fleet      []fleet.Entry `cbor:"11,keyasint,omitempty"`
	FleetSince uint64        `cbor:"12,keyasint,omitempty"`
	HasFleet   bool          `cbor:"13,keyasint,omitempty"`
	// FleetChangedVersion is the version of the last change in the sender's view.
	// Without entries a receiver may take over FleetVersion only if its own
	// view is of that change or a later one.
	FleetChangedVersion uint64             `cbor:"16,keyasint,omitempty"`
	Quarantine          []quarantine.Entry `cbor:"14,keyasint,omitempty"`
}

// Encode returns the message as bytes.
func (m *Message) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	return encoded, errors.Annotate(err, "encode a message")
}

// DecodeMessage returns the message in bytes of a peer.
func DecodeMessage(encoded []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return nil, errors.Annotate(err, "decode a message")
	}
	return &m, nil
}
