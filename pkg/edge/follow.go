package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// catalogWatchTimeout is how long one watch of the configuration may last. With the
	// time that a call may take beside it, a connection that went silent is
	// noticed within three seconds.
	catalogWatchTimeout = 1500 * time.Millisecond
	// serversReadInterval is the time between two reads of changed servers: a small
	// part of the time after which a leaving server may get no request.
	serversReadInterval = 450 * time.Millisecond
	// serversWatchTimeout is how long such a read may last when nothing has changed.
	serversWatchTimeout = 300 * time.Millisecond
	// serversMaxAge is the age of the view of servers from which on a peer that
	// has read more recently is believed.
	serversMaxAge = 1200 * time.Millisecond
	// peerViewMaxAge is the age of what a hub tells from which on a daemon asks the
	// store itself: a hub reads every 0.75 s at the latest and tells every
	// 0.4 s at the latest.
	peerViewMaxAge = 1500 * time.Millisecond
	// leafCatalogReadInterval is the time between two reads of the configuration at
	// daemons that hubs tell of a new one at once; the reads find what no hub has
	// told. Changes that come while a daemon reads cost it one call together.
	leafCatalogReadInterval = 8 * time.Second
	// catalogCheckInterval is how often a daemon looks whether a hub has told of a new
	// configuration: a small part of the time in which it has to be in force.
	catalogCheckInterval = 200 * time.Millisecond
	// storeRetryDelay is the pause after a failed call.
	storeRetryDelay = 250 * time.Millisecond
	// registerInterval is how often a daemon refreshes its row and reads those
	// of the others.
	registerInterval = 15 * time.Second
	// initialRegisterInterval is how often it reads the rows just after its start, when
	// all daemons appear.
	initialRegisterInterval = 2 * time.Second
	// initialRegisterPeriod is how long that lasts.
	initialRegisterPeriod = 6 * time.Second
	// daemonPartition holds a row for each daemon.
	daemonPartition = "daemon"
	// maxDaemonRows bounds one read of the rows.
	maxDaemonRows = 500
)

// recordStoreResult records whether the store answers this daemon.
func (s *state) recordStoreResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := err == nil
	if up == s.storeUp {
		return
	}
	s.storeUp = up
	if up {
		s.fleet.MarkStoreAvailable(bootNow())
		klog.InfoS("store answers", "fleetVersion", s.fleet.Version())
		return
	}
	s.fleet.MarkStoreUnavailable()
	klog.InfoS("store does not answer", "err", err, "fleetVersion", s.fleet.Version())
}

// followCatalog keeps the configuration up to date.
func (d *Daemon) followCatalog(ctx context.Context) {
	var version uint64
	synced := false
	for ctx.Err() == nil {
		var err error
		if !synced {
			version, err = d.readCatalog(ctx)
		} else {
			version, err = d.watchCatalog(ctx, version, d.awaitCatalogRead(ctx))
		}
		if ctx.Err() != nil {
			return
		}
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			klog.InfoS("changes of the configuration are no longer kept; reading it whole")
			synced = false
		case err != nil:
			d.state.recordStoreResult(err)
			// A change may have been missed on a connection that broke.
			synced = false
			pause(ctx, storeRetryDelay)
		default:
			d.state.recordStoreResult(nil)
			synced = true
		}
	}
}

func (d *Daemon) readCatalog(ctx context.Context) (uint64, error) {
	c, version, err := d.platform.ReadCatalog(ctx)
	if err == nil {
		d.state.activateCatalog(c, "store")
	}
	return version, err
}

func (d *Daemon) watchCatalog(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	c, version, err := d.platform.WatchCatalog(ctx, after, wait)
	if err != nil {
		return after, err
	}
	d.state.activateCatalog(c, "store")
	return max(version, after), nil
}

// awaitCatalogRead waits while hubs tell this daemon of configurations, and
// returns how long the next watch may last: not at all when one that they told of
// is overdue.
func (d *Daemon) awaitCatalogRead(ctx context.Context) time.Duration {
	for waited := time.Duration(0); waited < leafCatalogReadInterval; waited += catalogCheckInterval {
		if d.state.followsStore() {
			return catalogWatchTimeout
		}
		pause(ctx, catalogCheckInterval)
		if ctx.Err() != nil || d.state.catalogOverdue(bootNow()) {
			break
		}
	}
	return 0
}

// followServers keeps the view of the BackendServers up to date.
func (d *Daemon) followServers(ctx context.Context) {
	s := d.state
	synced := false
	for ctx.Err() == nil {
		if !s.followsStore() {
			// Where hubs tell, the own view is caught up by changes later.
			synced = false
			pause(ctx, serversReadInterval/2)
			continue
		}
		err := d.readServers(ctx, synced)
		if ctx.Err() != nil {
			return
		}
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			klog.InfoS("changes of servers are no longer kept; reading all entries")
			synced = false
			continue
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

// storeViewFresh reports whether the store itself tells this daemon of servers.
func (s *state) storeViewFresh() bool {
	return s.storeUp && bootNow().Sub(s.serversReadAt) < serversMaxAge
}

// fleetAge is how long ago the store confirmed the view of servers, or negative
// if it never did.
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

// followsStore reports whether this daemon reads the servers from the store: as
// a hub, or because no hub tells it.
func (s *state) followsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	return s.peers.IsHub(now) || now.Sub(s.peerConfirmedAt) >= peerViewMaxAge
}

func (d *Daemon) readServers(ctx context.Context, synced bool) error {
	s := d.state
	if !synced {
		entries, version, err := d.platform.ReadServers(ctx)
		if err != nil {
			return err
		}
		s.recordStoreResult(nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.serversReadAt = bootNow()
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), version, entries), "store")
		return nil
	}
	s.mu.Lock()
	after := s.fleet.Version()
	s.mu.Unlock()
	entries, version, err := d.platform.WatchServers(ctx, after, serversWatchTimeout)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serversReadAt = bootNow()
	s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), version, entries), "store")
	return nil
}

// daemonRow is the value of a daemon's row.
type daemonRow struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Cores is the processor share of the daemon's host.
	Cores float64 `json:"cores"`
	// Refreshed makes every refresh another value.
	Refreshed uint64 `json:"refreshed"`
}

// register keeps this daemon's row fresh and learns of the other daemons.
func (d *Daemon) register(ctx context.Context) {
	startedAt := time.Now()
	var refreshed uint64
	for ctx.Err() == nil {
		refreshed++
		if err := d.registerOnce(ctx, refreshed); err != nil {
			klog.InfoS("list of daemons not refreshed", "err", err)
		}
		wait := registerInterval
		if time.Since(startedAt) < initialRegisterPeriod {
			wait = initialRegisterInterval
		}
		pause(ctx, wait)
	}
}

func (d *Daemon) registerOnce(ctx context.Context, refreshed uint64) error {
	items, err := d.platform.Query(ctx, daemonPartition, "", maxDaemonRows)
	if err != nil {
		return err
	}
	own := table.Key{Partition: daemonPartition, Sort: d.settings.Node}
	var version uint64
	var row daemonRow
	for _, item := range items {
		if item.Key == own {
			version = item.Version
		}
		if err := json.Unmarshal(item.Value, &row); err != nil {
			klog.ErrorS(err, "row of a daemon cannot be read", "daemon", item.Key.Sort)
			continue
		}
		d.updatePeerEntry(item.Key.Sort, row, item.Version)
	}
	d.expirePeers()
	if version != 0 && refreshed > 1 && time.Since(d.refreshedAt) < registerInterval {
		return nil
	}
	// Strings and integers always encode.
	value, _ := json.Marshal(daemonRow{Address: d.settings.PeerAddress, Incarnation: d.state.incarnation, Cores: d.settings.Cores, Refreshed: refreshed})
	err = d.platform.Transact(ctx, []table.Write{{Key: own, Version: version, Value: value}})
	if err == nil {
		d.refreshedAt = time.Now()
	}
	return err
}

func (d *Daemon) updatePeerEntry(node string, row daemonRow, version uint64) {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers.UpdateEntry(bootNow(), node, row.Address, row.Cores, version) {
		s.quota.AddPeer(node)
	}
}

func (d *Daemon) expirePeers() {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, node := range s.peers.Expire(bootNow()) {
		klog.InfoS("peer is gone", "peer", node)
		s.quota.RemovePeer(node)
		delete(s.catalogLag, node)
	}
}

// pause waits unless the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
