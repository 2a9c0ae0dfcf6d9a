package mesh

import (
	"slices"
	"time"
)

// Options configure Peers.
type Options struct {
	// Interval is the time between exchanges with one peer.
	Interval time.Duration
	// GoneAfter is when a peer that neither answers nor refreshes its entry in
	// the store is forgotten.
	GoneAfter time.Duration
}

// Peer is what is known of one daemon.
type Peer struct {
	Node        string
	Address     string
	Incarnation uint64
	// HeardAt is when a digest came last.
	HeardAt time.Time
	// ListedAt is when the peer's entry in the store was last seen to change.
	ListedAt       time.Time
	CatalogVersion int64
	FleetVersion   uint64
	StoreReachable bool
	// ClockAhead is the peer's time of day against the own steady clock.
	ClockAhead time.Duration

	nextAt   time.Time
	inFlight bool
	failures int
	listed   uint64
}

// Peers is the set of other daemons. It is not safe for concurrent use.
type Peers struct {
	options Options
	self    string
	peers   map[string]*Peer
	// gone keeps the versions of the store's entries of forgotten peers, whose
	// entries stay behind.
	gone map[string]uint64
}

// NewPeers returns an empty set.
func NewPeers(self string, options Options) *Peers {
	return &Peers{options: options, self: self, peers: make(map[string]*Peer), gone: make(map[string]uint64)}
}

// List takes a daemon's entry in the store. Version tells changes apart.
// It reports whether the daemon counts as alive.
func (p *Peers) List(now time.Time, node, address string, version uint64) bool {
	if left, ok := p.gone[node]; node == p.self || ok && left == version {
		return false
	}
	peer := p.peer(now, node)
	if peer.listed != version {
		peer.listed, peer.ListedAt = version, now
	}
	if peer.HeardAt.IsZero() {
		peer.Address = address
	}
	return true
}

func (p *Peers) peer(now time.Time, node string) *Peer {
	peer, ok := p.peers[node]
	if !ok {
		peer = &Peer{Node: node, nextAt: now}
		p.peers[node] = peer
	}
	return peer
}

// Heard takes a digest. It reports whether the peer is new or has restarted.
func (p *Peers) Heard(now time.Time, d *Digest) bool {
	if d.Node == p.self {
		return false
	}
	peer := p.peer(now, d.Node)
	fresh := peer.Incarnation != d.Incarnation
	peer.Address, peer.Incarnation, peer.HeardAt = d.Address, d.Incarnation, now
	peer.CatalogVersion, peer.FleetVersion, peer.StoreReachable = d.CatalogVersion, d.FleetVersion, d.StoreReachable
	peer.ClockAhead = time.UnixMilli(d.WallUnixMilli).Sub(now)
	peer.nextAt = now.Add(p.options.Interval)
	peer.failures = 0
	return fresh
}

// Due returns the peers to exchange digests with now and marks them as asked.
func (p *Peers) Due(now time.Time) []Peer {
	var due []Peer
	for _, peer := range p.peers {
		if !peer.inFlight && !now.Before(peer.nextAt) {
			peer.inFlight = true
			due = append(due, *peer)
		}
	}
	slices.SortFunc(due, func(a, b Peer) int { return a.nextAt.Compare(b.nextAt) })
	return due
}

// Done says that an exchange has ended.
func (p *Peers) Done(now time.Time, node string, failed bool) {
	peer, ok := p.peers[node]
	if !ok {
		return
	}
	peer.inFlight = false
	wait := p.options.Interval
	if failed {
		peer.failures++
		wait *= time.Duration(min(peer.failures, maxBackoff))
	}
	peer.nextAt = now.Add(wait)
}

// maxBackoff bounds how much rarer a peer that does not answer is asked.
const maxBackoff = 4

// Urgent makes an exchange with every peer due.
func (p *Peers) Urgent(now time.Time) {
	for _, peer := range p.peers {
		peer.nextAt = now
	}
}

// Expire forgets the peers that are gone and returns their names.
func (p *Peers) Expire(now time.Time) []string {
	var gone []string
	for node, peer := range p.peers {
		last := peer.HeardAt
		if peer.ListedAt.After(last) {
			last = peer.ListedAt
		}
		if now.Sub(last) > p.options.GoneAfter {
			p.gone[node] = peer.listed
			delete(p.peers, node)
			gone = append(gone, node)
		}
	}
	return gone
}

// All returns all peers.
func (p *Peers) All() []Peer {
	list := make([]Peer, 0, len(p.peers))
	for _, peer := range p.peers {
		list = append(list, *peer)
	}
	return list
}

// Remove forgets a peer that has said that it stops.
func (p *Peers) Remove(node string) {
	if peer, ok := p.peers[node]; ok {
		p.gone[node] = peer.listed
		delete(p.peers, node)
	}
}

// ClockAhead returns the middle of all daemons' times of day against the own
// steady clock, so that the steps of a few clocks do not count. Own is this
// daemon's.
func (p *Peers) ClockAhead(now time.Time, own time.Duration) time.Duration {
	ahead := []time.Duration{own}
	for _, peer := range p.peers {
		if now.Sub(peer.HeardAt) < clockMaxAge {
			ahead = append(ahead, peer.ClockAhead)
		}
	}
	slices.Sort(ahead)
	return ahead[len(ahead)/2]
}

// clockMaxAge is how long a peer's time of day counts.
const clockMaxAge = 3 * time.Second
