package demo_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/demo"
)

// Guards against a broken whole path: callers, daemons and stand-ins over TCP.
func TestShortDemo(t *testing.T) {
	_, err := demo.Run(context.Background(), demo.Options{
		Seed: 1, Duration: 8 * time.Second, Examples: "../../examples", Out: os.Stdout,
	})
	if err != nil {
		t.Fatal(err)
	}
}
