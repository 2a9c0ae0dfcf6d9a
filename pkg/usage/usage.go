// Package usage counts the requests of each ClientAccount that began to run in
// each time window, over all daemons, and gives the times at which windows end.
// The core does no I/O.
package usage

import (
	"maps"
	"slices"
	"time"
)

// Counts maps account names to numbers of requests.
type Counts map[string]int

// Windows maps window numbers to counts. Window k begins k window lengths after
// the Unix epoch.
type Windows map[int64]Counts

const (
	// retainedWindows is the number of most recent windows whose counts are
	// retained.
	retainedWindows = 8
	// statedWindows is the number of most recent windows that a daemon states to its
	// peers. Older ones are reported already.
	statedWindows = 4
)

// daemonStart identifies one start of a daemon.
type daemonStart struct {
	node        string
	incarnation uint64
}

// Core holds the counts of this daemon and those that its peers reported. It is
// not safe for concurrent use.
type Core struct {
	windowLength time.Duration
	own          Windows
	peers        map[daemonStart]Windows
	// finals holds the counts of windows that were reported, or are about to be. All daemons
	// know them, as the store may return from a copy that lacks them.
	finals Windows
}

// New returns a Core for windows of the given length.
func New(windowLength time.Duration) *Core {
	return &Core{windowLength: windowLength, own: make(Windows), peers: make(map[daemonStart]Windows), finals: make(Windows)}
}

// WindowAt returns the number of the window that contains a time.
func (c *Core) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(c.windowLength) }

// End returns the time at which a window ends.
func (c *Core) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.windowLength)) }

// Began counts a request that began to run.
func (c *Core) Began(at time.Time, account string) {
	window := c.WindowAt(at)
	counts, ok := c.own[window]
	if !ok {
		counts = make(Counts)
		c.own[window] = counts
		c.own.expire(window)
	}
	counts[account]++
}

func (w Windows) expire(newest int64) {
	for window := range w {
		if window <= newest-retainedWindows {
			delete(w, window)
		}
	}
}

// Own returns a copy of this daemon's counts of the most recent windows.
func (c *Core) Own() Windows {
	var newest int64
	for window := range c.own {
		newest = max(newest, window)
	}
	windows := make(Windows, statedWindows)
	for window, counts := range c.own {
		if window <= newest-statedWindows {
			continue
		}
		copied := make(Counts, len(counts))
		for account, n := range counts {
			copied[account] = n
		}
		windows[window] = copied
	}
	return windows
}

// SetPeer stores the counts that a peer reported for one of its starts. They
// still count after the peer has stopped or restarted.
func (c *Core) SetPeer(node string, incarnation uint64, windows Windows) {
	key := daemonStart{node: node, incarnation: incarnation}
	known, ok := c.peers[key]
	if !ok {
		known = make(Windows)
		c.peers[key] = known
	}
	var newest int64
	for window, counts := range windows {
		known[window] = counts
		newest = max(newest, window)
	}
	known.expire(newest)
}

// finalsRetained is the number of most recent windows whose final counts are retained. It covers
// the time within which a window may be reported.
const finalsRetained = 6

// SetFinal makes counts of a window final, unless others are, and returns the final ones.
func (c *Core) SetFinal(window int64, counts Counts) Counts {
	if known, ok := c.finals[window]; ok {
		return known
	}
	newest := window
	for known := range c.finals {
		newest = max(newest, known)
	}
	if window <= newest-finalsRetained {
		return counts
	}
	c.finals[window] = counts
	maps.DeleteFunc(c.finals, func(known int64, _ Counts) bool { return known <= newest-finalsRetained })
	return counts
}

// Final returns the final counts of a window, if there are any.
func (c *Core) Final(window int64) (Counts, bool) {
	counts, ok := c.finals[window]
	return counts, ok
}

// FinalWindows returns the windows with final counts, in order.
func (c *Core) FinalWindows() []int64 { return slices.Sorted(maps.Keys(c.finals)) }

// FinalsExcept returns the final counts of all windows but the given ones. The caller must not
// change them.
func (c *Core) FinalsExcept(known []int64) Windows {
	finals := maps.Clone(c.finals)
	maps.DeleteFunc(finals, func(window int64, _ Counts) bool { return slices.Contains(known, window) })
	return finals
}

// Total returns the counts of a window over all daemons.
func (c *Core) Total(window int64) Counts {
	total := make(Counts)
	add := func(counts Counts) {
		for account, n := range counts {
			total[account] += n
		}
	}
	add(c.own[window])
	for _, windows := range c.peers {
		add(windows[window])
	}
	return total
}
