package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// partitionedRegions is the number of regions that the partition separates.
const partitionedRegions = 7

// BenchmarkRegionCut measures a network partition between all regions that lasts
// three minutes: the largest number of bytes in one second for an average daemon,
// and how long it takes until all daemons see one another as alive again.
func BenchmarkRegionCut(b *testing.B) {
	sizes := []int{63, 252, 588}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, n := range sizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			w := newBenchNetwork(b, n, membership.Options{})
			w.run(20 * time.Second)
			worstBytes, rejoinTime := 0, time.Duration(0)
			runSecond := func() {
				before := w.bytes
				w.run(time.Second)
				worstBytes = max(worstBytes, w.bytes-before)
			}
			for b.Loop() {
				w.regions = partitionedRegions
				for range 180 {
					runSecond()
				}
				w.regions = 0
				took := time.Duration(0)
				for ; !w.joined() && took < 5*time.Minute; took += time.Second {
					runSecond()
				}
				rejoinTime = max(rejoinTime, took)
			}
			b.ReportMetric(2*float64(worstBytes)/float64(n), "worst-bytes/daemon-s")
			b.ReportMetric(rejoinTime.Seconds(), "healed-s")
			b.ReportMetric(float64(w.largestBytes), "largest-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}
