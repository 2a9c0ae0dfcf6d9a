package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

// BenchmarkPick measures one decision for several numbers of engines, after
// 2,000 shared prompts have been prefilled.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{12, 140, 7000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c := newCoreWithOptions(placement.Options{Seed: 1}, engines, 0)
			for i := range 2000 {
				q := engineQuery(at(i), fmt.Sprintf("g%d", i), 100)
				q.Deadline = at(i).Add(time.Hour)
				q.LatencyTarget = time.Hour
				d, err := c.Pick(at(i), q)
				if err != nil {
					b.Fatal(err)
				}
				c.Started(at(i), fmt.Sprint(i), &d, q)
				c.FirstEvent(at(i), fmt.Sprint(i))
				c.Finished(at(i), fmt.Sprint(i), placement.ResultAnswered)
			}
			queries := make([]*placement.Query, 100)
			for i := range queries {
				queries[i] = engineQuery(at(2000), fmt.Sprintf("g%d", i*7), 100)
			}
			b.ResetTimer()
			for i := range b.N {
				if _, err := c.Pick(at(2000), queries[i%len(queries)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
