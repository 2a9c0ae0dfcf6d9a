package serverlimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// A brittle server falls over when it has to turn away more than a number of requests in a
// second, from all daemons together. Requests that it has room for do no harm, so that the
// gate is on refusals: each daemon counts those of all daemons, and learns from them how many
// requests the server has room for.

const (
	// refusalWindow is the time in which a brittle server's refusals are counted.
	refusalWindow = time.Second
	// settleTime is how long after it was sent a request may still be turned away. A full
	// server answers at once.
	settleTime = 100 * time.Millisecond
	// roomRetention is how long after the last refusal a server's room is remembered.
	roomRetention = 5 * time.Second
	// growthJitter is the part by which the time until a daemon tries a server with one more
	// request varies, so that not all daemons do so at once.
	growthJitter = 0.5
	// maxDirectDaemons is the number of daemons up to which they know the load of a server
	// and its refusals soon enough to keep to its room. With more, one daemon sends the
	// requests of all to a brittle server.
	maxDirectDaemons = 12
	// maxRefusals is the maximum number of refusals of one server that are kept.
	maxRefusals = 1024
)

// refusals is what is known of the refusals of one run of a server.
type refusals struct {
	// times holds when this daemon learned of refusals within refusalWindow, oldest first.
	times []time.Time
	// sent holds when the requests were sent that may still be turned away.
	sent []time.Time
	// own is the number of requests of this daemon that were turned away.
	own uint64
	// pausedUntil is when this daemon may send again after a refusal of its own request.
	pausedUntil time.Time
	// room is the number of requests for which the server had room at roomAt. It grows by one
	// after each growth.
	room   int
	roomAt time.Time
	growth time.Duration
	// peers holds the number of refusals that each daemon has reported.
	peers map[string]peerRefusals
}

// peerRefusals is the number of refusals that one run of a daemon has reported.
type peerRefusals struct{ run, count uint64 }

// brittleness returns how many requests the servers of a service may turn away in a second,
// and false if none of them is known to be brittle.
func (c *Core) brittleness(service string) (most float64, brittle bool) {
	most, brittle = c.brittle[service]
	return most, brittle
}

// updateBrittle determines again which services have brittle servers. What one server of a
// service has stated holds for all, also those that have not answered yet.
func (c *Core) updateBrittle() {
	clear(c.brittle)
	for _, l := range c.limits {
		e := &l.entry
		if !e.Brittle || !l.removedAt.IsZero() {
			continue
		}
		if most, known := c.brittle[e.Service]; !known || e.MaxRefusals < most {
			c.brittle[e.Service] = e.MaxRefusals
		}
	}
}

// allowedRefusals returns how many refusals in refusalWindow the daemons allow themselves.
func allowedRefusals(most float64) float64 { return max(usedFraction*most, 1) }

func (c *Core) refusalsOf(run string) *refusals {
	r, ok := c.refusals[run]
	if !ok {
		r = &refusals{peers: make(map[string]peerRefusals)}
		c.refusals[run] = r
	}
	return r
}

// expire drops what is too old to count.
func (r *refusals) expire(now time.Time) {
	for len(r.times) > 0 && now.Sub(r.times[0]) >= refusalWindow {
		r.times = r.times[1:]
	}
	for len(r.sent) > 0 && now.Sub(r.sent[0]) >= settleTime {
		r.sent = r.sent[1:]
	}
}

// Sender returns the daemon that sends the requests of all to a server of a service. It
// returns false if each daemon sends its own.
func (c *Core) Sender(service, run string) (node string, only bool) {
	if _, brittle := c.brittleness(service); !brittle || c.alive <= maxDirectDaemons {
		return "", false
	}
	if node, known := c.senders[run]; known {
		return node, node != ""
	}
	candidates := c.members
	if !c.stopping {
		candidates = append(slices.Clip(candidates), Member{Node: c.node, Alive: true})
	}
	least := uint64(0)
	for _, m := range candidates {
		if w := weight(m.Node, run); m.Alive && (node == "" || cmp.Or(cmp.Compare(w, least), cmp.Compare(m.Node, node)) < 0) {
			node, least = m.Node, w
		}
	}
	c.senders[run] = node
	return node, node != ""
}

// IsSender reports whether this daemon sends requests to a server of a service.
func (c *Core) IsSender(service, run string) bool {
	node, only := c.Sender(service, run)
	return !only || node == c.node
}

// senderCount returns the number of daemons that send to a brittle server.
func (c *Core) senderCount() int {
	if c.alive > maxDirectDaemons {
		return 1
	}
	return c.alive
}

// share returns the time in which each sender may have one request turned away.
func (c *Core) share(allowed float64) time.Duration {
	return max(time.Duration(float64(c.senderCount())/allowed*float64(refusalWindow)), refusalWindow)
}

// HasRoom reports whether this daemon may send a request to a server of a service that is
// running a number of requests, as far as is known.
func (c *Core) HasRoom(now time.Time, service, run string, running int) bool {
	most, brittle := c.brittleness(service)
	if !brittle {
		return true
	}
	r := c.refusalsOf(run)
	r.expire(now)
	allowed := allowedRefusals(most)
	switch {
	case float64(len(r.times)+len(r.sent)+1) > allowed:
		return false
	case len(r.sent) >= max(int(allowed)/c.senderCount(), 1):
		return false
	case now.Before(r.pausedUntil):
		return false
	case r.roomAt.IsZero() || now.Sub(r.roomAt) >= roomRetention:
		return true
	default:
		return running < r.room+int(now.Sub(r.roomAt)/r.growth)
	}
}

// Sent records that a request is being sent to a server of a service.
func (c *Core) Sent(now time.Time, service, run string) {
	if _, brittle := c.brittleness(service); brittle {
		r := c.refusalsOf(run)
		r.expire(now)
		r.sent = append(r.sent, now)
	}
}

// Settled records that a server has answered a request, so that it can't be turned away any
// more.
func (c *Core) Settled(run string) {
	if r, ok := c.refusals[run]; ok && len(r.sent) > 0 {
		r.sent = r.sent[1:]
	}
}

// Refused records that a server of a service, which was running a number of requests, has
// turned a request away for want of room. It reports whether other daemons must know.
func (c *Core) Refused(now time.Time, service, run string, running int) bool {
	most, brittle := c.brittleness(service)
	if !brittle {
		return false
	}
	r := c.refusalsOf(run)
	r.own++
	allowed := allowedRefusals(most)
	r.pausedUntil = now.Add(c.share(allowed))
	c.learn(now, r, 1, running, allowed)
	return true
}

// learn records refusals of a server that was running a number of requests.
func (c *Core) learn(now time.Time, r *refusals, n, running int, allowed float64) {
	r.expire(now)
	for range min(n, maxRefusals-len(r.times)) {
		r.times = append(r.times, now)
	}
	r.room, r.roomAt = max(running, 1), now
	r.growth = time.Duration(float64(c.share(allowed)) * (1 + growthJitter*(2*c.random.Float64()-1)))
}

// OwnRefusals returns how many requests of this daemon each brittle server has turned away.
func (c *Core) OwnRefusals() map[string]uint64 {
	var own map[string]uint64
	for run, r := range c.refusals {
		if r.own > 0 {
			if own == nil {
				own = make(map[string]uint64)
			}
			own[run] = r.own
		}
	}
	return own
}

// PeerRefusals applies the numbers of refusals that a run of another daemon has reported.
// The parameter running returns the service of a server and how many requests it is running.
func (c *Core) PeerRefusals(now time.Time, node string, run uint64, counts map[string]uint64, running func(server string) (service string, n int)) {
	for server, count := range counts {
		service, n := running(server)
		most, brittle := c.brittleness(service)
		if !brittle {
			continue
		}
		r := c.refusalsOf(server)
		before := r.peers[node]
		if before.run != run {
			before = peerRefusals{run: run}
		}
		if count > before.count {
			r.peers[node] = peerRefusals{run: run, count: count}
			c.learn(now, r, int(count-before.count), n, allowedRefusals(most))
		}
	}
}

// newRandom returns the source of the times after which a daemon tries a server with one
// more request.
func newRandom(run uint64) *rand.Rand { return rand.New(rand.NewPCG(run, 1)) }
