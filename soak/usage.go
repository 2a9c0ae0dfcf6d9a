package soak

import (
	"slices"
	"time"
)

const (
	// usageWindow is the window in which the requests of an account are counted, usageOverage
	// and usageSlack are by how much they may exceed its limit, as in the daemons' settings.
	usageWindow  = 8 * time.Second
	usageOverage = 0.1
	usageSlack   = 50
)

// windowLimit returns how many requests of the account may run in usageWindow.
func (o *Options) windowLimit() float64 {
	burst := o.UsageRate
	return (o.UsageRate*usageWindow.Seconds()+burst)*(1+usageOverage) + usageSlack
}

// checkUsage checks that no more requests of the account ran than its usage limit allows.
func (h *harness) checkUsage() {
	if h.options.UsageRate == 0 {
		return
	}
	var began []time.Time
	for _, runs := range h.ledger.All() {
		began = append(began, runs[0].At)
	}
	slices.SortFunc(began, time.Time.Compare)
	first := 0
	for i, at := range began {
		for at.Sub(began[first]) > usageWindow {
			first++
		}
		h.fullestWindow = max(h.fullestWindow, i-first+1)
	}
	if float64(h.fullestWindow) > h.options.windowLimit() {
		h.addFinding("%d requests of the account ran in %v; its usage limit of %g a second allows %g", h.fullestWindow, usageWindow, h.options.UsageRate, h.options.windowLimit())
	}
}
