package gateway

import (
	"bufio"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// BenchmarkRelayToken measures the cost of one token event between the chat
// handler and the buffered response: the channel, the encoding, the latency
// histogram and the write.
func BenchmarkRelayToken(b *testing.B) {
	metrics, err := newMetrics(prometheus.NewRegistry())
	if err != nil {
		b.Fatal(err)
	}
	x := &exchange{
		server:  &Server{options: Options{Clock: clock.RealClock{}}, metrics: metrics},
		started: time.Now(),
		request: api.Request{ID: "daemon-1.6ba7b810-9dad-11d1-80b4-00c04fd430c8"},
	}
	events := make(chan api.TokenEvent, streamBufferEvents)
	w := &eventWriter{exchange: x, model: "club-assistant", events: events, timer: x.newTokenTimer()}
	w.buildPrefix()
	out := bufio.NewWriter(io.Discard)
	go func() {
		defer close(events)
		for i := range b.N {
			events <- api.TokenEvent{Offset: i, Text: "token "}
		}
	}()
	b.ReportAllocs()
	b.ResetTimer()
	if err := w.write(out, api.TokenEvent{Text: "token "}); err != nil {
		b.Fatal(err)
	}
}
