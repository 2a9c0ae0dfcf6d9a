package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
)

// Options configures a Directory.
type Options struct {
	// Interval is the time between two exchanges with one neighbor. LeafInterval
	// applies instead between a hub and a leaf.
	Interval     time.Duration
	LeafInterval time.Duration
	// PeerExpiry is the time after which a daemon that neither sends records nor
	// refreshes its entry in the store is removed.
	PeerExpiry time.Duration
	// FullMeshLimit is the number of daemons up to which each daemon exchanges
	// messages with every other one.
	FullMeshLimit int
	// HubCount is the least number of daemons that rank as hubs. They always read the
	// store on behalf of the other daemons, and with more than FullMeshLimit
	// daemons they also exchange the records of all daemons and send the others
	// digests of them.
	HubCount int
	// DaemonsPerHub is the number of daemons for each of which there is one hub, if
	// that makes more than HubCount. 0 means no limit.
	DaemonsPerHub int
	// MemberMaxAge is the age of a daemon's last record at which a hub no longer
	// tells others that the daemon is alive.
	MemberMaxAge time.Duration
	// Format is the format that this daemon speaks; the default is CurrentFormat.
	Format Format
}

const (
	// maxBackoffFactor is the maximum factor by which the exchange interval grows
	// for a neighbor that does not answer.
	maxBackoffFactor = 4
	// firstRetryDelay is the time after the first failed exchange with a neighbor until
	// the next one.
	firstRetryDelay = 100 * time.Millisecond
	// unresponsiveFailures is the number of consecutive failed exchanges after
	// which a daemon does not rank as a hub.
	unresponsiveFailures = 2
	// activeWindow is how long a daemon acts as a hub after a peer has started an
	// exchange with it. It is also how long a peer counts as active after its last
	// message, and the minimum time between two retries of an unresponsive daemon.
	activeWindow = 2 * time.Second
	// clockMaxAge is how long the wall-clock time in a neighbor's message is used.
	clockMaxAge = 3 * time.Second
	// recordMaxAge is the age at which a record is no longer forwarded.
	recordMaxAge = 5 * time.Second
	// minUrgentGap is the least time between two urgent exchanges with one daemon outside
	// a full mesh, so that a series of changes takes few messages.
	minUrgentGap = 100 * time.Millisecond
)

// Peer is the state that a Directory keeps of one other daemon.
type Peer struct {
	Node    string
	Address string
	// Zone is the AvailabilityZone of the daemon, or empty if it is not known.
	Zone string
	// Weight is the number of CPU cores available to the daemon. Daemons with the
	// highest weights become hubs.
	Weight float64
	// Record is the newest record, RecordAt the time when it was received, and
	// Revision the revision of the Directory that added it.
	Record   Record
	RecordAt time.Time
	Revision uint64
	// CatalogVersion and FleetDigest come from the daemon's last message. These and
	// the progress of the exchanges below are set for neighbors only.
	CatalogVersion int64
	FleetDigest    uint64
	// AckedRevision is the revision of this Directory up to which the neighbor has
	// received all records. ReceivedRevision is the neighbor's revision up to
	// which this daemon has received them.
	AckedRevision, ReceivedRevision uint64
	// Quarantine, Limits, Fleet, Members, Placed and Speeds are the progress of the exchange
	// of quarantine entries, of request limits, of the views of servers, of the list of
	// daemons, of placements and of the speeds of servers.
	Quarantine, Limits, Fleet, Members, Placed, Speeds Progress

	// FinalWindows holds the usage windows of which the daemon knows the final counts.
	FinalWindows []int64
	// listedVersion is the version of the daemon's entry in the store, and
	// listedAt the time of its last change.
	listedVersion  table.Version
	listedAt       time.Time
	lastMessageAt  time.Time
	wallOffset     time.Duration
	nextExchangeAt time.Time
	// urgentAt is when an urgent exchange is due, or zero. exchangedAt is when the last
	// exchange began.
	urgentAt, exchangedAt time.Time
	inFlight              bool
	failures              int
	lastRetryAt           time.Time
	// format is the format of the daemon's last message, and oldestHeard the oldest one that
	// the daemon has heard.
	format, oldestHeard Format
	// collects is set if the daemon has stated that it receives the records of all.
	collects bool
	// told is what a hub has last stated of the daemon.
	told Member
}

// Progress is how far this daemon and a neighbor have received each other's changes.
type Progress struct {
	// Acknowledged is the position in this daemon's changes that the neighbor has
	// acknowledged, Received this daemon's position in those of the neighbor.
	Acknowledged, Received changelog.Position
}

// Directory holds the other daemons and their records, and determines which
// neighbors to exchange messages with. It is not safe for concurrent use.
type Directory struct {
	options Options
	self    string
	weight  float64
	peers   map[string]*Peer
	// removedVersions holds the last known version of the store entry of each
	// removed daemon, by node, because the entry remains in the store.
	removedVersions map[string]table.Version
	revision        uint64
	lastRequestAt   time.Time
	// hubs caches the ranked hubs until hubsValid is cleared.
	hubs      []string
	hubsValid bool
	members   memberList
	// toldAt is when a hub last stated which daemons are alive.
	toldAt time.Time
	// collectsSince is when this daemon was first found to collect the records of all, or
	// zero if it does not.
	collectsSince time.Time
	// oldest is the oldest format of all daemons as of oldestAt.
	oldest   Format
	oldestAt time.Time
}

// NewDirectory returns a Directory without peers for one run of the daemon named self.
func NewDirectory(self string, run uint64, weight float64, options Options) *Directory {
	return &Directory{options: options, self: self, weight: weight, peers: make(map[string]*Peer), removedVersions: make(map[string]table.Version),
		members: newMemberList(run)}
}

// UpdateEntry applies a daemon's entry in the store. The version changes with
// each refresh of the entry. UpdateEntry returns false if the daemon is this one,
// or if it was removed and the entry has not changed since.
func (d *Directory) UpdateEntry(now time.Time, node, address string, weight float64, version table.Version) bool {
	if removedVersion, ok := d.removedVersions[node]; node == d.self || ok && removedVersion == version {
		return false
	}
	p := d.peer(now, node)
	if p.listedVersion != version {
		p.listedVersion, p.listedAt = version, now
	}
	d.setWeight(p, weight)
	if p.lastMessageAt.IsZero() {
		p.Address = address
	}
	return true
}

func (d *Directory) setWeight(p *Peer, weight float64) {
	if p.Weight != weight {
		p.Weight, d.hubsValid = weight, false
	}
}

// SetZone sets the AvailabilityZone of a known daemon.
func (d *Directory) SetZone(node, zone string) {
	if p, ok := d.peers[node]; ok {
		p.Zone = zone
	}
}

// peer returns a daemon's state and adds the daemon if it is new.
func (d *Directory) peer(now time.Time, node string) *Peer {
	p, ok := d.peers[node]
	if !ok {
		p = &Peer{Node: node, nextExchangeAt: now, listedAt: now}
		d.peers[node] = p
		d.hubsValid = false
	}
	return p
}

// UpdateNeighbor updates the state of a neighbor from its message, without the
// records. The parameter initiatedByPeer reports whether the neighbor started the
// exchange.
func (d *Directory) UpdateNeighbor(now time.Time, m *Message, initiatedByPeer bool) {
	if m.Record.Node == d.self {
		return
	}
	p := d.peer(now, m.Record.Node)
	if p.Record.Incarnation != m.Record.Incarnation {
		// Revisions from an earlier run of the neighbor are not comparable.
		p.AckedRevision, p.ReceivedRevision = 0, 0
	} else {
		p.AckedRevision = m.ReceivedRevision
	}
	p.ReceivedRevision = m.Revision
	p.Quarantine.Acknowledged = m.QuarantineReceived
	p.Quarantine.Received, _ = p.Quarantine.Received.Advance(m.QuarantineSpan)
	p.Limits.Acknowledged = m.LimitsReceived
	p.Limits.Received, _ = p.Limits.Received.Advance(m.LimitsSpan)
	p.Members.Acknowledged, p.Placed.Acknowledged = m.MembersReceived, m.PlacedReceived
	if m.SpeedsReceived != nil {
		p.Speeds.Acknowledged = *m.SpeedsReceived
	}
	if p.failures >= unresponsiveFailures {
		d.hubsValid = false
	}
	if p.isToldDead() {
		d.setTold(p, Member{})
	}
	p.Address, p.lastMessageAt, p.failures = m.Address, now, 0
	p.format, p.oldestHeard = m.Format, cmp.Or(m.OldestHeard, m.Format)
	// A daemon that knows no digests takes the records of all.
	p.collects = m.Collects || m.Format < FormatDigests
	if p.format < FormatDigests {
		d.oldestAt = time.Time{}
	}
	p.FinalWindows = m.FinalWindows
	p.CatalogVersion, p.FleetDigest, p.Fleet.Acknowledged = m.CatalogVersion, m.Fleet.Digest, m.Fleet.Received
	p.wallOffset = time.UnixMilli(m.WallUnixMilli).Sub(now)
	p.nextExchangeAt = now.Add(d.interval(p.Node))
	if initiatedByPeer && !m.Collects {
		// The neighbor relies on this daemon. One that collects records itself, as a hub
		// does, only pushes a change.
		d.lastRequestAt = now
	}
}

// SetFleetReceived records how far this daemon has received a neighbor's changes of
// servers.
func (d *Directory) SetFleetReceived(node string, received changelog.Position) {
	if p, ok := d.peers[node]; ok {
		p.Fleet.Received = received
	}
}

// MergeRecord stores a daemon's record. It returns false if the record is not
// newer than the stored one or belongs to this daemon. A hub stores no partial
// records, which it could not forward.
func (d *Directory) MergeRecord(now time.Time, r *Record) bool {
	if r.Node == d.self || r.Partial && d.RanksAsHub() {
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

// interval returns the time between two exchanges with a neighbor.
func (d *Directory) interval(node string) time.Duration {
	if d.isFullMesh() {
		return d.options.Interval
	}
	if d.isRankedHub(node) && d.isRankedHub(d.self) {
		return d.options.Interval
	}
	return d.options.LeafInterval
}

// MaxStaleness returns the maximum age of a record when it, or a digest that includes
// it, arrives.
func (d *Directory) MaxStaleness() time.Duration {
	if d.isFullMesh() {
		return d.options.Interval + deliveryTime
	}
	return d.options.Interval + 2*d.options.LeafInterval + digestInterval + deliveryTime
}

// deliveryTime is the maximum duration of an exchange, including the delay until
// a due exchange is started.
const deliveryTime = 100 * time.Millisecond

// Revision returns the number of records stored so far.
func (d *Directory) Revision() uint64 { return d.revision }

// RecordsFor returns the records of other daemons that a hub may not have. Daemons
// that are not hubs are sent a digest instead. It returns none in a full mesh, in
// which records are not forwarded.
func (d *Directory) RecordsFor(now time.Time, node string) []Record {
	p, ok := d.peers[node]
	if !ok || d.isFullMesh() || !d.SendsRecord(node) {
		return nil
	}
	var records []Record
	for _, other := range d.peers {
		if other == p || other.Record.Partial || other.Revision <= p.AckedRevision || now.Sub(other.RecordAt) >= recordMaxAge {
			continue
		}
		r := other.Record
		// Only a daemon that has just started uses quota levels, and it takes them
		// from the neighbors' own records.
		r.Quota.Level = nil
		records = append(records, r)
	}
	return records
}

// ReceivedRevisionOf returns a neighbor's revision up to which this daemon has
// received all records.
func (d *Directory) ReceivedRevisionOf(node string) uint64 {
	if p, ok := d.peers[node]; ok {
		return p.ReceivedRevision
	}
	return 0
}

// Lookup returns the state of a daemon and whether the daemon is known.
func (d *Directory) Lookup(node string) (Peer, bool) {
	p, ok := d.peers[node]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Isolated reports whether this daemon knows other daemons but has received no
// message from any of them for a while.
func (d *Directory) Isolated(now time.Time) bool {
	for _, p := range d.peers {
		if now.Sub(p.lastMessageAt) < activeWindow {
			return false
		}
	}
	return len(d.peers) > 0
}

// neighbors returns the daemons to exchange messages with.
func (d *Directory) neighbors() []string {
	if d.isFullMesh() {
		nodes := make([]string, 0, len(d.peers))
		for node := range d.peers {
			nodes = append(nodes, node)
		}
		return nodes
	}
	hubs := slices.Clone(d.rankedHubs())
	if slices.Contains(hubs, d.self) {
		return slices.DeleteFunc(hubs, func(node string) bool { return node == d.self })
	}
	// Leaves are distributed over the hubs by hash. Each leaf uses the same hub as
	// long as that hub responds.
	slices.SortFunc(hubs, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(d.self+"\x00"+a), xxhash.Sum64String(d.self+"\x00"+b))
	})
	return hubs[:min(len(hubs), 1)]
}

// Due returns the daemons to exchange messages with now and marks their
// exchanges as in flight.
func (d *Directory) Due(now time.Time) []Peer {
	var due []Peer
	begin := func(p *Peer) {
		p.inFlight, p.exchangedAt, p.urgentAt = true, now, time.Time{}
		due = append(due, *p)
	}
	for _, node := range d.neighbors() {
		p := d.peers[node]
		if !p.inFlight && !now.Before(p.nextExchangeAt) && p.Address != "" {
			begin(p)
		}
	}
	retried := false
	for _, p := range d.peers {
		switch {
		case p.inFlight:
		case !p.urgentAt.IsZero() && !now.Before(p.urgentAt):
			begin(p)
		case !retried && p.failures >= unresponsiveFailures && !now.Before(p.nextExchangeAt) && !d.isFullMesh() && p.Weight >= d.weight &&
			now.Sub(p.lastRetryAt) > activeWindow:
			// Periodically retry one unresponsive daemon that could rank as a hub before
			// this one.
			retried, p.lastRetryAt = true, now
			begin(p)
		}
	}
	return due
}

// NextDue returns when the next exchange is due, or the latest time given.
func (d *Directory) NextDue(latest time.Time) time.Time {
	for _, node := range d.neighbors() {
		if p := d.peers[node]; !p.inFlight && p.Address != "" && p.nextExchangeAt.Before(latest) {
			latest = p.nextExchangeAt
		}
	}
	for _, p := range d.peers {
		if !p.inFlight && !p.urgentAt.IsZero() && p.urgentAt.Before(latest) {
			latest = p.urgentAt
		}
	}
	return latest
}

// ExchangeDone records the end of an exchange and schedules the next one.
func (d *Directory) ExchangeDone(now time.Time, node string, failed bool) {
	p, ok := d.peers[node]
	if !ok {
		return
	}
	p.inFlight = false
	wait := d.interval(node)
	if failed {
		p.failures++
		d.hubsValid = false
		wait *= time.Duration(min(p.failures, maxBackoffFactor))
		if p.failures == 1 {
			// A single message may have been lost.
			wait = firstRetryDelay
		}
		p.AckedRevision, p.ReceivedRevision = 0, 0
	}
	p.nextExchangeAt = now.Add(wait)
}

// MakeExchangesDue makes the exchanges with all neighbors due at once, and on a
// hub those with the daemons that have sent a message recently. Outside a full mesh,
// a daemon with which an exchange began less than minUrgentGap ago follows that much
// later.
func (d *Directory) MakeExchangesDue(now time.Time) {
	for _, node := range d.neighbors() {
		d.makeDue(now, d.peers[node])
	}
	if d.isFullMesh() {
		return
	}
	for _, p := range d.peers {
		if now.Sub(p.lastMessageAt) < activeWindow {
			d.makeDue(now, p)
		}
	}
}

// MakeExchangeDue makes the exchange with one daemon due, like MakeExchangesDue.
func (d *Directory) MakeExchangeDue(now time.Time, node string) {
	if p, ok := d.peers[node]; ok {
		d.makeDue(now, p)
	}
}

func (d *Directory) makeDue(now time.Time, p *Peer) {
	if p.urgentAt.IsZero() && p.Address != "" {
		p.urgentAt = now
		if earliest := p.exchangedAt.Add(minUrgentGap); earliest.After(now) && !d.isFullMesh() {
			p.urgentAt = earliest
		}
	}
}

// Expire removes the daemons whose last record and last change of the store entry
// are both older than PeerExpiry. It returns their names.
func (d *Directory) Expire(now time.Time) []string {
	var expired []string
	for node, p := range d.peers {
		last := p.RecordAt
		if p.listedAt.After(last) {
			last = p.listedAt
		}
		if p.told.Alive && d.toldAt.After(last) {
			last = d.toldAt
		}
		if now.Sub(last) > d.options.PeerExpiry {
			d.Remove(node)
			expired = append(expired, node)
		}
	}
	return expired
}

// Remove removes a daemon. UpdateEntry adds it again only if its entry in the
// store changes.
func (d *Directory) Remove(node string) {
	if p, ok := d.peers[node]; ok {
		d.removedVersions[node] = p.listedVersion
		delete(d.peers, node)
		d.hubsValid = false
	}
}

// Members returns the other daemons, sorted by name, and whether each has sent a record within a time
// and is not shutting down, or a hub has stated so.
func (d *Directory) Members(now time.Time, within time.Duration) []serverlimit.Member {
	members := make([]serverlimit.Member, 0, len(d.peers))
	for node, p := range d.peers {
		members = append(members, serverlimit.Member{Node: node, Alive: d.isAlive(p, now, within)})
	}
	slices.SortFunc(members, func(a, b serverlimit.Member) int { return cmp.Compare(a.Node, b.Node) })
	return members
}

func (d *Directory) isAlive(p *Peer, now time.Time, within time.Duration) bool {
	return now.Sub(p.RecordAt) < within && !p.Record.Stopping || p.told.Alive && now.Sub(d.toldAt) < within
}

// Alive returns the other daemons that have sent a record within a time and are not
// shutting down, or of which a hub has stated so.
func (d *Directory) Alive(now time.Time, within time.Duration) []Peer {
	var alive []Peer
	for _, p := range d.peers {
		if d.isAlive(p, now, within) {
			alive = append(alive, *p)
		}
	}
	return alive
}

// Size returns the number of known daemons, including this one.
func (d *Directory) Size() int { return len(d.peers) + 1 }

// Neighbors returns the daemons with which this daemon exchanges messages.
func (d *Directory) Neighbors() []Peer {
	var list []Peer
	for _, node := range d.neighbors() {
		list = append(list, *d.peers[node])
	}
	return list
}

// MedianWallOffset returns the median offset of the wall clocks of this daemon and
// its neighbors from this daemon's boot-time clock. Steps of a few wall clocks do
// not affect the median. The parameter own is the offset of this daemon's wall
// clock.
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
