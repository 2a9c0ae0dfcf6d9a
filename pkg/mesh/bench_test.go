package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
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
		r.Placed = append(r.Placed, placement.Placed{Sequence: uint64(i), Server: 7, PrefixHashes: []uint64{1 << 60, 1 << 61}, Uncached: 3000})
	}
	r.Usage = usage.Windows{1: counts, 2: counts, 3: counts}
	return r
}

// loads returns the summed loads of a number of servers.
func loads(servers int) []placement.ServerLoad {
	list := make([]placement.ServerLoad, servers)
	for i := range list {
		list[i] = placement.ServerLoad{Server: uint32(i) * 2654435761, Running: 20, PrefillTokens: 9000, KVTokens: 90_000, Generating: 12, InsertedTokens: 4_000_000}
	}
	return list
}

// digestOf returns the digest that a hub sends in a deployment of a number of daemons,
// with a server and three requests a second for each.
func digestOf(daemons int) *mesh.Digest {
	d := &mesh.Digest{Daemons: daemons, Loads: loads(min(daemons, 250)), Quota: quota.Levels{Level: make(map[string]float64), Settled: true}}
	for i := range 16 {
		d.Quota.Level[fmt.Sprintf("account%02d", i)] = 65432
	}
	return d
}

// placements returns a list of placements.
func placements(n int) []placement.Placed {
	list := make([]placement.Placed, n)
	for i := range list {
		list[i] = placement.Placed{Server: 1 << 30, Origin: 1 << 29, PrefixHashes: []uint64{1 << 60}, Uncached: 3000}
	}
	return list
}

// BenchmarkLeafExchange measures one exchange of a leaf with a hub, without the calls of
// its cores: the leaf encodes its own record and decodes the hub's digest and the
// placements of 0.4 s, a quarter of which are news.
func BenchmarkLeafExchange(b *testing.B) {
	for _, n := range []int{64, 295, 590} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			own := &mesh.Message{Record: busyRecord(n)}
			own.Record.Quota.Level = nil
			log := mesh.NewDigestLog(1)
			now := time.Unix(1000, 0)
			for i := range 4 {
				if err := log.Put(now.Add(time.Duration(i)*100*time.Millisecond), digestOf(n), nil, placements(n*3/10/4)); err != nil {
					b.Fatal(err)
				}
			}
			hub := &mesh.Message{Record: mesh.Record{Node: "hub", Incarnation: 1, Sequence: 1, Partial: true}}
			log.Fill(hub, "self", changelog.Position{})
			encoded, err := hub.Encode()
			if err != nil {
				b.Fatal(err)
			}
			d := mesh.NewDirectory("self", 1, 1, options)
			b.ReportAllocs()
			var sent int
			for b.Loop() {
				payload, err := own.Encode()
				if err != nil {
					b.Fatal(err)
				}
				sent = len(payload)
				m, err := mesh.DecodeMessage(encoded)
				if err != nil {
					b.Fatal(err)
				}
				d.UpdateNeighbor(now, m, false)
				if _, err := m.DecodeDigest(); err != nil {
					b.Fatal(err)
				}
				if _, err := m.DecodePlaced(changelog.Position{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes-received/exchange")
			b.ReportMetric(float64(sent), "bytes-sent/exchange")
		})
	}
}

// BenchmarkHubExchange measures what an exchange with a leaf costs a hub: decoding the
// leaf's record, and adding the digest, which several leaves share, to its answer.
func BenchmarkHubExchange(b *testing.B) {
	for _, n := range []int{64, 295, 590} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			leaf := &mesh.Message{Record: busyRecord(n)}
			leaf.Record.Quota.Level = nil
			encoded, err := leaf.Encode()
			if err != nil {
				b.Fatal(err)
			}
			log := mesh.NewDigestLog(1)
			now := time.Unix(1000, 0)
			if err := log.Put(now, digestOf(n), nil, placements(n*3/10)); err != nil {
				b.Fatal(err)
			}
			d := mesh.NewDirectory("self", 1, 1, options)
			b.ReportAllocs()
			for b.Loop() {
				m, err := mesh.DecodeMessage(encoded)
				if err != nil {
					b.Fatal(err)
				}
				d.UpdateNeighbor(now, m, true)
				d.MergeRecord(now, &m.Record)
				answer := &mesh.Message{Record: mesh.Record{Node: "hub", Incarnation: 1, Sequence: 1, Partial: true}}
				log.Fill(answer, "self", changelog.Position{})
				if _, err := answer.Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
