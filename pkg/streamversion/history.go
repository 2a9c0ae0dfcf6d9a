package streamversion

import (
	"maps"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// history holds which versions of each service had servers, and until when.
type history struct {
	// coveredSince is the time since which no version in use was missed, and confirmedAt
	// when the store last confirmed the view of the servers.
	coveredSince, confirmedAt time.Time
	// viewSince is the time since which this daemon has seen all servers itself, and configuredAt when
	// the routes or ages in force last changed.
	viewSince, configuredAt time.Time
	// firstAt is when the view of the servers was first complete in this run.
	firstAt  time.Time
	services map[string]map[string]*versionUse
	// servers holds the origin that each server gives to streams, by ID.
	servers map[string]Origin
	// routes holds the splits of the routes in force by key, table is a text that stands for all of
	// them, and routesSince the time since which none was missed, or zero if none was told.
	routes      map[string]string
	table       string
	routesSince time.Time
	// rowReadAt is when a complete row of versions was last read, and viewAt the last time as of which
	// this daemon knew all versions that may have begun streams from the servers.
	rowReadAt, viewAt time.Time
	// rowIncomplete is set if the row of the versions in use was not complete when it was last read.
	rowIncomplete bool
}

// versionUse is the use of one version of a service.
type versionUse struct {
	servers int
	// endedAt is when the last of the servers was gone, as this daemon has seen it, and claimedAt the
	// last time until which the store or another daemon says that the version may have been in use.
	endedAt, claimedAt time.Time
	// inRow is set if the row of versions held it when it was last read.
	inRow bool
	// leftAt is when this daemon saw the last of the servers leave.
	leftAt time.Time
	// storedAt is when the store was last known to hold the version, or zero, and unstoredSince
	// since when it is in service without.
	storedAt, unstoredSince time.Time
	// notBefore is a moment in this run before which no daemon had begun a stream at the version that
	// callers may still take up, or zero if none is known.
	notBefore time.Time
}

func newHistory() *history {
	return &history{services: make(map[string]map[string]*versionUse), servers: make(map[string]Origin), routes: make(map[string]string)}
}

func (h *history) use(o Origin) *versionUse {
	versions, ok := h.services[o.Service]
	if !ok {
		versions = make(map[string]*versionUse)
		h.services[o.Service] = versions
	}
	use, ok := versions[o.Version]
	if !ok {
		use = &versionUse{notBefore: h.completeAt()}
		versions[o.Version] = use
	}
	return use
}

// end returns until when a version without servers may have been in use.
func (u *versionUse) end() time.Time {
	if u.claimedAt.After(u.endedAt) {
		return u.claimedAt
	}
	return u.endedAt
}

// claim records that others say that a version may have been in use until a time. While this daemon has
// seen all servers, and none of the version, since an earlier such time, they only repeat it, as each
// takes it from others or from the store; the same holds for routes and ages once all daemons have the
// configuration of this one. A version that was not in the row before is no repetition.
func (h *history) claim(service string, u *versionUse, until time.Time, repeats bool) {
	known := u.end()
	switch {
	case !until.After(known):
		return
	case !repeats || known.IsZero():
	case isService(service):
		if !h.viewSince.IsZero() && !h.viewSince.After(known) && until.Sub(h.confirmedAt) <= maxConfirmationGap {
			return
		}
	case !h.configuredAt.IsZero():
		if applied := h.configuredAt.Add(configurationLag); until.After(applied) {
			until = applied
		}
	}
	if until.After(u.claimedAt) {
		u.claimedAt = until
	}
}

// mayBeInUse reports whether a version, a route or an age was in use within the age of streams.
func (u *versionUse) mayBeInUse(now time.Time, age time.Duration) bool {
	return u.servers > 0 || now.Sub(u.end()) < age
}

// completeAt returns the last moment in this run as of which this daemon knew all versions that may have
// begun streams, or zero. A version that it did not know then has begun none before.
func (h *history) completeAt() time.Time {
	if h.rowReadAt.After(h.viewAt) {
		return h.rowReadAt
	}
	return h.viewAt
}

func (h *history) handle(now time.Time, e *fleet.Event, streamAge time.Duration) {
	if before, known := h.servers[e.Server.ID]; known {
		use := h.use(before)
		if use.servers--; use.servers == 0 {
			use.endedAt, use.leftAt = now, now
		}
		delete(h.servers, e.Server.ID)
	}
	if e.Change == fleet.ServerGone {
		return
	}
	origin := originOf(&e.Server)
	h.servers[e.Server.ID] = origin
	use := h.use(origin)
	if use.servers == 0 {
		if end := use.end(); !end.IsZero() && now.Sub(end) >= streamAge {
			// All streams that it had begun are over. It is new again.
			use.notBefore = time.Time{}
			if h.viewAt.After(end) {
				use.notBefore = h.viewAt
			}
		}
		use.joined(now, streamAge)
	}
	use.servers++
}

// joined records that the version has servers again. The holder of the duties drops a version from
// the store when streamAge has passed since it saw the last server leave; daemons see that at
// different times, so that a version is taken for stored for half of that only.
func (u *versionUse) joined(now time.Time, streamAge time.Duration) {
	u.unstoredSince = now
	if now.Sub(u.leftAt) >= streamAge/2 && now.Sub(u.storedAt) >= streamAge/2 {
		u.storedAt = time.Time{}
	}
}

// maxConfirmationGap is the time between two confirmations of the view of servers from
// which on a version may have come and gone unseen.
const maxConfirmationGap = 3 * time.Second

// Confirmed records that the view of the servers was complete at a time.
func (c *Core) Confirmed(at time.Time) {
	h := c.versions
	if h.firstAt.IsZero() {
		h.firstAt = at
	}
	if at.Sub(h.confirmedAt) > maxConfirmationGap {
		h.coveredSince, h.viewSince = at, at
	}
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
	if h.confirmedAt.Sub(h.coveredSince) >= c.StreamAge(at) && at.After(h.viewAt) && !at.Before(h.firstAt) {
		h.viewAt = at
	}
}

// usesKept is for how many times the age of streams the end of a version's use is remembered.
// The holder of the duties takes a stored version of which it knows nothing for one in use.
const usesKept = 2

// only returns the one version that had servers within streamAge.
func (h *history) only(now time.Time, service string, streamAge time.Duration) (string, bool) {
	versions, known := h.inUse(now, service, streamAge)
	if !known || len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// inUse returns the versions of a service that had servers within streamAge, in order, and false if this
// daemon does not know all of them.
func (h *history) inUse(now time.Time, service string, streamAge time.Duration) ([]string, bool) {
	if now.Sub(h.confirmedAt) > maxConfirmationGap || now.Sub(h.coveredSince) < streamAge {
		return nil, false
	}
	h.forget(now, service, streamAge)
	var found []string
	for version, use := range h.services[service] {
		if use.mayBeInUse(now, streamAge) {
			found = append(found, version)
		}
	}
	slices.Sort(found)
	return found, true
}

// forget drops what has been out of use for long.
func (h *history) forget(now time.Time, service string, streamAge time.Duration) {
	maps.DeleteFunc(h.services[service], func(_ string, u *versionUse) bool {
		return u.servers == 0 && now.Sub(u.end()) >= usesKept*streamAge
	})
}

// Use is the use of a version as it is told to other daemons.
type Use struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time since the version last had servers.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// History is what a daemon knows of the versions in use.
type History struct {
	// ConfirmedMillis is the time since the view was last complete, and CoveredMillis the
	// time since which no version was missed.
	ConfirmedMillis int64 `cbor:"1,keyasint,omitempty"`
	CoveredMillis   int64 `cbor:"2,keyasint,omitempty"`
	Uses            []Use `cbor:"3,keyasint,omitempty"`
	// RoutesMillis is the time since which no route was missed, and Table stands for those in force.
	RoutesMillis int64  `cbor:"4,keyasint,omitempty"`
	Table        string `cbor:"5,keyasint,omitempty"`
}

// History returns the versions that were in use lately. It is empty until the view of
// the servers was complete.
func (c *Core) History(now time.Time) History {
	v := c.versions
	if v.confirmedAt.IsZero() {
		return History{}
	}
	h := History{ConfirmedMillis: now.Sub(v.confirmedAt).Milliseconds(), CoveredMillis: now.Sub(v.coveredSince).Milliseconds()}
	if v.table != "" {
		h.Table, h.RoutesMillis = v.table, now.Sub(v.routesSince).Milliseconds()
	}
	streamAge := c.StreamAge(now)
	for service, versions := range v.services {
		for version, use := range versions {
			if service == routesOfStreams && use.servers > 0 {
				// Table stands for it.
				continue
			}
			age := time.Duration(0)
			if use.servers == 0 {
				age = now.Sub(use.end())
			}
			if age < streamAge {
				h.Uses = append(h.Uses, Use{Service: service, Version: version, AgeMillis: age.Milliseconds()})
			}
		}
	}
	return h
}

// MergeHistory adds what another daemon knew at some time since it was asked, so that a
// daemon that has just started or was cut off knows what was in use before.
func (c *Core) MergeHistory(now, askedAt time.Time, other *History) {
	// Of the two times, the one is used that makes the history shorter and each use later.
	ago := func(millis int64) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	confirmedAt := askedAt.Add(-time.Duration(other.ConfirmedMillis) * time.Millisecond)
	for _, u := range other.Uses {
		use := c.versions.use(Origin{Service: u.Service, Version: u.Version})
		c.versions.claim(u.Service, use, ago(u.AgeMillis), true)
	}
	c.versions.mergeTable(now, askedAt, other)
	if h := c.versions; other.CoveredMillis > 0 && !confirmedAt.Before(h.coveredSince) && ago(other.CoveredMillis).Before(h.coveredSince) {
		h.coveredSince = ago(other.CoveredMillis)
	}
}
