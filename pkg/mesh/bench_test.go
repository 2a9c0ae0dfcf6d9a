package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/quota"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// busyRecord returns the record of a daemon with twelve requests in progress and
// sixteen accounts.
func busyRecord(node int) mesh.Record {
	r := mesh.Record{Node: fmt.Sprintf("edge-zone-a-%03d", node), Incarnation: 1, Sequence: 1, Loads: make(map[string]placement.Load),
		Quota: quota.Totals{Used: make(map[string]float64), Level: make(map[string]float64), Settled: true},
		Work:  map[string]placement.Work{"service": {Requests: 1000, PrefillTokens: 3_000_000}}}
	counts := make(usage.Counts)
	for i := range 12 {
		r.Loads[fmt.Sprintf("i-%08x", node*12+i)] = placement.Load{Running: 1, PrefillTokens: 3000, KVTokens: 5000}
	}
	for i := range 16 {
		account := fmt.Sprintf("account%02d", i)
		r.Quota.Used[account], r.Quota.Level[account] = 123456.5, 65432.1
		counts[account] = 40
	}
	for i := range 4 {
		r.Placed = append(r.Placed, placement.Placed{Sequence: uint64(i), Server: "i-0000abcd", PrefixHashes: []uint64{1 << 60, 1 << 61}, Uncached: 3000})
	}
	r.Usage = usage.Windows{1: counts, 2: counts, 3: counts}
	return r
}

// BenchmarkLeafExchange measures one exchange of a leaf with a hub that forwards
// the records of all daemons: the leaf encodes its own message, decodes the
// hub's message and stores the records.
func BenchmarkLeafExchange(b *testing.B) {
	for _, n := range []int{7, 64, 590} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			own := &mesh.Message{Record: busyRecord(n)}
			hub := &mesh.Message{Record: busyRecord(0)}
			for i := 1; i < n; i++ {
				r := busyRecord(i)
				r.Quota.Level, r.Usage, r.Work = nil, nil, nil
				hub.Records = append(hub.Records, r)
			}
			encoded, err := hub.Encode()
			if err != nil {
				b.Fatal(err)
			}
			d := mesh.NewDirectory("self", 1, options)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := own.Encode(); err != nil {
					b.Fatal(err)
				}
				m, err := mesh.DecodeMessage(encoded)
				if err != nil {
					b.Fatal(err)
				}
				d.UpdateNeighbor(now, m, false)
				for j := range m.Records {
					m.Records[j].Sequence = uint64(i + 2)
					d.MergeRecord(now, &m.Records[j])
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes/exchange")
		})
	}
}
