package serverspeed

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
)

const (
	// reportPeriod is how long a sample is reported. It spans several messages, so that the loss
	// of one does not matter.
	reportPeriod = time.Second
	// maxReported is the number of samples that a daemon reports at a time. Of more samples,
	// those are left out for which there is no room when they are made.
	maxReported = 64
)

// Sample is one observation of a run.
type Sample struct {
	_   struct{} `cbor:",toarray"`
	Run uint32
	Log int
}

// Reports holds the recent samples of a daemon, numbered from First on.
type Reports struct {
	_       struct{} `cbor:",toarray"`
	First   uint64
	Samples []Sample
}

// reportLog holds the samples of this daemon that are reported.
type reportLog struct {
	first   uint64
	samples []Sample
	times   []time.Time
}

func (l *reportLog) add(now time.Time, s Sample) {
	l.expire(now)
	if len(l.samples) < maxReported {
		l.samples, l.times = append(l.samples, s), append(l.times, now)
	}
}

func (l *reportLog) expire(now time.Time) {
	n := 0
	for n < len(l.times) && now.Sub(l.times[n]) > reportPeriod {
		n++
	}
	l.first += uint64(n)
	l.samples, l.times = slices.Delete(l.samples, 0, n), slices.Delete(l.times, 0, n)
}

// Reports returns the recent samples of this daemon, or nil if there are none.
func (c *Core) Reports(now time.Time) *Reports {
	c.own.expire(now)
	if len(c.own.samples) == 0 {
		return nil
	}
	return &Reports{First: c.own.first, Samples: slices.Clone(c.own.samples)}
}

// Report applies the samples of another daemon and skips those that were applied before.
func (c *Core) Report(now time.Time, daemon string, incarnation uint64, r *Reports) {
	if r == nil {
		return
	}
	seen := c.seen[daemon]
	if seen.incarnation != incarnation {
		seen = seenReports{incarnation: incarnation}
	}
	from := uint32(xxhash.Sum64String(daemon))
	for i := range r.Samples[:min(len(r.Samples), maxReported)] {
		if r.First+uint64(i) >= seen.next {
			c.add(now, r.Samples[i].Run, from, min(max(r.Samples[i].Log, minLog), maxLog))
		}
	}
	seen.next = max(seen.next, r.First+uint64(len(r.Samples)))
	c.seen[daemon] = seen
}

// Forget removes what is kept of a daemon that has left.
func (c *Core) Forget(daemon string) { delete(c.seen, daemon) }

// Told returns the estimates that another daemon lacks.
func (c *Core) Told(now time.Time, to string, acknowledged changelog.Position) *Told {
	c.updateTold(now)
	keys, span := c.log.Since(to, acknowledged, func(uint32) bool { return true }, maxEntriesPerMessage)
	told := &Told{Span: span, Entries: make([]Entry, 0, len(keys))}
	for _, id := range keys {
		e := c.runs[id].told
		if e.Samples > 0 {
			e.AgeMillis = now.Sub(c.runs[id].sampledAt).Milliseconds()
		}
		told.Entries = append(told.Entries, e)
	}
	return told
}

// updateTold records which estimates have changed enough to be told.
func (c *Core) updateTold(now time.Time) {
	for _, s := range c.services {
		if now.Sub(s.refreshedAt) < s.refreshInterval() {
			continue
		}
		s.refresh(now, false)
		for id, r := range s.runs {
			e := Entry{Run: id, Samples: r.count, Deviation: int(r.deviation)}
			if now.Sub(r.sampledAt) > slowWindow+4*forgetHalfLife {
				e.Samples = 0
			}
			if e.Samples >= minSamples {
				e.Log = int(math.Round(r.estimated - s.mean))
			} else {
				e = Entry{Run: id}
			}
			known, knew := e.Samples > 0, r.told.Samples > 0
			if known != knew || known && (abs(e.Log-r.told.Log) >= toldStep || e.Samples >= 2*minSamples && r.told.Samples < 2*minSamples) {
				r.told = e
				c.log.Record(id, "")
			}
		}
	}
}

func abs(n int) int { return max(n, -n) }

// Hear applies the estimates that another daemon has told and returns how far its changes have
// been received.
func (c *Core) Hear(now time.Time, received changelog.Position, told *Told) changelog.Position {
	if told == nil {
		return received
	}
	c.toldAt = now
	for i := range told.Entries {
		e := &told.Entries[i]
		e.Log = min(max(e.Log, minLog), maxLog)
		if r, ok := c.runs[e.Run]; ok {
			r.heard, r.heardAt = *e, now
		} else if len(c.early) < maxEarly {
			c.early[e.Run] = earlyEntry{*e, now}
		}
	}
	received, _ = received.Advance(told.Span)
	return received
}

// StopHearing makes the own estimates count alone, at a daemon that receives the reports of all.
func (c *Core) StopHearing() { c.toldAt = time.Time{} }

// NewEntry returns an entry with a speed that is known for certain, as a multiple of the mean.
func NewEntry(run uint32, factor float64) Entry {
	return Entry{Run: run, Log: toLog(factor), Samples: keptSamples}
}
