// Package hostlist simulates the platform's host list for tests. It serves
// Prometheus HTTP service discovery with a configurable staleness.
package hostlist

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// Options are the settings of a Server.
type Options struct {
	// Address is the loopback address to listen on.
	Address string
	// Lag is the age of the list that callers receive.
	Lag time.Duration
	// Clock defaults to the real clock.
	Clock clock.PassiveClock
}

// Server serves the host list over HTTP.
type Server struct {
	options  Options
	listener net.Listener
	http     *fasthttp.Server
	done     chan struct{}

	mu      sync.Mutex
	hosts   map[string]membership.ListEntry
	history []snapshot
	failing bool
	polls   int
}

// snapshot is the encoded list as of a point in time.
type snapshot struct {
	at   time.Time
	body []byte
}

// targetGroup is a target group of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// New starts a server that serves until Close.
func New(options Options) (*Server, error) {
	if options.Clock == nil {
		options.Clock = clock.RealClock{}
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Server{options: options, listener: listener, done: make(chan struct{}), hosts: map[string]membership.ListEntry{}}
	s.recordSnapshot()
	s.http = &fasthttp.Server{Handler: fasthttp.CompressHandler(s.serve), ReadTimeout: time.Minute}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// URL returns the URL of the list.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() + "/hosts" }

// Close stops the server.
func (s *Server) Close() error {
	err := s.http.Shutdown()
	<-s.done
	return errors.Trace(err)
}

// Put adds hosts or replaces those of the same name.
func (s *Server) Put(entries ...membership.ListEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.hosts[e.Name] = e
	}
	s.recordSnapshot()
}

// SetLeaving marks a host as leaving.
func (s *Server) SetLeaving(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.hosts[name]
	if !ok {
		return
	}
	e.Leaving = true
	s.hosts[name] = e
	s.recordSnapshot()
}

// Remove removes hosts from the list.
func (s *Server) Remove(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		delete(s.hosts, name)
	}
	s.recordSnapshot()
}

// SetFailing makes all polls fail with status 503, or succeed again.
func (s *Server) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// Polls returns how often the list was requested.
func (s *Server) Polls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls
}

// recordSnapshot appends the current list to the history, from which it is served
// once it is Lag old, and drops snapshots that are no longer needed. The caller
// holds s.mu.
func (s *Server) recordSnapshot() {
	names := make([]string, 0, len(s.hosts))
	for name := range s.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	targets := make([]targetGroup, 0, len(names))
	for _, name := range names {
		targets = append(targets, toTargetGroup(s.hosts[name]))
	}
	// Marshaling strings cannot fail.
	body, _ := json.Marshal(targets)
	now := s.options.Clock.Now()
	s.history = append(s.history, snapshot{at: now, body: body})
	for len(s.history) > 1 && !s.history[1].at.After(now.Add(-s.options.Lag)) {
		s.history = s.history[1:]
	}
}

func toTargetGroup(e membership.ListEntry) targetGroup {
	state := "live"
	if e.Leaving {
		state = "leaving"
	}
	return targetGroup{Targets: []string{e.Address}, Labels: map[string]string{
		"name": e.Name, "kind": string(e.Kind), "pool": e.Pool, "availability_zone": e.AvailabilityZone,
		"machine_class": e.MachineClass, "purchase": string(e.Purchase), "state": state,
		"incarnation": strconv.FormatUint(e.Incarnation, 10),
	}}
}

// serve answers with the newest snapshot that is at least Lag old, or with the
// oldest snapshot if none is.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls++
	if s.failing {
		ctx.Error("injected failure", fasthttp.StatusServiceUnavailable)
		return
	}
	visible := s.history[0]
	for _, snapshot := range s.history {
		if !snapshot.at.After(s.options.Clock.Now().Add(-s.options.Lag)) {
			visible = snapshot
		}
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(visible.body)
}
