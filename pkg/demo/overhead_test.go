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

// BenchmarkFirstTokenOverhead measures the time to the first token alternately
// through a complete daemon and directly at the engine, with one caller and with
// engines that compute without delay.
func BenchmarkFirstTokenOverhead(b *testing.B) {
	set, err := config.Load("../../examples/kodiclub.jsonc")
	if err != nil {
		b.Fatal(err)
	}
	set.ClientAccounts[0].RequestsPerSecond = 1e5
	d, err := newDeployment("kodiclub", set, engineTimings{})
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
	if err := d.awaitBackendServers(ctx); err != nil {
		b.Fatal(err)
	}
	chatCaller := &caller{
		apiKey:   "example-key-" + set.ClientAccounts[0].Name,
		balancer: &balancer{random: rand.New(rand.NewPCG(1, 1)), addresses: d.callersAddresses()},
		http:     &http.Client{},
	}
	defer chatCaller.http.CloseIdleConnections()
	client := engine.NewHTTPClient(engine.Options{})
	defer client.Close()
	target := d.liveEngines()[0].Address()
	var direct, viaDaemon []time.Duration
	for i := 0; b.Loop(); i++ {
		messages := []api.Message{{Role: "user", Content: fmt.Sprintf("question %d", i)}}
		direct = append(direct, firstTokenDirect(b, client, target, i, messages))
		result := chatCaller.chat(ctx, "club-assistant", messages, 2)
		if len(result.arrivalTimes) == 0 {
			b.Fatalf("no token: %+v", result.problem)
		}
		viaDaemon = append(viaDaemon, result.arrivalTimes[0].Sub(result.sentAt))
	}
	for _, percent := range []int{50, 95} {
		percentileMicros := func(times []time.Duration) float64 {
			slices.Sort(times)
			return float64(times[len(times)*percent/100].Microseconds())
		}
		b.ReportMetric(percentileMicros(direct), fmt.Sprintf("direct-p%d-us", percent))
		b.ReportMetric(percentileMicros(viaDaemon), fmt.Sprintf("daemon-p%d-us", percent))
		b.ReportMetric(percentileMicros(viaDaemon)-percentileMicros(direct), fmt.Sprintf("added-p%d-us", percent))
	}
}

// firstTokenDirect returns the time to the first token of a request that is sent
// directly to an engine. It reads the stream to its end.
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
	elapsed := time.Since(started)
	for err == nil {
		_, err = stream.Next(context.Background())
	}
	return elapsed
}
