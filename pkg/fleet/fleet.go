// Package fleet maintains one daemon's view of the BackendServers: which exist,
// which are leaving and which are gone. It does no I/O. Its input consists of
// entries of the platform's store that this daemon has read or received from a
// peer.
package fleet

import (
	"fmt"
	"time"
)

// Server describes one run of a BackendServer, from its start to its end.
type Server struct {
	ID               string `cbor:"1,keyasint"`
	Service          string `cbor:"2,keyasint"`
	Address          string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	Slots            int    `cbor:"5,keyasint"`
	// Leaving is set when the server no longer accepts new requests.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// LeavesIn is the time until the server's end as announced when Leaving was
	// reported; 0 means that no time was announced.
	LeavesIn time.Duration `cbor:"7,keyasint,omitempty"`
	// Reclaimable is set for cheap servers that the platform may reclaim, possibly
	// all servers of a zone at once.
	Reclaimable bool `cbor:"8,keyasint,omitempty"`
	// StartedUnixMilli is the start time in Unix milliseconds. It distinguishes
	// runs of a server with the same ID.
	StartedUnixMilli int64 `cbor:"9,keyasint,omitempty"`
}

// RunID identifies the run of the server.
func (s *Server) RunID() string { return fmt.Sprintf("%s#%d", s.ID, s.StartedUnixMilli) }

// Entry is the state of one ID in the store. Server is nil if the entry was
// removed or cannot be decoded.
type Entry struct {
	ID     string  `cbor:"1,keyasint"`
	Server *Server `cbor:"2,keyasint,omitempty"`
}

// Options configures a Core.
type Options struct {
	// StoreReturnGrace is how long servers whose entries expired during a store
	// outage are kept after it, so that running servers can write their entries
	// again.
	StoreReturnGrace time.Duration
}

// Change is the kind of change that an Event reports.
type Change int

// Kinds of changes.
const (
	// ServerJoined means that the server accepts requests.
	ServerJoined Change = iota + 1
	// ServerLeaving means that the server accepts no new requests but may still
	// answer the current ones.
	ServerLeaving
	// ServerGone means that the server no longer has an entry.
	ServerGone
)

// String returns the name of the change for logs.
func (c Change) String() string { return [...]string{"none", "joined", "leaving", "gone"}[c] }

// Event is a change of one server.
type Event struct {
	Server Server
	Change Change
}

// member is a server in the view.
type member struct {
	server Server
	// changedVersion is the store's version of the last change of the entry.
	changedVersion uint64
	// expired is set while the entry is missing and the server is kept until
	// removeAt.
	expired  bool
	removeAt time.Time
}

// maxTombstones is the maximum number of removed IDs that are kept for peers.
const maxTombstones = 512

// Core is one daemon's view of the servers. It is not safe for concurrent use.
//
// Invariant: version never decreases, so that an older view from a peer does not
// add a removed server again.
type Core struct {
	options     Options
	members     map[string]*member
	version     uint64
	initialized bool
	// changedVersion is the version of the last change that must be sent to peers.
	changedVersion uint64
	// removedVersions holds the versions at which IDs were removed. Removals
	// before version tombstoneHorizon are not kept.
	removedVersions  map[string]uint64
	tombstoneHorizon uint64
	// storeUnavailable is set while the store does not answer this daemon.
	storeUnavailable bool
	storeReturnedAt  time.Time
	// awaitingFullList is set from the end of a store outage to the first full
	// list after it.
	awaitingFullList bool
}

// New returns an empty Core.
func New(options Options) *Core {
	return &Core{options: options, members: make(map[string]*member), removedVersions: make(map[string]uint64)}
}

// Initialized reports whether the view was ever set from a full list.
func (c *Core) Initialized() bool { return c.initialized }

// Version returns the store's version of the view.
func (c *Core) Version() uint64 { return c.version }

// ChangedVersion returns the store's version of the last change of a server.
func (c *Core) ChangedVersion() uint64 { return c.changedVersion }

// MarkStoreUnavailable records that the store does not answer this daemon.
func (c *Core) MarkStoreUnavailable() { c.storeUnavailable = true }

// MarkStoreAvailable records that the store answers this daemon again.
func (c *Core) MarkStoreAvailable(now time.Time) {
	if c.storeUnavailable {
		c.storeUnavailable, c.storeReturnedAt, c.awaitingFullList = false, now, true
	}
}

// ApplySnapshot replaces the view with a full list as of version. A list older
// than the view is ignored.
func (c *Core) ApplySnapshot(now time.Time, version uint64, entries []Entry) []Event {
	if c.initialized && version < c.version {
		return nil
	}
	if !c.initialized {
		// Removals before this version are unknown.
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

// ApplyChanges updates the view with the entries that changed up to version.
// Changes older than the view are ignored.
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

// applyEntry applies one entry and appends the resulting events. A server whose
// start time, address or service differs is a new run; the earlier one is reported
// as gone.
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

// markChanged marks a member as changed at the current version.
func (c *Core) markChanged(m *member) { m.changedVersion, c.changedVersion = c.version, c.version }

// remove deletes a member and records the removal for peers.
func (c *Core) remove(id string) {
	delete(c.members, id)
	c.removedVersions[id], c.changedVersion = c.version, c.version
	if len(c.removedVersions) > maxTombstones {
		c.removedVersions, c.tombstoneHorizon = make(map[string]uint64), c.version
	}
}

// changeOf returns the change that leads to the state of a server.
func changeOf(s *Server) Change {
	if s.Leaving {
		return ServerLeaving
	}
	return ServerJoined
}

// handleMissing removes a server without an entry, or keeps it for the grace
// period. In the first full list after a store outage, entries may be missing
// because running servers could not refresh them. An entry that is removed later
// was removed by the server itself, or expired because the server is silent.
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

// expiryMargin is how long after a store outage entries may still expire because
// of refreshes that were due during the outage.
const expiryMargin = 300 * time.Millisecond

// RemoveExpired removes the servers whose entries were not written again within
// the grace period.
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

// Servers returns all servers in the view, including those that are leaving and
// those that are kept for the grace period.
func (c *Core) Servers() []Server {
	servers := make([]Server, 0, len(c.members))
	for _, m := range c.members {
		servers = append(servers, m.server)
	}
	return servers
}

// EntriesSince returns the entries that changed after a version, for ApplyChanges
// at a peer whose view has that version. If the removals since then are no longer
// known, it returns all entries and false, for ApplySnapshot.
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
		if _, exists := c.members[id]; !exists && removedVersion > version {
			entries = append(entries, Entry{ID: id})
		}
	}
	return entries, true
}
