// Package hostlist is a stand-in of the platform's host list: Prometheus HTTP
// service discovery that shows the state of some time ago.
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
	// Lag is how old the list is that callers get.
	Lag   time.Duration
	Clock clock.PassiveClock
}

// Server serves the list.
type Server struct {
	o        Options
	listener net.Listener
	http     *fasthttp.Server
	done     chan struct{}

	mu      sync.Mutex
	hosts   map[string]membership.ListEntry
	history []snapshot
	failing bool
	polls   int
}

type snapshot struct {
	at   time.Time
	body []byte
}

type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// New listens and serves until Close.
func New(o Options) (*Server, error) {
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Server{o: o, listener: listener, done: make(chan struct{}), hosts: map[string]membership.ListEntry{}}
	s.record()
	s.http = &fasthttp.Server{Handler: fasthttp.CompressHandler(s.serve), ReadTimeout: time.Minute}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// URL returns where the list is.
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
	s.record()
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
	s.record()
}

// Remove drops hosts from the list.
func (s *Server) Remove(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		delete(s.hosts, name)
	}
	s.record()
}

// SetFailing makes polls fail.
func (s *Server) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// Polls returns how often the list was asked for.
func (s *Server) Polls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls
}

// record keeps the state for callers that get it after the lag.
func (s *Server) record() {
	names := make([]string, 0, len(s.hosts))
	for name := range s.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	targets := make([]target, 0, len(names))
	for _, name := range names {
		targets = append(targets, describe(s.hosts[name]))
	}
	// Strings always encode.
	body, _ := json.Marshal(targets)
	now := s.o.Clock.Now()
	s.history = append(s.history, snapshot{at: now, body: body})
	for len(s.history) > 1 && !s.history[1].at.After(now.Add(-s.o.Lag)) {
		s.history = s.history[1:]
	}
}

func describe(e membership.ListEntry) target {
	state := "live"
	if e.Leaving {
		state = "leaving"
	}
	return target{Targets: []string{e.Address}, Labels: map[string]string{
		"name": e.Name, "kind": string(e.Kind), "pool": e.Pool, "availability_zone": e.AvailabilityZone,
		"machine_class": e.MachineClass, "purchase": string(e.Purchase), "state": state,
		"incarnation": strconv.FormatUint(e.Incarnation, 10),
	}}
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls++
	if s.failing {
		ctx.Error("injected failure", fasthttp.StatusServiceUnavailable)
		return
	}
	shown := s.history[0]
	for _, past := range s.history {
		if !past.at.After(s.o.Clock.Now().Add(-s.o.Lag)) {
			shown = past
		}
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(shown.body)
}
