package measure

import "time"

// Scenario is a course of events that all policies meet.
type Scenario struct {
	Name string `json:"name"`
	// ReportLag is how late load reports and cache events arrive.
	ReportLag time.Duration `json:"report_lag_nanoseconds"`
	// factor scales an account's rate at a share of the horizon.
	factor func(account int, progress float64) float64
	// reclaim and outage switch on the faults of the scenario.
	reclaim bool
	outage  bool
	// onlyLag is set when the scenario differs from the steady one only in
	// ReportLag.
	onlyLag bool
}

const steadyName = "steady"

const (
	usualLag = 500 * time.Millisecond
	// reclaimAt, outageAt, outageEnd and deathAt are shares of the horizon.
	reclaimAt = 0.45
	outageAt  = 0.4
	deathAt   = 0.45
	outageEnd = 0.75
	// notice is the time between a reclaim notice and the reclaim.
	notice = 10 * time.Second
	// refusedFor is how long starts are refused after a zone's reclaim.
	refusedFor = 20 * time.Second
	// bootTime is how long a new host takes until its engine serves.
	bootTime = 10 * time.Second
)

func uniform(int, float64) float64 { return 1 }

const (
	burstCycles = 4
	burstShare  = 0.25
	burstRate   = 1.6
	quietRate   = 0.8
	floodRate   = 3
)

// bursts keeps the mean rate: a quarter of each cycle has 1.6 times the rate,
// the rest 0.8 times.
func bursts(_ int, progress float64) float64 {
	cycle := progress * burstCycles
	if cycle-float64(int(cycle)) < burstShare {
		return burstRate
	}
	return quietRate
}

// flood lets the largest account send three times its rate in the middle third.
func flood(account int, progress float64) float64 {
	if account == 0 && progress > 1.0/3 && progress < 2.0/3 {
		return floodRate
	}
	return 1
}

// Scenarios returns the scenarios of section 9 of the design page.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: steadyName, ReportLag: usualLag, factor: uniform},
		{Name: "bursts", ReportLag: usualLag, factor: bursts},
		{Name: "flood", ReportLag: usualLag, factor: flood},
		{Name: "reclaim", ReportLag: usualLag, factor: uniform, reclaim: true},
		{Name: "outage", ReportLag: usualLag, factor: uniform, outage: true},
		{Name: "stale_1s", ReportLag: time.Second, factor: uniform, onlyLag: true},
		{Name: "stale_5s", ReportLag: 5 * time.Second, factor: uniform, onlyLag: true},
	}
}
