package streamversion

import "time"

// SeveralVersions reports whether this daemon knows that several versions of a service may have
// begun streams which callers can still take up. A daemon that has just started may not know it yet.
func (c *Core) SeveralVersions(now time.Time, service string) bool {
	count, age := 0, c.StreamAge(now)
	for _, use := range c.versions.services[service] {
		if use.mayBeInUse(now, age) {
			count++
		}
	}
	return count > 1
}

// needsRecords reports whether streams of a service can go on after a loss of all daemons only if the
// store has their records: the service has several versions, or the row of the versions in use was
// read and tells too little, and this daemon has not seen the servers for long enough either.
func (c *Core) needsRecords(now time.Time, service string) bool {
	return c.versions.rowIncomplete && !c.Covered(now) || c.SeveralVersions(now, service)
}

// MergeStreams adds the records that a daemon has stored.
func (c *Core) MergeStreams(now time.Time, b *Batch) { c.store(now, b) }
