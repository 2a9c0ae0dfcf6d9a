package shutdown

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of times that are kept for each kind of request.
	maxSamples = 32
	// maxKinds limits the kinds of requests. Kinds of earlier configurations remain until it
	// is reached.
	maxKinds = 4096
)

// Durations holds the times that recent requests of each kind took. The zero value is empty.
type Durations struct{ kinds map[string]*samples }

// samples holds the last times of one kind; next is the place of the next one.
type samples struct {
	times []time.Duration
	next  int
}

// Add records the time that a request of some kinds took.
func (d *Durations) Add(took time.Duration, kinds ...string) {
	for _, kind := range kinds {
		d.add(kind, took)
	}
}

func (d *Durations) add(kind string, took time.Duration) {
	s := d.kinds[kind]
	if s == nil {
		if d.kinds == nil || len(d.kinds) >= maxKinds {
			d.kinds = make(map[string]*samples)
		}
		s = &samples{}
		d.kinds[kind] = s
	}
	if len(s.times) < maxSamples {
		s.times = append(s.times, took)
		return
	}
	s.times[s.next] = took
	s.next = (s.next + 1) % maxSamples
}

// Recent returns the times that recent requests took, in no order: those of the first of the kinds
// of which enough is known.
func (d *Durations) Recent(kinds ...string) []time.Duration {
	for _, kind := range kinds {
		if s := d.kinds[kind]; s != nil && len(s.times) >= minSamples {
			return slices.Clone(s.times)
		}
	}
	return nil
}
