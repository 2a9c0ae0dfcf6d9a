package deferred_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
)

const (
	// timePerToken is the target time between tokens.
	timePerToken  = 37 * time.Millisecond
	requestTokens = 900
)

// crashMeasurement runs one request whose daemon crashes once. Each token advances
// a virtual clock.
type crashMeasurement struct {
	cluster  *testCluster
	clock    *clocktesting.FakeClock
	interval time.Duration
	lastSave time.Time
	crash    chan struct{}
}

// beforeToken returns a hook that advances the clock and waits for the save that
// the previous token triggered, like a store that responds within the time of one
// token. It blocks the first daemon's chat at offset crashAt.
func (m *crashMeasurement) beforeToken(crashAt int) func(context.Context, string, int) error {
	crashed := false
	rows := m.cluster.table.Stats().RowsWritten
	return func(ctx context.Context, _ string, offset int) error {
		if now := m.clock.Now(); offset > 0 && now.Sub(m.lastSave) >= m.interval {
			m.lastSave = now
			for m.cluster.table.Stats().RowsWritten == rows && ctx.Err() == nil {
				time.Sleep(20 * time.Microsecond)
			}
		}
		rows = m.cluster.table.Stats().RowsWritten
		if offset == crashAt && !crashed {
			crashed = true
			close(m.crash)
			<-ctx.Done()
		}
		m.clock.Step(timePerToken)
		return ctx.Err()
	}
}

// run returns the number of tokens generated twice and of rows written.
func (m *crashMeasurement) run(b *testing.B, req *api.ChatRequest, crashAt int) (regenerated int, rows uint64) {
	c := newChat()
	m.lastSave = m.clock.Now()
	c.beforeToken = m.beforeToken(crashAt)
	options := func(o *deferred.Options) { o.Clock, o.SaveInterval = m.clock, m.interval }
	first := m.cluster.startDaemon(c, options)
	if err := first.Accept(context.Background(), req); err != nil {
		b.Fatal(err)
	}
	<-m.crash
	_ = first.Close()
	m.lastSave = m.clock.Now()
	second := m.cluster.startDaemon(c, options)
	eventually(b, "the answer", func() bool { return answerOf(second, req)() == wantText(req) })
	return c.generated[req.ID] - len(wantTokens(req)), m.cluster.table.Stats().RowsWritten
}

// BenchmarkSaveInterval measures, for several save intervals, how many tokens a
// request loses in a daemon crash and how many table rows it writes.
func BenchmarkSaveInterval(b *testing.B) {
	for _, interval := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
		10 * time.Second, 30 * time.Second, time.Hour} {
		b.Run(interval.String(), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 0))
			regenerated, rows := 0, uint64(0)
			for b.Loop() {
				req := testRequest("r1")
				req.MaxTokens = requestTokens
				m := &crashMeasurement{cluster: newTestCluster(), clock: clocktesting.NewFakeClock(time.Unix(1000, 0)),
					interval: interval, crash: make(chan struct{})}
				n, written := m.run(b, req, 1+r.IntN(requestTokens/2))
				m.cluster.close()
				regenerated += n
				rows += written
			}
			b.ReportMetric(float64(regenerated)/float64(b.N), "regenerated-tokens/death")
			b.ReportMetric(float64(rows)/float64(b.N), "rows/brief")
		})
	}
}
