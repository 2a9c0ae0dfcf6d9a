package fleet

import (
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// member is a server in the view.
type member struct {
	server Server
	// version is the store's version of the newest state that is known.
	version table.Version
	// missing is set while the entry is missing and the server is kept until
	// removeAt. The entry was first missing at missingVersion.
	missing        bool
	missingVersion table.Version
	removeAt       time.Time
}

// newest returns the version of the newest state of the entry, present or missing.
func (m *member) newest() table.Version {
	if m.missing {
		return max(m.version, m.missingVersion)
	}
	return m.version
}

// removal records that an ID was removed.
type removal struct {
	version table.Version
	// inferred is set unless the store has returned the removal itself: a list, which
	// may have been behind, lacked the server, or a peer has told of the removal.
	inferred bool
}

// maxTombstones is the maximum number of removed IDs that are kept, which is more
// than the servers of a zone at the size that is designed for.
const maxTombstones = 4096

// Core is one daemon's view of the servers. It is not safe for concurrent use.
//
// Invariant: the state of an ID is replaced only by one of a higher version, or by
// the removal at the same version. Views that reach the daemon in any order, from
// the store or from peers, therefore lead to the same result, and an older view
// neither restores a removed server nor hides that one is leaving.
//
// When the store returns from an older copy, the entries of the copy keep the versions
// of the epoch in which they were written, so that they replace nothing that was learned
// after the copy. Entries that the copy lacks may have been lost: their servers are kept
// for the grace period, as after an outage.
type Core struct {
	options Options
	members map[string]*member
	// version is the store's version as of which the view is complete.
	version     table.Version
	initialized bool
	// newestVersion is the highest version of any state that is known.
	newestVersion table.Version
	// removed holds the removed IDs, so that an older view does not restore them.
	removed     map[string]removal
	saidLeaving leavingStatements
	// log numbers the changes for peers.
	log *changelog.Log[string]
	// digest is the sum of the digests of all members.
	digest uint64
	// storeUnavailable is set while the store does not answer this daemon.
	storeUnavailable bool
	storeReturnedAt  time.Time
	// awaitingFullList is set from the end of a store outage to the first full
	// list after it.
	awaitingFullList bool
}

// New returns an empty Core.
func New(options Options) *Core {
	return &Core{options: options, members: make(map[string]*member), removed: make(map[string]removal), saidLeaving: newLeavingStatements(), log: changelog.New[string](options.Run)}
}

// Initialized reports whether the view was ever complete.
func (c *Core) Initialized() bool { return c.initialized }

// Version returns the store's version as of which the view is complete.
func (c *Core) Version() table.Version { return c.version }

// NewestVersion returns the highest version of the store of which anything is
// known. A list of a lower version lacks changes that this daemon has.
func (c *Core) NewestVersion() table.Version { return max(c.newestVersion, c.version) }

// MarkStoreUnavailable records that the store does not answer this daemon.
func (c *Core) MarkStoreUnavailable() { c.storeUnavailable = true }

// MarkStoreAvailable records that the store answers this daemon again.
func (c *Core) MarkStoreAvailable(now time.Time) {
	if c.storeUnavailable {
		c.storeUnavailable, c.storeReturnedAt, c.awaitingFullList = false, now, true
	}
}

// ApplySnapshot applies a full list of the store as of version. Servers that it
// lacks were removed, unless what is known of them is newer.
func (c *Core) ApplySnapshot(now time.Time, version table.Version, entries []Entry) []Event {
	src := source{listVersion: version, current: version >= c.version}
	if c.initialized && version.Epoch() > c.version.Epoch() {
		c.storeReturnedAt, c.awaitingFullList = now, true
	}
	present := make(map[string]bool, len(entries))
	var events []Event
	for _, e := range entries {
		present[e.ID] = e.Server != nil
		events = c.applyEntry(now, e, src, events)
	}
	for id, m := range c.members {
		if !present[id] && m.version <= version {
			events = c.handleMissing(now, m, removal{version: version, inferred: true}, events)
		}
	}
	c.setComplete(version)
	c.awaitingFullList = false
	return events
}

// ApplyChanges applies the entries that changed in the store up to version, as
// continued from a list or from earlier changes.
func (c *Core) ApplyChanges(now time.Time, version table.Version, entries []Entry) []Event {
	var events []Event
	src := source{current: version >= c.version}
	for _, e := range entries {
		events = c.applyEntry(now, e, src, events)
	}
	c.setComplete(version)
	return events
}

// source is the list, the changes or the peer's view that an entry comes from.
type source struct {
	// peer is the daemon that has sent the view, or empty for the store.
	peer string
	// listVersion is the store's version of a full list, and otherwise 0.
	listVersion table.Version
	// current is set if the store's answer is at least as new as this daemon's view:
	// servers that the daemon doesn't know were then missed by it. In an older answer,
	// or in a peer's view, they have been removed since.
	current bool
}

// disproves reports whether an entry shows that the inference of a removal as of a
// version was wrong: a later list has it. Changes may be from before the removal, and
// so may the entries of a copy with which the store has returned.
func (s *source) disproves(removed table.Version) bool {
	return s.listVersion > removed && s.listVersion.Epoch() == removed.Epoch()
}

// setComplete records that the view is complete as of version.
func (c *Core) setComplete(version table.Version) {
	c.initialized, c.version = true, max(c.version, version)
}

// applyEntry applies the state of one ID and appends the resulting events.
func (c *Core) applyEntry(now time.Time, e Entry, src source, events []Event) []Event {
	c.newestVersion = max(c.newestVersion, e.Version)
	m := c.members[e.ID]
	switch {
	case e.Server == nil && m == nil:
		c.recordRemoval(&e, src)
		return events
	case e.Server == nil:
		return c.applyRemoval(now, m, e.Version, src, events)
	case m == nil:
		return c.applyUnknown(e, src, events)
	}
	if m.missing && e.Version <= m.missingVersion && src.disproves(m.missingVersion) {
		e.Version = src.listVersion
	}
	if e.Version <= m.newest() {
		c.correctPeer(m, &e, src)
		return events
	}
	return c.update(m, e, src, events)
}

// recordRemoval records the removal of a server that this daemon does not know, so that
// an older view does not add it. Peers may have the server.
func (c *Core) recordRemoval(e *Entry, src source) {
	if r, known := c.removed[e.ID]; known && r.version >= e.Version {
		return
	}
	c.setRemoved(e.ID, removal{version: e.Version, inferred: src.peer != ""}, src.peer)
}

// applyUnknown adds a server unless it was removed since.
func (c *Core) applyUnknown(e Entry, src source, events []Event) []Event {
	r, removed := c.removed[e.ID]
	switch {
	case removed && e.Version <= r.version && r.inferred && src.disproves(r.version):
		// Peers that were told of the removal need a later version.
		e.Version = src.listVersion
	case removed && e.Version <= r.version, !src.current && e.Version <= c.version:
		return events
	}
	m := &member{server: *e.Server, version: e.Version}
	c.members[e.ID] = m
	delete(c.removed, e.ID)
	c.digest += m.server.digest()
	c.log.Record(e.ID, src.peer)
	return append(events, c.event(&m.server))
}

// event returns the change that leads to the state of a server.
func (c *Core) event(s *Server) Event {
	e := Event{Server: *s}
	e.Server.Leaving = c.isLeaving(s)
	e.Change = changeOf(&e.Server)
	return e
}

// isLeaving reports whether a server leaves, by its entry or by an answer.
func (c *Core) isLeaving(s *Server) bool { return s.Leaving || c.saidLeaving.covers(s) }

// SaidLeaving records that a server has said that it leaves in the answer to a request which was
// sent at a time, whether its entry is known or not. The entry may state that later or never.
// The other daemons learn it from the server themselves.
func (c *Core) SaidLeaving(s *Server, sentAt time.Time) []Event {
	m, known := c.members[s.ID]
	before := known && c.isLeaving(&m.server)
	c.saidLeaving.add(s, sentAt)
	if !known || before || !c.isLeaving(&m.server) {
		return nil
	}
	return []Event{c.event(&m.server)}
}

// update replaces the state of a member. A server whose start time, address or
// service differs is a new run; the earlier one is reported as gone.
func (c *Core) update(m *member, e Entry, src source, events []Event) []Event {
	before := m.server
	c.digest += e.Server.digest() - before.digest()
	m.server, m.version, m.missing = *e.Server, e.Version, false
	if !before.isEquivalent(m.server) {
		c.log.Record(e.ID, src.peer)
	}
	switch {
	case before.isOtherRun(&m.server):
		return append(events, Event{Server: before, Change: ServerGone}, c.event(&m.server))
	case c.isLeaving(&before) != c.isLeaving(&m.server):
		return append(events, c.event(&m.server))
	}
	return events
}

// applyRemoval applies the removal of an entry. A peer reports a removal once its
// own grace period is over.
func (c *Core) applyRemoval(now time.Time, m *member, version table.Version, src source, events []Event) []Event {
	switch {
	case version < m.version:
		c.correctPeer(m, &Entry{ID: m.server.ID, Version: version}, src)
		return events
	case src.peer != "":
		c.remove(m.server.ID, removal{version: max(version, m.missingVersion), inferred: true}, src.peer)
		return append(events, Event{Server: m.server, Change: ServerGone})
	default:
		return c.handleMissing(now, m, removal{version: version}, events)
	}
}

// correctPeer sends the state of a server to a peer that has sent an older one, as
// the peer may not know any daemon that has the newer state.
func (c *Core) correctPeer(m *member, sent *Entry, src source) {
	if src.peer != "" && !m.missing && (sent.Server == nil || !sent.Server.isEquivalent(m.server)) {
		c.log.Record(m.server.ID, "")
	}
}

// remove deletes a member and records the removal for peers.
func (c *Core) remove(id string, r removal, from string) {
	c.digest -= c.members[id].server.digest()
	delete(c.members, id)
	c.setRemoved(id, r, from)
}

// setRemoved records that an ID was removed.
func (c *Core) setRemoved(id string, r removal, from string) {
	c.removed[id] = r
	c.log.Record(id, from)
	if len(c.removed) > maxTombstones {
		c.dropOldTombstones()
	}
}

// dropOldTombstones drops the older half of the tombstones. Peers that lack one of
// these removals are sent all entries; that they still have the server shows by the
// digest.
func (c *Core) dropOldTombstones() {
	versions := make([]table.Version, 0, len(c.removed))
	for _, r := range c.removed {
		versions = append(versions, r.version)
	}
	slices.Sort(versions)
	limit := versions[len(versions)/2]
	for id, r := range c.removed {
		if r.version <= limit {
			delete(c.removed, id)
			c.log.Truncate(id)
		}
	}
}

// handleMissing removes a server that the store lacks, or keeps it for the grace
// period. In the first full list after a store outage, entries may be missing
// because running servers could not refresh them. An entry that is removed later was
// removed by the server itself, or expired because the server is silent.
func (c *Core) handleMissing(now time.Time, m *member, r removal, events []Event) []Event {
	if m.missing {
		return events
	}
	if (c.awaitingFullList || now.Before(c.storeReturnedAt.Add(expiryMargin))) && !m.server.Leaving {
		m.missing, m.missingVersion, m.removeAt = true, r.version, c.storeReturnedAt.Add(c.options.StoreReturnGrace)
		return events
	}
	c.remove(m.server.ID, r, "")
	return append(events, Event{Server: m.server, Change: ServerGone})
}

// expiryMargin is how long after a store outage entries may still expire because
// of refreshes that were due during the outage.
const expiryMargin = 300 * time.Millisecond

// RemoveExpired removes the servers whose entries were not written again within
// the grace period.
func (c *Core) RemoveExpired(now time.Time) []Event {
	var events []Event
	for id, m := range c.members {
		if m.missing && !c.storeUnavailable && !now.Before(m.removeAt) {
			c.remove(id, removal{version: m.missingVersion, inferred: true}, "")
			events = append(events, Event{Server: m.server, Change: ServerGone})
		}
	}
	return events
}

// Servers returns all servers in the view, including those that are leaving and
// those that are kept for the grace period.
func (c *Core) Servers() []Server {
	servers := make([]Server, 0, len(c.members))
	for _, m := range c.members {
		server := m.server
		server.Leaving = c.isLeaving(&server)
		servers = append(servers, server)
	}
	return servers
}
