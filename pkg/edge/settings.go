// Package edge assembles the daemon that serves client requests. All durable
// state is kept by the platform: the daemon watches the configuration and the
// BackendServers in the platform's store, exchanges state with its peers and,
// while it holds the duties lease, reports usage and orders servers.
package edge

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/rollout"
)

// Settings configures a Daemon.
type Settings struct {
	Node             string
	AvailabilityZone string
	// FrontAddress is the listen address for client requests, ReadyAddress for
	// the load balancer's readiness checks and PeerAddress for other daemons.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	MemoryBytes    int64
	// MaxDescriptors is the number of descriptors that the daemon may have open.
	MaxDescriptors int
	// Cores is the number of CPU cores available to the daemon; it may be a
	// fraction.
	Cores float64
	// Bootstrap is set if the whole deployment starts for the first time, so that no daemon has
	// served a request before.
	Bootstrap bool
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack limit the retries to servers within any period of
	// RetryWindow, summed over all daemons: RetryRatio per request, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack define how precisely usage limits
	// must be enforced: within any period of QuotaWindow, an account may exceed its
	// limit by the fraction QuotaOverage of the limit, plus QuotaSlack.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// MinHolderInterval is the time within which a duty must not move to another
	// daemon and back.
	MinHolderInterval time.Duration
	// UsageWindow is the length of the windows in which usage is counted and
	// reported.
	UsageWindow time.Duration
	// MaxUsageReportDelay is how long after its end a usage window may still be
	// reported.
	MaxUsageReportDelay time.Duration
	// ReportsUsage and OrdersServers enable the two duties.
	ReportsUsage  bool
	OrdersServers bool
	// Rollout limits what a bad software version may get. Roll-outs are handled only if it
	// states a share.
	Rollout rollout.Bounds
}
