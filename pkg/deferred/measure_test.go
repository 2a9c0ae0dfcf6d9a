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
	// timePerToken is the decode time of the goal of 37 ms between tokens.
	timePerToken = 37 * time.Millisecond
	briefTokens  = 900
)

// measurement runs one brief whose daemon dies once, on a virtual clock that
// each token moves on.
type measurement struct {
	w        *world
	clock    *clocktesting.FakeClock
	interval time.Duration
	saved    time.Time
	die      chan struct{}
}

// gate moves the clock and waits for the save that the token before caused, as
// a store that answers within one token does.
func (m *measurement) gate(dieAt int) func(context.Context, string, int) error {
	died := false
	rows := m.w.table.Stats().RowsWritten
	return func(ctx context.Context, _ string, offset int) error {
		if now := m.clock.Now(); offset > 0 && now.Sub(m.saved) >= m.interval {
			m.saved = now
			for m.w.table.Stats().RowsWritten == rows && ctx.Err() == nil {
				time.Sleep(20 * time.Microsecond)
			}
		}
		rows = m.w.table.Stats().RowsWritten
		if offset == dieAt && !died {
			died = true
			close(m.die)
			<-ctx.Done()
		}
		m.clock.Step(timePerToken)
		return ctx.Err()
	}
}

// run returns the tokens generated twice and the rows written.
func (m *measurement) run(b *testing.B, req *api.ChatRequest, dieAt int) (again int, rows uint64) {
	c := newChat()
	m.saved = m.clock.Now()
	c.gate = m.gate(dieAt)
	options := func(o *deferred.Options) { o.Clock, o.SaveInterval = m.clock, m.interval }
	first := m.w.daemon(c, options)
	if err := first.Accept(context.Background(), req); err != nil {
		b.Fatal(err)
	}
	<-m.die
	_ = first.Close()
	m.saved = m.clock.Now()
	second := m.w.daemon(c, options)
	eventually(b, "the answer", func() bool { return answerOf(second, req)() == wantText(req) })
	return c.generated[req.ID] - len(wantTokens(req)), m.w.table.Stats().RowsWritten
}

// BenchmarkSaveInterval measures what the death of a daemon costs a brief, and
// what the saves cost the table, by the interval between two saves.
func BenchmarkSaveInterval(b *testing.B) {
	for _, interval := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
		10 * time.Second, 30 * time.Second, time.Hour} {
		b.Run(interval.String(), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 0))
			again, rows := 0, uint64(0)
			for b.Loop() {
				req := brief("r1")
				req.MaxTokens = briefTokens
				m := &measurement{w: newWorld(), clock: clocktesting.NewFakeClock(time.Unix(1000, 0)),
					interval: interval, die: make(chan struct{})}
				n, written := m.run(b, req, 1+r.IntN(briefTokens/2))
				m.w.close()
				again += n
				rows += written
			}
			b.ReportMetric(float64(again)/float64(b.N), "regenerated-tokens/death")
			b.ReportMetric(float64(rows)/float64(b.N), "rows/brief")
		})
	}
}
