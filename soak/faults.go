package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// harm plays faults in series that may overlap until the run ends.
func (w *world) harm(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		fault := w.pick()
		running.Go(func() { fault(ctx) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(300+w.random.IntN(900)) * time.Millisecond):
		}
	}
}

// pick draws a fault with all its parameters from the seed.
func (w *world) pick() func(context.Context) {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	length := time.Duration(500+w.random.IntN(3000)) * time.Millisecond
	name, server := w.pickServer()
	planned := []func(context.Context){
		func(context.Context) { w.publish() },
		func(context.Context) { d.signal(syscall.SIGHUP) },
		func(context.Context) { w.restart(d, syscall.SIGTERM) },
		func(context.Context) { w.replaceServer(name, server) },
	}
	if w.planned {
		return planned[w.random.IntN(len(planned))]
	}
	share := 0.1 + 0.4*w.random.Float64()
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[w.random.IntN(2)]
	mode := []Mode{Blackhole, RequestsOnly, Slow}[w.random.IntN(3)]
	faults := append(planned,
		func(context.Context) { w.restart(d, syscall.SIGKILL) },
		func(ctx context.Context) {
			d.signal(syscall.SIGSTOP)
			hold(ctx, length)
			d.signal(syscall.SIGCONT)
		},
		func(ctx context.Context) { w.storeFault(ctx, standin.Faults{Status: status}, length) },
		func(ctx context.Context) { w.storeFault(ctx, standin.Faults{LoseAnswers: true}, length) },
		func(ctx context.Context) { w.storeFault(ctx, standin.Faults{HistoryLost: true}, length) },
		func(ctx context.Context) { w.storeFault(ctx, standin.Faults{Delay: 300 * time.Millisecond}, length) },
		func(ctx context.Context) { w.linkFault(ctx, d.settings.Node, mode, length) },
		func(ctx context.Context) { w.linkFault(ctx, name, mode, length) },
		func(context.Context) { w.proxy(name).Reset() },
		func(ctx context.Context) { w.serverFault(ctx, server, standin.ServerFaults{LoseAnswer: share}, length) },
		func(ctx context.Context) { w.serverFault(ctx, server, standin.ServerFaults{Refuse: share}, length) },
		func(ctx context.Context) { w.serverFault(ctx, server, standin.ServerFaults{Cut: share}, length) },
		func(ctx context.Context) {
			w.serverFault(ctx, server, standin.ServerFaults{Slow: 200 * time.Millisecond}, length)
		},
	)
	return faults[w.random.IntN(len(faults))]
}

func hold(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// restart stops a daemon and starts it again; one restart of a daemon at a time.
func (w *world) restart(d *daemon, s syscall.Signal) {
	if _, stopping := d.state(); !stopping.IsZero() {
		return
	}
	if w.planned && w.stopping() > 0 {
		// A planned roll takes one daemon at a time.
		return
	}
	if err := d.restart(s); err != nil {
		w.find("daemon %s does not start: %v", d.settings.Node, err)
	}
}

func (w *world) stopping() int {
	n := 0
	for _, d := range w.daemons {
		if _, at := d.state(); !at.IsZero() {
			n++
		}
	}
	return n
}

func (w *world) storeFault(ctx context.Context, f standin.Faults, length time.Duration) {
	w.store.SetFaults(f)
	hold(ctx, length)
	w.store.SetFaults(standin.Faults{})
}

func (w *world) proxy(name string) *Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxies[name]
}

func (w *world) linkFault(ctx context.Context, name string, mode Mode, length time.Duration) {
	p := w.proxy(name)
	p.SetMode(mode)
	hold(ctx, length)
	p.SetMode(PassThrough)
}

func (w *world) serverFault(ctx context.Context, s *standin.Server, f standin.ServerFaults, length time.Duration) {
	s.SetFaults(f)
	hold(ctx, length)
	s.SetFaults(standin.ServerFaults{})
}

// pickServer draws a living server.
func (w *world) pickServer() (string, *standin.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.random.IntN(len(w.servers))
	// Names are sorted so that the seed decides.
	for _, name := range sortedNames(w.servers) {
		if at == 0 {
			return name, w.servers[name]
		}
		at--
	}
	return "", nil
}

// replaceServer starts a server and lets an older one of its service leave.
func (w *world) replaceServer(name string, s *standin.Server) {
	w.mu.Lock()
	_, there := w.servers[name]
	delete(w.servers, name)
	w.mu.Unlock()
	if !there {
		return
	}
	if err := w.addServer(s.Service); err != nil {
		w.find("server does not start: %v", err)
	}
	// A new server is known to all daemons within a second or two.
	time.Sleep(2 * time.Second)
	s.Drain(serveOn)
}

// serveOn is how long a leaving server serves on: the time within which daemons
// stop sending it work, and its longest request.
const serveOn = 5 * time.Second
