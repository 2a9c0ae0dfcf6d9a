package main

import (
	"fmt"
	"time"
)

const (
	// drillAbsence is how long the store is away in a drill.
	drillAbsence = time.Second
	// drillCopyAge is the least age of the copy with which the store comes back, and maxCopyAge
	// limits it.
	drillCopyAge = 4 * time.Second
	maxCopyAge   = 10 * time.Second
	// afterDrill is how long the case goes on after the drill and the restart.
	afterDrill = 20 * time.Second
)

// playDrill restarts the machine of the holder of the duties. When another daemon has taken over,
// the store is away for a moment and comes back from a copy that is some seconds old: from just
// before the restart.
func playDrill(d *deployment, trouble bool) ([]string, error) {
	if err := d.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if !d.await(25*time.Second, func() bool { _, ok := d.cloud.last(); return ok }) {
		return nil, fmt.Errorf("%w: nobody performs the duties", errCannotRun)
	}
	first, _ := d.cloud.last()
	d.record.add("duties are held by %s with fence number %d", first.holder, first.fence)
	copied := d.store.snapshot()
	d.record.add("store: copy taken")
	restarted := make(chan error, 1)
	go func() { restarted <- d.restart(d.daemonNamed(first.holder), shortDelay) }()
	if !d.await(20*time.Second, func() bool { last, _ := d.cloud.last(); return last.fence > first.fence }) {
		return nil, fmt.Errorf("%w: nobody has taken over the duties", errCannotRun)
	}
	second, _ := d.cloud.last()
	d.record.add("duties are held by %s with fence number %d", second.holder, second.fence)
	if trouble {
		if err := d.drill(copied, drillCopyAge); err != nil {
			return nil, err
		}
	}
	if err := <-restarted; err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	time.Sleep(afterDrill)
	for _, found := range differingReports(d.cloud.all()) {
		d.record.add("also: %s", found)
	}
	d.record.add("requests sent %d, served %d", d.clients.count.Load(), d.clients.served.Load())
	return sharedFences(d.cloud.all()), nil
}

// drill makes the store be away for a moment, when the copy has an age, and come back from it.
func (d *deployment) drill(copied storeCopy, minAge time.Duration) error {
	time.Sleep(time.Until(copied.takenAt.Add(minAge)))
	age := time.Since(copied.takenAt)
	if age > maxCopyAge {
		return fmt.Errorf("%w: the copy is already %s old", errCannotRun, age)
	}
	d.store.leave()
	d.record.add("drill: store away")
	time.Sleep(drillAbsence)
	d.store.comeBack(copied)
	d.record.add("drill: store back from a copy that was %s old", age.Round(time.Millisecond))
	// What the operator and the workers wrote is written again.
	d.store.put("op", "config", configuration(1))
	for _, w := range d.workers {
		w.writeEntry()
	}
	return nil
}
