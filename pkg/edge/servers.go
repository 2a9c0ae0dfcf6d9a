package edge

import (
	"context"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// serversReadInterval is the pause between two reads of changed servers. It is
	// a small part of the time within which requests to a leaving server must
	// stop.
	serversReadInterval = 450 * time.Millisecond
	// serversWatchTimeout is the maximum duration of such a read when nothing
	// changes.
	serversWatchTimeout = 300 * time.Millisecond
	// peerViewMaxAge is the maximum age of the view received from hubs. When it is
	// exceeded, the daemon reads the store itself. A hub reads the store at least
	// every 0.75 s and sends its view at least every 0.4 s.
	peerViewMaxAge = 1500 * time.Millisecond
	// followCheckInterval is how often a daemon checks whether it must read the store
	// itself.
	followCheckInterval = 200 * time.Millisecond
	// minListInterval is the least time between two reads of all entries because of a
	// neighbor whose view differs, as during the grace period after a store outage that
	// only one of the two has noticed.
	minListInterval = time.Second
)

// serverFeed is this daemon's position in the store's changes of servers.
type serverFeed struct {
	// position is the store's version up to which this daemon has read.
	position table.Version
	// required is the version from which on the store confirms the view. A list
	// that was read from a store that is behind has a lower one.
	required table.Version
}

// isBehind reports whether the store has not returned all that was known before.
func (f *serverFeed) isBehind() bool { return f.position < f.required }

// followServers keeps the view of the BackendServers up to date until the
// context ends.
func (d *Daemon) followServers(ctx context.Context) {
	s := d.state
	synced := false
	for ctx.Err() == nil {
		if !s.followsStore() {
			// While hubs send their views, this daemon does not read the store; it
			// reads all entries when it starts again.
			synced = false
			pause(ctx, followCheckInterval)
			continue
		}
		if s.listDue(bootNow()) {
			synced = false
		}
		err := d.readServers(ctx, synced)
		if ctx.Err() != nil {
			return
		}
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			klog.InfoS("store no longer keeps the server changes since the last read; reading all entries",
				"position", d.serverFeed.position, "required", d.serverFeed.required)
			synced = false
			if d.serverFeed.isBehind() {
				pause(ctx, storeRetryDelay)
			}
		case err != nil:
			s.recordStoreResult(err)
			synced = false
			pause(ctx, storeRetryDelay)
		default:
			s.recordStoreResult(nil)
			synced = true
			pause(ctx, serversReadInterval)
		}
	}
}

// readServers updates the view of the servers from the store: with the changes
// since the last read if synced, otherwise with all entries. The store may be behind
// what this daemon has read before or received from peers; it confirms the view only
// once it has caught up.
func (d *Daemon) readServers(ctx context.Context, synced bool) error {
	s, feed := d.state, &d.serverFeed
	if !synced {
		s.mu.Lock()
		required := max(feed.required, s.fleet.NewestVersion())
		s.mu.Unlock()
		requestedAt := bootNow()
		entries, version, err := d.platform.ReadServers(ctx)
		if err != nil {
			return err
		}
		feed.position, feed.required = version, required
		s.recordStoreResult(nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		klog.InfoS("all servers read", "version", version, "required", required, "entries", len(entries),
			"fleetAgeMs", s.fleetAge().Milliseconds())
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), version, entries), "store")
		s.viewDisputed, s.serversListedAt = false, bootNow()
		s.confirmServers(feed, requestedAt)
		return nil
	}
	entries, version, err := d.platform.WatchServers(ctx, feed.position, serversWatchTimeout)
	if err != nil {
		return err
	}
	feed.position = max(feed.position, version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), version, entries), "store")
	s.confirmServers(feed, bootNow())
	return nil
}

// confirmServers records when the store has confirmed the view, unless it is behind.
func (s *state) confirmServers(feed *serverFeed, now time.Time) {
	if !feed.isBehind() {
		s.serversReadAt = now
	}
}

// listDue reports whether all entries must be read because a neighbor has other
// servers.
func (s *state) listDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viewDisputed && now.Sub(s.serversListedAt) >= minListInterval
}

// fleetAge returns the time since the store last confirmed the view of servers,
// either to this daemon or to a peer. It is negative if the view was never
// confirmed.
func (s *state) fleetAge() time.Duration {
	confirmed := s.serversReadAt
	if s.peerConfirmedAt.After(confirmed) {
		confirmed = s.peerConfirmedAt
	}
	if confirmed.IsZero() {
		return -time.Millisecond
	}
	return bootNow().Sub(confirmed)
}

// followsStore reports whether this daemon reads the servers from the store
// itself: as a hub, because no hub sends it a recent view, or because a hub's view
// differs.
func (s *state) followsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	return s.peers.IsHub(now) || s.viewDisputed || now.Sub(s.peerConfirmedAt) >= peerViewMaxAge
}
