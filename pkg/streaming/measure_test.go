package streaming_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// The load of one daemon at the scale in section 4 of the design page: 89,000
// requests and 26 million tokens per second over 590 daemons, 37 ms per token.
const (
	requestsPerDaemon = 89000.0 / 590
	tokensPerAnswer   = 26_000_000 / 89_000
	perToken          = 37 * time.Millisecond
	promptWords       = 800
	wordBytes         = 6
)

// streamDelta is one copy of the tokens that a stream has added since the last
// copy.
type streamDelta struct {
	RequestID string   `cbor:"request_id"`
	From      int      `cbor:"from"`
	Tokens    []string `cbor:"tokens"`
}

// BenchmarkPeerCopies measures the cost of copying running streams to a peer:
// the bytes that a daemon sends, and the tokens recomputed when a daemon
// crashes and the peer resumes every stream from its last copy. Interval 0
// makes no copies: callers repeat their requests and everything is recomputed.
func BenchmarkPeerCopies(b *testing.B) {
	for _, interval := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		b.Run(interval.String(), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 0))
			bytes, decodedTokens, prefilledTokens := 0, 0, 0
			for b.Loop() {
				bytes += copiedBytes(b, interval)
				offset := r.IntN(int(tokensPerAnswer))
				decodedTokens += regeneratedTokens(interval, offset)
				prefilledTokens += promptWords + offset - regeneratedTokens(interval, offset)
			}
			running := requestsPerDaemon * tokensPerAnswer * perToken.Seconds()
			b.ReportMetric(float64(bytes)/float64(b.N)*requestsPerDaemon/1000, "KB/s-per-daemon")
			b.ReportMetric(float64(decodedTokens)/float64(b.N)*running, "decoded-again/death")
			b.ReportMetric(float64(prefilledTokens)/float64(b.N)*running, "prefilled-again/death")
		})
	}
}

// copiedBytes returns the encoded size of all copies of one answer.
func copiedBytes(b *testing.B, interval time.Duration) int {
	if interval == 0 {
		return 0
	}
	req := chatRequest("0f0e9c1c-6a2f-4f4e-9d5e-0d2c7a8b9c10", int(tokensPerAnswer))
	req.Messages[0].Content = strings.Repeat("plants ", promptWords)
	sum := encodedSize(b, streaming.State{Request: *req})
	step := max(int(interval/perToken), 1)
	for from := 0; from < int(tokensPerAnswer); from += step {
		d := streamDelta{RequestID: req.ID, From: from}
		for range min(step, int(tokensPerAnswer)-from) {
			d.Tokens = append(d.Tokens, strings.Repeat("x", wordBytes))
		}
		sum += encodedSize(b, d)
	}
	return sum
}

func encodedSize(b *testing.B, value any) int {
	data, err := cbor.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

// regeneratedTokens returns the number of tokens decoded again for a stream
// that had reached an offset: those after the last copy. The prompt and the
// copied tokens are prefilled again in any case.
func regeneratedTokens(interval time.Duration, offset int) int {
	if interval == 0 {
		return offset
	}
	return offset % max(int(interval/perToken), 1)
}

// BenchmarkFirstToken measures the time to the first token through the driver
// and through the engine client alone. The difference is the overhead of the
// driver.
func BenchmarkFirstToken(b *testing.B) {
	d := deploy(b, standin.Options{}, nil)
	b.Run("client", func(b *testing.B) {
		reportPercentiles(b, func(id string) time.Duration {
			began := time.Now()
			req := chatRequest(id, 4)
			s, err := d.client.Start(context.Background(), d.engines[0].Address(), &engine.Request{
				AttemptID: id, Model: req.Model, Messages: req.Messages, MaxTokens: req.MaxTokens})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			if _, err := s.Next(context.Background()); err != nil {
				b.Fatal(err)
			}
			first := time.Since(began)
			for err == nil {
				_, err = s.Next(context.Background())
			}
			return first
		})
	})
	b.Run("driver", func(b *testing.B) {
		reportPercentiles(b, func(id string) (first time.Duration) {
			began := time.Now()
			out := &sink{hookAt: 1, hook: func() { first = time.Since(began) }}
			if err := d.driver.Chat(context.Background(), chatRequest(id, 4), out); err != nil {
				b.Fatal(err)
			}
			return first
		})
	})
}

// reportPercentiles runs requests one after the other and reports the 50th and
// 95th percentile of their times to the first token.
func reportPercentiles(b *testing.B, runOne func(id string) time.Duration) {
	var times []time.Duration
	for b.Loop() {
		times = append(times, runOne(uuid.NewString()))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*95/100].Microseconds()), "p95-us")
}

// BenchmarkReclaim measures the tokens that engines recompute when an engine
// with twelve streams is reclaimed, with the plan and without KV transfers.
func BenchmarkReclaim(b *testing.B) {
	for name, rate := range map[string]float64{"plan": defaultRate, "no transfers": 1} {
		b.Run(name, func(b *testing.B) {
			recomputedTokens, movedStreams := 0, 0
			for b.Loop() {
				d := deploy(b, standin.Options{DecodeStep: 5 * time.Millisecond, BatchSize: 16, CacheTokens: 1 << 10},
					func(o *streaming.Options) { o.Costs.TransferBytesPerSecond = rate })
				d.reclaimBusyEngine(b)
				recomputedTokens += d.ledger.Totals().RecomputedTokens
				for _, entry := range d.ledger.Entries() {
					movedStreams += min(entry.ImportedTokens, 1)
				}
			}
			b.ReportMetric(float64(recomputedTokens)/float64(b.N), "recomputed-tokens")
			b.ReportMetric(float64(movedStreams)/float64(b.N), "moved-streams")
		})
	}
}

const defaultRate = 1e9

// reclaimBusyEngine reclaims an engine with 600 ms of usable notice while it
// runs twelve streams of up to 300 tokens, and waits for their answers.
func (d *deployment) reclaimBusyEngine(b *testing.B) {
	var streams sync.WaitGroup
	ready := make(chan struct{}, 12)
	for i := range cap(ready) {
		streams.Go(func() {
			req := chatRequest(fmt.Sprintf("r%d", i), 25*(i+1))
			req.Messages[0].Content += strings.Repeat(" "+req.ID, 400)
			out := &sink{hookAt: 10, hook: func() { ready <- struct{}{} }}
			if err := d.driver.Chat(context.Background(), req, out); err != nil || out.text() != expected(req) {
				b.Errorf("request %s: %v", req.ID, err)
			}
		})
	}
	for range cap(ready) {
		<-ready
	}
	d.reclaim("a", 900*time.Millisecond)
	streams.Wait()
}
