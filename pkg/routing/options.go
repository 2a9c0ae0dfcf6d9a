package routing

import "time"

// Options are the settings of a Router. A zero value of a field means its
// default.
type Options struct {
	// Daemon is the name of this daemon; it selects the subset of servers.
	Daemon string
	// AvailabilityZone is the zone of this daemon.
	AvailabilityZone string
	// SubsetSize is how many servers of a group this daemon samples from.
	SubsetSize int
	// Choices is how many servers are sampled for each decision. Candidates
	// found by their prefix take the place of samples.
	SampledServers int
	// LoadBound is how far the load of a server that is picked for a prefix
	// may exceed the group's mean, as a factor.
	LoadBound float64
	// OtherZonePenalty is the time added for a server in another zone.
	OtherZonePenalty time.Duration
	// PrefillPerToken is the first estimate of a server's prefill time per
	// token; observed first tokens correct it.
	PrefillPerToken time.Duration
	// PrefillWeight is the share of the request's own prefill time that is
	// added for each other request of the server, since the prefill delays
	// them. It keeps prefixes together the more, the fuller the servers are.
	PrefillWeight float64
	// FullBatchPenalty is the time added for a server whose batch is full, and in
	// proportion for one that is partly full.
	FullBatchPenalty time.Duration
	// MeanDuration is the first estimate of how long a request runs;
	// finished requests correct it.
	MeanDuration time.Duration
	// DoublePricePenalty is the time added for a server at twice the lowest price
	// of its group.
	DoublePricePenalty time.Duration
	// LoadDecayTime is the age at which a reported difference from the mean
	// load has shrunk to 1/e.
	LoadDecayTime time.Duration
	// CacheHalfLife is the age at which an unconfirmed cached prefix counts
	// half.
	CacheHalfLife time.Duration
	// MaxTrackedPrefixes bounds the number of prefixes that are tracked.
	MaxTrackedPrefixes int
	// Sequences is the batch size of a server that does not state its own.
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
