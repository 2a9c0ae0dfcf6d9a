package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// cutRegions is the number of regions that lose contact with each other.
const cutRegions = 7

// BenchmarkRegionCut measures a loss of contact between all regions for three
// minutes: the bytes of the worst second for an average daemon, and how long
// the daemons take to know one another again.
func BenchmarkRegionCut(b *testing.B) {
	sizes := []int{63, 252, 588}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, n := range sizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			w := newBenchNetwork(b, n, membership.Options{})
			w.run(20 * time.Second)
			worst, healed := 0, time.Duration(0)
			second := func() {
				before := w.bytes
				w.run(time.Second)
				worst = max(worst, w.bytes-before)
			}
			for b.Loop() {
				w.regions = cutRegions
				for range 180 {
					second()
				}
				w.regions = 0
				took := time.Duration(0)
				for ; !w.joined() && took < 5*time.Minute; took += time.Second {
					second()
				}
				healed = max(healed, took)
			}
			b.ReportMetric(2*float64(worst)/float64(n), "worst-bytes/daemon-s")
			b.ReportMetric(healed.Seconds(), "healed-s")
			b.ReportMetric(float64(w.largest), "largest-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}
