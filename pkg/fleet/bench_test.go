package fleet_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// BenchmarkZoneLoss measures what a daemon sends to a peer when a zone's share of the
// servers leaves, and the peer's merge; the first is the idle message.
func BenchmarkZoneLoss(b *testing.B) {
	for _, n := range []int{144, 7000} {
		for _, leaving := range []int{0, n / 18} {
			b.Run(fmt.Sprintf("servers=%d/leaving=%d", n, leaving), func(b *testing.B) {
				var size int
				for b.Loop() {
					b.StopTimer()
					hub, leaf := fleet.New(fleet.Options{Run: 1}), fleet.New(fleet.Options{Run: 2})
					var entries []fleet.Entry
					for i := range n {
						s := &fleet.Server{ID: fmt.Sprintf("i-%010x", i), Service: "tutor-llm", Address: fmt.Sprintf("10.%d.%d.%d:8447", i/2500, i/50%50, i%50),
							AvailabilityZone: "tbilisi-a", Slots: 24, StartedUnixMilli: 1_796_000_000_000}
						entries = append(entries, fleet.Entry{ID: s.ID, Server: s, Version: table.Version(i + 1)})
					}
					hub.ApplySnapshot(at(0), table.Version(n), entries)
					leaf.ApplySnapshot(at(0), table.Version(n), entries)
					for i := range leaving {
						s := *entries[i].Server
						s.Leaving = true
						hub.ApplyChanges(at(0), table.Version(n+i+1), []fleet.Entry{{ID: s.ID, Server: &s}})
					}
					acknowledged := changelog.Position{Run: 1, Revision: uint64(n)}
					b.StartTimer()
					v := hub.ViewFor("leaf", acknowledged, leaf.Digest(), true)
					encoded, err := cbor.Marshal(&v)
					if err != nil {
						b.Fatal(err)
					}
					var decoded fleet.View
					if err := cbor.Unmarshal(encoded, &decoded); err != nil {
						b.Fatal(err)
					}
					leaf.Merge(at(0), "hub", acknowledged, &decoded)
					size = len(encoded)
				}
				b.ReportMetric(float64(size), "bytes/message")
			})
		}
	}
}
