package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// catalogWatchTimeout is the maximum duration of one watch of the
	// configuration. Together with the call timeout, it ensures that a silent
	// connection is detected within three seconds.
	catalogWatchTimeout = 1500 * time.Millisecond
	// leafCatalogReadInterval is the time between two reads of the configuration
	// on daemons to which hubs send new versions at once. These reads find
	// versions that no hub has announced. All changes between two reads cost the
	// daemon a single call.
	leafCatalogReadInterval = 8 * time.Second
	// catalogReaders is the number of daemons that read the configuration within
	// leafCatalogReadInterval; with more of them each reads less often.
	catalogReaders = 64
	// catalogCheckInterval is how often a daemon checks whether a configuration
	// announced by a hub is overdue. It is a small part of the time within which
	// a configuration must be in force.
	catalogCheckInterval = 200 * time.Millisecond
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 250 * time.Millisecond
	// registerInterval is how often a daemon refreshes its own row and reads the
	// rows of the other daemons. A daemon that a hub tells of the others refreshes
	// its row every leafRegisterInterval, which is shorter than peerExpiry.
	registerInterval     = 15 * time.Second
	leafRegisterInterval = 30 * time.Second
	// rowsToldMaxAge is the age of what a hub has told of the other daemons at which
	// a daemon reads their rows itself.
	rowsToldMaxAge = 3 * time.Second
	// initialRegisterInterval is how often a daemon reads the rows shortly after
	// its start, when the other daemons may be starting too.
	initialRegisterInterval = 2 * time.Second
	// initialRegisterPeriod is how long after the start the initial interval
	// applies.
	initialRegisterPeriod = 6 * time.Second
	// daemonPartition is the table partition that holds one row for each daemon.
	daemonPartition = "daemon"
	// maxDaemonRows is the maximum number of rows in one read.
	maxDaemonRows = 500
)

// recordStoreResult records whether the store is available, given the result of
// the last call to it.
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

// followCatalog keeps the configuration up to date until the context ends.
func (d *Daemon) followCatalog(ctx context.Context) {
	var version table.Version
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
			klog.InfoS("store no longer keeps the configuration changes since the last read; reading the complete configuration")
			synced = false
		case err != nil:
			d.state.recordStoreResult(err)
			// The broken connection may have lost a change.
			synced = false
			pause(ctx, storeRetryDelay)
		default:
			d.state.recordStoreResult(nil)
			synced = true
		}
	}
}

// readCatalog reads the newest configuration and puts it in force.
func (d *Daemon) readCatalog(ctx context.Context) (table.Version, error) {
	c, version, err := d.platform.ReadCatalog(ctx)
	if err == nil {
		d.state.applyOrders(d.platform.RolloutOrders())
		d.state.activateCatalog(c, "store")
	}
	return version, err
}

// watchCatalog waits for a configuration newer than version after and puts it in
// force. It returns the version from which to watch next.
func (d *Daemon) watchCatalog(ctx context.Context, after table.Version, wait time.Duration) (table.Version, error) {
	c, version, err := d.platform.WatchCatalog(ctx, after, wait)
	if err != nil {
		return after, err
	}
	d.state.applyOrders(d.platform.RolloutOrders())
	d.state.activateCatalog(c, "store")
	return max(version, after), nil
}

// awaitCatalogRead waits until the configuration must be read from the store
// again and returns the maximum duration of that watch. A daemon that reads the
// store itself watches at once. A daemon that receives configurations from hubs
// waits for leafCatalogReadInterval, or until an announced version is overdue,
// and then reads without waiting for a change.
func (d *Daemon) awaitCatalogRead(ctx context.Context) time.Duration {
	interval := d.state.catalogReadInterval()
	for waited := time.Duration(0); waited < interval; waited += catalogCheckInterval {
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

// catalogReadInterval returns the time between two reads of the configuration on a daemon
// to which hubs send new versions.
func (s *state) catalogReadInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return leafCatalogReadInterval * time.Duration(max((s.peers.Size()+catalogReaders-1)/catalogReaders, 1))
}

// daemonRow is the value of a daemon's row in the table.
type daemonRow struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Cores is the number of CPU cores available to the daemon.
	Cores float64 `json:"cores"`
	Zone  string  `json:"zone"`
	// Refreshed counts the refreshes, so that each one writes a different value.
	Refreshed uint64 `json:"refreshed"`
}

// maxCores is more than any host has.
const maxCores = 4096

// isUsable reports whether a row names a daemon: another writer may have left it.
func (r *daemonRow) isUsable() bool {
	_, port, err := net.SplitHostPort(r.Address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && number > 0 && r.Cores > 0 && r.Cores <= maxCores
}

// UnusableRowError reports a row of the table whose content can't be used.
type UnusableRowError struct{ Key table.Key }

func (e *UnusableRowError) Error() string { return "row " + e.Key.String() + " can't be used" }

// register periodically refreshes this daemon's row and reads the rows of the
// other daemons, unless a hub tells it of them.
func (d *Daemon) register(ctx context.Context) {
	startedAt := time.Now()
	row := ownRow{version: d.platform.Epoch().At(0)}
	watch := epochWatch{store: d.platform}
	for ctx.Err() == nil {
		var err error
		if watch.changed() {
			// All daemons notice it at the same time.
			pause(ctx, time.Duration(rand.Int64N(int64(d.returnSpread()))))
			row.refreshedAt = time.Time{}
			err = d.reloadRow(ctx, &row)
		}
		told := d.toldOfDaemons()
		if err == nil && !told {
			err = d.readDaemons(ctx, &row)
		}
		d.expirePeers()
		interval := registerInterval
		if told {
			interval = leafRegisterInterval
		}
		if err == nil && (row.refreshedAt.IsZero() || time.Since(row.refreshedAt) >= interval) {
			err = d.refreshRow(ctx, &row)
		}
		if err != nil {
			klog.InfoS("failed to refresh the list of daemons", "err", err)
		}
		wait := registerInterval
		if time.Since(startedAt) < initialRegisterPeriod {
			wait = initialRegisterInterval
		}
		pauseInEpoch(ctx, d.platform, wait)
	}
}

// ownRow is what a daemon knows of its row.
type ownRow struct {
	version     table.Version
	refreshed   uint64
	refreshedAt time.Time
}

// toldOfDaemons reports whether a hub tells this daemon of the others.
func (d *Daemon) toldOfDaemons() bool {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.peers.Collects() && s.peers.ToldAge(bootNow()) < rowsToldMaxAge
}

// readDaemons reads the rows of all daemons.
func (d *Daemon) readDaemons(ctx context.Context, own *ownRow) error {
	items, err := d.platform.Query(ctx, daemonPartition, "", maxDaemonRows)
	if err != nil {
		return err
	}
	for _, item := range items {
		if item.Key.Sort == d.settings.Node {
			own.version = item.Version
		}
		var row daemonRow
		if err := json.Unmarshal(item.Value, &row); err != nil {
			klog.ErrorS(err, "failed to decode the row of a daemon", "daemon", item.Key.Sort)
			continue
		}
		if !row.isUsable() {
			klog.ErrorS(&UnusableRowError{Key: item.Key}, "row of a daemon names none", "address", row.Address, "cores", row.Cores)
			continue
		}
		d.updatePeerEntry(item.Key.Sort, row, item.Version)
	}
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	d.state.daemonsListed = true
	return nil
}

// refreshRow writes this daemon's row again.
func (d *Daemon) refreshRow(ctx context.Context, own *ownRow) error {
	key := table.Key{Partition: daemonPartition, Sort: d.settings.Node}
	own.refreshed++
	// Marshal cannot fail for strings and finite numbers.
	value, _ := json.Marshal(daemonRow{Address: d.settings.PeerAddress, Incarnation: d.state.incarnation, Cores: d.settings.Cores, Zone: d.settings.AvailabilityZone, Refreshed: own.refreshed})
	err := d.platform.Transact(ctx, []table.Write{{Key: key, Version: own.version, Value: value}})
	if err == nil {
		own.version++
		own.refreshedAt = time.Now()
		return nil
	}
	// The row may have been written by an earlier call whose response was lost.
	if readErr := d.reloadRow(ctx, own); readErr != nil {
		klog.V(1).InfoS("failed to read the own row", "err", readErr)
	}
	return err
}

// reloadRow reads the version of this daemon's row.
func (d *Daemon) reloadRow(ctx context.Context, own *ownRow) error {
	item, err := d.platform.Get(ctx, table.Key{Partition: daemonPartition, Sort: d.settings.Node})
	var missing *table.NotFoundError
	switch {
	case err == nil:
		own.version = item.Version
	case errors.As(err, &missing):
		own.version = d.platform.Epoch().At(0)
	default:
		return err
	}
	return nil
}

// returnSpreadPerDaemon is the time, for each daemon, over which the daemons write their rows again
// when the store has returned from an older copy: 100 rows a second.
const returnSpreadPerDaemon = 10 * time.Millisecond

// returnSpread returns the time over which all daemons write their rows again.
func (d *Daemon) returnSpread() time.Duration {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	return time.Duration(d.state.peers.Size()+1) * returnSpreadPerDaemon
}

// updatePeerEntry applies a daemon's row to the directory and the quotas.
func (d *Daemon) updatePeerEntry(node string, row daemonRow, version table.Version) {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers.UpdateEntry(bootNow(), node, row.Address, row.Cores, version) {
		s.quota.AddPeer(node)
		s.peers.SetZone(node, row.Zone)
	}
}

// expirePeers removes the daemons that have expired.
func (d *Daemon) expirePeers() {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, node := range s.peers.Expire(bootNow()) {
		klog.InfoS("peer expired", "peer", node)
		s.quota.RemovePeer(node)
		delete(s.catalogLag, node)
	}
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
