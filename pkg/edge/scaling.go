package edge

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
)

const (
	// maxFailedOrders is the number of orders in one run of the duties that may go without an
	// answer before the rest waits for the next run. Each takes up to the timeout of a call.
	maxFailedOrders = 2
	// experienceInterval is the minimum time between two writes of what scaling has learned.
	experienceInterval = 2 * time.Second
	// maxPresent is more servers than a service can have.
	maxPresent = 1 << 20
	// scarcityStep is the change of the probability of scarcity that is worth a write.
	scarcityStep = 0.2
)

// scaleService updates the scaling state of one service and sends the resulting
// orders.
func (u *duties) scaleService(ctx context.Context, name string, limits *catalog.Scaling, servers []fleet.Server) {
	core, ok := u.scaling[name]
	if !ok {
		core = scaling.New(name, scaling.DefaultOptions())
		if err := u.loadSize(ctx, name, core); err != nil {
			klog.InfoS("failed to load the size of a service", "service", name, "err", err)
			return
		}
		u.scaling[name] = core
	}
	s := u.daemon.state
	s.mu.Lock()
	summary := s.placement.Summarize(name)
	work := make(map[string]scaling.Work)
	for daemon, w := range s.placement.WorkByDaemon(name) {
		work[daemon] = scaling.Work(w)
	}
	speeds := zoneSpeeds(servers, name, func(server string) float64 {
		return s.placement.Speed(time.Now(), name, server).PrefillTokensPerMilli
	})
	s.mu.Unlock()
	now := bootNow()
	core.Observe(now, scaling.Load{Generating: summary.Generating, Slots: summary.Slots, PrefillRate: summary.PrefillRate, Work: work, ZoneSpeeds: speeds})
	basis := core.Basis()
	failed := 0
	orders := core.Plan(now, limits, sortedZones(limits), servers)
	reserve := core.Reserve()
	s.scalingMetrics.set(name, reserve)
	for _, order := range orders {
		fencingNumber, ok := u.held()
		if !ok {
			return
		}
		callCtx, cancel := withBootTimeout(ctx, dutyCallTimeout)
		err := u.daemon.platform.OrderServers(callCtx, fencingNumber, order)
		cancel()
		klog.InfoS("servers ordered", "service", order.Service, "zone", order.Zone, "reclaimable", order.Reclaimable,
			"desired", order.Desired, "number", fencingNumber, "need", core.Need(), "present", core.Present(),
			"running", summary.Running, "generating", summary.Generating, "prefill", summary.PrefillTokens, "prefillPerMs", summary.PrefillRate,
			"flowPerMs", basis.TokensPerMilli, "forPrompts", basis.EnginesForPrompts, "forSlots", basis.EnginesForSlots,
			"refusedPerMs", basis.RefusedPerMilli, "reserve", reserve.OnDemand, "reclaimableServers", reserve.Reclaimable, "reclaimableZones", reserve.ReclaimableZones,
			"scarce", reserve.Scarce, "zoneLoss", reserve.ZoneLoss, "horizonMs", reserve.Horizon.Milliseconds(), "expectedShortage", reserve.ExpectedShortage, "evidence", reserve.Evidence,
			"servers", summary.Servers, "err", err)
		var noCapacity *NoCapacityError
		switch {
		case errors.As(err, &noCapacity):
			core.Refused(bootNow(), order)
		case err != nil:
			// The order may have been performed. It states a total and is repeated.
			if failed++; failed >= maxFailedOrders {
				return
			}
		default:
			core.Ordered(bootNow(), order)
		}
	}
	u.saveSize(ctx, name, core)
}

// zoneSpeeds returns the mean speed of the servers of a service by zone, relative to the mean of
// all zones.
func zoneSpeeds(servers []fleet.Server, service string, speedOf func(server string) float64) map[string]float64 {
	sums, counts := make(map[string]float64), make(map[string]int)
	total, count := 0.0, 0
	for i := range servers {
		if f := &servers[i]; f.Service == service && !f.Leaving {
			speed := speedOf(f.ID)
			sums[f.AvailabilityZone] += speed
			counts[f.AvailabilityZone]++
			total += speed
			count++
		}
	}
	speeds := make(map[string]float64, len(sums))
	for zone, sum := range sums {
		if total > 0 {
			speeds[zone] = sum / float64(counts[zone]) / (total / float64(count))
		}
	}
	return speeds
}

// sizeRow is what the table holds of a service for the next lease holder: its size, which cannot
// be derived from the servers that remain after reclaims, and what was learned of the supply.
// Earlier versions know the size only.
type sizeRow struct {
	Present    int                `json:"present"`
	Experience scaling.Experience `json:"experience,omitzero"`
	// UnixMilli is the time of the write by the clock on which daemons agree.
	UnixMilli int64 `json:"unixMs,omitempty"`
}

func sizeKey(service string) table.Key { return table.Key{Partition: sizePartition, Sort: service} }

// loadSize reads what an earlier lease holder has stored of a service, if anything, and passes it
// to the core.
func (u *duties) loadSize(ctx context.Context, service string, core *scaling.Core) error {
	item, err := u.daemon.platform.Get(ctx, sizeKey(service))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		u.storedSizes[service] = storedSize{version: u.daemon.platform.Epoch().At(0)}
		return nil
	}
	if err != nil {
		return err
	}
	var row sizeRow
	if err := json.Unmarshal(item.Value, &row); err != nil || row.Present < 0 || row.Present > maxPresent {
		// It is written again once the size is known.
		klog.ErrorS(&UnusableRowError{Key: item.Key}, "stored size of a service cannot be used", "service", service, "present", row.Present, "err", err)
		u.storedSizes[service] = storedSize{version: item.Version}
		return nil
	}
	age := time.Duration(0)
	if row.UnixMilli > 0 {
		age = u.unixTime().Sub(time.UnixMilli(row.UnixMilli))
		core.InheritExperience(bootNow(), row.Experience, age)
	}
	core.Inherit(bootNow(), row.Present)
	u.storedSizes[service] = storedSize{row: row, version: item.Version}
	klog.InfoS("loaded the size of a service stored by an earlier lease holder", "service", service, "present", row.Present,
		"ageMs", age.Milliseconds(), "scarce", row.Experience.Forecast.Probability(), "bootMs", row.Experience.BootMillis)
	return nil
}

// unixTime returns the time by the clock on which daemons agree.
func (u *duties) unixTime() time.Time {
	s := u.daemon.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clusterTime()
}

// saveSize stores the size of a service and what was learned of the supply for the next lease
// holder, once the size is known and again after changes.
func (u *duties) saveSize(ctx context.Context, service string, core *scaling.Core) {
	stored := u.storedSizes[service]
	row := sizeRow{Present: core.Present(), Experience: core.Experience()}
	if !core.Settled(bootNow()) || row.Present == stored.row.Present && !worthStoring(&stored, &row, bootNow()) {
		return
	}
	row.UnixMilli = u.unixTime().UnixMilli()
	value, err := json.Marshal(row)
	if err == nil {
		err = u.daemon.platform.Transact(ctx, []table.Write{{Key: sizeKey(service), Version: stored.version, Value: value}})
	}
	if err != nil {
		klog.InfoS("failed to store the size of a service", "service", service, "err", err)
		stored.writtenAt = bootNow()
		if item, err := u.daemon.platform.Get(ctx, sizeKey(service)); err == nil {
			// The row was written by another holder, or by an earlier call of
			// this one whose response was lost: continue from its version.
			stored.version = item.Version
		}
		u.storedSizes[service] = stored
		return
	}
	u.storedSizes[service] = storedSize{row: row, version: stored.version + 1, writtenAt: bootNow()}
}

// worthStoring reports whether what was learned differs enough from what is stored.
func worthStoring(stored *storedSize, row *sizeRow, now time.Time) bool {
	if now.Sub(stored.writtenAt) < experienceInterval {
		return false
	}
	return math.Abs(row.Experience.Forecast.Probability()-stored.row.Experience.Forecast.Probability()) >= scarcityStep
}
