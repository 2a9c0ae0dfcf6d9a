package membership

import (
	"slices"
)

// maxSeeds limits the number of addresses from the settings and the host list.
const maxSeeds = 1024

func (c *Core) addSeed(address string) {
	if address == "" || address == c.self.Address || len(c.seeds) >= maxSeeds {
		return
	}
	if !slices.Contains(c.seeds, address) {
		c.seeds = append(c.seeds, address)
	}
}

// refillView removes members of the view that are no longer usable and fills the
// view with random peers.
func (c *Core) refillView() {
	remaining := c.view[:0]
	for _, old := range c.view {
		if d := c.daemons[old.Name]; d != nil && d.usable() {
			remaining = append(remaining, d)
		}
	}
	c.view = remaining
	want := min(c.options.ViewSize, len(c.peers))
	if want == len(c.peers) {
		c.view = append(c.view[:0], c.peers...)
		return
	}
	for len(c.view) < want {
		c.addToView(c.peers[c.rand.IntN(len(c.peers))])
	}
}

func (c *Core) addToView(d *daemon) {
	if !slices.Contains(c.view, d) {
		c.view = append(c.view, d)
	}
}

// refreshView replaces one random member of the view, so that over time every
// daemon exchanges messages with every other.
func (c *Core) refreshView() {
	peers := c.livePeers()
	if c.now.Sub(c.viewRefreshedAt) < c.options.ViewRefresh || len(peers) <= c.options.ViewSize {
		return
	}
	c.viewRefreshedAt = c.now
	i := c.rand.IntN(len(c.view))
	c.view = slices.Delete(c.view, i, i+1)
	for len(c.view) < c.options.ViewSize {
		c.addToView(peers[c.rand.IntN(len(peers))])
	}
}

// sampleIntoView adds a daemon that has just become usable to a full view, with the
// same probability as every other daemon. Without this, daemons that join late
// are in few views and receive updates late.
func (c *Core) sampleIntoView(d *daemon) {
	peers := len(c.peers) + 1 // counts d too; livePeers would rebuild c.peers
	if peers <= c.options.ViewSize || slices.Contains(c.view, d) || c.rand.IntN(peers) >= c.options.ViewSize {
		return
	}
	c.view[c.rand.IntN(len(c.view))] = d
}

// targets returns n members of the view, or all of them if there are fewer.
// Successive calls iterate over the view in random order and shuffle it again at
// the end, so that an urgent update goes to different peers at each tick.
func (c *Core) targets(n int) []*daemon {
	c.livePeers()
	n = min(n, len(c.view))
	if c.nextTarget+n > len(c.view) {
		c.rand.Shuffle(len(c.view), func(i, j int) { c.view[i], c.view[j] = c.view[j], c.view[i] })
		c.nextTarget = 0
	}
	chosen := slices.Clone(c.view[c.nextTarget : c.nextTarget+n])
	c.nextTarget += n
	return chosen
}

// heartbeatsPerReconnect is the number of heartbeats between attempts to reach a
// daemon that is gone or an address whose daemon is not known yet. These attempts
// end a partition in which both sides have removed each other.
const heartbeatsPerReconnect = 5

// reconnectTarget returns a random candidate for a reconnect attempt if one is due.
// Without live peers, an attempt is due at every heartbeat.
func (c *Core) reconnectTarget() (SendAction, bool) {
	c.heartbeatCount++
	noPeers := len(c.livePeers()) == 0
	if !noPeers && c.heartbeatCount%heartbeatsPerReconnect != 0 {
		return SendAction{}, false
	}
	candidates := c.reconnectCandidates()
	if len(candidates) == 0 {
		return SendAction{}, false
	}
	return candidates[c.rand.IntN(len(candidates))], true
}

func (c *Core) reconnectCandidates() []SendAction {
	known := make(map[string]bool, len(c.daemons))
	var candidates []SendAction
	for _, d := range c.daemons {
		known[d.Address] = known[d.Address] || d.usable()
	}
	for _, m := range c.Daemons(StateGone) {
		if !known[m.Address] {
			candidates = append(candidates, SendAction{Name: m.Name, Address: m.Address})
		}
	}
	for _, address := range c.seeds {
		if !known[address] {
			candidates = append(candidates, SendAction{Address: address})
		}
	}
	return candidates
}
