package streamversion

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recordsPartition is the first partition of the store with the records of streams, and the only one
	// of early builds.
	recordsPartition = "streams"
	// recordsPartitions is the number of partitions. Each performs one write after the other.
	recordsPartitions = 8
	// maxParts limits the number of parts into which the records are divided by key, and daemonsPerPart
	// is the number of daemons for each of which there is one. Each part has a collector, which makes 17
	// writes a second. With 85 daemons it gets 550 records a second, with 590 daemons 12,500.
	maxParts       = 8
	daemonsPerPart = 150
	// collectorPause is how long a daemon that does not reply is passed over as a collector.
	collectorPause = time.Second
	// collectorsAsked is the number of daemons that are asked for the record of a stream: the collector,
	// its stand-in, and the one that collects while the first one is silent.
	collectorsAsked = 3
)

// RecordsPartitions returns the partitions of the store with records of streams.
func RecordsPartitions() []string {
	all := []string{recordsPartition}
	for i := 1; i < recordsPartitions; i++ {
		all = append(all, recordsPartition+"-"+strconv.Itoa(i))
	}
	return all
}

// parts returns the number of parts. A daemon that knows of fewer others may divide the records otherwise;
// it finds a record in the store then.
func (c *Core) parts() int {
	parts := 1
	for parts < maxParts && parts*daemonsPerPart <= len(c.members) {
		parts *= 2
	}
	return parts
}

// partOf returns the part that holds the record of a stream.
func (c *Core) partOf(key uint64) int { return int(key % uint64(c.parts())) }

// candidate is a daemon in the order in which daemons collect the records of a part.
type candidate struct {
	node, zone string
	run        uint64
}

// standInFirst returns candidates in the order in which they hold records that the first one stores: those
// of other AvailabilityZones before those of its own, so that a loss of that zone leaves one.
func standInFirst(ranked []candidate) []candidate {
	if len(ranked) == 0 {
		return nil
	}
	return slices.SortedStableFunc(slices.Values(ranked), func(a, b candidate) int {
		return cmp.Compare(standInRank(a, ranked[0]), standInRank(b, ranked[0]))
	})
}

func standInRank(o, first candidate) int {
	switch {
	case o == first:
		return 0
	case o.zone != first.zone:
		return 1
	}
	return 2
}

// setCollectors records the other daemons that are alive.
func (c *Core) setCollectors(members []Member) {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	if !slices.Equal(sorted, c.members) {
		c.members, c.collectors = sorted, nil
	}
}

// ranked returns this daemon and the others that are alive in the order in which they collect a part: by
// a hash, those with at least half of the largest number of cores first. The order depends on names and
// cores only, so that daemons agree on it as far as they know the same others.
func (c *Core) ranked(part int) []candidate {
	if c.collectors != nil {
		return c.collectors[part]
	}
	c.collectors = new([maxParts][]candidate)
	all := append([]Member{{Node: c.node, Zone: c.zone, Run: c.run, Cores: c.cores}}, c.members...)
	most := 0.0
	for i := range all {
		most = max(most, all[i].Cores)
	}
	for i := range maxParts {
		c.collectors[i] = rank(i, all, most)
	}
	return c.collectors[part]
}

// rank orders daemons for one part.
func rank(part int, all []Member, most float64) []candidate {
	type ranked struct {
		candidate
		weak bool
		hash uint64
	}
	order := make([]ranked, len(all))
	for i := range all {
		m := &all[i]
		order[i] = ranked{candidate{m.Node, m.Zone, m.Run}, 2*m.Cores < most, xxhash.Sum64String(strconv.Itoa(part) + "\x00" + m.Node)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.weak != b.weak {
			return map[bool]int{true: 1, false: -1}[a.weak]
		}
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.node, b.node))
	})
	var result []candidate
	for i := range order {
		result = append(result, order[i].candidate)
	}
	return result
}

// collectorsOf returns the daemons in the order in which they collect a part, without those that have
// not replied lately.
func (c *Core) collectorsOf(now time.Time, part int) []candidate {
	return slices.DeleteFunc(slices.Clone(c.ranked(part)), func(o candidate) bool { return now.Before(c.passedOver[o.node]) })
}

// CollectorsFor returns the other daemons to ask first for the record of a stream.
func (c *Core) CollectorsFor(stream string) []string {
	var nodes []string
	ranked := c.ranked(c.partOf(keyOf(stream)))
	for _, o := range append(standInFirst(ranked)[:min(2, len(ranked))], ranked...) {
		if o.node != c.node && len(nodes) < collectorsAsked && !slices.Contains(nodes, o.node) {
			nodes = append(nodes, o.node)
		}
	}
	return nodes
}
