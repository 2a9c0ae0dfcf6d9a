package deferred

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// pollLoop periodically starts the open requests in the ranges that this daemon
// holds and deletes expired answers.
func (d *Driver) pollLoop() {
	ticker := d.opts.Clock.NewTicker(d.opts.PollInterval)
	defer ticker.Stop()
	var lastSweep time.Time
	for {
		d.poll()
		if now := d.opts.Clock.Now(); now.Sub(lastSweep) >= d.opts.SweepInterval {
			d.sweep(now)
			lastSweep = now
		}
		select {
		case <-ticker.C():
		case <-d.wakeup:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Driver) poll() {
	d.cancelLostRuns()
	for r := range RangeCount {
		if d.opts.Ranges.Holds(r) && d.hasCapacity() && d.ctx.Err() == nil {
			d.scanRange(r)
		}
	}
}

// cancelLostRuns cancels the runs in ranges that this daemon no longer holds.
func (d *Driver) cancelLostRuns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.running {
		if !r.holdsRange() {
			r.cancel()
		}
	}
}

func (d *Driver) hasCapacity() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.draining && len(d.running) < d.opts.MaxRunning
}

// scanRange starts the open requests of a range.
func (d *Driver) scanRange(rangeIndex int) {
	after := openScanStart
	for d.hasCapacity() {
		ctx, cancel := d.storeContext()
		items, err := d.opts.Table.Query(ctx, partition(rangeIndex), after, scanPageSize)
		cancel()
		if err != nil {
			klog.V(1).InfoS("scan for deferred requests failed", "range", rangeIndex, "err", err)
			return
		}
		for _, item := range items {
			after = item.Key.Sort
			if !isOpen(item.Key) {
				return
			}
			rec, err := decodeRecord(item)
			if err != nil {
				klog.ErrorS(err, "skipped deferred request, its row is malformed")
				continue
			}
			d.startRun(rangeIndex, rec, item.Version)
		}
		if len(items) < scanPageSize {
			return
		}
	}
}

// startRun starts a run of a request unless the request is already running, is in
// backoff or was claimed by a holder with a higher fencing number, or no further
// run may be started.
func (d *Driver) startRun(rangeIndex int, rec record, version table.Version) {
	name := rowName(rec.ClientAccount, rec.RequestID)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || len(d.running) >= d.opts.MaxRunning || d.running[name] != nil {
		return
	}
	if d.opts.Clock.Now().Before(d.backoffs[name].until) {
		return
	}
	fencingNumber := d.opts.Ranges.FencingNumber(rangeIndex)
	if rec.FencingNumber > fencingNumber {
		return
	}
	rec.FencingNumber = fencingNumber
	ctx, cancel := context.WithCancel(d.ctx)
	run := &run{d: d, name: name, rangeIndex: rangeIndex, fencingNumber: fencingNumber, rec: rec, version: version, ctx: ctx, cancel: cancel,
		failures: d.backoffs[name].failures,
		done:     make(chan struct{}), saveDue: make(chan struct{}, 1)}
	d.running[name] = run
	d.metrics.running.Inc()
	d.tasks.Go(run.execute)
}

// runFinished removes a run that has ended. If it failed, the request's next run
// is delayed by a backoff.
func (d *Driver) runFinished(r *run, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.metrics.running.Dec()
	delete(d.running, r.name)
	if !failed {
		delete(d.backoffs, r.name)
		return
	}
	previous := d.backoffs[r.name]
	delay := min(d.opts.RetryBaseDelay<<min(previous.failures, 16), d.opts.RetryMaxDelay)
	d.backoffs[r.name] = backoff{until: d.opts.Clock.Now().Add(delay), failures: previous.failures + 1}
}
