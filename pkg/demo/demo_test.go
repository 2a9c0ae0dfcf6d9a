package demo_test

import (
	"context"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/pkg/demo"
)

// Guards against a broken whole path, callers, daemons and stand-ins over TCP, and
// against goroutines that outlast a daemon.
func TestShortDemo(t *testing.T) {
	// fasthttp's cleaners sleep for up to 10 s before they see that they are not
	// needed, and its compression workers and clock never end.
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
