package measure

import "time"

// Scenario defines the request rate over time, the report delay and the faults of
// a run. All policies are measured in the same scenarios.
type Scenario struct {
	Name string `json:"name"`
	// ReportLag is the delay of load reports and cache events.
	ReportLag time.Duration `json:"report_lag_nanoseconds"`
	// rateFactor returns the factor by which the request rate of an account is scaled
	// at progress, a share of the horizon.
	rateFactor func(account int, progress float64) float64
	// reclaim enables the reclaim of a zone. outage enables a host failure during an
	// outage of the table service.
	reclaim bool
	outage  bool
	// onlyLag is set if the scenario differs from the steady scenario only in
	// ReportLag.
	onlyLag bool
}

const steadyScenario = "steady"

const (
	defaultReportLag = 500 * time.Millisecond
	// reclaimAtShare, outageStartShare, outageEndShare and hostStopShare are times
	// as shares of the horizon. The start of the outage is listed for completeness:
	// only its end, which delays the replacement of the stopped host, affects a run.
	reclaimAtShare   = 0.45
	outageStartShare = 0.4
	hostStopShare    = 0.45
	outageEndShare   = 0.75
	// reclaimNotice is the time from a reclaim notice to the stop of the host.
	reclaimNotice = 10 * time.Second
	// startsRefusedFor is the time after the notices of a zone reclaim during which
	// the cloud starts no hosts.
	startsRefusedFor = 20 * time.Second
	// bootTime is the time from the start of a host until its engine serves.
	bootTime = 10 * time.Second
)

// constantRate keeps the request rate unchanged.
func constantRate(int, float64) float64 { return 1 }

const (
	burstCycles     = 4
	burstShare      = 0.25
	burstRateFactor = 1.6
	quietRateFactor = 0.8
	floodRateFactor = 3
)

// bursts alternates between 1.6 times the rate in the first quarter of each cycle
// and 0.8 times the rate in the rest, which keeps the mean rate unchanged.
func bursts(_ int, progress float64) float64 {
	cycle := progress * burstCycles
	if cycle-float64(int(cycle)) < burstShare {
		return burstRateFactor
	}
	return quietRateFactor
}

// flood triples the rate of the largest account, which has index 0, in the middle
// third of the horizon.
func flood(account int, progress float64) float64 {
	if account == 0 && progress > 1.0/3 && progress < 2.0/3 {
		return floodRateFactor
	}
	return 1
}

// Scenarios returns the scenarios that section 9 of the design page defines.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: steadyScenario, ReportLag: defaultReportLag, rateFactor: constantRate},
		{Name: "bursts", ReportLag: defaultReportLag, rateFactor: bursts},
		{Name: "flood", ReportLag: defaultReportLag, rateFactor: flood},
		{Name: "reclaim", ReportLag: defaultReportLag, rateFactor: constantRate, reclaim: true},
		{Name: "outage", ReportLag: defaultReportLag, rateFactor: constantRate, outage: true},
		{Name: "stale_1s", ReportLag: time.Second, rateFactor: constantRate, onlyLag: true},
		{Name: "stale_5s", ReportLag: 5 * time.Second, rateFactor: constantRate, onlyLag: true},
	}
}
