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
	Choices int
	// LoadBound is how far the load of a server that is picked for a prefix
	// may exceed the group's mean, as a factor.
	LoadBound float64
	// OtherZone is the time added for a server in another zone.
	OtherZone time.Duration
	// PrefillPerToken is the first estimate of a server's prefill time per
	// token; observed first tokens correct it.
	PrefillPerToken time.Duration
	// PrefillWeight is the share of the request's own prefill time that is
	// added for each other request of the server, since the prefill delays
	// them. It keeps prefixes together the more, the fuller the servers are.
	PrefillWeight float64
	// FullBatch is the time added for a server whose batch is full, and in
	// proportion for one that is partly full.
	FullBatch time.Duration
	// MeanDuration is the first estimate of how long a request runs;
	// finished requests correct it.
	MeanDuration time.Duration
	// PriceWeight is the time added for a server at twice the lowest price
	// of its group.
	PriceWeight time.Duration
	// LoadMemory is the age at which a reported difference from the mean
	// load has shrunk to 1/e.
	LoadMemory time.Duration
	// CacheHalfLife is the age at which an unconfirmed cached prefix counts
	// half.
	CacheHalfLife time.Duration
	// CachedPrefixes bounds the number of prefixes that are tracked.
	CachedPrefixes int
	// Sequences is the batch size of a server that does not state its own.
	Sequences int
}

const (
	defaultSubsetSize      = 64
	defaultChoices         = 2
	defaultLoadBound       = 2
	defaultOtherZone       = 2 * time.Millisecond
	defaultPrefillPerToken = 60 * time.Microsecond
	defaultPrefillWeight   = 1
	defaultFullBatch       = 200 * time.Millisecond
	defaultMeanDuration    = 5 * time.Second
	defaultPriceWeight     = 2 * time.Millisecond
	defaultLoadMemory      = 2 * time.Second
	defaultCacheHalfLife   = 5 * time.Minute
	defaultCachedPrefixes  = 1 << 16
	defaultSequences       = 32
)

func (o Options) withDefaults() Options {
	setDefault(&o.SubsetSize, defaultSubsetSize)
	setDefault(&o.Choices, defaultChoices)
	setDefault(&o.LoadBound, defaultLoadBound)
	setDefault(&o.OtherZone, defaultOtherZone)
	setDefault(&o.PrefillPerToken, defaultPrefillPerToken)
	setDefault(&o.PrefillWeight, defaultPrefillWeight)
	setDefault(&o.FullBatch, defaultFullBatch)
	setDefault(&o.MeanDuration, defaultMeanDuration)
	setDefault(&o.PriceWeight, defaultPriceWeight)
	setDefault(&o.LoadMemory, defaultLoadMemory)
	setDefault(&o.CacheHalfLife, defaultCacheHalfLife)
	setDefault(&o.CachedPrefixes, defaultCachedPrefixes)
	setDefault(&o.Sequences, defaultSequences)
	o.Choices = min(o.Choices, maxSampled)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
