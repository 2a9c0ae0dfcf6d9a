package main

import (
	"fmt"
	"time"
)

const (
	// cutLength is how long the machine is cut off from the platform.
	cutLength = 8 * time.Second
	// thawSlack is thawSlackMs of the settings: calls that arrive within it after the end of
	// the cut are excused.
	thawSlack = 300 * time.Millisecond
	// afterCut is how long the case goes on after the cut.
	afterCut = 20 * time.Second
)

// playHeld cuts the machine of the holder of the duties off from the platform at the moment at
// which it sends a usage report on an open connection. The bytes of that connection arrive after
// the cut, with the first retransmission.
func playHeld(d *deployment, trouble bool) ([]string, error) {
	if err := d.startDaemons(); err != nil {
		return nil, err
	}
	if !d.await(25*time.Second, func() bool { return len(d.cloud.all()) >= 2 }) {
		return nil, fmt.Errorf("%w: nobody performs the duties", errCannotRun)
	}
	first, _ := d.cloud.last()
	d.record.add("duties are held by %s with fence number %d", first.holder, first.fence)
	var excused []span
	if trouble {
		c := &cut{healed: make(chan struct{})}
		began := make(chan struct{})
		d.toCloud[first.holder].arm(&trigger{pattern: []byte("POST /usage"), fire: func() {
			d.toCloud[first.holder].setCut(c)
			d.toStore[first.holder].setCut(c)
			close(began)
		}})
		select {
		case <-began:
		case <-time.After(20 * time.Second):
			return nil, fmt.Errorf("%w: the holder sends no report", errCannotRun)
		}
		from := time.Now()
		d.record.add("cut: %s is cut off from the platform while its usage report is on its way", first.holder)
		time.Sleep(cutLength)
		close(c.healed)
		d.record.add("cut: healed")
		excused = append(excused, span{from, time.Now().Add(thawSlack)})
	}
	time.Sleep(afterCut)
	d.record.add("requests sent %d, served %d", d.clients.count.Load(), d.clients.served.Load())
	return lowerFences(d.cloud.all(), excused), nil
}
