package main

import (
	"fmt"
	"time"
)

const (
	// contactTime is contactMs of the settings: after it the store counts as stable.
	contactTime = 3 * time.Second
	// usageLate is usageLateS of the settings: the time after the end of a window at which its
	// usage is due.
	usageLate = 10 * time.Second
	// windowsAfterDrill is the number of windows after the drill that are looked at.
	windowsAfterDrill = 6
)

// playHang plays nothing but a drill, and looks whether the usage of later windows is reported.
func playHang(d *deployment, trouble bool) ([]string, error) {
	if err := d.startDaemons(); err != nil {
		return nil, err
	}
	if !d.await(25*time.Second, func() bool { return len(d.cloud.all()) >= 2 }) {
		return nil, fmt.Errorf("%w: nobody performs the duties", errCannotRun)
	}
	copied := d.store.snapshot()
	d.record.add("store: copy taken")
	if trouble {
		if err := d.drill(copied, drillCopyAge); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime)
	first := time.Now().Unix()/int64(usageWindow/time.Second) + 1
	last := first + windowsAfterDrill - 1
	d.record.add("windows %d to %d are looked at", first, last)
	time.Sleep(time.Until(time.Unix((last+1)*int64(usageWindow/time.Second), 0).Add(usageLate)))
	reported := make(map[int64]bool)
	for _, call := range d.cloud.all() {
		reported[call.window] = true
	}
	var missing []string
	for window := first; window <= last; window++ {
		if !reported[window] {
			missing = append(missing, fmt.Sprintf("usage of window %d was not reported within %s of its end", window, usageLate))
		}
	}
	d.record.add("requests sent %d, served %d", d.clients.count.Load(), d.clients.served.Load())
	if len(missing) < windowsAfterDrill {
		// The duty is performed again.
		return nil, nil
	}
	return missing, nil
}
