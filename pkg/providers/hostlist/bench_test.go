package hostlist_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/hostlist"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/hostlist"
)

// BenchmarkList measures a poll of the simulated host list over loopback,
// including the work of the server.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{16, 256, 7000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			s, err := standin.New(standin.Options{Address: "127.0.0.1:0"})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			var entries []membership.ListEntry
			for i := range n {
				e := entry(fmt.Sprintf("engine-%05d", i), 1)
				e.Address = fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)
				entries = append(entries, e)
			}
			s.Put(entries...)
			c := hostlist.NewClient(hostlist.Options{URL: s.URL()})
			defer c.Close()
			for b.Loop() {
				if _, err := c.List(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkParse measures the parser and reports the size of the list before
// and after compression.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{16, 256, 7000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			list := []byte("[")
			for i := range n {
				if i > 0 {
					list = append(list, ',')
				}
				list = fmt.Appendf(list, `{"targets":["10.1.%d.%d:8000"],"labels":{"name":"engine-%05d","kind":"engine","pool":"pool-%02d",`+
					`"availability_zone":"region-1-zone-%02d","machine_class":"a8","purchase":"reclaimable","state":"live","incarnation":"%d"}}`,
					i/250, i%250, i, i%18, i%18, 1796330781000+i*7919)
			}
			list = append(list, ']')
			for b.Loop() {
				if _, err := hostlist.Parse(list, n); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(list)), "list-bytes")
			b.ReportMetric(float64(len(fasthttp.AppendGzipBytes(nil, list))), "gzip-bytes")
		})
	}
}
