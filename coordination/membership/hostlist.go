package membership

import (
	"sort"
	"strconv"
	"time"
)

// hostListState is the state between polls of the host list.
type hostListState struct {
	polledAt       time.Time
	polled         bool
	slotsCheckedAt time.Time
	entryCount     int // number of entries in the last list
	// pollRequested is set when a pool has too few candidates left.
	pollRequested bool
	// lastEntries maps names to incarnations in the last list. It is kept only
	// while this daemon is a poller, which announces changes to the others.
	lastEntries map[string]uint64
}

// missedListsBeforeRemoval is how many consecutive host lists must omit a
// BackendServer before it gets no new work.
const missedListsBeforeRemoval = 2

// pollIfDue requests a poll of the host list when one is due. Only a few daemons
// poll frequently and announce changes to the others, because a list of 7,000
// Hosts is too large for every daemon to read every few seconds.
func (c *Core) pollIfDue() {
	sincePoll := c.now.Sub(c.hostList.polledAt)
	if c.hostList.polled && sincePoll < c.listInterval() {
		return
	}
	// The poller slots are checked once per ListInterval, because each check
	// iterates over all daemons.
	if c.hostList.polled && c.now.Sub(c.hostList.slotsCheckedAt) < c.options.ListInterval {
		return
	}
	c.hostList.slotsCheckedAt = c.now
	poller := c.isPoller()
	if !poller {
		c.hostList.lastEntries = nil
	}
	if c.hostList.polled && !poller && !c.hostList.pollRequested && sincePoll < c.options.SlowListInterval {
		return
	}
	c.hostList.polled, c.hostList.polledAt, c.hostList.pollRequested = true, c.now, false
	c.emit(PollAction{Poller: poller})
}

// entriesPerInterval is the average number of list entries that a poller reads
// per ListInterval. A poller reads a longer list less often, which limits its
// traffic and CPU time. With 7,000 Hosts each poller reads the list every 28 s,
// so that the 7 pollers together read it about every 4 s.
const entriesPerInterval = 500

func (c *Core) listInterval() time.Duration {
	return c.options.ListInterval * time.Duration(max(1, c.hostList.entryCount/entriesPerInterval))
}

// isPoller reports whether this daemon holds one of the poller slots. The slots
// change holders at different times, so that at least one poller detects each
// change between two lists.
func (c *Core) isPoller() bool {
	peers := c.livePeers()
	if len(peers) < c.options.Pollers {
		return true
	}
	term := c.options.PollerTerm.Milliseconds()
	for slot := range c.options.Pollers {
		shift := term * int64(slot) / int64(c.options.Pollers)
		salt := "poller " + strconv.Itoa(slot) + " " + strconv.FormatInt((c.now.UnixMilli()+shift)/term, 10)
		if c.hasLowestScore(peers, salt) {
			return true
		}
	}
	return false
}

// hasLowestScore reports whether no peer has a lower score than this daemon.
func (c *Core) hasLowestScore(peers []*daemon, salt string) bool {
	ownScore := score(salt, c.self.Name)
	for _, d := range peers {
		if score(salt, d.Name) < ownScore {
			return false
		}
	}
	return true
}

// handleHostList applies the result of a poll of the host list.
func (c *Core) handleHostList(entries []ListEntry) {
	if len(entries) == 0 {
		return
	}
	c.hostList.entryCount = len(entries)
	current := make(map[string]uint64, len(entries))
	for i := range entries {
		e := &entries[i]
		if e.Kind == KindDaemon {
			c.addSeed(e.Address)
			continue
		}
		current[e.Name] = e.Incarnation
		if e.Leaving {
			c.markLeaving(e.Name, e.Incarnation, rankLeaving, 0)
			continue
		}
		c.announceAdded(e)
		c.handleListedServer(e.Member, c.now)
	}
	poller := c.isPoller()
	c.removeUnlisted(current)
	c.announceRemoved(current)
	c.hostList.lastEntries = nil
	if poller {
		c.hostList.lastEntries = current
	}
}

func (c *Core) removeUnlisted(current map[string]uint64) {
	for _, name := range sortedNames(c.servers) {
		s := c.servers[name]
		if _, ok := current[name]; ok {
			s.missedLists = 0
			continue
		}
		s.missedLists++
		if s.missedLists >= missedListsBeforeRemoval {
			c.removeServer(s)
		}
	}
}

// announceAdded announces a BackendServer to the other daemons if the last list
// did not contain it or contained a lower incarnation.
func (c *Core) announceAdded(e *ListEntry) {
	if c.hostList.lastEntries == nil || c.hasLeft(e.Name, e.Incarnation) {
		return
	}
	if incarnation, ok := c.hostList.lastEntries[e.Name]; ok && incarnation >= e.Incarnation {
		return
	}
	delta := newDelta(&e.Member, rankAlive, 0)
	c.announce(c.serverAnnouncement(&delta), 0)
}

func (c *Core) announceRemoved(current map[string]uint64) {
	for _, name := range sortedNames(c.hostList.lastEntries) {
		if _, ok := current[name]; ok {
			continue
		}
		delta := Delta{Name: name, Kind: KindEngine, Incarnation: c.hostList.lastEntries[name], Rank: rankSuspect}
		c.announce(c.serverAnnouncement(&delta), 0)
	}
}

// serverAnnouncement returns an announcement whose ID is the same on all pollers
// that detect the same change within one minute, so that it is delivered once.
func (c *Core) serverAnnouncement(d *Delta) Announcement {
	id := "server/" + d.Name + "/" + strconv.FormatUint(d.Incarnation, 10) + "/" +
		strconv.Itoa(int(d.Rank)) + "/" + strconv.FormatInt(c.now.Unix()/60, 10)
	return Announcement{ID: id, Kind: AnnounceServer, Server: d}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
