// Package soak runs real daemons as separate processes on one machine, harms
// them from outside and checks the promises from what callers and
// BackendServers see. The seed decides which faults come, when and where; which
// requests a faulty server harms is drawn by the server.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Binary is the daemon's program, Folder takes settings and logs.
	Binary, Folder string
	Daemons        int
	Callers        int
	Duration       time.Duration
}

const (
	host = "soak.example"
	key  = "key-of-account"
	// readyTimeout bounds the start of all daemons.
	readyTimeout = 15 * time.Second
	// applyTime is how long a configuration may take to be in force on daemons
	// that run undisturbed.
	applyTime = 4 * time.Second
	// deadline is what callers give a request.
	deadline = 3 * time.Second
)

// world is one run.
type world struct {
	o       Options
	random  *rand.Rand
	store   *standin.Store
	ledger  *standin.Ledger
	cloud   *standin.Cloud
	proxies map[string]*Proxy
	daemons []*daemon
	// planned runs have no other faults than planned stops and changes.
	planned bool

	mu       sync.Mutex
	servers  map[string]*standin.Server
	next     int
	version  int
	versions []time.Time
	findings []string
	asked    int
	served   int
}

// Report tells what a run saw.
type Report struct {
	Seed      uint64
	Planned   bool
	Sent      int
	Succeeded int
	Findings  []string
}

// Run plays one seed.
func Run(o Options) (Report, error) {
	w := &world{o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: standin.NewStore(), ledger: standin.NewLedger(),
		cloud: standin.NewCloud(), proxies: make(map[string]*Proxy), servers: make(map[string]*standin.Server), planned: o.Seed%3 == 0}
	if err := w.build(); err != nil {
		w.stop()
		return Report{}, err
	}
	defer w.stop()
	if !w.allReady() {
		w.find("not all daemons were ready within %v", readyTimeout)
		return w.report(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration)
	defer cancel()
	var running sync.WaitGroup
	for i := range o.Callers {
		running.Go(func() { w.call(ctx, i) })
	}
	w.harm(ctx)
	running.Wait()
	w.recover()
	w.judge()
	return w.report(), nil
}

func (w *world) report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Report{Seed: w.o.Seed, Planned: w.planned, Sent: w.asked, Succeeded: w.served, Findings: w.findings}
}

// find records a broken promise.
func (w *world) find(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
}

func (w *world) build() error {
	store, cloud := httptest.NewServer(w.store), httptest.NewServer(w.cloud)
	w.publish()
	for range 3 {
		for _, service := range []string{"models", "plain"} {
			if err := w.addServer(service); err != nil {
				return err
			}
		}
	}
	for i := range w.o.Daemons {
		// Each daemon reaches the store through a proxy of its own.
		node := fmt.Sprintf("daemon-%d", i)
		proxy, err := NewProxy(strings.TrimPrefix(store.URL, "http://"))
		if err != nil {
			return err
		}
		w.proxies[node] = proxy
		d, err := newDaemon(w.o.Binary, w.o.Folder, node, fmt.Sprintf("zone-%d", i%3), proxy.Address(), strings.TrimPrefix(cloud.URL, "http://"))
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addServer(service string) error {
	w.mu.Lock()
	w.next++
	id, zone := fmt.Sprintf("%s-%d", service, w.next), fmt.Sprintf("zone-%d", w.next%3)
	w.mu.Unlock()
	s := &standin.Server{ID: id, Service: service, Zone: zone, WorkTime: 15 * time.Millisecond, EventCount: 12}
	err := standin.StartServer(s, w.store, w.ledger, func(address string) (string, error) {
		proxy, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.proxies[id] = proxy
		return proxy.Address(), nil
	})
	w.mu.Lock()
	w.servers[id] = s
	w.mu.Unlock()
	return err
}

// publish writes the next configuration: each adds a route of its own.
func (w *world) publish() {
	w.mu.Lock()
	w.version++
	w.versions = append(w.versions, time.Now())
	routes := []standin.Route{
		{Prefix: "/once/", Kind: standin.KindOnce, Service: "plain", Attempts: 2},
		{Prefix: "/look/", Kind: standin.KindIdempotent, Service: "plain", Attempts: 2},
		{Prefix: "/stream/resumable/", Kind: standin.KindStream, Service: "models", Attempts: 3, Resumable: true},
		{Prefix: "/stream/once/", Kind: standin.KindStream, Service: "models", Attempts: 1},
	}
	for v := 1; v <= w.version; v++ {
		routes = append(routes, standin.Route{Prefix: markerOf(v), Kind: standin.KindIdempotent, Service: "plain", Attempts: 2})
	}
	body := standin.Configuration(w.version, host, routes, map[string][]string{"account": {key}}, 0)
	w.mu.Unlock()
	w.store.PutConfiguration(body)
}

func markerOf(version int) string { return fmt.Sprintf("/marker/%d/", version) }

func (w *world) allReady() bool {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(readyTimeout)
	for _, d := range w.daemons {
		for !standin.Ready(client, d.settings.Ready) {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// recover ends all faults and gives the daemons time to be well again.
func (w *world) recover() {
	w.store.SetFaults(standin.Faults{})
	for _, p := range w.proxies {
		p.SetMode(PassThrough)
	}
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
	}
	time.Sleep(applyTime)
	if !w.allReady() {
		w.find("not all daemons were ready %v after the last fault", readyTimeout)
	}
}

// stop ends what the run has started, by process.
func (w *world) stop() {
	for _, d := range w.daemons {
		if d.process != nil {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			d.wait()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.proxies {
		p.Close()
	}
}
