package placement

import "time"

// ServerLoad is the load of all daemons together at one server, in a sum that one daemon
// makes for others.
type ServerLoad struct {
	_ struct{} `cbor:",toarray"`
	// Server is the short hash of the server's ID.
	Server        uint32
	Running       int
	PrefillTokens int
	KVTokens      int
	Generating    int
	// InsertedTokens is the number of tokens that have been added to the server's KV cache,
	// counted from an arbitrary start.
	InsertedTokens int
}

// summary is the sum that is in use, if any.
type summary struct {
	// from is the run of the daemon that made the sum.
	from       uint64
	receivedAt time.Time
}

func (s *summary) active() bool { return !s.receivedAt.IsZero() }

// shortHash returns the hash that stands for the server in sums.
func (s *server) shortHash() uint32 { return uint32(s.idHash) }

// Sum returns the load of all daemons at each server that has any, or whose KV cache
// has been filled.
func (c *Core) Sum() []ServerLoad {
	sum := make([]ServerLoad, 0, len(c.servers))
	for hash, s := range c.serversByHash {
		if l := s.totalLoad(); l != (Load{}) || s.insertedTokens > 0 {
			sum = append(sum, ServerLoad{Server: hash, Running: l.Running, PrefillTokens: l.PrefillTokens, KVTokens: l.KVTokens,
				Generating: l.Generating, InsertedTokens: s.insertedTokens})
		}
	}
	return sum
}

// SetSummary replaces what is known of the load of all other daemons by a sum that the
// given run of another daemon has made of the load of all. The parameter included is this
// daemon's own load that the sum contains.
func (c *Core) SetSummary(now time.Time, from uint64, sum []ServerLoad, included map[string]Load) {
	sameRun := c.summary.from == from
	c.summary = summary{from: from, receivedAt: now}
	for _, s := range c.servers {
		s.others = Load{}
	}
	for i := range sum {
		l := &sum[i]
		s, ok := c.serversByHash[l.Server]
		if !ok {
			continue
		}
		own := included[s.ID]
		s.others = Load{Running: max(l.Running-own.Running, 0), PrefillTokens: max(l.PrefillTokens-own.PrefillTokens, 0),
			KVTokens: max(l.KVTokens-own.KVTokens, 0), Generating: max(l.Generating-own.Generating, 0)}
		s.addInserted(l.InsertedTokens, sameRun)
	}
}

// addInserted applies the count of tokens in a sum. It includes what this daemon has added,
// possibly later.
func (s *server) addInserted(count int, sameRun bool) {
	added := count - s.summedTokens
	known := sameRun && s.summedTokens > 0
	s.summedTokens = count
	if !known || added <= 0 {
		return
	}
	own := min(added, s.unsummedTokens)
	s.unsummedTokens -= own
	s.insertedTokens += added - own
}

// SummaryInUse reports whether the load of other daemons is taken from a sum.
func (c *Core) SummaryInUse() bool { return c.summary.active() }

// DropSummary makes the reports of the peers count instead of a sum.
func (c *Core) DropSummary() {
	c.summary = summary{}
	c.speeds.StopHearing()
	for _, s := range c.servers {
		s.others = Load{}
	}
	for _, p := range c.peers {
		for id, load := range p.loads {
			if s, ok := c.servers[id]; ok {
				s.others.add(load)
			}
		}
	}
}
