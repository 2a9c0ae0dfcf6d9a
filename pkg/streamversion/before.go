package streamversion

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

const (
	// RowTimeout is the time for a read of the row of versions and the write that follows. A store
	// that is 60 times slower than usual performs both within it.
	RowTimeout = 2400 * time.Millisecond
	// addTurn is the time from one daemon's turn to add a version to the row to that of the next. A
	// write of a hub takes a small part of it.
	addTurn = 400 * time.Millisecond
	// settleTime is how long after its start a daemon adds no version to the row of a service that has
	// others, so that those that have started with it read the row without the version. They know then
	// that streams from before a loss of all are not of that version.
	settleTime = 1500 * time.Millisecond
	// tellWrittenFor is how long a daemon that has written the row tells others which versions the
	// store holds.
	tellWrittenFor = 10 * time.Second
)

// MarkStored records that the store holds versions.
func (c *Core) MarkStored(now time.Time, stored InUse) {
	for service, versions := range stored {
		for _, version := range versions {
			if use := c.versions.use(Origin{Service: service, Version: version}); now.After(use.storedAt) {
				use.storedAt = now
			}
		}
	}
}

// MarkUnstored records that the store holds no other versions than the given ones, since it has
// returned from an older copy.
func (c *Core) MarkUnstored(now time.Time, stored InUse) {
	for service, versions := range c.versions.services {
		for version, use := range versions {
			if !stored.Contains(service, version) {
				use.storedAt, use.unstoredSince = time.Time{}, now
			}
		}
	}
}

// InService returns the versions that have servers: those that the store is known to hold, and the
// others.
func (c *Core) InService() (stored, others InUse) {
	stored, others = make(InUse), make(InUse)
	for service, versions := range c.versions.services {
		for version, use := range versions {
			switch {
			case use.servers == 0:
			case use.storedAt.IsZero():
				others.add(service, version)
			default:
				stored.add(service, version)
			}
		}
	}
	return stored, others
}

// MayBegin reports whether a server may begin a stream that callers may take up: all daemons may
// be lost and the servers of its version may leave right after, so that only the store can tell
// that it did. A version that the store is not known to hold begins none, also while the store is
// away: servers that have joined are known from the store, so that only those wait that joined right
// before.
func (c *Core) MayBegin(server *fleet.Server) bool {
	origin := originOf(server)
	use, known := c.versions.services[origin.Service][origin.Version]
	return known && !use.storedAt.IsZero()
}

// RowWritten records that this daemon has written the row, in place of the one it had read.
func (c *Core) RowWritten(at time.Time, row Row) {
	c.MergeStored(at, row)
	c.MarkStored(at, row.Versions)
	c.rowWrittenAt = at
}

// TellsStored reports whether a daemon to which others don't turn for it tells them which versions the
// store holds: it has written them, as those that rank as hubs did not.
func (c *Core) TellsStored(now time.Time) bool {
	return !c.rowWrittenAt.IsZero() && now.Sub(c.rowWrittenAt) < tellWrittenFor
}

// LacksStored reports whether versions in service that this daemon does not know as stored are among
// those that another one states.
func (c *Core) LacksStored(stated InUse) bool {
	_, missing := c.InService()
	for service, versions := range missing {
		for _, version := range versions {
			if stated.Contains(service, version) {
				return true
			}
		}
	}
	return false
}

// Role is what a daemon does for the row of versions.
type Role struct {
	// RanksAsHub is set for the daemons that add versions to the row, and FollowsStore for those that
	// follow the store themselves.
	RanksAsHub, FollowsStore bool
	// Few is set if daemons are so few that each may read the row.
	Few bool
	// Returned is set if the store has returned from an older copy since the row was last read.
	Returned bool
}

// rowReadInterval is the least time between two reads of the row by a daemon that does not know all
// versions in use.
const rowReadInterval = time.Second

// ReadsRow reports whether a daemon reads the row now: because versions are in service that it may
// lack, or because a daemon that has started lately learns from a complete row that no other version
// is in use.
func (c *Core) ReadsRow(now time.Time, r Role) bool {
	_, missing := c.InService()
	uncovered := (r.RanksAsHub || r.Few) && c.SeesSince(now) && !c.Covered(now) && now.Sub(c.uncoveredReadAt) >= rowReadInterval
	if uncovered {
		c.uncoveredReadAt = now
	}
	return r.Returned || uncovered || len(missing) > 0 && (c.AddsVersions(now, r) || r.FollowsStore)
}

// AddsVersions reports whether a daemon adds versions to the row that it lacks. The daemons that rank
// as hubs do so at once. If the store turns just these away, each other daemon does once it is its turn.
func (c *Core) AddsVersions(now time.Time, r Role) bool {
	since, missing := c.missingSince()
	if !missing {
		return r.RanksAsHub
	}
	_, lacking := c.InService()
	if len(lacking.without(c.notAddedYet(now), nil)) == 0 {
		return false
	}
	return r.RanksAsHub || now.Sub(since) >= time.Duration(1+c.turn)*addTurn
}

// missingSince returns since when the store has lacked a version in service, as far as is known, and
// whether it lacks any.
func (c *Core) missingSince() (since time.Time, missing bool) {
	for _, versions := range c.versions.services {
		for _, use := range versions {
			if use.servers > 0 && use.storedAt.IsZero() && (!missing || use.unstoredSince.Before(since)) {
				since, missing = use.unstoredSince, true
			}
		}
	}
	return since, missing
}

// notAddedYet returns the versions in service that this daemon does not add to the row since it has just
// started: those of services that have servers of versions which the store holds.
func (c *Core) notAddedYet(now time.Time) InUse {
	if now.Sub(c.versions.firstAt) >= settleTime {
		return nil
	}
	stored, missing := c.InService()
	maps.DeleteFunc(missing, func(service string, _ []string) bool { return !isService(service) || len(stored[service]) == 0 })
	return missing
}

// turnAmong returns the position of this daemon among the others that are alive in an order that
// follows from their names.
func (c *Core) turnAmong(members []Member) int {
	turn, own := 0, xxhash.Sum64String(c.node)
	for i := range members {
		if xxhash.Sum64String(members[i].Node) < own {
			turn++
		}
	}
	return turn
}
