package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// report is a usage report that the platform has accepted.
type report struct {
	at     time.Time
	holder string
	number uint64
	window int64
	counts map[string]int
}

// cloud is the platform's API. It accepts every report and checks nothing, as the pages say of one that
// requires no fencing. After a report it tells onReport.
type cloud struct {
	record   *record
	onReport func(report)

	mu      sync.Mutex
	reports map[int64][]report
}

// ServeHTTP takes a usage report.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window int64          `json:"window"`
		Counts map[string]int `json:"counts"`
	}
	number, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if r.URL.Path != "/usage" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	accepted := report{at: time.Now(), holder: r.Header.Get("Duty-Holder"), number: number, window: body.Window, counts: body.Counts}
	c.mu.Lock()
	c.reports[body.Window] = append(c.reports[body.Window], accepted)
	c.mu.Unlock()
	c.record.add("report accepted: window %d, counts %v, by %s under %d", accepted.window, accepted.counts, accepted.holder, accepted.number)
	if c.onReport != nil {
		c.onReport(accepted)
	}
}

// differing returns what is wrong with the reports: windows with two different counts.
func (c *cloud) differing() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for window, reports := range c.reports {
		for _, other := range reports[1:] {
			if first := reports[0]; !maps.Equal(first.counts, other.counts) {
				found = append(found, fmt.Sprintf("window %d was reported as %v by %s under %d and as %v by %s under %d, %.1f s later",
					window, first.counts, first.holder, first.number, other.counts, other.holder, other.number, other.at.Sub(first.at).Seconds()))
			}
		}
	}
	return found
}
