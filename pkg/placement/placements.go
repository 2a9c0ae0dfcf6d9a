package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Placed announces to peers which prompt parts a server has prefilled, so that
// all daemons send requests to servers that cache their prompt parts.
type Placed struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// Server is the short hash of the server's ID.
	Server uint32
	// Origin is the short hash of the name of the daemon that sent the request, in lists that
	// one daemon makes of the placements of all.
	Origin       uint32
	PrefixHashes []uint64
	// Uncached is the number of tokens that were not expected in the KV cache.
	Uncached int
}

const (
	// announcePeriod is how long a placement is announced to peers. It spans
	// several messages, so that the loss of one does not matter.
	announcePeriod = time.Second
	// maxAnnounced bounds the number of placements announced at a time.
	maxAnnounced = 128
	// maxCollected bounds the number of placements that one daemon passes on at a time.
	maxCollected = 2048
)

// placementLog holds the recent placements of this daemon and how far those of
// each peer have been applied.
type placementLog struct {
	sequence uint64
	recent   []placedAt
	// seen is the highest sequence number applied from each peer.
	seen map[string]seenPlacements
	// collected holds the placements of all daemons since the last call of
	// CollectedPlacements, if collecting is set.
	collected  []Placed
	collecting bool
}

type placedAt struct {
	Placed
	at time.Time
}

type seenPlacements struct {
	incarnation, sequence uint64
}

// add records a placement of this daemon. Without prefixes it only states the tokens that
// were added.
func (p *placementLog) add(now time.Time, s *server, prefixes []uint64, uncached int) {
	p.sequence++
	placed := Placed{Sequence: p.sequence, Server: s.shortHash(), PrefixHashes: prefixes, Uncached: uncached}
	p.recent = append(p.recent, placedAt{Placed: placed, at: now})
	p.expire(now)
	p.collect(placed, "")
}

// collect adds a placement of a daemon, or of this one if the name is empty, to those that
// this daemon passes on.
func (p *placementLog) collect(placed Placed, daemon string) {
	if !p.collecting || len(placed.PrefixHashes) == 0 || len(p.collected) >= maxCollected {
		return
	}
	placed.Origin = originHash(daemon)
	p.collected = append(p.collected, placed)
}

// originHash returns the short hash of a daemon's name; that of this daemon is 0.
func originHash(daemon string) uint32 {
	if daemon == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(daemon))
}

func (p *placementLog) expire(now time.Time) {
	first := max(len(p.recent)-maxAnnounced, 0)
	for first < len(p.recent) && now.Sub(p.recent[first].at) > announcePeriod {
		first++
	}
	p.recent = p.recent[first:]
}

// RecentPlacements returns the placements of this daemon to announce to peers.
func (c *Core) RecentPlacements(now time.Time) []Placed {
	c.placements.expire(now)
	recent := make([]Placed, 0, len(c.placements.recent))
	for i := range c.placements.recent {
		recent = append(recent, c.placements.recent[i].Placed)
	}
	return recent
}

// ApplyPeerPlacements records the placements that a peer announced and skips
// those that were applied before.
func (c *Core) ApplyPeerPlacements(now time.Time, peer string, incarnation uint64, reported []Placed) {
	if c.placements.seen == nil {
		c.placements.seen = make(map[string]seenPlacements)
	}
	seen := c.placements.seen[peer]
	if seen.incarnation != incarnation {
		seen = seenPlacements{incarnation: incarnation}
	}
	for i := range reported {
		if reported[i].Sequence <= seen.sequence {
			continue
		}
		seen.sequence = reported[i].Sequence
		c.applyPlaced(now, &reported[i])
		if s, ok := c.serversByHash[reported[i].Server]; ok {
			// Lists that another daemon passes on leave out repeated uses of a part.
			s.service.mix.add(now, reported[i].Uncached)
		}
		c.placements.collect(reported[i], peer)
	}
	c.placements.seen[peer] = seen
}

func (c *Core) applyPlaced(now time.Time, placed *Placed) {
	s, ok := c.serversByHash[placed.Server]
	if !ok {
		return
	}
	if c.summary.active() {
		// The tokens are in the sum.
		s.recordParts(now, placed.PrefixHashes, 0)
		return
	}
	s.recordParts(now, placed.PrefixHashes, placed.Uncached)
}

// CollectedPlacements returns the placements with prompt parts of all daemons since the
// last call, to pass on to daemons that do not hear of them otherwise. The first call
// starts the collection. The parameter self is the name of this daemon.
func (c *Core) CollectedPlacements(self string) []Placed {
	collected := c.placements.collected
	c.placements.collected, c.placements.collecting = nil, true
	for i := range collected {
		if collected[i].Origin == 0 {
			collected[i].Origin = originHash(self)
		}
	}
	return collected
}

// ApplyPassedOn records placements that another daemon has collected, except for those of
// this daemon, whose name is self.
func (c *Core) ApplyPassedOn(now time.Time, self string, collected []Placed) {
	own := originHash(self)
	for i := range collected {
		if collected[i].Origin != own {
			c.applyPlaced(now, &collected[i])
		}
	}
}
