package engine

import (
	"bufio"
	"context"
	"strings"
	"testing"
	"time"

	"k8s.io/utils/clock"
)

// FuzzStream guards against a panic, an endless loop and events of other
// attempts when an engine sends arbitrary data.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"id\":\"r.1\",\"offset\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add(": waiting\n\nid: 4\nevent: x\ndata:{}\n\n")
	f.Add("data: {\"choices\":[{\"finish_reason\":null}],\"usage\":{}}")
	f.Fuzz(func(t *testing.T, body string) {
		client := NewHTTPClient(Options{})
		_, cancel := context.WithCancelCause(context.Background())
		s := &httpStream{
			client: client, attemptID: "r.1", cancel: cancel, reader: bufio.NewReader(strings.NewReader(body)),
			timer: clock.RealClock{}.AfterFunc(time.Hour, func() {}),
		}
		defer func() { _ = s.Close() }()
		for range strings.Count(body, "\n") + 2 {
			event, err := s.Next(context.Background())
			if err != nil {
				return
			}
			if event.AttemptID != "r.1" {
				t.Fatalf("event of attempt %q", event.AttemptID)
			}
		}
		t.Fatal("more events than lines")
	})
}
