package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// BenchmarkFirstTokenOverhead measures the time to the first token through a
// whole daemon and directly at the engine, alternately, with one caller and
// engines that answer at once.
func BenchmarkFirstTokenOverhead(b *testing.B) {
	set, err := config.Load("../../examples/kodiclub.jsonc")
	if err != nil {
		b.Fatal(err)
	}
	set.ClientAccounts[0].RequestsPerSecond = 1e5
	d, err := newDeployment("kodiclub", set, engineCosts{})
	if err != nil {
		b.Fatal(err)
	}
	defer d.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := d.startDaemon(0, 1); err != nil {
		b.Fatal(err)
	}
	if err := d.publish(ctx, set, 0); err != nil {
		b.Fatal(err)
	}
	if err := d.awaitMembers(ctx); err != nil {
		b.Fatal(err)
	}
	from := &caller{
		key:       "example-key-" + set.ClientAccounts[0].Name,
		entrances: &entrances{random: rand.New(rand.NewPCG(1, 1)), addresses: d.callersAddresses()},
		http:      &http.Client{},
	}
	defer from.http.CloseIdleConnections()
	client := engine.NewHTTPClient(engine.Options{})
	defer client.Close()
	target := d.liveEngines()[0].Address()
	var direct, through []time.Duration
	for i := 0; b.Loop(); i++ {
		messages := []api.Message{{Role: "user", Content: fmt.Sprintf("question %d", i)}}
		direct = append(direct, firstTokenDirect(b, client, target, i, messages))
		result := from.chat(ctx, "club-assistant", messages, 2)
		if len(result.arrivals) == 0 {
			b.Fatalf("no token: %+v", result.problem)
		}
		through = append(through, result.arrivals[0].Sub(result.sent))
	}
	for _, percent := range []int{50, 95} {
		quantile := func(times []time.Duration) float64 {
			slices.Sort(times)
			return float64(times[len(times)*percent/100].Microseconds())
		}
		b.ReportMetric(quantile(direct), fmt.Sprintf("direct-p%d-us", percent))
		b.ReportMetric(quantile(through), fmt.Sprintf("daemon-p%d-us", percent))
		b.ReportMetric(quantile(through)-quantile(direct), fmt.Sprintf("added-p%d-us", percent))
	}
}

func firstTokenDirect(b *testing.B, client engine.Client, address string, n int, messages []api.Message) time.Duration {
	b.Helper()
	started := time.Now()
	stream, err := client.Start(context.Background(), address, &engine.Request{
		AttemptID: fmt.Sprintf("direct-%d.1", n), Model: "club-assistant", Messages: messages, MaxTokens: 2,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if _, err := stream.Next(context.Background()); err != nil {
		b.Fatal(err)
	}
	took := time.Since(started)
	for err == nil {
		_, err = stream.Next(context.Background())
	}
	return took
}
