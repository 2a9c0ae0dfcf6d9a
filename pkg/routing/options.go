package routing

import "time"

// Options configures a Router. Zero values select defaults.
type Options struct {
	// Daemon is the name of this daemon; it selects the subset of servers.
	Daemon string
	// AvailabilityZone is the zone of this daemon.
	AvailabilityZone string
	// SubsetSize is the number of servers of a group that this daemon samples
	// from.
	SubsetSize int
	// SampledServers is the number of servers sampled for each decision. Each
	// candidate found by its prefix replaces one sample.
	SampledServers int
	// LoadBound is the maximum load of a server that is picked for a prefix, as
	// a multiple of the group's mean load.
	LoadBound float64
	// OtherZonePenalty is added to the score of a server in another zone.
	OtherZonePenalty time.Duration
	// PrefillPerToken is the initial estimate of a server's prefill time per
	// token. It is corrected by the observed times to first token.
	PrefillPerToken time.Duration
	// PrefillWeight is the fraction of the request's own prefill time that is
	// added to the score for each other request on the server, since the
	// prefill delays them. The fuller the servers are, the more it favors
	// those with the prefix in their cache.
	PrefillWeight float64
	// FullBatchPenalty is added to the score of a server with a full batch. For
	// other loads it is scaled by the ratio of load to batch size.
	FullBatchPenalty time.Duration
	// MeanDuration is the initial estimate of a request's duration. It is
	// corrected by finished requests.
	MeanDuration time.Duration
	// DoublePricePenalty is added to the score of a server at twice the lowest
	// price of its group. It is scaled by the excess for other prices.
	DoublePricePenalty time.Duration
	// LoadDecayTime is the age at which a reported difference from the mean
	// load has decayed to 1/e.
	LoadDecayTime time.Duration
	// CacheHalfLife is the time in which the confidence that a server still has
	// a prefix halves, unless it is confirmed.
	CacheHalfLife time.Duration
	// MaxTrackedPrefixes is the maximum number of prefixes that are tracked.
	MaxTrackedPrefixes int
	// MaxSequences is the batch size of a server whose Server.MaxSequences is 0.
	MaxSequences int
}

const (
	defaultSubsetSize         = 64
	defaultSampledServers     = 2
	defaultLoadBound          = 2
	defaultOtherZonePenalty   = 2 * time.Millisecond
	defaultPrefillPerToken    = 60 * time.Microsecond
	defaultPrefillWeight      = 1
	defaultFullBatchPenalty   = 200 * time.Millisecond
	defaultMeanDuration       = 5 * time.Second
	defaultDoublePricePenalty = 2 * time.Millisecond
	defaultLoadDecayTime      = 2 * time.Second
	defaultCacheHalfLife      = 5 * time.Minute
	defaultMaxTrackedPrefixes = 1 << 16
	defaultMaxSequences       = 32
)

func (o Options) withDefaults() Options {
	setDefault(&o.SubsetSize, defaultSubsetSize)
	setDefault(&o.SampledServers, defaultSampledServers)
	setDefault(&o.LoadBound, defaultLoadBound)
	setDefault(&o.OtherZonePenalty, defaultOtherZonePenalty)
	setDefault(&o.PrefillPerToken, defaultPrefillPerToken)
	setDefault(&o.PrefillWeight, defaultPrefillWeight)
	setDefault(&o.FullBatchPenalty, defaultFullBatchPenalty)
	setDefault(&o.MeanDuration, defaultMeanDuration)
	setDefault(&o.DoublePricePenalty, defaultDoublePricePenalty)
	setDefault(&o.LoadDecayTime, defaultLoadDecayTime)
	setDefault(&o.CacheHalfLife, defaultCacheHalfLife)
	setDefault(&o.MaxTrackedPrefixes, defaultMaxTrackedPrefixes)
	setDefault(&o.MaxSequences, defaultMaxSequences)
	o.SampledServers = min(o.SampledServers, maxSampledServers)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
