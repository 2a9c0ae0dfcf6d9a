package deferred

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// own runs the requests of the ranges that this daemon holds.
func (d *Driver) own() {
	ticker := d.opts.Clock.NewTicker(d.opts.PollInterval)
	defer ticker.Stop()
	var swept time.Time
	for {
		d.poll()
		if now := d.opts.Clock.Now(); now.Sub(swept) >= d.opts.SweepInterval {
			d.sweep(now)
			swept = now
		}
		select {
		case <-ticker.C():
		case <-d.kick:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Driver) poll() {
	d.stopLost()
	for r := range RangeCount {
		if d.opts.Ranges.Holds(r) && d.hasRoom() && d.ctx.Err() == nil {
			d.scan(r)
		}
	}
}

// stopLost stops the runs of ranges that this daemon does not hold any more.
func (d *Driver) stopLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.running {
		if !r.held() {
			r.cancel()
		}
	}
}

func (d *Driver) hasRoom() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.draining && len(d.running) < d.opts.MaxRunning
}

// scan starts the open requests of a range.
func (d *Driver) scan(r int) {
	after := openAfter
	for d.hasRoom() {
		ctx, cancel := d.storeContext()
		items, err := d.opts.Table.Query(ctx, partition(r), after, scanPage)
		cancel()
		if err != nil {
			klog.V(1).InfoS("look for deferred requests failed", "range", r, "err", err)
			return
		}
		for _, item := range items {
			after = item.Key.Sort
			if !isOpen(item.Key) {
				return
			}
			rec, err := decodeRecord(item)
			if err != nil {
				klog.ErrorS(err, "deferred request skipped")
				continue
			}
			d.launch(r, rec, item.Version)
		}
		if len(items) < scanPage {
			return
		}
	}
}

// launch runs a request unless it is running or has to wait.
func (d *Driver) launch(r int, rec record, version uint64) {
	name := rowName(rec.ClientAccount, rec.RequestID)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || len(d.running) >= d.opts.MaxRunning || d.running[name] != nil {
		return
	}
	if d.opts.Clock.Now().Before(d.waits[name].until) {
		return
	}
	number := d.opts.Ranges.FencingNumber(r)
	if rec.FencingNumber > number {
		return
	}
	rec.FencingNumber = number
	ctx, cancel := context.WithCancel(d.ctx)
	run := &run{d: d, name: name, r: r, number: number, rec: rec, version: version, ctx: ctx, cancel: cancel,
		failures: d.waits[name].failures,
		done:     make(chan struct{}), due: make(chan struct{}, 1)}
	d.running[name] = run
	d.metrics.running.Inc()
	d.tasks.Go(run.execute)
}

// finished forgets a run; one that failed waits before it runs again.
func (d *Driver) finished(r *run, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.metrics.running.Dec()
	delete(d.running, r.name)
	if !failed {
		delete(d.waits, r.name)
		return
	}
	w := d.waits[r.name]
	delay := min(d.opts.RetryBaseDelay<<min(w.failures, 16), d.opts.RetryMaxDelay)
	d.waits[r.name] = wait{until: d.opts.Clock.Now().Add(delay), failures: w.failures + 1}
}
