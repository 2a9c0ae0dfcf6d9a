// Package usage counts the requests of each ClientAccount that began to run in
// each time window, over all daemons, and gives the times at which windows end.
// The core does no I/O.
package usage

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
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
	// finals holds the counts that this daemon has accepted, by window.
	finals map[int64]Final
	// learned holds counts that others have accepted in an epoch before one of which this daemon had
	// heard by then.
	learned map[int64]Final
	// daemon and run identify this daemon and its run, storeSeenAt is when the store first answered to
	// it, epoch the latest epoch of which it has heard, and epochAt when it did.
	daemon, run          uint64
	storeSeenAt, epochAt time.Time
	epoch                table.Epoch
	// witnesses holds what other daemons have stated, by the hash of their names.
	witnesses map[uint64]*witness
	// daemons is the number of daemons that were known at daemonsAt.
	daemons   int
	daemonsAt time.Time
}

// New returns a Core for windows of the given length.
func New(windowLength time.Duration) *Core {
	return &Core{windowLength: windowLength, own: make(Windows), peers: make(map[daemonStart]Windows), finals: make(map[int64]Final), learned: make(map[int64]Final), witnesses: make(map[uint64]*witness)}
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
