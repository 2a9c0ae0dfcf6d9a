package membership

import (
	"math/bits"
	"slices"
	"time"
)

// queueEntry is the state of a member or an announcement that is still to be sent
// to peers.
type queueEntry struct {
	name         string        // set for a member; its state is looked up at each send
	announcement *Announcement // set for an announcement
	sendCount    int
	urgentRounds int // remaining ticks that send the entry without waiting for a heartbeat
}

// maxQueued limits the length of the queue. The updates for a zone of 400 members
// stay well below it. States that do not fit reach other daemons through the
// digest comparison and a sync.
const maxQueued = 8192

// enqueueMember queues the state of a member for sending. If the member is already
// queued, its send count is reset.
func (c *Core) enqueueMember(name string, urgentRounds int) {
	for _, q := range c.queue {
		if q.announcement == nil && q.name == name {
			q.sendCount, q.urgentRounds = 0, max(q.urgentRounds, urgentRounds)
			return
		}
	}
	c.push(&queueEntry{name: name, urgentRounds: urgentRounds})
}

func (c *Core) push(q *queueEntry) {
	if len(c.queue) < maxQueued {
		c.queue = append(c.queue, q)
	}
}

// seenRetention is how long the ID of an announcement is kept to detect duplicates.
// It must exceed the time in which copies can still arrive. maxSeen limits the
// number of IDs.
const (
	seenRetention = 10 * time.Minute
	maxSeen       = 16384
)

// announce delivers and forwards an announcement unless its ID was already seen.
func (c *Core) announce(a Announcement, urgentRounds int) {
	if _, ok := c.seen[a.ID]; ok || len(c.seen) >= maxSeen {
		return
	}
	c.seen[a.ID] = c.now
	if a.Server != nil {
		c.applyServer(a.Server)
	} else {
		c.emit(DeliverAction{Announcement: a})
	}
	if a.Hops >= c.options.MaxHops {
		return
	}
	a.Hops++
	c.push(&queueEntry{announcement: &a, urgentRounds: urgentRounds})
}

func (c *Core) expireSeen() {
	for id, at := range c.seen {
		if c.now.Sub(at) >= seenRetention {
			delete(c.seen, id)
		}
	}
}

// sendLimit returns how often a queue entry is sent; it grows with the logarithm of
// the number of daemons.
func (c *Core) sendLimit() int {
	return c.options.RetransmitMultiplier * max(bits.Len(uint(len(c.daemons)+1)), 2)
}

// delta returns the current state of this daemon, another daemon or a tombstone.
func (c *Core) delta(name string) (Delta, bool) {
	if name == c.self.Name {
		return newDelta(&c.self, c.selfRank, 0), true
	}
	if d, ok := c.daemons[name]; ok {
		return newDelta(&d.Member, d.rank, c.now.Sub(d.stateSince)), true
	}
	if t, ok := c.tombstones[name]; ok {
		return Delta{Name: name, Kind: KindEngine, Incarnation: t.incarnation, Rank: t.rank,
			AgeMillis: c.now.Sub(t.at).Milliseconds()}, true
	}
	return Delta{}, false
}

// addQueued adds queued entries to m up to maxBytes, those sent least often first.
// It adds recipients to the send count of each entry and removes the entries that
// have reached their limit.
func (c *Core) addQueued(m *Message, maxBytes, recipients int, urgentOnly bool) {
	slices.SortStableFunc(c.queue, func(a, b *queueEntry) int { return a.sendCount - b.sendCount })
	size, sendLimit := 0, c.sendLimit()
	for _, q := range c.queue {
		if urgentOnly && q.urgentRounds == 0 {
			continue
		}
		added := c.appendQueued(m, q, maxBytes-size)
		if added == 0 {
			continue
		}
		size += added
		q.sendCount += recipients
		if urgentOnly {
			q.urgentRounds--
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(q *queueEntry) bool {
		return q.urgentRounds == 0 && q.sendCount >= sendLimit
	})
}

func (c *Core) appendQueued(m *Message, q *queueEntry, maxBytes int) int {
	if q.announcement != nil {
		size := q.announcement.size()
		if size > maxBytes {
			return 0
		}
		m.Announcements = append(m.Announcements, *q.announcement)
		return size
	}
	delta, ok := c.delta(q.name)
	if !ok {
		q.sendCount, q.urgentRounds = c.sendLimit(), 0
		return 0
	}
	size := delta.size()
	if size > maxBytes {
		return 0
	}
	m.Deltas = append(m.Deltas, delta)
	return size
}

func (c *Core) newMessage() *Message {
	return &Message{
		Sender:   newDelta(&c.self, c.selfRank, 0),
		Revision: c.revision.Revision, BodyHash: c.revision.BodyHash, RevisionHops: c.revisionHops,
		Running: c.load.Running, Waiting: c.load.Waiting, Digest: c.digest,
	}
}

// sendUrgent sends urgent updates to random peers. Each daemon repeats an update
// for UrgentRounds ticks, so that it reaches all daemons in a few hops although
// each daemon sends to only a few peers.
func (c *Core) sendUrgent() {
	urgent := c.revisionUrgentRounds > 0
	for _, q := range c.queue {
		urgent = urgent || q.urgentRounds > 0
	}
	if !urgent {
		return
	}
	targets := c.targets(c.options.Fanout)
	if len(targets) == 0 {
		return
	}
	m := c.newMessage()
	c.addQueued(m, c.options.MaxUrgentBytes, len(targets), true)
	c.revisionUrgentRounds = max(c.revisionUrgentRounds-1, 0)
	for _, d := range targets {
		c.emit(SendAction{Name: d.Name, Address: d.Address, Urgent: true, Message: m})
	}
}

// heartbeat sends a message to Fanout random peers. While this daemon is syncing,
// the message to one of them also requests a part of its state.
func (c *Core) heartbeat() {
	c.refreshView()
	targets := c.targets(c.options.Fanout)
	m := c.newMessage()
	c.addZones(m)
	c.addQueued(m, c.options.MaxHeartbeatBytes, max(len(targets), 1), false)
	outgoing := m
	if c.syncing {
		syncRequest := *m
		syncRequest.Sync, syncRequest.SyncAfter = true, c.syncAfter
		outgoing = &syncRequest
	}
	for _, d := range targets {
		c.emit(SendAction{Name: d.Name, Address: d.Address, Message: outgoing})
		outgoing = m
	}
	if reporter := c.zoneReporter(); reporter != nil && c.zoneReportDue() {
		c.emit(SendAction{Name: reporter.Name, Address: reporter.Address, Message: m})
	}
	if send, ok := c.reconnectTarget(); ok {
		send.Message = outgoing
		c.emit(send)
	}
}
