package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

const (
	// dutyLease is the lease of all duties.
	dutyLease = "duties"
	// dutyLeaseDuration bounds how long the duties rest after their holder has
	// died; a usage report has to come within ten seconds.
	dutyLeaseDuration = 3 * time.Second
	// dutyLeaseMargin is how long before the end of the lease its holder stops.
	dutyLeaseMargin = time.Second
	// orderDeadline bounds how long a call of a former holder may be on its way:
	// the time-out of a call and a trip through the network.
	orderDeadline = 1200 * time.Millisecond
	// dutiesStartDelay is how long after its start a daemon knows the others well
	// enough to tell whether it is a hub.
	dutiesStartDelay = 2500 * time.Millisecond
	// unrankedGrace is how long a daemon that others have overtaken keeps its
	// part in the duties, so that they do not move to and fro.
	unrankedGrace = 5 * time.Second
	// dutyInterval is how often the duties are looked at.
	dutyInterval = 500 * time.Millisecond
	// usageSettleTime is the time after the end of a window in which all daemons
	// have stated their counts.
	usageSettleTime = 1200 * time.Millisecond
	// usagePartition holds the final figure of each window.
	usagePartition = "usage"
	// sizePartition holds the size of each service.
	sizePartition = "size"
	// usageRowsKept is how many figures remain for a successor.
	usageRowsKept = 12
)

// duties are what one daemon at a time does.
type duties struct {
	daemon  *Daemon
	manager *lease.Manager
	// reported are the windows that need no report any more.
	reported map[int64]bool
	scaling  map[string]*scaling.Core
	// sizes are the sizes of services as they stand in the table.
	storedSizes   map[string]storedSize
	fencingNumber uint64
	cleanedWindow int64
	// actedAt is when this host may have acted last.
	actedAt time.Time
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
			klog.InfoS("duties taken", "number", a.Number, "firstOrderInMs", max(a.EarliestOrder.Sub(bootNow()), 0).Milliseconds())
		},
		OnLost: func(l lease.Lost) { klog.InfoS("duties lost", "number", l.Number, "lapsed", l.Lapsed) },
	})
	// An earlier process of this host may have acted until now.
	return &duties{daemon: d, manager: manager, actedAt: bootNow(), reported: make(map[int64]bool), scaling: make(map[string]*scaling.Core),
		storedSizes: make(map[string]storedSize)}
}

// size is the size of a service in the table.
type storedSize struct {
	present int
	version uint64
}

// run does the duties while the lease is held. It returns when the context ends
// or this daemon has not ranked among the hubs for a while.
func (u *duties) run(ctx context.Context) {
	tick := time.NewTicker(dutyInterval)
	defer tick.Stop()
	rankedAt := bootNow()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
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
				// Another host may have acted in between: the duties must not
				// go there and back within the interval.
				continue
			}
			// What an earlier holder ordered since is not known.
			u.fencingNumber = fencingNumber
			u.scaling = make(map[string]*scaling.Core)
			u.storedSizes = make(map[string]storedSize)
			u.reported = make(map[int64]bool)
		}
		u.actedAt = bootNow()
		if u.daemon.settings.ReportsUsage {
			u.reportUsage(ctx)
		}
		if u.daemon.settings.OrdersServers {
			u.orderServers(ctx)
		}
		u.actedAt = bootNow()
	}
}

// held returns the fencing number if the duties may be done at this moment.
func (u *duties) held() (uint64, bool) {
	fencingNumber, ok := u.manager.Held(dutyLease)
	return fencingNumber, ok && !bootNow().Before(u.manager.EarliestOrder(dutyLease))
}

// reportUsage reports the windows that are final.
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
			return
		}
	}
	for window := range u.reported {
		if window < current-2*usageWindows {
			delete(u.reported, window)
		}
	}
}

// usageWindows is how many past windows may still be reported.
const usageWindows = 4

func (u *duties) reportWindow(ctx context.Context, window int64) error {
	s := u.daemon.state
	s.mu.Lock()
	total := s.usage.Total(window)
	s.mu.Unlock()
	if len(total) == 0 {
		return nil
	}
	counts, err := u.storeFinalCounts(ctx, window, total)
	if err != nil {
		return err
	}
	fencingNumber, ok := u.held()
	if !ok {
		return nil
	}
	if err := u.daemon.platform.ReportUsage(ctx, fencingNumber, window, counts); err != nil {
		return err
	}
	u.reported[window] = true
	klog.InfoS("usage reported", "window", window, "number", fencingNumber, "accounts", len(counts))
	u.deleteOldUsage(ctx, window)
	return nil
}

// settle makes the figure of a window final: the first one written stands for
// all holders.
func (u *duties) storeFinalCounts(ctx context.Context, window int64, total usage.Counts) (usage.Counts, error) {
	key := table.Key{Partition: usagePartition, Sort: fmt.Sprintf("%020d", window)}
	value, err := json.Marshal(total)
	if err != nil {
		return nil, errors.Trace(err)
	}
	err = u.daemon.platform.Transact(ctx, []table.Write{{Key: key, Value: value}})
	if err == nil {
		return total, nil
	}
	item, readErr := u.daemon.platform.Get(ctx, key)
	if readErr != nil {
		return nil, errors.Annotatef(err, "read back: %v", readErr)
	}
	var final usage.Counts
	if err := json.Unmarshal(item.Value, &final); err != nil {
		return nil, errors.Annotatef(err, "figure of window %d", window)
	}
	return final, nil
}

// deleteOldUsage removes figures that no successor needs.
func (u *duties) deleteOldUsage(ctx context.Context, window int64) {
	if window-u.cleanedWindow < usageRowsKept {
		return
	}
	u.cleanedWindow = window
	items, err := u.daemon.platform.Query(ctx, usagePartition, "", table.MaxTransactionWrites)
	if err != nil {
		klog.InfoS("old usage not removed", "err", err)
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
		klog.InfoS("old usage not removed", "err", err)
	}
}

// orderServers brings the number of servers to what the load asks for.
func (u *duties) orderServers(ctx context.Context) {
	s := u.daemon.state
	s.mu.Lock()
	c := s.catalog
	servers, initialized := s.fleet.Servers(), s.fleet.Initialized()
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

func (u *duties) scaleService(ctx context.Context, name string, limits *catalog.Scaling, servers []fleet.Server) {
	core, ok := u.scaling[name]
	if !ok {
		core = scaling.New(name, scaling.DefaultOptions())
		if err := u.loadSize(ctx, name, core); err != nil {
			klog.InfoS("size of a service not read", "service", name, "err", err)
			return
		}
		u.scaling[name] = core
	}
	u.saveSize(ctx, name, core)
	s := u.daemon.state
	s.mu.Lock()
	summary := s.placement.Summarize(name)
	work := make(map[string]scaling.Work)
	for daemon, w := range s.placement.WorkByDaemon(name) {
		work[daemon] = scaling.Work(w)
	}
	s.mu.Unlock()
	now := bootNow()
	core.Observe(now, scaling.Load{Generating: summary.Generating, Slots: summary.Slots, PrefillRate: summary.PrefillRate, Work: work})
	basis := core.Basis()
	for _, order := range core.Plan(now, limits, sortedZones(limits), servers) {
		fencingNumber, ok := u.held()
		if !ok {
			return
		}
		err := u.daemon.platform.OrderServers(ctx, fencingNumber, order)
		klog.InfoS("servers ordered", "service", order.Service, "zone", order.Zone, "reclaimable", order.Reclaimable,
			"desired", order.Desired, "number", fencingNumber, "need", core.Need(), "present", core.Present(),
			"running", summary.Running, "generating", summary.Generating, "prefill", summary.PrefillTokens, "prefillPerMs", summary.PrefillRate,
			"flowPerMs", basis.TokensPerMilli, "forPrompts", basis.EnginesForPrompts, "forSlots", basis.EnginesForSlots,
			"servers", summary.Servers, "err", err)
		var noCapacity *NoCapacityError
		switch {
		case errors.As(err, &noCapacity):
			core.Refused(bootNow(), order)
		case err != nil:
			return
		default:
			core.Ordered(bootNow(), order)
		}
	}
}

// sizeRow is what the holder of the duty leaves to the next one: the size of a
// service cannot be told from the servers that reclaims have left.
type sizeRow struct {
	Present int `json:"present"`
}

func sizeKey(service string) table.Key { return table.Key{Partition: sizePartition, Sort: service} }

// inherit reads what an earlier holder knew of a service.
func (u *duties) loadSize(ctx context.Context, service string, core *scaling.Core) error {
	item, err := u.daemon.platform.Get(ctx, sizeKey(service))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	var row sizeRow
	if err := json.Unmarshal(item.Value, &row); err != nil {
		return errors.Annotatef(err, "size of service %s", service)
	}
	core.Inherit(bootNow(), row.Present)
	u.storedSizes[service] = storedSize{present: row.Present, version: item.Version}
	klog.InfoS("size of a service inherited", "service", service, "present", row.Present)
	return nil
}

// bequeath writes the size of a service when it is known or has changed.
func (u *duties) saveSize(ctx context.Context, service string, core *scaling.Core) {
	stored := u.storedSizes[service]
	if !core.Settled(bootNow()) || core.Present() == stored.present {
		return
	}
	// An integer always encodes.
	value, _ := json.Marshal(sizeRow{Present: core.Present()})
	err := u.daemon.platform.Transact(ctx, []table.Write{{Key: sizeKey(service), Version: stored.version, Value: value}})
	if err != nil {
		klog.InfoS("size of a service not written", "service", service, "err", err)
		if item, err := u.daemon.platform.Get(ctx, sizeKey(service)); err == nil {
			// Another holder or a lost answer has moved the row's version.
			u.storedSizes[service] = storedSize{present: stored.present, version: item.Version}
		}
		return
	}
	u.storedSizes[service] = storedSize{present: core.Present(), version: stored.version + 1}
}

func sortedZones(limits *catalog.Scaling) []string {
	zones := make([]string, 0, len(limits.ZonePrices))
	for zone := range limits.ZonePrices {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}
