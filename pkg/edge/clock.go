package edge

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// bootClock counts the time that the host was suspended, which the monotonic
// clock leaves out: a lease runs on meanwhile.
type bootClock struct{ clock.RealClock }

// Now returns the time since boot as a time; it tells durations only.
func (bootClock) Now() time.Time { return bootNow() }

// Since returns the time that has passed.
func (bootClock) Since(at time.Time) time.Duration { return bootNow().Sub(at) }

func bootNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		klog.ErrorS(err, "the clock since boot cannot be read; the time of day stands in")
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
