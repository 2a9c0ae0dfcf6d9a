package membership

import (
	"sort"
)

// receive applies a message and replies if it is a heartbeat.
func (c *Core) receive(m *Message, heartbeat bool) {
	c.applyDaemon(&m.Sender)
	for i := range m.Deltas {
		c.applyDelta(&m.Deltas[i], m.SyncReply)
	}
	for _, a := range m.Announcements {
		urgentRounds := c.options.UrgentRounds
		if a.Server != nil {
			urgentRounds = 0
		}
		c.announce(a, urgentRounds)
	}
	c.handleRevision(m)
	c.handleZoneLoads(m)
	c.compareDigest(m)
	if heartbeat {
		c.emit(ReplyAction{Message: c.reply(m)})
	}
}

func (c *Core) applyDelta(delta *Delta, syncReply bool) {
	var changed bool
	if !delta.valid() {
		return
	}
	if delta.Kind == KindDaemon {
		changed = c.applyDaemon(delta)
	} else {
		changed = delta.Rank >= rankLeaving && c.markLeaving(delta.Name, delta.Incarnation, delta.Rank, delta.age())
	}
	// The peer has an older state; the next messages carry the newer one.
	if !changed && syncReply && c.hasNewerState(delta) {
		c.enqueueMember(delta.Name, 0)
	}
}

func (c *Core) hasNewerState(delta *Delta) bool {
	own, ok := c.delta(delta.Name)
	return ok && overrides(own.Incarnation, own.Rank, delta.Incarnation, delta.Rank)
}

func (c *Core) handleRevision(m *Message) {
	hops := m.RevisionHops + 1
	if m.RevisionHops >= c.options.MaxHops {
		hops = c.options.MaxHops
	}
	if !c.raiseRevision(RevisionEvent{Revision: m.Revision, BodyHash: m.BodyHash}, hops) {
		return
	}
	c.emit(RevisionAction{Revision: m.Revision, BodyHash: m.BodyHash, Hops: hops,
		From: m.Sender.Name, Address: m.Sender.Address})
}

func (c *Core) reply(m *Message) *Message {
	r := c.newMessage()
	c.addCorrection(r, m)
	if m.Sync {
		c.addSyncPart(r, m.SyncAfter)
		return r
	}
	c.addQueued(r, c.options.MaxHeartbeatBytes, 1, false)
	return r
}

// addCorrection adds the local state of the sender to the reply if it overrides
// the state in the message, so that the sender can refute it.
func (c *Core) addCorrection(r, m *Message) {
	if c.hasNewerState(&m.Sender) {
		own, _ := c.delta(m.Sender.Name)
		r.Deltas = append(r.Deltas, own)
	}
}

// mismatchedIntervalsBeforeSync is the number of heartbeat intervals for which the
// digests of all peers must differ before this daemon requests the full state in
// parts. A change that is still spreading makes digests differ for one or two
// intervals.
const mismatchedIntervalsBeforeSync = 10

// mismatchedMessagesBeforeSync is the number of consecutive messages in which the
// digest of one peer must differ before this daemon requests the full state. It
// is needed after a network partition: the daemons of each side agree with each
// other, so that the digests of all peers never differ at once.
const mismatchedMessagesBeforeSync = 20

// maxMismatchPeers limits the number of peers in digestMismatches.
const maxMismatchPeers = 256

func (c *Core) compareDigest(m *Message) {
	if m.SyncReply && c.syncing {
		c.syncAfter = m.SyncNext
		c.syncing = m.SyncNext != ""
		c.digestMatchedAt = c.now
		return
	}
	if m.Digest == c.digest {
		c.digestMatchedAt = c.now
		delete(c.digestMismatches, m.Sender.Name)
		return
	}
	if c.syncing {
		return
	}
	if c.now.Sub(c.digestMatchedAt) >= mismatchedIntervalsBeforeSync*c.options.HeartbeatInterval || c.countMismatch(m.Sender.Name) {
		c.syncing, c.syncAfter = true, ""
	}
}

// countMismatch counts a message with a different digest and reports whether the
// sender has reached mismatchedMessagesBeforeSync.
func (c *Core) countMismatch(peer string) bool {
	if len(c.digestMismatches) >= maxMismatchPeers {
		clear(c.digestMismatches)
	}
	c.digestMismatches[peer]++
	if c.digestMismatches[peer] < mismatchedMessagesBeforeSync {
		return false
	}
	delete(c.digestMismatches, peer)
	return true
}

// forEachSharedState calls visit for each state that should be equal on all
// daemons. States in the second half of their retention are skipped, because
// daemons delete them at different times.
func (c *Core) forEachSharedState(visit func(name string, incarnation uint64, rank uint8)) {
	visit(c.self.Name, c.self.Incarnation, c.selfRank)
	for name, d := range c.daemons {
		if d.rank < rankLeaving || c.now.Sub(d.stateSince) < c.options.GoneRetention/2 {
			visit(name, d.Incarnation, d.rank)
		}
	}
	for name, t := range c.tombstones {
		if c.now.Sub(t.at) < c.options.LeavingRetention/2 {
			visit(name, t.incarnation, t.rank)
		}
	}
}

// Odd multipliers that mix the incarnation and the rank into the digest.
const (
	incarnationMultiplier = 0x9e3779b97f4a7c15
	rankMultiplier        = 0xc2b2ae3d27d4eb4f
)

func (c *Core) computeDigest() uint64 {
	var digest uint64
	c.forEachSharedState(func(name string, incarnation uint64, rank uint8) {
		h := score("", name) + incarnation*incarnationMultiplier + uint64(rank+1)*rankMultiplier
		h ^= h >> 29
		digest ^= h * incarnationMultiplier
	})
	return digest
}

// addSyncPart adds the states whose names sort after the given name to r, up to
// MaxUrgentBytes, and sets SyncNext to the last name if more states follow.
func (c *Core) addSyncPart(r *Message, after string) {
	names := make([]string, 0, len(c.daemons)+len(c.tombstones)+1)
	c.forEachSharedState(func(name string, _ uint64, _ uint8) {
		if name > after {
			names = append(names, name)
		}
	})
	sort.Strings(names)
	r.SyncReply = true
	size := 0
	for _, name := range names {
		delta, _ := c.delta(name)
		size += delta.size()
		if size > c.options.MaxUrgentBytes && r.SyncNext != "" {
			return
		}
		r.Deltas = append(r.Deltas, delta)
		r.SyncNext = name
	}
	r.SyncNext = ""
}
