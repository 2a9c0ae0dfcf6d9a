package serverlimit

import "time"

// pause is the time until which a server wants no request from this daemon.
type pause struct {
	service string
	until   time.Time
}

// Pause records that a run of a server wants no request from this daemon for a time. A later
// end than that of an earlier pause counts.
func (c *Core) Pause(now time.Time, service, run string, d time.Duration) {
	until := now.Add(d)
	if d > 0 && until.After(c.pauses[run].until) {
		c.pauses[run] = pause{service: service, until: until}
	}
}

// IsPaused reports whether a run of a server wants no request now. Past pauses are dropped.
func (c *Core) IsPaused(now time.Time, run string) bool {
	p, ok := c.pauses[run]
	if ok && !now.Before(p.until) {
		delete(c.pauses, run)
		return false
	}
	return ok
}

// PauseLeft returns the time until the first of the servers of a service that have asked for
// a pause may be sent requests again, or 0 if none has.
func (c *Core) PauseLeft(now time.Time, service string) time.Duration {
	var left time.Duration
	for _, p := range c.pauses {
		if d := p.until.Sub(now); p.service == service && d > 0 && (left == 0 || d < left) {
			left = d
		}
	}
	return left
}
