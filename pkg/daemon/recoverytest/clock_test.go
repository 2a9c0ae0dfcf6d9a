package recoverytest

import (
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"
)

// jumpingClock is the real clock plus an offset. Jumping forward simulates how a
// process sees the time after it was paused.
type jumpingClock struct {
	clock.RealClock
	offset atomic.Int64
}

func (c *jumpingClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (c *jumpingClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c *jumpingClock) jump(d time.Duration) { c.offset.Add(int64(d)) }
