package streamversion

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is another daemon.
type Member struct {
	Node, Zone string
	// Run identifies the run of the daemon.
	Run uint64
	// Cores is the number of its CPU cores.
	Cores float64
}

// holder is a daemon that holds copies of this daemon's records.
type holder struct {
	// run is the run of the daemon that has them, up to the revision acknowledged.
	run          uint64
	acknowledged uint64
}

// Group is the records of streams of one origin.
type Group struct {
	Origin Origin `cbor:"1,keyasint"`
	// Streams holds the keys of the streams, of keyBytes each.
	Streams []byte `cbor:"2,keyasint"`
	// RemainingMillis is how long the records must still be kept.
	RemainingMillis int64 `cbor:"3,keyasint"`
}

// Batch is the records that a holder lacks.
type Batch struct {
	Groups []Group `cbor:"1,keyasint"`
	// Revision is what the holder has once it has stored the batch.
	Revision uint64 `cbor:"2,keyasint"`
}

// Len returns the number of records of the group.
func (g *Group) Len() int { return len(g.Streams) / keyBytes }

// appendKey appends a key to encoded keys.
func appendKey(keys []byte, key uint64) []byte {
	encoded := binary.BigEndian.AppendUint64(nil, key)
	return append(keys, encoded[8-keyBytes:]...)
}

// firstKey returns the first of encoded keys.
func firstKey(keys []byte) uint64 {
	var encoded [8]byte
	copy(encoded[8-keyBytes:], keys[:keyBytes])
	return binary.BigEndian.Uint64(encoded[:])
}

// SetMembers chooses the holders of this daemon's records among the other daemons that
// are alive: one in its own AvailabilityZone, whose callers reconnect to daemons there
// first, and one in another zone. The choice depends on names only, so that it changes
// as little as possible when daemons come and go.
func (c *Core) SetMembers(now time.Time, members []Member) {
	for i := range members {
		c.aliveAt[members[i].Node] = now
	}
	maps.DeleteFunc(c.aliveAt, func(_ string, at time.Time) bool { return now.Sub(at) > usesKept*c.StreamAge(now) })
	chosen := make(map[string]*holder)
	for _, sameZone := range []bool{true, false} {
		if m, ok := c.preferred(members, sameZone); ok {
			chosen[m.Node] = c.holderFor(&m)
		}
	}
	if len(chosen) < holderCount {
		// All daemons are in one zone, or none other is in this one.
		rest := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return chosen[m.Node] != nil })
		slices.SortFunc(rest, c.byPreference)
		for _, m := range rest[:min(holderCount-len(chosen), len(rest))] {
			chosen[m.Node] = c.holderFor(&m)
		}
	}
	c.holders = chosen
	c.turn = c.turnAmong(members)
	c.setCollectors(members)
}

// holderCount is the number of daemons that hold copies of a daemon's records.
const holderCount = 2

// preferred returns the preferred member in, or outside of, this daemon's zone.
func (c *Core) preferred(members []Member, sameZone bool) (Member, bool) {
	eligible := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return (m.Zone == c.zone) != sameZone })
	if len(eligible) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(eligible, c.byPreference), true
}

// byPreference orders members by the hash of this daemon and the member.
func (c *Core) byPreference(a, b Member) int {
	return cmp.Compare(xxhash.Sum64String(c.node+"\x00"+a.Node), xxhash.Sum64String(c.node+"\x00"+b.Node))
}

// holderFor returns the state of a holder. A new run of a daemon has nothing.
func (c *Core) holderFor(m *Member) *holder {
	if h := c.holders[m.Node]; h != nil && h.run == m.Run {
		return h
	}
	return &holder{run: m.Run}
}

// Holders returns the names of the holders.
func (c *Core) Holders() []string {
	names := make([]string, 0, len(c.holders))
	for name := range c.holders {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// numberRecords numbers the records of streams of services that have had servers of several versions,
// or whose routes have changed. While a service has only one version, no daemon needs a copy.
func (c *Core) numberRecords(now time.Time) {
	several := make(map[string]bool)
	for _, key := range c.own.order {
		r := c.own.byKey[key]
		if r.revision > 0 {
			continue
		}
		if _, known := several[r.origin.Service]; !known {
			_, only := c.OnlyVersion(now, r.origin.Service)
			several[r.origin.Service] = !only || !c.versions.routesUnchanged(now, r.origin.Service, c.StreamAge(now))
		}
		if several[r.origin.Service] {
			c.revision++
			r.revision = c.revision
			c.own.byKey[key] = r
		}
	}
}

// BatchFor returns the records to send to a holder, and false if it lacks none.
func (c *Core) BatchFor(now time.Time, node string) (Batch, bool) {
	c.numberRecords(now)
	h := c.holders[node]
	if h == nil || h.acknowledged >= c.revision {
		return Batch{}, false
	}
	// What collectors are sent needs no other copies.
	b := c.batch(now, slices.DeleteFunc(slices.Clone(c.own.order), func(key uint64) bool { return c.own.byKey[key].collected }), h.acknowledged)
	return b, len(b.Groups) > 0
}

// batch returns those of some records that a holder lacks which has them up to a revision.
func (c *Core) batch(now time.Time, keys []uint64, acknowledged uint64) Batch {
	b := Batch{Revision: c.revision}
	groups := make(map[Origin]int)
	for _, key := range keys {
		r := c.own.byKey[key]
		if acknowledged > 0 && r.revision <= acknowledged || !now.Before(r.expires) {
			continue
		}
		i, ok := groups[r.origin]
		if !ok {
			i = len(b.Groups)
			groups[r.origin] = i
			b.Groups = append(b.Groups, Group{Origin: r.origin})
		}
		g := &b.Groups[i]
		g.Streams = appendKey(g.Streams, key)
		g.RemainingMillis = max(g.RemainingMillis, r.expires.Sub(now).Milliseconds())
	}
	return b
}

// Acknowledged records that a run of a holder has stored a batch.
func (c *Core) Acknowledged(node string, run uint64, b *Batch) {
	if h := c.holders[node]; h != nil && h.run == run {
		h.acknowledged = max(h.acknowledged, b.Revision)
	}
}

// store stores records of another daemon.
func (c *Core) store(now time.Time, b *Batch) {
	for i := range b.Groups {
		g := &b.Groups[i]
		expires := now.Add(time.Duration(g.RemainingMillis) * time.Millisecond)
		for keys := g.Streams; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			c.copies.put(now, firstKey(keys), record{origin: g.Origin, expires: expires})
		}
	}
}
