package placement

import "time"

// Placed tells peers which prompt parts a server has read, so that all daemons
// send a part where it is kept.
type Placed struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Server   string   `cbor:"2,keyasint"`
	Chains   []uint64 `cbor:"3,keyasint,omitempty"`
	// Uncached is the number of tokens that were not expected in memory.
	Uncached int `cbor:"4,keyasint,omitempty"`
}

const (
	// placedNews is how long a placement is told: peers are told several times
	// within it, so that a lost message does not matter.
	placedNews = time.Second
	// maxPlaced bounds the placements told at a time.
	maxPlaced = 128
)

// placements are the newest placements of this daemon.
type placements struct {
	sequence uint64
	news     []placedAt
	// seen is the newest sequence taken from each peer.
	seen map[string]seenPlacements
}

type placedAt struct {
	Placed
	at time.Time
}

type seenPlacements struct {
	incarnation, sequence uint64
}

func (p *placements) add(placed Placed, now time.Time) {
	p.sequence++
	placed.Sequence = p.sequence
	p.news = append(p.news, placedAt{Placed: placed, at: now})
	p.expire(now)
}

func (p *placements) expire(now time.Time) {
	old := max(len(p.news)-maxPlaced, 0)
	for old < len(p.news) && now.Sub(p.news[old].at) > placedNews {
		old++
	}
	p.news = p.news[old:]
}

// News returns the newest placements of this daemon.
func (c *Core) News(now time.Time) []Placed {
	c.placed.expire(now)
	news := make([]Placed, 0, len(c.placed.news))
	for i := range c.placed.news {
		news = append(news, c.placed.news[i].Placed)
	}
	return news
}

// TakeNews notes the placements of a peer.
func (c *Core) TakeNews(now time.Time, peer string, incarnation uint64, news []Placed) {
	if c.placed.seen == nil {
		c.placed.seen = make(map[string]seenPlacements)
	}
	seen := c.placed.seen[peer]
	if seen.incarnation != incarnation {
		seen = seenPlacements{incarnation: incarnation}
	}
	for i := range news {
		if news[i].Sequence <= seen.sequence {
			continue
		}
		seen.sequence = news[i].Sequence
		if s, ok := c.servers[news[i].Server]; ok {
			s.remember(now, news[i].Chains, news[i].Uncached)
		}
	}
	c.placed.seen[peer] = seen
}
