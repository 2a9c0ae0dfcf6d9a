package edge

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// bootClock measures time since boot, including the time that the host is
// suspended. The monotonic clock does not advance during suspension, but leases
// keep expiring.
type bootClock struct{ clock.RealClock }

// Now returns the time since boot as a time.Time. Only differences between two
// such values are meaningful.
func (bootClock) Now() time.Time { return bootNow() }

// Since returns the time elapsed since at.
func (bootClock) Since(at time.Time) time.Duration { return bootNow().Sub(at) }

// bootCheckInterval is how often a deadline on the boot-time clock is checked.
const bootCheckInterval = 50 * time.Millisecond

// withBootTimeout returns a context that ends after a time in which the host may be suspended. The
// deadline of a context does not advance meanwhile.
func withBootTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	deadline := bootNow().Add(timeout)
	go func() {
		tick := time.NewTicker(bootCheckInterval)
		defer tick.Stop()
		for bootNow().Before(deadline) {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		cancel()
	}()
	return ctx, cancel
}

func bootNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		klog.ErrorS(err, "boot-time clock cannot be read; using the wall clock instead")
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
