package placement

import "time"

// Placed announces to peers which prompt parts a server has prefilled, so that
// all daemons send requests to servers that cache their prompt parts.
type Placed struct {
	Sequence     uint64   `cbor:"1,keyasint"`
	Server       string   `cbor:"2,keyasint"`
	PrefixHashes []uint64 `cbor:"3,keyasint,omitempty"`
	// Uncached is the number of tokens that were not expected in the KV cache.
	Uncached int `cbor:"4,keyasint,omitempty"`
}

const (
	// announcePeriod is how long a placement is announced to peers. It spans
	// several messages, so that the loss of one does not matter.
	announcePeriod = time.Second
	// maxAnnounced bounds the number of placements announced at a time.
	maxAnnounced = 128
)

// placementLog holds the recent placements of this daemon and how far those of
// each peer have been applied.
type placementLog struct {
	sequence uint64
	recent   []placedAt
	// seen is the highest sequence number applied from each peer.
	seen map[string]seenPlacements
}

type placedAt struct {
	Placed
	at time.Time
}

type seenPlacements struct {
	incarnation, sequence uint64
}

func (p *placementLog) add(placed Placed, now time.Time) {
	p.sequence++
	placed.Sequence = p.sequence
	p.recent = append(p.recent, placedAt{Placed: placed, at: now})
	p.expire(now)
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
		if s, ok := c.servers[reported[i].Server]; ok {
			s.recordParts(now, reported[i].PrefixHashes, reported[i].Uncached)
		}
	}
	c.placements.seen[peer] = seen
}
