package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

const (
	// dutyLease is the name of the lease that covers all duties.
	dutyLease = "duties"
	// dutyLeaseDuration limits how long no daemon performs the duties after the
	// lease holder fails. Usage must be reported within ten seconds.
	dutyLeaseDuration = 3 * time.Second
	// dutyLeaseMargin is how long before the end of the lease the holder stops
	// acting.
	dutyLeaseMargin = time.Second
	// dutyCallTimeout is the time after which a call of a duty holder is given up, also if the host
	// was suspended meanwhile. The platform's client resets the connection of such a call.
	dutyCallTimeout = time.Second
	// orderDeadline is the maximum time that a call of a former holder may be in
	// flight: the call timeout, the time until its end is noticed, and the network latency.
	orderDeadline = dutyCallTimeout + bootCheckInterval + 150*time.Millisecond
	// dutiesStartDelay is how long after its start a daemon has discovered enough
	// other daemons to determine whether it ranks among the hubs.
	dutiesStartDelay = 2500 * time.Millisecond
	// unrankedGrace is how long a daemon that no longer ranks among the hubs still
	// competes for the lease, so that the duties do not move back and forth.
	unrankedGrace = 5 * time.Second
	// dutyInterval is the time between two runs of the duties.
	dutyInterval = 500 * time.Millisecond
	// usageSettleTime is the time after the end of a window by which the counts of
	// all daemons have been received.
	usageSettleTime = 1200 * time.Millisecond
	// finalsSpreadTime is the time in which daemons of an earlier build, which do not state what they have
	// accepted, learn the final counts of a window.
	finalsSpreadTime = 400 * time.Millisecond
	// proofPatience is how long a holder that hears few other daemons tries to report a window before it
	// lets another one hold the lease, and handOverPause is how long it does not compete then: a lease
	// that was given up is taken within a second.
	proofPatience = time.Second
	handOverPause = 3 * time.Second
	// usagePartition is the table partition with the final counts of each window.
	usagePartition = "usage"
	// sizePartition is the table partition with the size of each service.
	sizePartition = "size"
	// usageRowsKept is the number of windows whose final counts are kept in the
	// table for the next lease holder.
	usageRowsKept = 12
)

// duties runs the tasks that only the holder of the duties lease performs:
// reporting usage and ordering servers.
type duties struct {
	daemon  *Daemon
	manager *lease.Manager
	// reported is the set of windows that have been reported.
	reported map[int64]bool
	// finalAt is when this daemon has made the counts of a window final.
	finalAt map[int64]time.Time
	// epochAt is when this daemon has noticed the epoch of the store.
	epochAt time.Time
	scaling map[string]*scaling.Core
	// storedSizes caches, by service, the sizes stored in the table.
	storedSizes   map[string]storedSize
	fencingNumber uint64
	// cleanedWindow is the window after whose report old rows were last deleted.
	cleanedWindow int64
	versions      storedVersions
	streams       storedStreams
	// actedAt is the latest time at which this host may have performed a duty.
	actedAt time.Time
	// handedOver is the last window because of which this daemon has given the lease up, and handsOver
	// is set once it does again.
	handedOver int64
	handsOver  bool
}

func newDuties(d *Daemon) *duties {
	manager := lease.NewManager(lease.Options{
		Core: lease.CoreOptions{
			Holder: fmt.Sprintf("%s/%d", d.settings.Node, d.state.incarnation), Daemons: 1, Names: []string{dutyLease},
			Duration: dutyLeaseDuration, Margin: dutyLeaseMargin, OrderDeadline: orderDeadline,
		},
		Store: d.platform,
		Clock: bootClock{},
		OnAcquired: func(a lease.Acquired) {
			klog.InfoS("duties taken", "number", a.FencingNumber, "firstOrderInMs", max(a.EarliestOrder.Sub(bootNow()), 0).Milliseconds())
		},
		OnLost: func(l lease.Lost) { klog.InfoS("duties lost", "number", l.FencingNumber, "lapsed", l.Lapsed) },
	})
	// An earlier process on this host may have performed duties until now.
	return &duties{daemon: d, manager: manager, actedAt: bootNow(), reported: make(map[int64]bool), finalAt: make(map[int64]time.Time), epochAt: bootNow(), scaling: make(map[string]*scaling.Core),
		storedSizes: make(map[string]storedSize)}
}

// storedSize is the row of a service in the table and its version.
type storedSize struct {
	row     sizeRow
	version table.Version
	// writtenAt is when this daemon wrote the row.
	writtenAt time.Time
}

// run performs the duties while the lease is held. It returns when the context
// ends, this daemon has not ranked among the hubs for unrankedGrace, or it hands the duties over.
func (u *duties) run(ctx context.Context) {
	tick := time.NewTicker(dutyInterval)
	defer tick.Stop()
	rankedAt := bootNow()
	watch := epochWatch{store: u.daemon.platform}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if watch.changed() {
			u.epochAt = bootNow()
		}
		if u.daemon.ranksAsHub() {
			rankedAt = bootNow()
		} else if bootNow().Sub(rankedAt) > unrankedGrace {
			return
		}
		fencingNumber, held := u.held()
		if !held {
			continue
		}
		if fencingNumber != u.fencingNumber {
			if bootNow().Before(u.actedAt.Add(u.daemon.settings.MinHolderInterval)) && fencingNumber > 1 {
				// Another host may have performed duties in the meantime. The
				// duties must not move there and back within the interval.
				continue
			}
			// This is a new term of the lease. Discard the earlier state, as it
			// lacks what other holders have ordered since.
			u.fencingNumber = fencingNumber
			u.scaling = make(map[string]*scaling.Core)
			u.storedSizes = make(map[string]storedSize)
			u.reported = make(map[int64]bool)
			u.versions, u.streams = storedVersions{}, storedStreams{}
		}
		u.actedAt = bootNow()
		if u.daemon.settings.ReportsUsage {
			u.reportUsage(ctx)
		}
		if u.handsOver {
			return
		}
		if u.daemon.settings.OrdersServers {
			u.orderServers(ctx)
		}
		u.storeVersions(ctx)
		u.deleteOldStreams(ctx)
		u.actedAt = bootNow()
	}
}

// held returns the fencing number of the lease and whether the duties may be
// performed now.
func (u *duties) held() (uint64, bool) {
	fencingNumber, ok := u.manager.Held(dutyLease)
	return fencingNumber, ok && !bootNow().Before(u.manager.EarliestOrder(dutyLease))
}

// reportUsage reports the past windows whose counts are complete.
func (u *duties) reportUsage(ctx context.Context) {
	s := u.daemon.state
	s.mu.Lock()
	now := s.clusterTime()
	current := s.usage.WindowAt(now)
	s.mu.Unlock()
	for window := current - usageWindows; window < current; window++ {
		end := s.usage.End(window)
		if u.reported[window] || now.Before(end.Add(usageSettleTime)) || now.After(end.Add(u.daemon.settings.MaxUsageReportDelay)) {
			continue
		}
		if err := u.reportWindow(ctx, window); err != nil {
			klog.InfoS("usage not reported", "window", window, "err", err)
			var unusable *UnusableRowError
			if !errors.As(err, &unusable) {
				return
			}
		}
		if !u.reported[window] && now.Sub(end) >= usageSettleTime+proofPatience && window > u.handedOver && u.hearsFew() {
			klog.InfoS("duties handed over, as few other daemons are heard", "window", window)
			u.handedOver, u.handsOver = window, true
			return
		}
	}
	isOld := func(window int64) bool { return window < current-2*usageWindows }
	maps.DeleteFunc(u.reported, func(window int64, _ bool) bool { return isOld(window) })
	maps.DeleteFunc(u.finalAt, func(window int64, _ time.Time) bool { return isOld(window) })
}

func (u *duties) hearsFew() bool {
	s := u.daemon.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hearsFew()
}

// usageWindows is the number of past windows that may still be reported.
const usageWindows = 4

// reportWindow reports one window and then deletes old rows.
func (u *duties) reportWindow(ctx context.Context, window int64) error {
	counts, err := u.finalCounts(ctx, window)
	if err != nil || len(counts) == 0 {
		return err
	}
	fencingNumber, ok := u.held()
	if !ok {
		return nil
	}
	callCtx, cancel := withBootTimeout(ctx, dutyCallTimeout)
	err = u.daemon.platform.ReportUsage(callCtx, fencingNumber, window, counts)
	cancel()
	if err != nil {
		return err
	}
	u.reported[window] = true
	klog.InfoS("usage reported", "window", window, "number", fencingNumber, "accounts", len(counts))
	u.deleteOldUsage(ctx, window)
	return nil
}

// finalCounts returns the counts under which a window may be reported, or none if it may not be
// reported yet: they are stored, and more than half of the daemons have accepted them, so that each later
// holder of the duties reports the same, also if the store returns from a copy that lacks them.
func (u *duties) finalCounts(ctx context.Context, window int64) (usage.Counts, error) {
	s, epoch := u.daemon.state, u.daemon.platform.Epoch()
	s.mu.Lock()
	earlierBuild := s.peers.OldestFormat(bootNow()) < mesh.FormatCollectors
	known, isFinal := s.usage.Final(window)
	s.mu.Unlock()
	if earlierBuild && !isFinal && u.mayBeReported() {
		return nil, nil
	}
	if !isFinal || known.Epoch != epoch {
		if err := u.makeFinal(ctx, window, epoch, earlierBuild); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f, isFinal := s.usage.Final(window)
	proved := isFinal && s.usage.Proved(window, epoch)
	if earlierBuild && isFinal {
		// Daemons of such a build do not say what they have accepted.
		proved = bootNow().Sub(u.finalAt[window]) >= finalsSpreadTime
	}
	if !proved {
		return nil, nil
	}
	return f.Counts, nil
}

// makeFinal lets the store hold counts of a window that were written in an epoch, and accepts them. It
// does nothing while others may have been reported.
func (u *duties) makeFinal(ctx context.Context, window int64, epoch table.Epoch, earlierBuild bool) error {
	final, err := u.writeFinalCounts(ctx, window, epoch, epoch.At(0), nil, earlierBuild)
	if err == nil && final == nil || isConditionFailed(err) {
		// Another holder may have written the row, in this epoch or an earlier one.
		var row table.Version
		row, final, err = u.readFinalCounts(ctx, window)
		if err == nil && final != nil && final.Epoch != epoch {
			final, err = u.writeFinalCounts(ctx, window, epoch, row, final, earlierBuild)
		}
	}
	if err != nil || final == nil {
		return err
	}
	s := u.daemon.state
	s.mu.Lock()
	defer s.mu.Unlock()
	f, isFinal := s.usage.Accept(bootNow(), window, *final)
	if isFinal && f.Epoch == epoch && !maps.Equal(f.Counts, final.Counts) {
		klog.ErrorS(&FinalCountsError{Window: window}, "stored counts are not those that other daemons know", "stored", final.Counts, "known", f.Counts)
	}
	u.finalAt[window] = bootNow()
	klog.InfoS("usage counts stored", "window", window, "epoch", epoch, "accounts", len(final.Counts), "accepted", isFinal)
	s.wakeExchange()
	return nil
}

func isConditionFailed(err error) bool {
	var failed *table.ConditionFailedError
	return errors.As(err, &failed)
}

// writeFinalCounts writes the counts that may be final in an epoch in place of a version of the row, which
// holds earlier ones or none. It returns them, or none if there are none yet.
func (u *duties) writeFinalCounts(ctx context.Context, window int64, epoch table.Epoch, row table.Version, earlier *usage.Final, earlierBuild bool) (*usage.Final, error) {
	s := u.daemon.state
	s.mu.Lock()
	s.noteEpoch(bootNow())
	endedAt := bootNow().Add(s.usage.End(window).Sub(s.clusterTime()))
	counts, ok := s.usage.Proposal(window, epoch, endedAt, earlier)
	if earlierBuild && !ok {
		counts, ok = s.usage.Total(window), earlier == nil
	}
	// A daemon that hears few others knows little of what they count.
	ok = ok && len(counts) > 0 && !s.hearsFew()
	s.mu.Unlock()
	if !ok {
		return nil, nil
	}
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.Trace(err)
	}
	err = u.daemon.platform.Transact(ctx, []table.Write{{Key: finalCountsKey(window), Version: row, Value: value}})
	if err != nil {
		return nil, err
	}
	return &usage.Final{Epoch: epoch, Counts: counts}, nil
}

// mayBeReported reports whether another daemon may have reported windows of which this one has not
// heard: before the store returned from an older copy, in which their counts are missing, and while
// this daemon hears too few others.
func (u *duties) mayBeReported() bool {
	s := u.daemon.state
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := bootNow().Sub(u.epochAt) <= u.daemon.settings.MaxUsageReportDelay+dutyLeaseDuration+orderDeadline
	return u.daemon.platform.Epoch() > 0 && recent && s.hearsFew()
}

// hearsFew reports whether this daemon hears less than half of the others.
func (s *state) hearsFew() bool {
	return 2*len(s.peers.Alive(bootNow(), deciderHearing)) < s.peers.Size()-1
}

// FinalCountsError reports that two daemons have made different counts of a window final.
type FinalCountsError struct{ Window int64 }

func (e *FinalCountsError) Error() string {
	return fmt.Sprintf("final counts of usage window %d differ", e.Window)
}

func finalCountsKey(window int64) table.Key {
	return table.Key{Partition: usagePartition, Sort: fmt.Sprintf("%020d", window)}
}

// readFinalCounts returns the version of the row of a window and the counts in it, or none.
func (u *duties) readFinalCounts(ctx context.Context, window int64) (table.Version, *usage.Final, error) {
	key := finalCountsKey(window)
	item, err := u.daemon.platform.Get(ctx, key)
	var missing *table.NotFoundError
	switch {
	case errors.As(err, &missing):
		return u.daemon.platform.Epoch().At(0), nil, nil
	case err != nil:
		return 0, nil, errors.Annotate(err, "read the stored counts")
	}
	final := usage.Final{Epoch: item.Written}
	if err := json.Unmarshal(item.Value, &final.Counts); err != nil {
		klog.ErrorS(err, "stored counts cannot be decoded", "window", window)
		return 0, nil, &UnusableRowError{Key: key}
	}
	return item.Version, &final, nil
}

// deleteOldUsage deletes final counts that no later lease holder needs.
func (u *duties) deleteOldUsage(ctx context.Context, window int64) {
	if window-u.cleanedWindow < usageRowsKept {
		return
	}
	u.cleanedWindow = window
	items, err := u.daemon.platform.Query(ctx, usagePartition, "", table.MaxTransactionWrites)
	if err != nil {
		klog.InfoS("failed to delete old usage rows", "err", err)
		return
	}
	oldest := fmt.Sprintf("%020d", window-usageRowsKept)
	var writes []table.Write
	for _, item := range items {
		if item.Key.Sort < oldest {
			writes = append(writes, table.Write{Key: item.Key, Version: item.Version, Delete: true})
		}
	}
	if len(writes) == 0 {
		return
	}
	if err := u.daemon.platform.Transact(ctx, writes); err != nil {
		klog.InfoS("failed to delete old usage rows", "err", err)
	}
}

// orderServers adjusts the number of servers of each service to the load.
func (u *duties) orderServers(ctx context.Context) {
	s := u.daemon.state
	s.mu.Lock()
	c := s.catalog
	servers, initialized := s.fleet.Servers(), s.fleet.Initialized()
	// Servers of a version that is tried are not there for the load of the service.
	servers = slices.DeleteFunc(servers, func(server fleet.Server) bool { return s.rollouts.follower.IsSpare(&server) })
	s.mu.Unlock()
	if c == nil || !initialized {
		return
	}
	for name, service := range c.Services {
		if service.Scaling != nil {
			u.scaleService(ctx, name, service.Scaling, servers)
		}
	}
}

// sortedZones returns the AvailabilityZones of a service in sorted order.
func sortedZones(limits *catalog.Scaling) []string {
	zones := make([]string, 0, len(limits.ZonePrices))
	for zone := range limits.ZonePrices {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}
