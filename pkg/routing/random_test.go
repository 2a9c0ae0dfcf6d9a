package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// randomState is the model that a random run of the Router is checked against.
type randomState struct {
	t       *rapid.T
	report  *randomtest.Report
	router  *routing.Router
	now     time.Time
	servers []routing.Server
	listed  []routing.Server
	// leaving holds, for each server with a notice, the highest incarnation
	// that a notice named.
	leaving       map[string]uint64
	attempts      map[string]string
	lastAttemptID int
}

// TestRandomRouting guards against picking leaving or excluded servers, against
// outstanding counts that are too low or too high, and against prefix affinity
// that exceeds the load bound.
func TestRandomRouting(t *testing.T) {
	faults := []string{"notice", "restart", "lagging list", "stale load", "event gap", "attempt failed", "ended twice"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		s := &randomState{
			t: rt, report: report,
			// With these weights prefixes dominate the score, so that only the
			// load bound limits the load of a server.
			router: newRouter(routing.Options{
				Daemon: "d", AvailabilityZone: "zone-0", MaxTrackedPrefixes: 16,
				PrefillPerToken: time.Second, PrefillWeight: 1e-9, FullBatchPenalty: time.Nanosecond,
			}),
			now: epoch, servers: servers(rapid.IntRange(1, 12).Draw(rt, "servers")),
			leaving: make(map[string]uint64), attempts: make(map[string]string),
		}
		s.update()
		rt.Repeat(map[string]func(*rapid.T){
			"pick":   func(*rapid.T) { s.pick() },
			"again":  func(*rapid.T) { s.pick() },
			"end":    func(*rapid.T) { s.endAttempt() },
			"notice": func(*rapid.T) { s.sendNotice() },
			"list":   func(*rapid.T) { s.changeList() },
			"report": func(*rapid.T) { s.reportLoad() },
			"events": func(*rapid.T) { s.reportEvents() },
			"":       func(*rapid.T) { s.checkCounts() },
		})
		s.finishAll()
	})
}

func (s *randomState) step() {
	s.report.Step()
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(s.t, "milliseconds")) * time.Millisecond)
}

func (s *randomState) update() {
	s.listed = slices.Clone(s.servers)
	s.router.Update(s.now, group(s.listed))
}

func (s *randomState) server() *routing.Server {
	return &s.servers[rapid.IntRange(0, len(s.servers)-1).Draw(s.t, "server")]
}

func (s *randomState) isEligible(server *routing.Server, excluded []string) bool {
	incarnation, noticed := s.leaving[server.Name]
	return (!noticed || server.Incarnation > incarnation) && !slices.Contains(excluded, server.Name)
}

// query draws one of a few conversations, so that prefixes recur.
func (s *randomState) query() *routing.Query {
	conversation := uint64(rapid.IntRange(1, 6).Draw(s.t, "conversation"))
	q := &routing.Query{
		Group: "chat", PromptTokens: 2000, Isolated: rapid.IntRange(0, 9).Draw(s.t, "isolated") == 0,
		Prefixes: []routing.Prefix{{Hash: 1, Tokens: 1000}, {Hash: 100 + conversation, Tokens: 1800}},
	}
	for range rapid.IntRange(0, 2).Draw(s.t, "exclusions") {
		q.ExcludeNames = append(q.ExcludeNames, s.server().Name)
	}
	return q
}

func (s *randomState) pick() {
	s.step()
	q := s.query()
	allowed := slices.ContainsFunc(s.listed, func(l routing.Server) bool { return s.isEligible(&l, q.ExcludeNames) })
	d, err := s.router.Pick(s.now, q)
	if err != nil {
		if allowed {
			s.t.Fatalf("no server although one is eligible: %v", err)
		}
		s.report.Outcome("no server")
		return
	}
	s.report.Outcome(string(d.Reason))
	i := slices.IndexFunc(s.listed, func(l routing.Server) bool { return l.Name == d.Server.Name })
	if i < 0 || !s.isEligible(&routing.Server{BackendServer: d.Server}, q.ExcludeNames) {
		s.t.Fatalf("picked %s, which is leaving, excluded (%v) or not listed", d.Server.Name, q.ExcludeNames)
	}
	if d.Reason == routing.ReasonPrefix || d.Reason == routing.ReasonOwner {
		s.checkBound(d.Server.Name)
	}
	s.lastAttemptID++
	id := fmt.Sprint(s.lastAttemptID)
	if err := s.router.Started(s.now, id, d.Server.Name, q); err != nil {
		s.t.Fatalf("start: %v", err)
	}
	s.attempts[id] = d.Server.Name
	if rapid.Bool().Draw(s.t, "first token") {
		s.router.FirstToken(s.now, id)
	}
}

// checkBound checks that a server picked for a prefix is within the load bound,
// and that its expected load is not below the model's own count.
func (s *randomState) checkBound(name string) {
	load, mean, err := s.router.ExpectedLoad(s.now, "chat", name)
	if err != nil {
		s.t.Fatal(err)
	}
	if own := float64(s.countAttempts(name)); load < own {
		s.t.Fatalf("expected load %f of %s is below the model's outstanding count %f", load, name, own)
	}
	const bound = 2
	if load >= bound*(mean+1) {
		s.t.Fatalf("%s was picked for a prefix at load %f, mean %f", name, load, mean)
	}
}

func (s *randomState) countAttempts(name string) int {
	n := 0
	for _, server := range s.attempts {
		if server == name {
			n++
		}
	}
	return n
}

func (s *randomState) endAttempt() {
	if len(s.attempts) == 0 {
		return
	}
	s.step()
	ids := make([]string, 0, len(s.attempts))
	for id := range s.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(s.t, "attempt")
	delete(s.attempts, id)
	if rapid.Bool().Draw(s.t, "fails") {
		s.report.Fault("attempt failed")
		s.router.Failed(s.now, id)
	} else {
		s.router.FirstToken(s.now, id)
		s.router.Finished(s.now, id, routing.Usage{PromptTokens: 2000, CachedTokens: rapid.IntRange(0, 2000).Draw(s.t, "cached")})
	}
	if rapid.Bool().Draw(s.t, "again") {
		s.report.Fault("ended twice")
		s.router.Finished(s.now, id, routing.Usage{})
	}
}

func (s *randomState) sendNotice() {
	s.step()
	server := s.server()
	s.report.Fault("notice")
	incarnation := server.Incarnation - uint64(rapid.IntRange(0, 1).Draw(s.t, "late"))
	s.leaving[server.Name] = max(s.leaving[server.Name], incarnation)
	s.router.NoticeReceived(s.now, server.Name, incarnation)
}

// changeList restarts a server, removes one from the list, lists one with its
// earlier incarnation, or restores the full list.
func (s *randomState) changeList() {
	s.step()
	switch rapid.IntRange(0, 3).Draw(s.t, "change") {
	case 0:
		s.report.Fault("restart")
		s.server().Incarnation++
		s.update()
	case 1:
		i := rapid.IntRange(0, len(s.servers)-1).Draw(s.t, "dropped")
		s.listed = slices.Delete(slices.Clone(s.servers), i, i+1)
		s.router.Update(s.now, group(s.listed))
	case 2:
		s.report.Fault("lagging list")
		s.listed = slices.Clone(s.servers)
		server := &s.listed[rapid.IntRange(0, len(s.listed)-1).Draw(s.t, "lagging")]
		server.Incarnation--
		s.router.Update(s.now, group(s.listed))
	default:
		s.update()
	}
}

func (s *randomState) reportLoad() {
	s.step()
	age := time.Duration(rapid.IntRange(0, 5000).Draw(s.t, "age")) * time.Millisecond
	if age > time.Second {
		s.report.Fault("stale load")
	}
	s.router.LoadReported(s.now, s.server().Name, engine.Load{
		Running: rapid.IntRange(0, 40).Draw(s.t, "running"), Waiting: rapid.IntRange(0, 10).Draw(s.t, "waiting"),
		MeasuredAt: s.now.Add(-age),
	})
}

func (s *randomState) reportEvents() {
	s.step()
	name := s.server().Name
	sequence := s.router.LastCacheSequence(name) + uint64(rapid.IntRange(0, 3).Draw(s.t, "sequence"))
	if sequence > s.router.LastCacheSequence(name)+1 {
		s.report.Fault("event gap")
	}
	s.router.CacheReported(s.now, name, []engine.CacheEvent{{
		Sequence: sequence, PrefixHash: uint64(rapid.IntRange(100, 106).Draw(s.t, "hash")),
		Tokens: 1800, Evicted: rapid.Bool().Draw(s.t, "evicted"),
	}})
}

func (s *randomState) checkCounts() {
	for i := range s.servers {
		name := s.servers[i].Name
		if got, want := s.router.Outstanding(name), s.countAttempts(name); got != want {
			s.t.Fatalf("%s has %d outstanding, want %d", name, got, want)
		}
	}
}

// finishAll ends all attempts and checks that every count returns to zero.
func (s *randomState) finishAll() {
	for id := range s.attempts {
		delete(s.attempts, id)
		s.router.Finished(s.now, id, routing.Usage{})
	}
	s.checkCounts()
}
