package main

import (
	"fmt"
	"time"
)

const (
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// The worker stops for its upgrade firstStop after the begin of the outage, and again
	// secondStop after it. It is down for upgradeTime each time. Streams begin in between.
	firstStop  = 300 * time.Millisecond
	secondStop = 3500 * time.Millisecond
	// flapWorkers is the number of workers of the model, of which one is upgraded.
	flapWorkers = 5
)

// playFlap upgrades a worker in place and stops it again soon after. Meanwhile the store is down.
func playFlap(d *deployment, trouble bool) ([]string, error) {
	var workers []*modelWorker
	for i := range flapWorkers {
		w := &modelWorker{id: fmt.Sprintf("i-%08x", 0x3c000000+i), zone: machines[i].zone, store: d.store, record: d.record}
		if err := w.start("v1", 0); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		workers = append(workers, w)
	}
	if err := d.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(16 * time.Second)
	c := &streamClients{deployment: d}
	stop := make(chan struct{})
	ended := make(chan struct{})
	began := time.Now()
	if trouble {
		d.store.leave()
		d.record.add("store: down")
	}
	for i, at := range []time.Duration{firstStop, secondStop} {
		time.Sleep(time.Until(began.Add(at)))
		workers[0].crash()
		time.Sleep(upgradeTime)
		if err := workers[0].start("v2", 0); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		if i == 0 {
			go func() {
				defer close(ended)
				c.run(stop)
			}()
		}
	}
	time.Sleep(time.Until(began.Add(outage)))
	if trouble {
		d.store.back()
		d.record.add("store: back")
	}
	time.Sleep(time.Second)
	close(stop)
	<-ended
	d.record.add("streams begun %d, whole %d, taken up %d, joined %d", c.begun, c.whole, c.takenUp, len(c.joined))
	if c.begun == 0 {
		return nil, fmt.Errorf("%w: no stream began", errCannotRun)
	}
	if len(c.joined) > allowedJoined {
		return c.joined, nil
	}
	return nil, nil
}
