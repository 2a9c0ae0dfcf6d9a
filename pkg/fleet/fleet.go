// Package fleet keeps what one daemon knows of the BackendServers: which ones
// exist, which are leaving and which are gone. The core does no I/O; it is fed
// with entries of the platform's store, read by this daemon or by a peer.
package fleet

import (
	"time"
)

// Server is one start of a BackendServer.
type Server struct {
	ID               string `cbor:"1,keyasint"`
	Service          string `cbor:"2,keyasint"`
	Address          string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	Slots            int    `cbor:"5,keyasint"`
	// Leaving servers take no new work.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// LeavesIn is the notice that was given when Leaving was reported; 0 means
	// that none was given.
	LeavesIn time.Duration `cbor:"7,keyasint,omitempty"`
	// Reclaimable servers are cheap and may be taken away a zone at a time.
	Reclaimable bool `cbor:"8,keyasint,omitempty"`
	// StartedUnixMilli tells starts of a server under one ID apart.
	StartedUnixMilli int64 `cbor:"9,keyasint,omitempty"`
}

// Entry is the state of one ID in the store. Server is nil where the entry was
// removed or cannot be read.
type Entry struct {
	ID     string  `cbor:"1,keyasint"`
	Server *Server `cbor:"2,keyasint,omitempty"`
}

// Options configure a Core.
type Options struct {
	// StoreReturnGrace is how long after the return of the store the servers whose
	// entries lapsed meanwhile are kept: living servers write theirs again.
	StoreReturnGrace time.Duration
}

// Change says what became of a server.
type Change int

// The changes.
const (
	ServerJoined Change = iota + 1
	// Left servers take no new work but may still answer.
	ServerLeaving
	// Gone servers have no entry any more.
	ServerGone
)

// String returns the name of the change in logs.
func (c Change) String() string { return [...]string{"none", "joined", "leaving", "gone"}[c] }

// Event reports a change of a server.
type Event struct {
	Server Server
	Change Change
}

type member struct {
	server Server
	// changed is the store's version at which the entry changed last.
	changedVersion uint64
	// lapsed is set while the entry is missing and the server is kept.
	expired  bool
	removeAt time.Time
}

// maxTombstones bounds the removed IDs that are remembered for peers.
const maxTombstones = 512

// Core is the state of one daemon. It is not safe for concurrent use.
//
// Invariant: version never falls, so that an older view of a peer does not
// bring back a server that has left.
type Core struct {
	options     Options
	members     map[string]*member
	version     uint64
	initialized bool
	// changed is the version of the last change that matters to peers.
	changedVersion uint64
	// removed holds the versions at which IDs were removed; what was removed
	// before horizon is forgotten.
	removedVersions  map[string]uint64
	tombstoneHorizon uint64
	// storeUnavailable is set while the store does not answer this daemon.
	storeUnavailable bool
	storeReturnedAt  time.Time
	// unread is set from the store's return to the first full list.
	awaitingFullList bool
}

// New returns an empty Core.
func New(options Options) *Core {
	return &Core{options: options, members: make(map[string]*member), removedVersions: make(map[string]uint64)}
}

// Known reports whether a full list was ever seen.
func (c *Core) Initialized() bool { return c.initialized }

// Version returns the store's version of the view.
func (c *Core) Version() uint64 { return c.version }

// Changed returns the version of the last change of a server.
func (c *Core) ChangedVersion() uint64 { return c.changedVersion }

// Lost says that the store stopped answering.
func (c *Core) MarkStoreUnavailable() { c.storeUnavailable = true }

// Returned says that the store answers again.
func (c *Core) MarkStoreAvailable(now time.Time) {
	if c.storeUnavailable {
		c.storeUnavailable, c.storeReturnedAt, c.awaitingFullList = false, now, true
	}
}

// Snapshot replaces the view by a full list as of version.
func (c *Core) ApplySnapshot(now time.Time, version uint64, entries []Entry) []Event {
	if c.initialized && version < c.version {
		return nil
	}
	if !c.initialized {
		// What was removed before is not known.
		c.tombstoneHorizon = version
	}
	c.initialized, c.version = true, version
	present := make(map[string]bool, len(entries))
	var events []Event
	for _, e := range entries {
		if e.Server != nil {
			present[e.ID] = true
		}
		events = c.applyEntry(now, e, events)
	}
	for id, m := range c.members {
		if !present[id] {
			events = c.handleMissing(now, m, events)
		}
	}
	c.awaitingFullList = false
	return events
}

// Apply changes the view by the entries that changed up to version.
func (c *Core) ApplyChanges(now time.Time, version uint64, entries []Entry) []Event {
	if version < c.version {
		return nil
	}
	c.version = version
	var events []Event
	for _, e := range entries {
		events = c.applyEntry(now, e, events)
	}
	return events
}

func (c *Core) applyEntry(now time.Time, e Entry, events []Event) []Event {
	m := c.members[e.ID]
	switch {
	case e.Server == nil && m == nil:
		return events
	case e.Server == nil:
		return c.handleMissing(now, m, events)
	case m == nil:
		m = &member{server: *e.Server}
		c.members[e.ID] = m
		c.markChanged(m)
		return append(events, Event{Server: m.server, Change: changeOf(e.Server)})
	}
	before := m.server
	if before != *e.Server || m.expired {
		c.markChanged(m)
	}
	m.server, m.expired = *e.Server, false
	switch {
	case before.StartedUnixMilli != m.server.StartedUnixMilli, before.Address != m.server.Address, before.Service != m.server.Service:
		return append(events, Event{Server: before, Change: ServerGone}, Event{Server: m.server, Change: changeOf(&m.server)})
	case before.Leaving != m.server.Leaving:
		return append(events, Event{Server: m.server, Change: changeOf(&m.server)})
	}
	return events
}

// touch marks a member as changed at the present version.
func (c *Core) markChanged(m *member) { m.changedVersion, c.changedVersion = c.version, c.version }

// remove deletes a member and remembers that for peers.
func (c *Core) remove(id string) {
	delete(c.members, id)
	c.removedVersions[id], c.changedVersion = c.version, c.version
	if len(c.removedVersions) > maxTombstones {
		c.removedVersions, c.tombstoneHorizon = make(map[string]uint64), c.version
	}
}

func changeOf(s *Server) Change {
	if s.Leaving {
		return ServerLeaving
	}
	return ServerJoined
}

// missing removes a server. Only the first full list after an outage leaves out
// servers whose entries lapsed because they could not refresh them; a removal
// that comes later is the server's own or follows from its silence.
func (c *Core) handleMissing(now time.Time, m *member, events []Event) []Event {
	if m.expired {
		return events
	}
	if (c.awaitingFullList || now.Before(c.storeReturnedAt.Add(expiryMargin))) && !m.server.Leaving {
		m.expired, m.removeAt = true, c.storeReturnedAt.Add(c.options.StoreReturnGrace)
		return events
	}
	c.remove(m.server.ID)
	return append(events, Event{Server: m.server, Change: ServerGone})
}

// expiryMargin is how long after the store's return entries still lapse for want
// of refreshes that were due before it.
const expiryMargin = 300 * time.Millisecond

// Tick removes the servers whose entries did not come back in time.
func (c *Core) RemoveExpired(now time.Time) []Event {
	var events []Event
	for id, m := range c.members {
		if m.expired && !c.storeUnavailable && !now.Before(m.removeAt) {
			c.remove(id)
			events = append(events, Event{Server: m.server, Change: ServerGone})
		}
	}
	return events
}

// Servers returns all servers that have an entry, leaving ones included.
func (c *Core) Servers() []Server {
	servers := make([]Server, 0, len(c.members))
	for _, m := range c.members {
		servers = append(servers, m.server)
	}
	return servers
}

// EntriesSince returns the entries that changed after a version, for Apply of a
// peer whose view is of that version. If that can no longer be told it returns
// all of them and false, for Snapshot.
func (c *Core) EntriesSince(version uint64) (entries []Entry, partial bool) {
	partial = version != 0 && version >= c.tombstoneHorizon
	for id, m := range c.members {
		if m.expired || partial && m.changedVersion <= version {
			continue
		}
		server := m.server
		entries = append(entries, Entry{ID: id, Server: &server})
	}
	if !partial {
		return entries, false
	}
	for id, removedVersion := range c.removedVersions {
		if _, back := c.members[id]; !back && removedVersion > version {
			entries = append(entries, Entry{ID: id})
		}
	}
	return entries, true
}
