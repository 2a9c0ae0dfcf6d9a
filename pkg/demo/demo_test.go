package demo_test

import (
	"context"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/pkg/demo"
)

// TestShortDemo guards against failures of the whole path from callers over
// daemons to simulated servers on TCP, and against goroutines that outlive a
// daemon.
func TestShortDemo(t *testing.T) {
	// fasthttp's connection cleaners sleep for up to 10 s before they exit, and its
	// compression workers and its date updater never exit.
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp/stackless.funcWorker"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
	_, err := demo.Run(context.Background(), demo.Options{
		Seed: 1, Duration: 8 * time.Second, Examples: "../../examples", Out: os.Stdout,
	})
	if err != nil {
		t.Fatal(err)
	}
}
