// Package mesh defines the messages with which daemons exchange their state, and
// the directory of peers that determines which daemons exchange messages and
// when. Each daemon describes its own state in a Record. A small number of
// daemons forms a full mesh and exchanges records directly. With more daemons,
// a few act as hubs: every other daemon, called a leaf, exchanges messages with
// one hub. The hubs exchange the records of all daemons, and each leaf is sent a
// Digest, which sums them, and the changes to the list of daemons. The number of
// messages therefore grows linearly with the number of daemons, and what a leaf
// receives does not grow with it. Through its peers, a daemon also receives the
// changes that it cannot read from the store.
package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/contention"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/quota"
	"github.com/monsooncrank/monsooncrank/pkg/rollout"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
	"github.com/monsooncrank/monsooncrank/pkg/serverspeed"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// Record is the state that one daemon publishes about itself.
type Record struct {
	Node string `cbor:"1,keyasint"`
	// Incarnation is the start time of the daemon, in Unix nanoseconds.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence increases with every record of an incarnation.
	Sequence uint64                    `cbor:"3,keyasint"`
	Loads    map[string]placement.Load `cbor:"4,keyasint,omitempty"`
	Quota    quota.Totals              `cbor:"5,keyasint"`
	Usage    usage.Windows             `cbor:"6,keyasint,omitempty"`
	// Placed holds the most recent placements of prompt prefixes.
	Placed []placement.Placed `cbor:"7,keyasint,omitempty"`
	// Work is the total work that the daemon has sent to each service since its
	// start.
	Work map[string]placement.Work `cbor:"9,keyasint,omitempty"`
	// Stopping is set when the daemon is shutting down. Other daemons then no
	// longer include it in the division of shares.
	Stopping bool `cbor:"8,keyasint,omitempty"`
	// ForwardAddress is the address for requests that other daemons forward, and OutOfReach
	// the services of whose servers the daemon reaches none.
	ForwardAddress string   `cbor:"10,keyasint,omitempty"`
	OutOfReach     []string `cbor:"11,keyasint,omitempty"`
	// Refusals holds how many requests of the daemon each brittle server has turned away.
	Refusals map[string]uint64 `cbor:"12,keyasint,omitempty"`
	// Partial is set on a hub's record to a leaf: the hub's loads, usage, work and
	// placements are in the digest.
	Partial bool `cbor:"13,keyasint,omitempty"`
	// Rollouts holds what the daemon has counted of each service with a running roll-out.
	Rollouts map[string]rollout.Counts `cbor:"14,keyasint,omitempty"`
	// Demand is the server time that the daemon's callers ask for.
	Demand []contention.Offer `cbor:"16,keyasint,omitempty"`
	// Speeds holds the recent samples of the speed of servers.
	Speeds *serverspeed.Reports `cbor:"18,keyasint,omitempty"`
}

// Digest is the sum of the records of all daemons, the sender and the receiver
// included.
type Digest struct {
	// Sequence increases with every digest of a run of the sender.
	Sequence uint64                 `cbor:"4,keyasint"`
	Daemons  int                    `cbor:"1,keyasint"`
	Loads    []placement.ServerLoad `cbor:"2,keyasint,omitempty"`
	Quota    quota.Levels           `cbor:"3,keyasint"`
	// Rollouts holds the excess of bad answers of each version that is rolled out.
	Rollouts map[string]rollout.Excess `cbor:"5,keyasint,omitempty"`
	// Levels holds the limits in force of contended services.
	Levels []contention.Level `cbor:"7,keyasint,omitempty"`
	// ShortPrompts holds, by service, the number of tokens left to prefill below which a prompt
	// is short.
	ShortPrompts map[string]int `cbor:"9,keyasint,omitempty"`
	// LevelsUnknown is set if the sender doesn't know the limits yet. Without it, services that
	// are not in Levels have none.
	LevelsUnknown bool `cbor:"8,keyasint,omitempty"`
}

// Message is the request or the response of an exchange between two daemons.
type Message struct {
	// Record is the sender's own record.
	Record  Record `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// WallUnixMilli is the sender's wall-clock time in Unix milliseconds.
	WallUnixMilli int64 `cbor:"3,keyasint"`
	// Records holds records of other daemons that the receiver may not have.
	Records []Record `cbor:"4,keyasint,omitempty"`
	// Revision is the sender's Directory.Revision. ReceivedRevision is the
	// receiver's revision up to which the sender has received all records.
	Revision         uint64 `cbor:"5,keyasint"`
	ReceivedRevision uint64 `cbor:"6,keyasint"`
	// CatalogVersion is the version of the configuration in force at the sender.
	// Catalog is its source as compressed by Compress, for a receiver that has an
	// older version.
	CatalogVersion int64  `cbor:"7,keyasint"`
	Catalog        []byte `cbor:"15,keyasint,omitempty"`
	// Fleet is the sender's view of the servers, as far as the receiver lacks it.
	Fleet fleet.View `cbor:"9,keyasint"`
	// Quarantine holds the entries of requests that crash servers which the
	// receiver lacks, and QuarantineSpan the sender's changes that they cover.
	// QuarantineReceived is how far the sender has received the receiver's changes.
	Quarantine         []quarantine.Entry `cbor:"14,keyasint,omitempty"`
	QuarantineSpan     changelog.Span     `cbor:"17,keyasint"`
	QuarantineReceived changelog.Position `cbor:"18,keyasint"`
	// Limits holds the request limits of servers that the receiver lacks, LimitsSpan
	// and LimitsReceived are as for the quarantine.
	Limits         []serverlimit.Entry `cbor:"19,keyasint,omitempty"`
	LimitsSpan     changelog.Span      `cbor:"20,keyasint"`
	LimitsReceived changelog.Position  `cbor:"21,keyasint"`
	// Versions holds the software versions of servers that the sender has seen lately.
	Versions streamversion.History `cbor:"22,keyasint"`
	// Collects is set if the sender receives the records of all daemons.
	Collects bool `cbor:"31,keyasint,omitempty"`
	// Digest is an encoded Digest. Included is the sequence number of the receiver's
	// record that it includes, or 0 if that is not known.
	Digest   cbor.RawMessage `cbor:"23,keyasint,omitempty"`
	Included uint64          `cbor:"24,keyasint,omitempty"`
	// Members holds what the receiver lacks of the list of daemons.
	Members         []Member           `cbor:"25,keyasint,omitempty"`
	MembersSpan     changelog.Span     `cbor:"26,keyasint"`
	MembersReceived changelog.Position `cbor:"27,keyasint"`
	// Placed holds the placements of all daemons that the receiver lacks: one encoded list
	// of placement.Placed for each position of PlacedSpan.
	Placed         []cbor.RawMessage  `cbor:"28,keyasint,omitempty"`
	PlacedSpan     changelog.Span     `cbor:"29,keyasint"`
	PlacedReceived changelog.Position `cbor:"30,keyasint"`
	// Format is the format that the sender speaks. DecodeMessage sets it for messages that
	// state none.
	Format Format `cbor:"32,keyasint,omitempty"`
	// OldestHeard is the oldest format that the sender has heard lately, its own included.
	OldestHeard Format `cbor:"33,keyasint,omitempty"`
	// StoredVersions holds the software versions in service that the store holds.
	StoredVersions streamversion.InUse `cbor:"40,keyasint,omitempty"`
	// Rollouts holds all roll-outs that the sender knows of, and RolloutsAsOf the store's
	// version up to which it knows all orders.
	Rollouts     []rollout.Entry `cbor:"34,keyasint,omitempty"`
	RolloutsAsOf table.Version   `cbor:"35,keyasint,omitempty"`
	// Speeds holds the estimated speeds of servers that the receiver lacks, and SpeedsReceived is
	// how far the sender has received those of the receiver.
	Speeds         *serverspeed.Told   `cbor:"38,keyasint,omitempty"`
	SpeedsReceived *changelog.Position `cbor:"39,keyasint,omitempty"`
	// FinalWindows holds the usage windows of which the sender knows the final counts, and
	// FinalCounts those counts that the receiver lacks.
	FinalWindows []int64       `cbor:"42,keyasint,omitempty"`
	FinalCounts  usage.Windows `cbor:"43,keyasint,omitempty"`
	// FinalStatement is what the sender states of final counts, FinalStatements what a hub passes on to
	// other hubs, and Finals the counts that the receiver lacks. Daemons before FormatCollectors are sent
	// FinalCounts in place of them.
	FinalStatement  *usage.Statement      `cbor:"44,keyasint,omitempty"`
	FinalStatements []usage.Statement     `cbor:"45,keyasint,omitempty"`
	Finals          map[int64]usage.Final `cbor:"46,keyasint,omitempty"`
	// RolloutsWithdrawn holds, by service, the store's version at which there was no order.
	RolloutsWithdrawn map[string]table.Version `cbor:"36,keyasint,omitempty"`
}

// Encode returns the CBOR encoding of the message.
func (m *Message) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	return encoded, errors.Annotate(err, "encode a message")
}

// DecodeMessage decodes a message encoded by Encode.
func DecodeMessage(encoded []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return nil, errors.Annotate(err, "decode a message")
	}
	if m.Format == 0 {
		format, err := inferFormat(encoded)
		if err != nil {
			return nil, errors.Annotate(err, "infer the format of a message")
		}
		m.Format = format
	}
	return &m, nil
}
