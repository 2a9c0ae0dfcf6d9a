package streamversion

import (
	"slices"
	"time"
)

// InUse holds, by service, the versions that may have begun streams which callers can still
// take up, in order.
type InUse map[string][]string

// Contains reports whether a version of a service is among them.
func (u InUse) Contains(service, version string) bool { return slices.Contains(u[service], version) }

// add adds a version of a service.
func (u InUse) add(service, version string) {
	if i, found := slices.BinarySearch(u[service], version); !found {
		u[service] = slices.Insert(u[service], i, version)
	}
}

// without returns the versions that are not in one set, or in another one.
func (u InUse) without(removed, kept InUse) InUse {
	rest := make(InUse)
	for service, versions := range u {
		for _, version := range versions {
			if !removed.Contains(service, version) || kept.Contains(service, version) {
				rest.add(service, version)
			}
		}
	}
	return rest
}

// With returns the versions of both.
func (u InUse) With(o InUse) InUse {
	all := make(InUse)
	for _, one := range []InUse{u, o} {
		for service, versions := range one {
			for _, version := range versions {
				all.add(service, version)
			}
		}
	}
	return all
}

// Equal reports whether both hold the same versions.
func (u InUse) Equal(o InUse) bool {
	if len(u) != len(o) {
		return false
	}
	for service, versions := range u {
		if !slices.Equal(versions, o[service]) {
			return false
		}
	}
	return true
}

// Row is what the store holds.
type Row struct {
	Versions InUse `json:"versions"`
	// Complete is set if no version outside the row has begun a stream that callers can still
	// take up.
	Complete bool `json:"complete,omitempty"`
}

// Equal reports whether both rows say the same.
func (r Row) Equal(o Row) bool { return r.Complete == o.Complete && r.Versions.Equal(o.Versions) }

// StoredRow returns the row to keep in the store, given the one kept there. The row becomes
// complete when this daemon knows all versions in use, and stays so as long as all daemons store
// a version before they use it.
func (c *Core) StoredRow(now time.Time, before Row, allStoreFirst bool) Row {
	c.versions.noteNewRoutes(now, before)
	return Row{Versions: c.Stored(now, before.Versions).without(c.notAddedYet(now), before.Versions), Complete: allStoreFirst && (before.Complete || c.Covered(now))}
}

// AddedRow returns the row kept in the store with what it lacks. It is complete if it was, or completes.
func (c *Core) AddedRow(now time.Time, before Row, completes bool) Row {
	c.versions.noteNewRoutes(now, before)
	added := c.Stored(now, before.Versions).without(c.notAddedYet(now), before.Versions)
	return Row{Versions: before.Versions.With(added), Complete: before.Complete || completes}
}

// Stored returns what to keep in the store, given what is kept there, so that a deployment
// all of whose daemons are lost at once still knows which versions have begun streams. A
// version is dropped only by a daemon that would have seen its use. One of which this daemon
// knows nothing may have been seen by another one first: it counts as in use now.
func (c *Core) Stored(now time.Time, before InUse) InUse {
	h, stored, age := c.versions, make(InUse), c.StreamAge(now)
	for service, versions := range before {
		for _, version := range versions {
			if _, known := h.services[service][version]; !known {
				h.claim(service, h.use(Origin{Service: service, Version: version}), now, true)
			}
		}
	}
	for service, versions := range h.services {
		for version, use := range versions {
			if use.mayBeInUse(now, age) {
				stored.add(service, version)
			}
		}
	}
	if now.Sub(h.confirmedAt) > maxConfirmationGap || now.Sub(h.coveredSince) < age {
		for service, versions := range before {
			for _, version := range versions {
				stored.add(service, version)
			}
		}
	}
	return stored
}

// Loaded records that the store held versions at a time, as read by a holder of the duties: each
// may have begun streams until then, whatever this daemon has seen of it.
func (c *Core) Loaded(readAt time.Time, stored InUse) {
	h := c.versions
	for service, versions := range stored {
		for _, version := range versions {
			use := h.use(Origin{Service: service, Version: version})
			h.claim(service, use, readAt, use.inRow)
		}
	}
	for service, versions := range h.services {
		for version, use := range versions {
			use.inRow = stored.Contains(service, version)
		}
	}
}

// Covered reports whether this daemon knows all versions and routes that were in use within the time
// for which streams may be taken up.
func (c *Core) Covered(now time.Time) bool {
	return c.versions.routesKnown(now, c.StreamAge(now)) && now.Sub(c.versions.confirmedAt) <= maxConfirmationGap && now.Sub(c.versions.coveredSince) >= c.StreamAge(now)
}

// SeesSince reports whether this daemon has seen the servers at all times since the given one.
func (c *Core) SeesSince(at time.Time) bool {
	return !c.versions.confirmedAt.IsZero() && !at.Before(c.versions.coveredSince)
}

// readComplete records that a complete row was read: versions that it lacks have begun no stream before.
func (h *history) readComplete(readAt time.Time, stored InUse) {
	h.rowReadAt = readAt
	for service, versions := range h.services {
		for version, use := range versions {
			if isService(service) && !stored.Contains(service, version) {
				use.notBefore = readAt
			}
		}
	}
}

// MergeStored adds what the store held at a time. If that is complete, it holds all versions that
// may have begun streams, together with the servers that this daemon has seen since. If the daemon
// has not seen them since then, a version may have come and gone in between.
func (c *Core) MergeStored(readAt time.Time, row Row) {
	c.Loaded(readAt, row.Versions)
	c.versions.rowIncomplete = !row.Complete
	if row.Complete && readAt.After(c.versions.rowReadAt) {
		c.versions.readComplete(readAt, row.Versions)
	}
	c.versions.mergeStoredRoutes(readAt, row, c.StreamAge(readAt))
	if covered := readAt.Add(-c.StreamAge(readAt)); row.Complete && c.SeesSince(readAt) && covered.Before(c.versions.coveredSince) {
		c.versions.coveredSince = covered
	}
}
