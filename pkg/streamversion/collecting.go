package streamversion

import (
	"maps"
	"slices"
	"time"
)

const (
	// FirstReplyWait is how long a collector waits for the store before it replies that it holds
	// records which are being written. A write takes a small part of it after a pause of writeSpacing.
	FirstReplyWait = 80 * time.Millisecond
	// OutcomeWait is how long it waits if it is asked again.
	OutcomeWait = 600 * time.Millisecond
	// collectorPatience is how long the first reply of a collector may take.
	collectorPatience = FirstReplyWait + 20*time.Millisecond
	// copiesHeld is the number of other daemons that hold a record until the store has it.
	copiesHeld = 2
	// enoughRefusals is the number of collectors that have to say that they can't store records until
	// a stream goes on without.
	enoughRefusals = 2
	// maxWriters is the number of collectors of a part that may be asked to store records: the first
	// ones that are not passed over.
	maxWriters = 4
	// refusalPause is how long a collector that can't store records is asked for no further ones. During
	// an outage of the store, each daemon sends each collector one call in this time.
	refusalPause = time.Second
	// fullPassInterval is the time between two looks at all records for those that need a collector
	// since servers have changed. New ones are collected at once.
	fullPassInterval = 200 * time.Millisecond
	// maxCallsPerCollector is the number of calls in progress to one collector from which on further
	// records wait for one of them, so that many go together.
	maxCallsPerCollector = 4
	// maxCollected is the number of records in one call. Their keys take 24 KB.
	maxCollected = 4096
)

// CollectOutcome is what has become of records at a collector.
type CollectOutcome int

const (
	// OutcomeUnknown is that of daemons that collect no records, as those of an earlier build.
	OutcomeUnknown CollectOutcome = iota
	// RecordsStored means that the store has acknowledged all of them.
	RecordsStored
	// RecordsBeingWritten means that the collector holds them and a write is in progress, or due.
	RecordsBeingWritten
	// RecordsNotStored means that the collector holds them, and the last write has failed.
	RecordsNotStored
)

// collected is the state of a record that the store is not known to have.
type collected struct {
	// writer is the daemon that is asked to store it, or empty, and holds are those that were sent it.
	writer string
	// askedAt is when the writer was first asked, and replied is set once it has.
	askedAt time.Time
	replied bool
	// asking is the number of calls in progress that ask a collector to store it.
	asking int
	holds  map[string]*hold
}

// hold is a copy of a record at another daemon.
type hold struct {
	run          uint64
	acknowledged bool
}

// Collection is a call to a collector with records of streams that this daemon has begun.
type Collection struct {
	// Node is the collector, which may be this daemon.
	Node string
	// Message asks the collector to hold the records, and to store them if Collect is set.
	Message Message
	keys    []uint64
}

// collect lets a record be stored by a collector.
func (c *Core) collect(key uint64, r record) {
	r.collected = true
	c.own.byKey[key] = r
	c.uncollected[key] = &collected{holds: make(map[string]*hold)}
	c.uncollectedOrder = append(c.uncollectedOrder, key)
}

// collectNeeded lets the records be collected that need it now: those of services of which several
// versions may have begun streams. Besides the records since the last call, it looks at all of them each
// fullPassInterval.
func (c *Core) collectNeeded(now time.Time) {
	keys := c.newKeys
	if c.newKeys = nil; now.Sub(c.fullPassAt) >= fullPassInterval {
		c.fullPassAt, keys = now, c.own.order
	}
	needs := make(map[string]bool)
	for _, key := range keys {
		r, known := c.own.byKey[key]
		if !known || r.collected || !now.Before(r.expires) {
			continue
		}
		service := r.origin.Service
		if _, known := needs[service]; !known {
			needs[service] = c.needsRecords(now, service)
		}
		if needs[service] {
			c.collect(key, r)
		}
	}
}

// Collections returns the calls to make now so that the store gets the records of this daemon's streams,
// and two other daemons hold them until then.
func (c *Core) Collections(now time.Time) []Collection {
	c.collectNeeded(now)
	if len(c.uncollectedOrder) == 0 {
		return nil
	}
	var calls []*Collection
	addTo := func(node string, key uint64, store, again bool) bool {
		i := slices.IndexFunc(calls, func(o *Collection) bool {
			return o.Node == node && (o.Message.Collect > 0) == store && (o.Message.Collect == int64(OutcomeWait/time.Millisecond)) == again && len(o.keys) < maxCollected
		})
		if i < 0 {
			if c.calls[node] >= maxCallsPerCollector {
				return false
			}
			c.calls[node]++
			call := &Collection{Node: node}
			call.Message.Partition = c.partOf(key) * recordsPartitions / c.parts()
			if store {
				call.Message.Collect = FirstReplyWait.Milliseconds()
			}
			if again {
				call.Message.Collect = OutcomeWait.Milliseconds()
			}
			i, calls = len(calls), append(calls, call)
		}
		calls[i].keys = append(calls[i].keys, key)
		return true
	}
	ranked := make(map[int][]candidate)
	maps.DeleteFunc(c.refusing, func(_ string, until time.Time) bool { return !now.Before(until) })
	kept := c.uncollectedOrder[:0]
	for _, key := range c.uncollectedOrder {
		r, known := c.own.byKey[key]
		if !known || r.stored || !now.Before(r.expires) {
			delete(c.uncollected, key)
			continue
		}
		if c.uncollected[key] == nil {
			continue
		}
		kept = append(kept, key)
		part := c.partOf(key)
		if _, known := ranked[part]; !known {
			ranked[part] = c.collectorsOf(now, part)
		}
		c.collectOne(now, key, ranked[part], addTo)
	}
	c.uncollectedOrder = kept
	var result []Collection
	for _, call := range calls {
		slices.Sort(call.keys)
		call.Message.Batch = c.batch(now, call.keys, 0)
		result = append(result, *call)
	}
	return result
}

// collectOne adds a record to the calls that it needs: one that asks a collector to store it, and
// others that let daemons hold it.
func (c *Core) collectOne(now time.Time, key uint64, ranked []candidate, addTo func(node string, key uint64, store, again bool) bool) {
	u := c.uncollected[key]
	if u.writer != "" && !u.replied && now.Sub(u.askedAt) >= collectorPatience {
		c.passOver(now, u.writer)
		u.writer = ""
	}
	if u.writer != "" && u.replied && u.asking == 0 && addTo(u.writer, key, true, true) {
		u.asking++
	}
	if u.writer == "" {
		writers := ranked[:min(maxWriters, len(ranked))]
		next := slices.IndexFunc(writers, func(o candidate) bool { return !now.Before(c.refusing[o.node]) && !now.Before(c.passedOver[o.node]) })
		if next >= 0 && addTo(writers[next].node, key, true, false) {
			u.writer, u.askedAt, u.replied = writers[next].node, now, false
			u.asking++
			u.holds[u.writer] = &hold{run: writers[next].run}
		}
	}
	held := 0
	for _, o := range ranked {
		if h := u.holds[o.node]; h != nil && h.run == o.run && o.node != c.node {
			held++
		}
	}
	for _, o := range standInFirst(ranked) {
		if h := u.holds[o.node]; held >= copiesHeld {
			break
		} else if (h == nil || h.run != o.run) && o.node != c.node && addTo(o.node, key, false, false) {
			u.holds[o.node] = &hold{run: o.run}
			held++
		}
	}
}

// passOver lets other daemons collect in place of one that does not reply.
func (c *Core) passOver(now time.Time, node string) {
	if node != c.node {
		c.passedOver[node] = now.Add(collectorPause)
	}
}

// Collected records the reply to a call, or nil if there was none.
func (c *Core) Collected(now time.Time, call *Collection, reply *Reply) {
	c.calls[call.Node]--
	if reply == nil {
		c.passOver(now, call.Node)
	}
	for _, key := range call.keys {
		u, known := c.uncollected[key]
		if !known {
			continue
		}
		if call.Message.Collect > 0 {
			u.asking--
		}
		h := u.holds[call.Node]
		switch {
		case reply == nil:
			delete(u.holds, call.Node)
			if u.writer == call.Node {
				u.writer = ""
			}
			continue
		case h != nil:
			h.acknowledged = h.acknowledged || h.run == reply.Run
			if h.run != reply.Run {
				delete(u.holds, call.Node)
			}
		}
		if call.Message.Collect > 0 {
			c.recordOutcome(now, key, u, call.Node, reply.Outcome)
		}
	}
}

// recordOutcome records what a collector has said of a record that it was asked to store.
func (c *Core) recordOutcome(now time.Time, key uint64, u *collected, node string, outcome CollectOutcome) {
	switch outcome {
	case RecordsStored:
		c.markStored(key)
	case RecordsBeingWritten:
		if u.writer == node {
			u.replied = true
		}
	default:
		c.refusing[node] = now.Add(refusalPause)
		if u.writer == node {
			u.writer = ""
		}
	}
}

// markStored records that the store has a record.
func (c *Core) markStored(key uint64) {
	if r, known := c.own.byKey[key]; known {
		r.stored = true
		c.own.byKey[key] = r
	}
	delete(c.uncollected, key)
}

// StoreReturned records that the store has returned from an older copy, which may lack records that it
// had.
func (c *Core) StoreReturned() {
	for key, r := range c.own.byKey {
		r.stored, r.collected = false, false
		c.own.byKey[key] = r
	}
	clear(c.uncollected)
	c.uncollectedOrder, c.fullPassAt = nil, time.Time{}
}

// IsStored reports whether the store has the record of a stream that this daemon has begun.
func (c *Core) IsStored(stream string) bool { return c.own.byKey[keyOf(stream)].stored }

// Uncollected reports whether the store lacks records that it needs.
func (c *Core) Uncollected() bool { return len(c.uncollected) > 0 }

// MayPass reports whether the first event of a stream may be passed on: the store has its record, or
// two other daemons hold it, if there are as many, and the collectors have said that they can't store it.
func (c *Core) MayPass(now time.Time, stream string) bool {
	key := keyOf(stream)
	u := c.uncollected[key]
	if u == nil {
		return c.own.byKey[key].stored
	}
	held, others, refusing := 0, 0, 0
	ranked := c.collectorsOf(now, c.partOf(key))
	for i, o := range ranked {
		if i < maxWriters && now.Before(c.refusing[o.node]) {
			refusing++
		}
		if o.node == c.node {
			continue
		}
		others++
		if h := u.holds[o.node]; h != nil && h.acknowledged && h.run == o.run {
			held++
		}
	}
	return held >= min(copiesHeld, others) && refusing >= min(enoughRefusals, len(ranked))
}
