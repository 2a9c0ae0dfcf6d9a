package streamversion

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recordsPart is the first part of the store with the records of streams, and the only one of
	// early builds.
	recordsPart = "streams"
	// recordsParts is the number of parts into which the records are divided by key. Each has a
	// collector.
	recordsParts = 8
	// recordsLanes is the number of parts of the store for one part of the records. A part of the
	// store performs one write after the other: while a write is slow, records go to another.
	recordsLanes = 4
	// collectorPause is how long a daemon that does not reply is passed over as a collector.
	collectorPause = time.Second
	// collectorsAsked is the number of collectors that are asked for the record of a stream: the two
	// that have it, and the one that stood in while either was silent.
	collectorsAsked = 3
)

// partOf returns the part of the records that holds the one of a stream.
func partOf(key uint64) int { return int(key % recordsParts) }

// partitionOf returns the partition of the store for a lane of a part.
func partitionOf(part, lane int) string {
	partition := recordsPart
	if part > 0 {
		partition += "-" + strconv.Itoa(part)
	}
	if lane > 0 {
		partition += "." + strconv.Itoa(lane)
	}
	return partition
}

// PartitionsOf returns the partitions of the store that hold the record of a stream, if it has one.
func PartitionsOf(stream string) []string { return partitions(partOf(keyOf(stream))) }

func partitions(part int) []string {
	var all []string
	for lane := range recordsLanes {
		all = append(all, partitionOf(part, lane))
	}
	return all
}

// EarlierPartitions returns the partitions to which daemons before FormatCollectors write.
func EarlierPartitions() []string {
	var all []string
	for part := range recordsParts {
		all = append(all, partitionOf(part, 0))
	}
	return all
}

// RecordsPartitions returns all partitions of the store with records of streams.
func RecordsPartitions() []string {
	var all []string
	for part := range recordsParts {
		all = append(all, partitions(part)...)
	}
	return all
}

// candidate is a daemon in the order in which daemons collect the records of a part.
type candidate struct {
	node string
	run  uint64
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
	c.collectors = new([recordsParts][]candidate)
	all := append([]Member{{Node: c.node, Run: c.run, Cores: c.cores}}, c.members...)
	most := 0.0
	for i := range all {
		most = max(most, all[i].Cores)
	}
	for i := range recordsParts {
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
		order[i] = ranked{candidate{m.Node, m.Run}, 2*m.Cores < most, xxhash.Sum64String(strconv.Itoa(part) + "\x00" + m.Node)}
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
	for _, o := range c.ranked(partOf(keyOf(stream))) {
		if o.node != c.node && len(nodes) < collectorsAsked {
			nodes = append(nodes, o.node)
		}
	}
	return nodes
}
