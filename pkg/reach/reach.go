// Package reach decides whether a daemon still reaches the BackendServers of a service.
//
// Single servers fail, are silent for a moment or are full; that says nothing about the
// daemon's links. A failed connection therefore only starts a round of probes of other
// servers of the service. The service is out of reach once several servers have failed and
// none has accepted a connection since. Connections that were open before do not count:
// they may live on while new ones fail. The core does no I/O.
package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minFailedServers is the number of different servers that must have failed. A service
	// with fewer servers is out of reach when all have failed.
	minFailedServers = 3
	// probesPerRound is the number of servers in one round of probes.
	probesPerRound = 3
	// probeInterval is the least time between the starts of two rounds for one service. It
	// also bounds how long a service that is back is taken for out of reach.
	probeInterval = 500 * time.Millisecond
	// roundTimeout is the time after which a round whose results are missing is given up.
	roundTimeout = 2 * time.Second
)

// Result is the result of a connection to a server.
type Result int

// Results of connections.
const (
	// Accepted means that the server accepted the connection and kept it.
	Accepted Result = iota + 1
	// Reset means that the connection was accepted and reset at once, as full servers do.
	Reset
	// Failed means that the connection was refused or not answered.
	Failed
	// Broken means that a request was sent and the connection ended without a response. The
	// server may have crashed under the request, so that this only starts probes.
	Broken
)

// State says whether the servers of a service can be reached.
type State int

// States of a service.
const (
	// Reachable is the state of services whose servers accept connections.
	Reachable State = iota
	// Doubtful means that servers reset all new connections. They may be full.
	Doubtful
	// Unreachable means that servers neither accept nor reset new connections.
	Unreachable
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"reachable", "doubtful", "unreachable"}[s] }

// service is what is known of one service.
type service struct {
	state State
	// failed holds the servers that have failed since one has accepted a connection.
	failed map[string]Result
	// probing is set while a round is in progress.
	probing        bool
	roundStartedAt time.Time
	// due is set if a round is to start as soon as possible.
	due bool
}

// Core holds the state of all services for one daemon. It is not safe for concurrent use.
type Core struct {
	random   *rand.Rand
	services map[string]*service
}

// New returns a Core in which all services are reachable.
func New(seed uint64) *Core {
	return &Core{random: rand.New(rand.NewPCG(seed, 0)), services: make(map[string]*service)}
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{failed: make(map[string]Result)}
		c.services[name] = s
	}
	return s
}

// State returns the state of a service.
func (c *Core) State(name string) State {
	if s, ok := c.services[name]; ok {
		return s.state
	}
	return Reachable
}

// OutOfReach returns the services that are not reachable, sorted.
func (c *Core) OutOfReach() []string {
	var names []string
	for name, s := range c.services {
		if s.state != Reachable {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Connected records the result of a new connection to one of the servers of a service, and
// reports whether the state of the service has changed. The number of its servers matters
// for failures only.
func (c *Core) Connected(name, server string, servers int, result Result) bool {
	s := c.service(name)
	before := s.state
	switch result {
	case Accepted:
		clear(s.failed)
		s.state, s.due = Reachable, false
		return s.state != before
	case Broken:
		s.due = true
		return false
	}
	s.failed[server] = result
	s.due = true
	if len(s.failed) >= min(minFailedServers, max(servers, 1)) {
		s.state = Unreachable
		if slices.Contains(slices.Collect(maps.Values(s.failed)), Reset) {
			s.state = Doubtful
		}
	}
	if s.state == Unreachable && before != Unreachable {
		// What has cut one service off may have done so with the others.
		for _, other := range c.services {
			other.due = true
		}
	}
	return s.state != before
}

// Joined records that a service has a new server, which may be the first one that can be
// reached again.
func (c *Core) Joined(name string) {
	if s, ok := c.services[name]; ok && s.state != Reachable {
		s.due = true
	}
}

// Left forgets a server that is gone.
func (c *Core) Left(name, server string) {
	if s, ok := c.services[name]; ok {
		delete(s.failed, server)
	}
}

// RoundDue reports whether servers of a service are to be probed now.
func (c *Core) RoundDue(now time.Time, name string) bool {
	s, ok := c.services[name]
	if !ok || s.probing && now.Sub(s.roundStartedAt) < roundTimeout {
		return false
	}
	return (s.due || s.state != Reachable) && now.Sub(s.roundStartedAt) >= probeInterval
}

// Round returns the servers of a service to probe now, or none. The results must be
// reported with Connected, followed by RoundDone.
func (c *Core) Round(now time.Time, name string, servers []string) []string {
	if len(servers) == 0 || !c.RoundDue(now, name) {
		return nil
	}
	s := c.services[name]
	// Servers that have not failed yet come first.
	order := slices.Clone(servers)
	c.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return int(s.failed[a]) - int(s.failed[b]) })
	s.probing, s.roundStartedAt, s.due = true, now, false
	return order[:min(len(order), probesPerRound)]
}

// RoundDone records the end of a round of probes.
func (c *Core) RoundDone(name string) { c.service(name).probing = false }

// Services returns the services for which results have been recorded, sorted.
func (c *Core) Services() []string { return slices.Sorted(maps.Keys(c.services)) }

// Pending reports whether a service has, or may soon have, a round of probes due.
func (c *Core) Pending() bool {
	for _, s := range c.services {
		if s.due || s.probing || s.state != Reachable {
			return true
		}
	}
	return false
}
