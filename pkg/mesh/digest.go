package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

const (
	// digestInterval is the age from which on a digest is made anew. One digest serves all
	// daemons that ask for it meanwhile.
	digestInterval = 100 * time.Millisecond
	// placedRetention is how long lists of placements are kept for daemons that lack them.
	placedRetention = 2 * time.Second
	// sentRecordsKept is the number of own records that are kept to tell what a digest
	// includes. It spans more than the age of a digest, at one record per urgent exchange.
	sentRecordsKept = 32
)

// DigestLog holds the newest digest that a daemon has made for others, and its recent lists
// of placements. It is not safe for concurrent use.
type DigestLog struct {
	run     uint64
	digest  cbor.RawMessage
	builtAt time.Time
	// included holds, by daemon, the sequence number of the record that the digest includes.
	included map[string]uint64
	sequence uint64
	// placed holds the lists of placements up to the position placedRevision.
	placed         []placedList
	placedRevision uint64
}

type placedList struct {
	encoded cbor.RawMessage
	at      time.Time
}

// NewDigestLog returns a DigestLog for a run of a daemon.
func NewDigestLog(run uint64) *DigestLog { return &DigestLog{run: run} }

// Due reports whether the digest is to be made anew.
func (l *DigestLog) Due(now time.Time) bool {
	return l.builtAt.IsZero() || now.Sub(l.builtAt) >= digestInterval
}

// Put stores a new digest, the sequence numbers of the records that it includes, and the
// placements since the one before.
func (l *DigestLog) Put(now time.Time, d *Digest, included map[string]uint64, placed []placement.Placed) error {
	d.Sequence = l.sequence + 1
	encoded, err := cbor.Marshal(d)
	if err != nil {
		return errors.Annotate(err, "encode a digest")
	}
	l.sequence++
	l.digest, l.builtAt, l.included = encoded, now, included
	for len(l.placed) > 0 && now.Sub(l.placed[0].at) > placedRetention {
		l.placed = l.placed[1:]
	}
	if len(placed) == 0 {
		return nil
	}
	list, err := cbor.Marshal(placed)
	if err != nil {
		return errors.Annotate(err, "encode placements")
	}
	l.placed = append(l.placed, placedList{encoded: list, at: now})
	l.placedRevision++
	return nil
}

// Fill adds the digest to a message, and the lists of placements that the receiver has not
// acknowledged. Lists that are no longer kept are left out: placements only help to choose
// a server.
func (l *DigestLog) Fill(m *Message, receiver string, acknowledged changelog.Position) {
	m.Digest, m.Included = l.digest, l.included[receiver]
	from := uint64(0)
	if acknowledged.Run == l.run {
		from = min(acknowledged.Revision, l.placedRevision)
	}
	missing := min(int(l.placedRevision-from), len(l.placed))
	for _, list := range l.placed[len(l.placed)-missing:] {
		m.Placed = append(m.Placed, list.encoded)
	}
	m.PlacedSpan = changelog.Span{Run: l.run, From: from, To: l.placedRevision}
}

// DecodeDigest returns the digest of a message, or nil if it has none.
func (m *Message) DecodeDigest() (*Digest, error) {
	if len(m.Digest) == 0 {
		return nil, nil
	}
	var d Digest
	if err := cbor.Unmarshal(m.Digest, &d); err != nil {
		return nil, errors.Annotate(err, "decode a digest")
	}
	return &d, nil
}

// DecodePlaced returns the placements of a message after the position up to which they
// were received before.
func (m *Message) DecodePlaced(received changelog.Position) ([]placement.Placed, error) {
	lists := m.Placed
	if received.Run == m.PlacedSpan.Run && received.Revision > m.PlacedSpan.To-uint64(len(lists)) {
		known := received.Revision - (m.PlacedSpan.To - uint64(len(lists)))
		lists = lists[min(known, uint64(len(lists))):]
	}
	var all []placement.Placed
	for _, encoded := range lists {
		var list []placement.Placed
		if err := cbor.Unmarshal(encoded, &list); err != nil {
			return nil, errors.Annotate(err, "decode placements")
		}
		all = append(all, list...)
	}
	return all, nil
}

// SetPlacedReceived records how far this daemon has received a neighbor's lists of
// placements.
func (d *Directory) SetPlacedReceived(node string, received changelog.Position) {
	if p, ok := d.peers[node]; ok {
		p.Placed.Received = received
	}
}

// SetSpeedsReceived records how far this daemon has received a neighbor's speeds of servers.
func (d *Directory) SetSpeedsReceived(node string, received changelog.Position) {
	if p, ok := d.peers[node]; ok {
		p.Speeds.Received = received
	}
}

// Sequences returns the sequence numbers of the records that are stored.
func (d *Directory) Sequences() map[string]uint64 {
	sequences := make(map[string]uint64, len(d.peers))
	for node, p := range d.peers {
		if !p.Record.Partial {
			sequences[node] = p.Record.Sequence
		}
	}
	return sequences
}

// SentRecord is the part of an own record that a digest may include.
type SentRecord struct {
	Sequence uint64
	Loads    map[string]placement.Load
	// Used is the total admitted cost by account.
	Used map[string]float64
}

// SentRecords holds the newest records that a daemon has sent.
type SentRecords struct{ records []SentRecord }

// Add stores a record.
func (s *SentRecords) Add(r SentRecord) {
	if len(s.records) >= sentRecordsKept {
		s.records = append(s.records[:0], s.records[1:]...)
	}
	s.records = append(s.records, r)
}

// Lookup returns the record with a sequence number, if it is still kept.
func (s *SentRecords) Lookup(sequence uint64) (SentRecord, bool) {
	for i := range s.records {
		if s.records[i].Sequence == sequence {
			return s.records[i], true
		}
	}
	return SentRecord{}, false
}
