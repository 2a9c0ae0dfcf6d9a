package streamversion

import (
	"strconv"
	"time"
)

// A stream may be taken up for as long as the configuration says that was in force when it began.
// The ages of streams that were in force are kept like the versions of a further service: in the
// history that daemons tell one another, and in the store.

// agesOfStreams is the name under which they are kept. Names of services have no spaces.
const agesOfStreams = "ages of streams"

// configurationLag is how much later than this daemon another one may put a configuration in force.
const configurationLag = 10 * time.Second

// SetStreamAge sets how long after a stream has begun a caller may take it up, as the configuration in
// force says. Streams that have begun before keep theirs.
func (c *Core) SetStreamAge(now time.Time, age time.Duration) {
	text := strconv.FormatInt(age.Milliseconds(), 10)
	use := c.versions.use(Origin{Service: agesOfStreams, Version: text})
	if c.ageText != "" && c.ageText != text {
		before := c.versions.use(Origin{Service: agesOfStreams, Version: c.ageText})
		before.servers, before.endedAt, before.leftAt = 0, now.Add(configurationLag), now
		c.versions.configuredAt = now
	}
	if c.ageText == "" {
		c.versions.configuredAt = now
	}
	if use.servers == 0 {
		use.joined(now, c.StreamAge(now))
	}
	use.servers, c.ageText, c.streamAge = 1, text, age
	c.versions.forget(now, agesOfStreams, c.StreamAge(now))
}

// StreamAge returns how long after its begin any stream may still be taken up: the longest of the ages
// under which streams have begun that may be open still.
func (c *Core) StreamAge(now time.Time) time.Duration {
	longest := c.streamAge
	for text, use := range c.versions.services[agesOfStreams] {
		millis, err := strconv.ParseInt(text, 10, 64)
		if age := time.Duration(millis) * time.Millisecond; err == nil && use.servers == 0 && now.Sub(use.end()) < age {
			longest = max(longest, age)
		}
	}
	return longest
}
