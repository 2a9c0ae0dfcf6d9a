package rollout

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// Choice says which versions may run a request.
type Choice struct {
	// Denied holds the versions that may not. Undecided holds those of which it is not yet
	// known; they may if there are no others.
	Denied, Undecided []string
	// Only, if not empty, is the version that the request is for unless its servers have no
	// room, and InGroup reports whether a server of it may be used.
	Only    string
	InGroup func(server *fleet.Server) bool
	// Stopped holds the IDs of servers that the platform has stopped.
	Stopped map[string]bool
}

// Choose decides which versions may run an attempt of a request of a route. Repeated is set for
// requests that were sent to a server before, and begun for streams, which go on at the version
// that began them.
func (f *Follower) Choose(now time.Time, name, route string, repeated, begun bool) Choice {
	c := Choice{Undecided: f.unsettled(name)}
	s, ok := f.services[name]
	if !ok {
		return c
	}
	c.Denied = s.entry.Directive.Denied
	to := s.entry.Order.To
	c.Undecided = slices.DeleteFunc(c.Undecided, func(v string) bool { return v == to })
	switch s.entry.Directive.State {
	case Completed:
		c.Stopped = s.stopped
		return c
	case RolledBack:
		c.Denied = append(slices.Clip(c.Denied), to)
		return c
	}
	if s.inForce || f.isOnlyVersion(s) {
		return c
	}
	valid := f.isValid(now, s)
	if begun && valid {
		return c
	}
	if valid && !repeated && s.due(now, route, f.random) {
		c.Only = to
		if !s.shifting(now) {
			f.updateGroup(s)
			c.InGroup = func(server *fleet.Server) bool { return slices.Contains(s.group, server.ID) }
		}
		return c
	}
	c.Denied = append(slices.Clip(c.Denied), to)
	return c
}

// isOnlyVersion reports whether the version of an order is the only one in use and not known to
// be bad: nothing else can serve the requests.
func (f *Follower) isOnlyVersion(s *service) bool {
	of, others := f.Servers(s.entry.Order.Service, s.entry.Order.To)
	return of > 0 && others == 0 && f.excess(s) < maxExcess
}

// isValid reports whether the new version may get anything now.
func (f *Follower) isValid(now time.Time, s *service) bool {
	d := &s.entry.Directive
	return !s.issuedAt.IsZero() && now.Sub(s.issuedAt) < d.ValidFor && f.excess(s) < d.Cleared+maxExcess
}

// excess returns the excess of bad answers that is known here.
func (f *Follower) excess(s *service) int {
	known := s.ownExcess
	if told, ok := f.told[s.entry.Order.Service]; ok && told.Order == s.entry.Order.Revision {
		known = max(known, told.Bad)
	}
	return known
}

// shifting reports whether the new version gets all new requests now.
func (s *service) shifting(now time.Time) bool {
	d := &s.entry.Directive
	since := now.Sub(s.issuedAt)
	return d.ShiftFor > 0 && since >= d.ShiftIn && since < d.ShiftIn+d.ShiftFor
}

// due reports whether the next request of a route is for the new version. Each route carries
// the fraction that it is due.
func (s *service) due(now time.Time, route string, random *rand.Rand) bool {
	if s.shifting(now) {
		return true
	}
	carry := s.carryOf(route, random)
	due := carry >= 1
	if due {
		s.carry[route] = carry - 1
	}
	return due
}

// carryOf returns the fraction that a route is due. It begins with a random one: over all
// daemons, the fractions add up to the share also if each daemon has few requests.
func (s *service) carryOf(route string, random *rand.Rand) float64 {
	carry, ok := s.carry[route]
	if !ok {
		carry = random.Float64() + s.entry.Directive.shareOf(route)
		s.carry[route] = carry
	}
	return carry
}

// updateGroup selects the servers of the new version that get the small share, the same at all
// daemons that know the same servers.
func (f *Follower) updateGroup(s *service) {
	if !s.groupStale {
		return
	}
	s.groupStale, s.group = false, nil
	v, ok := f.versions[s.entry.Order.Service][s.entry.Order.To]
	if !ok {
		return
	}
	s.group = slices.Collect(maps.Keys(v.servers))
	slices.SortFunc(s.group, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	s.group = s.group[:min(len(s.group), max(s.entry.Directive.Servers, 1))]
}
