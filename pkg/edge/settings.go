// Package edge wires the daemon that serves callers on a platform that keeps
// all lasting state: it follows the configuration and the BackendServers,
// exchanges digests with its peers and does the duties of the one daemon that
// holds the lease.
package edge

import "time"

// Settings are the settings of the daemon.
type Settings struct {
	Node             string
	AvailabilityZone string
	// FrontAddress serves callers, ReadyAddress the balancer's question,
	// PeerAddress other daemons.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	MemoryBytes    int64
	// Cores is the processor share of the host.
	Cores float64
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack bound the repeats to servers in any RetryWindow,
	// over all daemons.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack say how exactly usage limits
	// have to hold.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// MinHolderInterval is the time within which a duty must not go to another
	// daemon and back.
	MinHolderInterval time.Duration
	UsageWindow       time.Duration
	// MaxUsageReportDelay is how long after its end a window may be reported.
	MaxUsageReportDelay time.Duration
	ReportsUsage        bool
	OrdersServers       bool
}
