package routing_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// BenchmarkPick measures the cost of a decision, which must not grow with the
// number of servers and must not allocate.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 256, 7000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) { benchmarkPick(b, n) })
	}
}

func benchmarkPick(b *testing.B, n int) {
	r := newRouter(routing.Options{Daemon: "daemon-0", AvailabilityZone: "zone-0"})
	list := servers(n)
	r.Update(epoch, group(list))
	queries := benchQueries(4096)
	for i := range queries {
		now := at(time.Duration(i) * time.Millisecond)
		d, err := r.Pick(now, &queries[i])
		if err != nil {
			b.Fatal(err)
		}
		id := strconv.Itoa(i)
		if err := r.Started(now, id, d.Server.Name, &queries[i]); err != nil {
			b.Fatal(err)
		}
		if i%4 != 0 {
			r.Finished(now, id, routing.Usage{PromptTokens: queries[i].PromptTokens})
		}
	}
	for i := range list {
		r.LoadReported(epoch, list[i].Name, engine.Load{Running: 4 + i%5, Waiting: i % 2, MeasuredAt: at(time.Second)})
	}
	now := at(5 * time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, err := r.Pick(now, &queries[i%len(queries)]); err != nil {
			b.Fatal(err)
		}
	}
}

// benchQueries returns queries with one of five system prompts and a conversation
// of up to three turns.
func benchQueries(n int) []routing.Query {
	queries := make([]routing.Query, n)
	for i := range queries {
		conversation := uint64(i / 3)
		prefixes := []routing.Prefix{{Hash: 1 + conversation%5, Tokens: 1500}}
		for turn := range i%3 + 1 {
			hash := conversation<<20 | uint64(turn+1)<<8
			prefixes = append(prefixes, routing.Prefix{Hash: hash * 0x9e3779b97f4a7c15, Tokens: 1600 + 200*turn})
		}
		queries[i] = routing.Query{Group: "chat", Prefixes: prefixes, PromptTokens: 2200}
	}
	return queries
}

// BenchmarkUpdate measures the cost of a membership change, which rebuilds the
// group's ring.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{16, 7000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			r := newRouter(routing.Options{Daemon: "daemon-0"})
			list := servers(n)
			b.ReportAllocs()
			for i := range b.N {
				r.Update(epoch, group(list[:n-i%2]))
			}
		})
	}
}
