package contention

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// span is the time within which all daemons give the same answer to a caller who repeats a
	// request.
	span = 300 * time.Millisecond
	// drawStep is by how much a caller's place in [0, 1) moves from span to span. Steps of the
	// golden ratio visit all places evenly, so that no caller is refused for long.
	drawStep = 0.6180339887498949
)

// Salts for independent values from one hash.
const (
	saltPlace = iota + 1
	saltShift
	saltRetry
)

// hashFraction returns a value in [0, 1) that depends on the caller and a salt.
func hashFraction(caller uint64, salt byte, number int64) float64 {
	var input [17]byte
	binary.LittleEndian.PutUint64(input[:8], caller)
	binary.LittleEndian.PutUint64(input[8:16], uint64(number))
	input[16] = salt
	return float64(xxhash.Sum64(input[:])>>11) / (1 << 53)
}

// spanOf returns the number of the caller's span at a time. Spans of different callers begin at
// different times.
func spanOf(caller uint64, wall time.Time) int64 {
	shift := time.Duration(hashFraction(caller, saltShift, 0) * float64(span))
	return wall.Add(shift).UnixNano() / int64(span)
}

// draw returns the caller's place in [0, 1) in a span. It is admitted if the place is less than
// the fraction in force.
func draw(caller uint64, number int64) float64 {
	_, place := math.Modf(hashFraction(caller, saltPlace, 0) + float64(number%(1<<20))*drawStep)
	return place
}

// retrySpans holds how many spans later refused callers come back, for fractions of at least
// the given ones. With each of these numbers a caller's place visits all of [0, 1) in a few steps.
var retrySpans = []struct {
	fraction float64
	spans    []int64
}{{0.5, []int64{1, 2, 3}}, {0.2, []int64{2, 3, 4, 6, 7}}, {0, []int64{4, 6, 7, 9, 10}}}

// retryAfter returns when a refused caller may come back: in the middle of one of its next
// spans, later the smaller the fraction. Callers that are refused together come back spread, as
// their spans begin at different times. The span in which a caller will be admitted is not
// told: callers that return are mostly too late for their targets, and would take the room of
// new ones that are not.
func retryAfter(caller uint64, wall time.Time, fraction float64) time.Duration {
	for _, r := range retrySpans {
		if fraction >= r.fraction {
			later := r.spans[int(hashFraction(caller, saltRetry, 0)*float64(len(r.spans)))]
			shift := time.Duration(hashFraction(caller, saltShift, 0) * float64(span))
			passed := time.Duration(wall.Add(shift).UnixNano()) % span
			return time.Duration(later)*span + span/2 - passed
		}
	}
	return span
}
