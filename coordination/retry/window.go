package retry

import "time"

// WindowOptions say how many repeats a window of time may hold.
type WindowOptions struct {
	// Length is the window's length.
	Length time.Duration
	// Ratio is the number of repeats per request that arrived in the window.
	Ratio float64
}

// windowSlices is how many slices a Window counts its time in: repeats stay
// counted for up to a slice longer than the window, requests for up to one
// shorter.
const windowSlices = 10

// Window bounds repeats in relation to the requests of the same time, plus a
// fixed number. Unlike a Budget it allows the repeats of a whole window at once,
// as when many streams break together. It is not safe for concurrent use.
type Window struct {
	options WindowOptions
	// slices hold the counts of the newest slices of time, by number modulo
	// their count; one more than the window covers.
	slices [windowSlices + 1]windowSlice
}

type windowSlice struct {
	number   int64
	requests int
	retries  int
}

// NewWindow returns a Window without requests.
func NewWindow(options WindowOptions) *Window { return &Window{options: options} }

func (w *Window) currentSlice(now time.Time) *windowSlice {
	number := w.number(now)
	s := &w.slices[number%int64(len(w.slices))]
	if s.number != number {
		*s = windowSlice{number: number}
	}
	return s
}

func (w *Window) number(now time.Time) int64 {
	return now.UnixNano() / (w.options.Length.Nanoseconds() / windowSlices)
}

// Arrived counts a request.
func (w *Window) RecordRequest(now time.Time) { w.currentSlice(now).requests++ }

// Left returns how many repeats may be made now; fixed is allowed without
// requests.
func (w *Window) Remaining(now time.Time, fixed float64) float64 {
	newest := w.number(now)
	requests, retries := 0, 0
	for i := range w.slices {
		s := &w.slices[i]
		age := newest - s.number
		if age > windowSlices {
			continue
		}
		retries += s.retries
		if age < windowSlices {
			requests += s.requests
		}
	}
	return fixed + w.options.Ratio*float64(requests) - float64(retries)
}

// Spend counts a repeat if it may be made.
func (w *Window) TrySpend(now time.Time, fixed float64) bool {
	if w.Remaining(now, fixed) < 1 {
		return false
	}
	w.currentSlice(now).retries++
	return true
}
