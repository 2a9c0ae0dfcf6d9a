// Package mesh lets daemons tell one another what each of them has done and
// learned: a digest is exchanged with every peer several times a second, and at
// once when there is news. What the store cannot tell a daemon, its peers can.
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

// Digest is what one daemon states.
type Digest struct {
	Node string `cbor:"1,keyasint"`
	// Incarnation is the start of the daemon, in Unix nanoseconds.
	Incarnation uint64 `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	// WallUnixMilli is the daemon's time of day.
	WallUnixMilli int64 `cbor:"4,keyasint"`
	// CatalogVersion is the configuration in force; Catalog is its source and
	// is sent to peers that have an older one.
	CatalogVersion int64  `cbor:"5,keyasint"`
	Catalog        []byte `cbor:"6,keyasint,omitempty"`
	// StoreReachable says that the store answers this daemon.
	StoreReachable bool `cbor:"7,keyasint"`
	// FleetVersion is the store's version of the view of servers; Fleet is sent
	// to peers that the store does not answer and that know less.
	FleetVersion uint64                    `cbor:"8,keyasint"`
	Fleet        []fleet.Entry             `cbor:"9,keyasint,omitempty"`
	Loads        map[string]placement.Load `cbor:"10,keyasint,omitempty"`
	Quota        quota.Totals              `cbor:"11,keyasint"`
	Usage        usage.Windows             `cbor:"12,keyasint,omitempty"`
	Quarantine   []quarantine.Entry        `cbor:"13,keyasint,omitempty"`
	// Placed are the newest placements of prompt parts.
	Placed []placement.Placed `cbor:"15,keyasint,omitempty"`
	// Stopping daemons take no part in shares any more.
	Stopping bool `cbor:"14,keyasint,omitempty"`
}

// Encode returns the digest as bytes.
func (d *Digest) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(d)
	return encoded, errors.Annotate(err, "encode a digest")
}

// DecodeDigest returns the digest in bytes of a peer.
func DecodeDigest(encoded []byte) (*Digest, error) {
	var d Digest
	if err := cbor.Unmarshal(encoded, &d); err != nil {
		return nil, errors.Annotate(err, "decode a digest")
	}
	return &d, nil
}
