package main

import (
	"fmt"
	"time"
)

const (
	// beforeKill is how long streams begin before all daemons are killed, and afterKill how long
	// after it.
	beforeKill = 3 * time.Second
	afterKill  = 5500 * time.Millisecond
	// earlyDelay is the time after which a client takes a stream up again.
	earlyDelay = 1500 * time.Millisecond
	// leastTakeUps is the number of taken-up streams from which on the rule counts, and leastShare
	// the share of the new streams' share that has to go on (LOST).
	leastTakeUps = 12
	leastShare   = 0.5
)

// playEarly kills all daemons at once soon after the first start of the deployment, while all
// workers have one software version.
func playEarly(d *deployment, trouble bool) ([]string, error) {
	for i := range flapWorkers {
		w := &modelWorker{id: fmt.Sprintf("i-%08x", 0x3d000000+i), zone: machines[i].zone, store: d.store, record: d.record}
		if err := w.start("v1", 0); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if err := d.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	c := &streamClients{deployment: d, delay: earlyDelay}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c.run(stop)
	}()
	time.Sleep(beforeKill)
	if trouble {
		if err := d.killAll(); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	time.Sleep(afterKill)
	close(stop)
	<-ended
	begun, newTries, wentOn, takenUp := c.inTouch()
	d.record.add("at daemons in touch: of %d new streams %d began, of %d streams taken up %d went on", newTries, begun, takenUp, wentOn)
	if trouble && takenUp < leastTakeUps {
		return nil, fmt.Errorf("%w: only %d streams were taken up at daemons in touch", errCannotRun, takenUp)
	}
	if takenUp >= leastTakeUps && newTries > 0 && float64(wentOn)/float64(takenUp) < leastShare*float64(begun)/float64(newTries) {
		return []string{fmt.Sprintf("of %d streams taken up at daemons in touch %d went on, of %d new ones %d began", takenUp, wentOn, newTries, begun)}, nil
	}
	return nil, nil
}

// killAll kills all daemons at once and starts them again.
func (d *deployment) killAll() error {
	d.record.add("platform: all daemons are killed")
	for _, one := range d.daemons {
		go one.kill()
	}
	time.Sleep(shortDelay)
	for _, one := range d.daemons {
		if err := one.start(); err != nil {
			return err
		}
	}
	d.record.add("platform: all daemons start again")
	return nil
}

// inTouch counts the tries at daemons that had run for contactTime: new streams, and streams that
// were taken up, each once, which went on if one of these tries did.
func (c *streamClients) inTouch() (begun, newTries, wentOn, takenUp int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	streams := make(map[string]bool)
	for _, t := range c.tries {
		// Tries before the kill were at daemons that have started again since.
		if t.at.Sub(t.daemon.startedAt) < contactTime {
			continue
		}
		if t.origin == "" {
			newTries++
			if t.goesOn {
				begun++
			}
			continue
		}
		streams[t.origin] = streams[t.origin] || t.goesOn
	}
	for _, went := range streams {
		takenUp++
		if went {
			wentOn++
		}
	}
	return begun, newTries, wentOn, takenUp
}
