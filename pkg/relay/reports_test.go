package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
)

// reportRecorder passes the reports of a handler on to a quarantine and records them.
type reportRecorder struct {
	*quarantine.Manager
	mu      sync.Mutex
	reports []string
	// refuses is set if all requests are in quarantine.
	refuses atomic.Bool
}

func (r *reportRecorder) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, fmt.Sprintf(format, args...))
}

func (r *reportRecorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.reports)
}

func (r *reportRecorder) Check(ctx context.Context, f quarantine.Fingerprint) quarantine.Verdict {
	r.record("check")
	if r.refuses.Load() {
		return quarantine.VerdictRefuse
	}
	return r.Manager.Check(ctx, f)
}

func (r *reportRecorder) Started(a quarantine.Attempt) {
	r.record("started %s at %s", a.ID, a.Server)
	if a.Fingerprint == "" || a.Request == "" || a.Address == "" {
		r.record("incomplete attempt %+v", a)
	}
	r.Manager.Started(a)
}

func (r *reportRecorder) Progressed(id string) {
	r.record("progressed %s", id)
	r.Manager.Progressed(id)
}

func (r *reportRecorder) Resolved(id string, answered bool) {
	r.record("resolved %s, answered %t", id, answered)
	r.Manager.Resolved(id, answered)
}

func (r *reportRecorder) Abandoned(id string, position int) {
	r.record("abandoned %s at %d", id, position)
	r.Manager.Abandoned(id, position)
}

func (r *reportRecorder) Broken(ctx context.Context, id string, position int) bool {
	r.record("broken %s at %d", id, position)
	return r.Manager.Broken(ctx, id, position)
}

func (r *reportRecorder) Completed(id string) {
	r.record("completed %s", id)
	r.Manager.Completed(id)
}

// TestEachEndOfAnAttemptIsReportedOnce guards against attempts whose start or end is not
// reported to the quarantine, is reported twice, at another moment or as something else:
// a crash under them would count for nothing, or count against another request.
func TestEachEndOfAnAttemptIsReportedOnce(t *testing.T) {
	reply := func(status int, header string) script {
		return func(_ int, r *http.Request, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"), header)
			return true
		}
	}
	answers := reply(200, "Seal: s\r\n")
	streams := func(from, to int, end bool) script {
		return func(_ int, r *http.Request, c net.Conn) bool {
			events(c, r.Header.Get("Id"), from, to, end)
			return end
		}
	}
	breaks := func(int, *http.Request, net.Conn) bool { return false }
	silent := func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	silentAfter := func(n int) script {
		return func(k int, r *http.Request, c net.Conn) bool {
			events(c, r.Header.Get("Id"), 1, n, false)
			return silent(k, r, c)
		}
	}
	tests := []struct {
		name, path string
		servers    []script
		// patience is how long the caller waits, or 0 if it does not leave.
		patience time.Duration
		reports  []string
	}{
		{"answered", "/once/1", []script{answers}, 0, []string{"check", "started 1/1 at server-0#1", "completed 1/1"}},
		{"answered with a client error", "/once/1", []script{reply(409, "")}, 0, []string{"check", "started 1/1 at server-0#1", "completed 1/1"}},
		{"failed by the server", "/once/1", []script{reply(500, "")}, 0, []string{"check", "started 1/1 at server-0#1", "resolved 1/1, answered true"}},
		{"failed and repeated", "/look/1", []script{reply(500, ""), answers}, 0,
			[]string{"check", "started 1/1 at server-0#1", "resolved 1/1, answered true", "check", "started 1/2 at server-1#1", "completed 1/2"}},
		{"refused", "/once/1", []script{reply(503, "Not-Run: 1\r\n"), answers}, 0,
			[]string{"check", "started 1/1 at server-0#1", "resolved 1/1, answered false", "check", "started 1/2 at server-1#1", "completed 1/2"}},
		{"misdirected", "/once/1", []script{reply(421, ""), answers}, 0,
			[]string{"check", "started 1/1 at server-0#1", "resolved 1/1, answered false", "check", "started 1/2 at server-1#1", "completed 1/2"}},
		{"broken off", "/look/1", []script{breaks, answers}, 0,
			[]string{"check", "started 1/1 at server-0#1", "broken 1/1 at 0", "check", "started 1/2 at server-1#1", "completed 1/2"}},
		{"without a seal", "/once/1", []script{reply(200, "")}, 0, []string{"check", "started 1/1 at server-0#1", "broken 1/1 at 0", "check"}},
		{"silent until the deadline", "/once/1", []script{silent}, 0, []string{"check", "started 1/1 at server-0#1", "abandoned 1/1 at 0"}},
		{"silent, then repeated", "/look/1", []script{silent, answers}, 0,
			[]string{"check", "started 1/1 at server-0#1", "broken 1/1 at 0", "check", "started 1/2 at server-1#1", "completed 1/2"}},
		{"caller leaves", "/look/1", []script{silent}, 60 * time.Millisecond, []string{"check", "started 1/1 at server-0#1", "abandoned 1/1 at 0"}},
		{"stream", "/whole/1", []script{streams(1, 3, true)}, 0, []string{"check", "started 1/1 at server-0#1", "progressed 1/1", "completed 1/1"}},
		{"stream broken off", "/whole/1", []script{streams(1, 3, false)}, 0, []string{"check", "started 1/1 at server-0#1", "progressed 1/1", "broken 1/1 at 3", "check"}},
		{"stream goes on elsewhere", "/stream/1", []script{streams(1, 3, false), streams(4, 5, true)}, 0,
			[]string{"check", "started 1/1 at server-0#1", "progressed 1/1", "broken 1/1 at 3", "check", "started 1/2 at server-1#1", "progressed 1/2", "completed 1/2"}},
		{"stream silent until the deadline", "/whole/1", []script{silentAfter(2)}, 0, []string{"check", "started 1/1 at server-0#1", "progressed 1/1", "abandoned 1/1 at 2"}},
		{"caller leaves a stream", "/whole/1", []script{silentAfter(2)}, 100 * time.Millisecond, []string{"check", "started 1/1 at server-0#1", "progressed 1/1", "abandoned 1/1 at 2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var backends []*backend
			for _, s := range test.servers {
				backends = append(backends, newBackend(t, s))
			}
			f := newFixture(t, backends...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.patience > 0 {
				ctx, cancel = context.WithTimeout(ctx, test.patience)
				defer cancel()
			}
			_, _, _, _ = f.send(ctx, http.MethodPost, test.path, "1")
			g.Eventually(f.handler.Active, 3*time.Second).Should(gomega.BeZero())
			g.Eventually(func() []string { return sorted(f.reports.all()) }).Should(gomega.Equal(sorted(test.reports)), "in any order")
			if !slices.Contains(test.reports, "broken 1/1 at 0") {
				// The server of a silent attempt is probed beside the next attempt.
				g.Expect(f.reports.all()).To(gomega.Equal(test.reports))
			}
			g.Eventually(f.quarantine.Running).Should(gomega.BeZero())
		})
	}
}

func sorted(list []string) []string { return slices.Sorted(slices.Values(list)) }
