package daemon

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// streamRouter implements streaming.Router on top of the Balancer. The Balancer
// counts an attempt from the moment a server is picked, but a stream assigns its
// attempt ID only later, so the Balancer's attempts have IDs of their own.
type streamRouter struct {
	balancer *routing.Balancer

	mu sync.Mutex
	// picked holds the Balancer's attempt IDs that are not yet associated with a
	// stream attempt, by request and server.
	picked map[pickKey]string
	// attempts maps stream attempt IDs to the Balancer's attempt IDs.
	attempts map[string]string
	// isolated maps the Balancer's attempt IDs of suspects to the servers that run
	// them. A suspect is a request that was running on a server when the server
	// crashed. No server runs two suspects, because its next crash would count
	// against both.
	isolated map[string]string
	// started holds the stream attempts that have not produced a token yet.
	started map[string]startedAttempt
	// observeFirstToken is called with the time from an attempt's start to its
	// first token.
	observeFirstToken func(route string, took time.Duration)
}

type startedAttempt struct {
	route string
	at    time.Time
}

type pickKey struct{ request, server string }

func newStreamRouter(balancer *routing.Balancer, observeFirstToken func(string, time.Duration)) *streamRouter {
	return &streamRouter{
		observeFirstToken: observeFirstToken, started: make(map[string]startedAttempt),
		balancer: balancer,
		picked:   make(map[pickKey]string),
		attempts: make(map[string]string),
		isolated: make(map[string]string),
	}
}

// Pick implements streaming.Router.
func (r *streamRouter) Pick(_ time.Time, req *streaming.PickRequest) (membership.BackendServer, error) {
	prefixes, promptTokens := promptPrefixes(req.Model, req.Messages)
	id := uuid.NewString()
	r.mu.Lock()
	defer r.mu.Unlock()
	d, err := r.balancer.Acquire(req.RequestID, id, &routing.Query{
		Group:        groupOfRoute(req.Route),
		Prefixes:     prefixes,
		PromptTokens: promptTokens,
		ResumeTokens: max(req.ContextTokens-promptTokens, 0),
		ExcludeNames: r.excluded(req),
		Isolated:     req.Isolated,
	})
	if err != nil {
		return membership.BackendServer{}, err
	}
	key := pickKey{req.RequestID, d.Server.Name}
	if abandoned, ok := r.picked[key]; ok {
		r.balancer.Failed(abandoned)
		delete(r.isolated, abandoned)
	}
	r.picked[key] = id
	if req.Isolated {
		r.isolated[id] = d.Server.Name
	}
	return d.Server, nil
}

// maxPrefixes is the maximum number of prefixes of a prompt that are looked up
// for one routing decision.
const maxPrefixes = 4

// promptPrefixes returns the prefixes of a prompt that end with a message, and the
// number of tokens of the prompt. The prefixes are rounded down to whole cache
// blocks and identified by the hashes that engines use for their cached blocks. Of
// more than maxPrefixes prefixes it returns the first two, which requests share
// most often, and the last two.
func promptPrefixes(model string, messages []api.Message) ([]routing.Prefix, int) {
	tokens := engine.PromptTokens(messages)
	hashes := engine.PrefixHashes(model, tokens)
	var prefixes []routing.Prefix
	end := 0
	for _, m := range messages {
		end += len(engine.PromptTokens([]api.Message{m}))
		blocks := end / engine.PrefixBlockTokens
		if blocks == 0 || len(prefixes) > 0 && prefixes[len(prefixes)-1].Hash == hashes[blocks-1] {
			continue
		}
		prefixes = append(prefixes, routing.Prefix{Hash: hashes[blocks-1], Tokens: blocks * engine.PrefixBlockTokens})
	}
	if extra := len(prefixes) - maxPrefixes; extra > 0 {
		prefixes = append(prefixes[:maxPrefixes/2], prefixes[maxPrefixes/2+extra:]...)
	}
	return prefixes, len(tokens)
}

// excluded returns the names of the servers on which a request must not run. For
// an isolated request these include the servers that run another suspect.
func (r *streamRouter) excluded(req *streaming.PickRequest) []string {
	if !req.Isolated || len(r.isolated) == 0 {
		return req.Exclude
	}
	names := append([]string(nil), req.Exclude...)
	for _, server := range r.isolated {
		names = append(names, server)
	}
	return names
}

// Started implements streaming.Router.
func (r *streamRouter) Started(attemptID string, server membership.BackendServer, req *streaming.PickRequest, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[attemptID] = startedAttempt{route: req.Route, at: now}
	key := pickKey{req.RequestID, server.Name}
	if id, ok := r.picked[key]; ok {
		delete(r.picked, key)
		r.attempts[attemptID] = id
	}
}

// FirstToken implements streaming.Router.
func (r *streamRouter) FirstToken(attemptID string, now time.Time) {
	r.mu.Lock()
	started, ok := r.started[attemptID]
	delete(r.started, attemptID)
	r.mu.Unlock()
	if ok {
		r.observeFirstToken(started.route, now.Sub(started.at))
	}
	if id, ok := r.lookup(attemptID, false); ok {
		r.balancer.FirstToken(id)
	}
}

// Finished implements streaming.Router.
func (r *streamRouter) Finished(attemptID string, usage streaming.Usage, _ time.Time) {
	if id, ok := r.lookup(attemptID, true); ok {
		r.balancer.Finished(id, routing.Usage{PromptTokens: usage.PromptTokens, CachedTokens: usage.CachedTokens})
	}
}

// Failed implements streaming.Router.
func (r *streamRouter) Failed(attemptID string, _ error, _ time.Time) {
	if id, ok := r.lookup(attemptID, true); ok {
		r.balancer.Failed(id)
	}
}

func (r *streamRouter) lookup(attemptID string, remove bool) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.attempts[attemptID]
	if remove {
		delete(r.attempts, attemptID)
		delete(r.started, attemptID)
		delete(r.isolated, id)
	}
	return id, ok
}

func groupOfRoute(route string) string { return "route/" + route }
