package membership

import "time"

// Options are the settings of a Core. Zero values take the defaults.
type Options struct {
	// TickInterval is the time between TickEvents and so the longest delay of
	// urgent news at each hop.
	TickInterval time.Duration
	// HeartbeatInterval is the time between heartbeats to Fanout peers.
	HeartbeatInterval time.Duration
	Fanout            int
	// ViewSize bounds the peers that a daemon talks to at any one time, and so
	// its connections. One of them is replaced every ViewRefresh.
	ViewSize    int
	ViewRefresh time.Duration
	// UrgentRounds is how many ticks urgent news is sent for.
	UrgentRounds int
	// Retransmit times log2 of the daemons bounds the sends of each delta.
	RetransmitMultiplier int
	// MaxHeartbeatBytes and MaxUrgentBytes bound the deltas of a message.
	MaxHeartbeatBytes int
	MaxUrgentBytes    int
	MaxHops           uint8
	// SuspicionTimeout is how long a suspect daemon may take to object.
	SuspicionTimeout time.Duration
	// GoneRetention is how long a removed daemon is remembered and tried.
	GoneRetention time.Duration
	// LeavingRetention is how long after the last mention a BackendServer that
	// has left is remembered, so that a lagging list cannot bring it back.
	LeavingRetention time.Duration
	MaxTombstones    int
	// Zones are the AvailabilityZones whose BackendServers this daemon uses;
	// empty means all.
	Zones []string
	// SubsetSize bounds the BackendServers of a pool that this daemon uses.
	SubsetSize int
	// Pollers daemons at a time poll the host list every ListInterval; all
	// others poll every SlowListInterval. PollerTerm is how long one polls.
	Pollers          int
	ListInterval     time.Duration
	SlowListInterval time.Duration
	PollerTerm       time.Duration
	// ZoneInterval is the time between load reports within a zone.
	ZoneInterval time.Duration
	// Seeds are addresses of daemons to try first.
	Seeds []string
}

// The defaults. The interval, the fanout and the message sizes keep the idle
// traffic of one of 590 daemons under 10 KB a second.
const (
	defaultTickInterval         = 100 * time.Millisecond
	defaultHeartbeatInterval    = time.Second
	defaultFanout               = 4
	defaultViewSize             = 16
	defaultViewRefresh          = 10 * time.Second
	defaultUrgentRounds         = 4
	defaultRetransmitMultiplier = 2
	defaultHeartbeatBytes       = 8 << 10
	defaultUrgentBytes          = 128 << 10
	defaultMaxHops              = 32
	defaultSuspicionTimeout     = 5 * time.Second
	defaultGoneRetention        = time.Hour
	defaultLeavingRetention     = 24 * time.Hour
	defaultMaxTombstones        = 20_000
	defaultSubsetSize           = 64
	defaultPollers              = 7
	defaultListInterval         = 2 * time.Second
	defaultSlowListInterval     = 10 * time.Minute
	defaultPollerTerm           = 5 * time.Minute
	defaultZoneInterval         = 5 * time.Second
)

func (o Options) withDefaults() Options {
	orDefault(&o.TickInterval, defaultTickInterval)
	orDefault(&o.HeartbeatInterval, defaultHeartbeatInterval)
	orDefault(&o.Fanout, defaultFanout)
	orDefault(&o.ViewSize, defaultViewSize)
	orDefault(&o.ViewRefresh, defaultViewRefresh)
	orDefault(&o.UrgentRounds, defaultUrgentRounds)
	orDefault(&o.RetransmitMultiplier, defaultRetransmitMultiplier)
	orDefault(&o.MaxHeartbeatBytes, defaultHeartbeatBytes)
	orDefault(&o.MaxUrgentBytes, defaultUrgentBytes)
	orDefault(&o.MaxHops, defaultMaxHops)
	orDefault(&o.SuspicionTimeout, defaultSuspicionTimeout)
	orDefault(&o.GoneRetention, defaultGoneRetention)
	orDefault(&o.LeavingRetention, defaultLeavingRetention)
	orDefault(&o.MaxTombstones, defaultMaxTombstones)
	orDefault(&o.SubsetSize, defaultSubsetSize)
	orDefault(&o.Pollers, defaultPollers)
	orDefault(&o.ListInterval, defaultListInterval)
	orDefault(&o.SlowListInterval, defaultSlowListInterval)
	orDefault(&o.PollerTerm, defaultPollerTerm)
	orDefault(&o.ZoneInterval, defaultZoneInterval)
	return o
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
