package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options configure a Directory.
type Options struct {
	// Interval is the time between two exchanges with one neighbor, LeafInterval
	// that between a hub and a daemon that is none.
	Interval     time.Duration
	LeafInterval time.Duration
	// PeerExpiry is when a daemon that states nothing and does not refresh its
	// entry in the store is forgotten.
	PeerExpiry time.Duration
	// FullMeshLimit is the number of daemons up to which all talk to all.
	FullMeshLimit int
	// Hubs is the number of hubs beyond it, and of daemons that follow the
	// store for the others in any case.
	HubCount int
}

const (
	// maxBackoffFactor bounds how much rarer a neighbor that does not answer is asked.
	maxBackoffFactor = 4
	// unresponsive is the number of failed exchanges after which a daemon is
	// not taken for a hub.
	unresponsiveFailures = 2
	// activeWindow is how long a daemon that is asked by others acts as a hub.
	activeWindow = 2 * time.Second
	// clockMaxAge is how long a neighbor's time of day counts.
	clockMaxAge = 3 * time.Second
	// recordMaxAge is how long a record is passed on that is not renewed.
	recordMaxAge = 5 * time.Second
)

// Peer is what is known of one daemon.
type Peer struct {
	Node    string
	Address string
	// Weight is the processor share of its host; heavier daemons become hubs.
	Weight float64
	// Record is the newest record, RecordAt when it came, and Stamp its place
	// among all records taken.
	Record   Record
	RecordAt time.Time
	Revision uint64
	// The rest is known of neighbors only: what the last exchange told.
	CatalogVersion int64
	FleetVersion   uint64
	// Has is the own stamp up to which the neighbor has all records, Since the
	// neighbor's stamp up to which this daemon has them.
	AckedRevision, ReceivedRevision uint64

	listedVersion  uint64
	listedAt       time.Time
	lastMessageAt  time.Time
	wallOffset     time.Duration
	nextExchangeAt time.Time
	inFlight       bool
	failures       int
	lastRetryAt    time.Time
}

// Directory is the set of other daemons and of their records. It is not safe
// for concurrent use.
type Directory struct {
	options Options
	self    string
	weight  float64
	peers   map[string]*Peer
	// gone keeps the versions of the store's entries of forgotten peers, whose
	// entries stay behind.
	removedVersions map[string]uint64
	revision        uint64
	lastRequestAt   time.Time
}

// NewDirectory returns a Directory that knows nobody.
func NewDirectory(self string, weight float64, options Options) *Directory {
	return &Directory{options: options, self: self, weight: weight, peers: make(map[string]*Peer), removedVersions: make(map[string]uint64)}
}

// List takes a daemon's entry in the store. Version tells changes apart. It
// reports whether the daemon counts as alive.
func (d *Directory) UpdateEntry(now time.Time, node, address string, weight float64, version uint64) bool {
	if removedVersion, ok := d.removedVersions[node]; node == d.self || ok && removedVersion == version {
		return false
	}
	p := d.peer(now, node)
	if p.listedVersion != version {
		p.listedVersion, p.listedAt = version, now
	}
	p.Weight = weight
	if p.lastMessageAt.IsZero() {
		p.Address = address
	}
	return true
}

func (d *Directory) peer(now time.Time, node string) *Peer {
	p, ok := d.peers[node]
	if !ok {
		p = &Peer{Node: node, nextExchangeAt: now, listedAt: now}
		d.peers[node] = p
	}
	return p
}

// Heard takes what a neighbor's message says of the neighbor. Asked says that
// the neighbor began the exchange.
func (d *Directory) UpdateNeighbor(now time.Time, m *Message, initiatedByPeer bool) {
	if m.Record.Node == d.self {
		return
	}
	p := d.peer(now, m.Record.Node)
	if p.Record.Incarnation != m.Record.Incarnation {
		// Stamps of an earlier start mean nothing.
		p.AckedRevision, p.ReceivedRevision = 0, 0
	} else {
		p.AckedRevision = m.ReceivedRevision
	}
	p.ReceivedRevision = m.Revision
	p.Address, p.lastMessageAt, p.failures = m.Address, now, 0
	p.CatalogVersion, p.FleetVersion = m.CatalogVersion, m.FleetVersion
	p.wallOffset = time.UnixMilli(m.WallUnixMilli).Sub(now)
	p.nextExchangeAt = now.Add(d.interval(p.Node))
	if initiatedByPeer {
		d.lastRequestAt = now
	}
}

// Take takes a record. It reports whether it is news.
func (d *Directory) MergeRecord(now time.Time, r *Record) bool {
	if r.Node == d.self {
		return false
	}
	p := d.peer(now, r.Node)
	old := p.Record
	if r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Sequence <= old.Sequence {
		return false
	}
	d.revision++
	p.Record, p.RecordAt, p.Revision = *r, now, d.revision
	return true
}

// interval is the time between two exchanges with a neighbor.
func (d *Directory) interval(node string) time.Duration {
	if d.isFullMesh() {
		return d.options.Interval
	}
	if hubs := d.rankedHubs(); slices.Contains(hubs, node) && slices.Contains(hubs, d.self) {
		return d.options.Interval
	}
	return d.options.LeafInterval
}

// Staleness is how old a record may be when it arrives.
func (d *Directory) MaxStaleness() time.Duration {
	if d.isFullMesh() {
		return d.options.Interval + deliveryTime
	}
	return d.options.Interval + 2*d.options.LeafInterval + deliveryTime
}

// deliveryTime is the time of an exchange, with the pause until it is due.
const deliveryTime = 100 * time.Millisecond

// Stamp counts the records taken.
func (d *Directory) Revision() uint64 { return d.revision }

// RecordsFor returns the records that a neighbor may not have. Only hubs pass
// records on.
func (d *Directory) RecordsFor(now time.Time, node string) []Record {
	p, ok := d.peers[node]
	if !ok || d.isFullMesh() {
		return nil
	}
	toHub := slices.Contains(d.rankedHubs(), node)
	var records []Record
	for _, other := range d.peers {
		if other == p || other.Revision <= p.AckedRevision || now.Sub(other.RecordAt) >= recordMaxAge {
			continue
		}
		r := other.Record
		// A daemon that has just started takes the levels of its neighbors.
		r.Quota.Level = nil
		if !toHub {
			// Only hubs do the duties.
			r.Usage, r.Work = nil, nil
		}
		records = append(records, r)
	}
	return records
}

// ReceivedRevisionOf returns the stamp of a neighbor up to which all records are here.
func (d *Directory) ReceivedRevisionOf(node string) uint64 {
	if p, ok := d.peers[node]; ok {
		return p.ReceivedRevision
	}
	return 0
}

// Neighbor returns what is known of a daemon.
func (d *Directory) Lookup(node string) (Peer, bool) {
	p, ok := d.peers[node]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Serves reports whether this daemon is the hub that sends large news to a
// daemon first; each daemon has one of the hubs.
func (d *Directory) IsPrimaryHubFor(node string) bool {
	hubs := d.rankedHubs()
	return len(hubs) > 0 && hubs[xxhash.Sum64String(node)%uint64(len(hubs))] == d.self
}

// Meshed reports whether all daemons talk to all.
func (d *Directory) IsFullMesh() bool { return d.isFullMesh() }

func (d *Directory) isFullMesh() bool { return len(d.peers)+1 <= d.options.FullMeshLimit }

// ranked returns the daemons in the order in which they become hubs: by weight,
// then by the hash of their names, which is the same everywhere.
func (d *Directory) rankedHubs() []string {
	type candidate struct {
		node   string
		weight float64
		hash   uint64
	}
	candidates := []candidate{{d.self, d.weight, xxhash.Sum64String(d.self)}}
	for node, p := range d.peers {
		if p.failures < unresponsiveFailures {
			candidates = append(candidates, candidate{node, p.Weight, xxhash.Sum64String(node)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.hash, b.hash))
	})
	hubs := make([]string, 0, d.options.HubCount)
	for i := range min(len(candidates), d.options.HubCount) {
		hubs = append(hubs, candidates[i].node)
	}
	return hubs
}

// IsHub reports whether this daemon follows the store and passes news on: it
// ranks among the first, or others take it for a hub.
func (d *Directory) IsHub(now time.Time) bool {
	if d.RanksAsHub() {
		return true
	}
	return !d.isFullMesh() && now.Sub(d.lastRequestAt) < activeWindow
}

// Ranks reports whether this daemon is among the first that answer.
func (d *Directory) RanksAsHub() bool { return slices.Contains(d.rankedHubs(), d.self) }

// neighbors returns the daemons to exchange messages with.
func (d *Directory) neighbors() []string {
	if d.isFullMesh() {
		nodes := make([]string, 0, len(d.peers))
		for node := range d.peers {
			nodes = append(nodes, node)
		}
		return nodes
	}
	hubs := d.rankedHubs()
	if slices.Contains(hubs, d.self) {
		return slices.DeleteFunc(hubs, func(node string) bool { return node == d.self })
	}
	// Leaves are spread over the hubs; each keeps to its own as long as that
	// answers.
	slices.SortFunc(hubs, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(d.self+"\x00"+a), xxhash.Sum64String(d.self+"\x00"+b))
	})
	return hubs[:min(len(hubs), 1)]
}

// Due returns the neighbors to exchange messages with now and marks them as
// asked.
func (d *Directory) Due(now time.Time) []Peer {
	var due []Peer
	for _, node := range d.neighbors() {
		p := d.peers[node]
		if !p.inFlight && !now.Before(p.nextExchangeAt) && p.Address != "" {
			p.inFlight = true
			due = append(due, *p)
		}
	}
	for _, p := range d.peers {
		// Daemons that did not answer are tried again from time to time.
		if p.failures >= unresponsiveFailures && !p.inFlight && !now.Before(p.nextExchangeAt) && !d.isFullMesh() && p.Weight >= d.weight &&
			now.Sub(p.lastRetryAt) > activeWindow {
			p.inFlight, p.lastRetryAt = true, now
			due = append(due, *p)
			break
		}
	}
	return due
}

// Done says that an exchange has ended.
func (d *Directory) ExchangeDone(now time.Time, node string, failed bool) {
	p, ok := d.peers[node]
	if !ok {
		return
	}
	p.inFlight = false
	wait := d.interval(node)
	if failed {
		p.failures++
		wait *= time.Duration(min(p.failures, maxBackoffFactor))
		p.AckedRevision, p.ReceivedRevision = 0, 0
	}
	p.nextExchangeAt = now.Add(wait)
}

// Urgent makes an exchange with every neighbor due, and with every daemon that
// asks this hub.
func (d *Directory) MakeExchangesDue(now time.Time) []Peer {
	var due []Peer
	for _, p := range d.peers {
		p.nextExchangeAt = now
		if !d.isFullMesh() && now.Sub(p.lastMessageAt) < activeWindow && p.Address != "" && !p.inFlight {
			p.inFlight = true
			due = append(due, *p)
		}
	}
	return due
}

// Expire forgets the daemons that are gone and returns their names.
func (d *Directory) Expire(now time.Time) []string {
	var expired []string
	for node, p := range d.peers {
		last := p.RecordAt
		if p.listedAt.After(last) {
			last = p.listedAt
		}
		if now.Sub(last) > d.options.PeerExpiry {
			d.Remove(node)
			expired = append(expired, node)
		}
	}
	return expired
}

// Remove forgets a daemon that has said that it stops.
func (d *Directory) Remove(node string) {
	if p, ok := d.peers[node]; ok {
		d.removedVersions[node] = p.listedVersion
		delete(d.peers, node)
	}
}

// Size returns the number of daemons, this one included.
func (d *Directory) Size() int { return len(d.peers) + 1 }

// Neighbors returns the daemons that are talked to directly.
func (d *Directory) Neighbors() []Peer {
	var list []Peer
	for _, node := range d.neighbors() {
		list = append(list, *d.peers[node])
	}
	return list
}

// MedianWallOffset returns the middle of the neighbors' times of day against the own
// steady clock, so that the steps of a few clocks do not count. Own is this
// daemon's.
func (d *Directory) MedianWallOffset(now time.Time, own time.Duration) time.Duration {
	wallOffset := []time.Duration{own}
	for _, p := range d.peers {
		if now.Sub(p.lastMessageAt) < clockMaxAge {
			wallOffset = append(wallOffset, p.wallOffset)
		}
	}
	slices.Sort(wallOffset)
	return wallOffset[len(wallOffset)/2]
}
