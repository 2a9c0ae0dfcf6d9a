package main

import (
	"fmt"
	"time"
)

const (
	// usageWindow is usageWindowS of the settings.
	usageWindow = 5 * time.Second
	// servedInWindow is how long the first holder serves in the window that is reported twice.
	servedInWindow = 2200 * time.Millisecond
	// usageCopyAge is the least age of the copy with which the store comes back.
	usageCopyAge = 5300 * time.Millisecond
	// longerDelay is the pause after which the platform starts the process again.
	longerDelay = 1300 * time.Millisecond
)

// playUsage restarts the machine of the holder of the duties within a usage window. The next
// holder reports the window, then the store is away for a moment and comes back from a copy from
// just before the restart.
func playUsage(d *deployment, trouble bool) ([]string, error) {
	if err := d.startDaemons(); err != nil {
		return nil, err
	}
	if !d.await(25*time.Second, func() bool { return len(d.cloud.all()) >= 2 }) {
		return nil, fmt.Errorf("%w: nobody performs the duties", errCannotRun)
	}
	now := time.Now()
	time.Sleep(now.Truncate(usageWindow).Add(usageWindow + servedInWindow).Sub(now))
	window := time.Now().Unix() / int64(usageWindow/time.Second)
	first, _ := d.cloud.last()
	d.record.add("duties are held by %s with fence number %d; window %d goes on", first.holder, first.fence, window)
	copied := d.store.snapshot()
	d.record.add("store: copy taken")
	restarted := make(chan error, 1)
	go func() { restarted <- d.restart(d.daemonNamed(first.holder), longerDelay) }()
	if !d.await(15*time.Second, func() bool { last, _ := d.cloud.last(); return last.fence > first.fence && last.window == window }) {
		return nil, fmt.Errorf("%w: no other daemon has reported window %d", errCannotRun, window)
	}
	if trouble {
		if err := d.drill(copied, usageCopyAge); err != nil {
			return nil, err
		}
	}
	if err := <-restarted; err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	time.Sleep(afterDrill)
	d.record.add("requests sent %d, served %d", d.clients.count.Load(), d.clients.served.Load())
	return differingReports(d.cloud.all()), nil
}
