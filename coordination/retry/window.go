package retry

import "time"

// WindowOptions configures how many retries a Window allows.
type WindowOptions struct {
	// Length is the length of the sliding window.
	Length time.Duration
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// ProcessStart is when the process started. What an earlier run of it has spent
	// of the fixed number is unknown, so that the number is allowed only once a
	// whole window has passed.
	ProcessStart time.Time
}

// windowSlices is the number of time slices of a Window. Because of the slices,
// retries are counted for up to one slice longer than the window, and requests for
// up to one slice less.
const windowSlices = 10

// Window limits retries to a ratio of the requests in a sliding time window plus a
// fixed number. Unlike a Budget, it allows all retries of a window at once, for
// example when many streams break at the same time. It is not safe for concurrent
// use.
type Window struct {
	options WindowOptions
	// slices is a ring buffer with the counts of the latest time slices, indexed
	// by slice number modulo its length. It holds one slice more than the window.
	slices [windowSlices + 1]windowSlice
}

type windowSlice struct {
	sliceNumber int64
	requests    int
	retries     int
}

// NewWindow returns a Window without requests.
func NewWindow(options WindowOptions) *Window { return &Window{options: options} }

func (w *Window) currentSlice(now time.Time) *windowSlice {
	sliceNumber := w.sliceNumber(now)
	s := &w.slices[sliceNumber%int64(len(w.slices))]
	if s.sliceNumber != sliceNumber {
		*s = windowSlice{sliceNumber: sliceNumber}
	}
	return s
}

func (w *Window) sliceNumber(now time.Time) int64 {
	return now.UnixNano() / (w.options.Length.Nanoseconds() / windowSlices)
}

// RecordRequest counts a request that arrived at now.
func (w *Window) RecordRequest(now time.Time) { w.currentSlice(now).requests++ }

// Remaining returns how many retries are allowed now. fixed is the number that is
// allowed without any requests.
func (w *Window) Remaining(now time.Time, fixed float64) float64 {
	if now.Sub(w.options.ProcessStart) < w.options.Length {
		fixed = 0
	}
	newest := w.sliceNumber(now)
	requests, retries := 0, 0
	for i := range w.slices {
		s := &w.slices[i]
		age := newest - s.sliceNumber
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

// TrySpend reports whether a retry is allowed now, and counts it if so.
func (w *Window) TrySpend(now time.Time, fixed float64) bool {
	if w.Remaining(now, fixed) < 1 {
		return false
	}
	w.currentSlice(now).retries++
	return true
}
