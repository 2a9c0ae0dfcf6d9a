package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// injectFaults starts a new fault every 0.3 to 1.2 s until the run ends. Faults
// may overlap.
func (h *harness) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		fault := h.pickFault()
		running.Go(func() { fault(ctx) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(300+h.random.IntN(900)) * time.Millisecond):
		}
	}
}

// pickFault draws a fault and its parameters from the seeded random source.
func (h *harness) pickFault() func(context.Context) {
	d := h.daemons[h.random.IntN(len(h.daemons))]
	duration := time.Duration(500+h.random.IntN(3000)) * time.Millisecond
	name, s := h.pickServer()
	announced := h.random.IntN(3) > 0
	planned := []func(context.Context){
		func(context.Context) { h.publish() },
		func(context.Context) { d.signal(syscall.SIGHUP) },
		func(context.Context) { h.restart(d, syscall.SIGTERM) },
		func(context.Context) { h.replaceServer(name, s, announced) },
		func(context.Context) { h.startAndLeave(s.Service) },
	}
	if h.planned {
		return planned[h.random.IntN(len(planned))]
	}
	rate := 0.1 + 0.4*h.random.Float64()
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[h.random.IntN(2)]
	perSecond := []float64{0, 0.5, 1, 2, 5, 20}[h.random.IntN(6)]
	order, alive := h.random.Perm(len(h.daemons))[:1+h.random.IntN(len(h.daemons))], h.random.IntN(2) == 0
	mode := []Mode{Blackhole, RequestsOnly, Slow}[h.random.IntN(3)]
	faults := append(planned,
		func(context.Context) { h.restart(d, syscall.SIGKILL) },
		func(context.Context) { h.restartAll() },
		func(ctx context.Context) {
			d.signal(syscall.SIGSTOP)
			sleep(ctx, duration)
			d.signal(syscall.SIGCONT)
		},
		func(ctx context.Context) { h.storeFault(ctx, standin.Faults{Status: status}, duration) },
		func(ctx context.Context) { h.storeFault(ctx, standin.Faults{LoseAnswers: true}, duration) },
		func(ctx context.Context) { h.storeFault(ctx, standin.Faults{HistoryLost: true}, duration) },
		func(ctx context.Context) { h.storeFault(ctx, standin.Faults{Delay: 300 * time.Millisecond}, duration) },
		func(ctx context.Context) { h.linkFault(ctx, d.settings.Node, mode, duration) },
		func(ctx context.Context) { h.linkFault(ctx, name, mode, duration) },
		func(context.Context) { h.proxy(name).Reset() },
		func(ctx context.Context) { h.cutRandomDaemons(ctx, order, alive, 2*duration) },
		func(ctx context.Context) { h.serverFault(ctx, s, standin.ServerFaults{LoseAnswer: rate}, duration) },
		func(ctx context.Context) { h.serverFault(ctx, s, standin.ServerFaults{Refuse: rate}, duration) },
		func(ctx context.Context) { h.serverFault(ctx, s, standin.ServerFaults{Cut: rate}, duration) },
		func(ctx context.Context) {
			h.serverFault(ctx, s, standin.ServerFaults{Slow: 200 * time.Millisecond}, duration)
		},
		func(ctx context.Context) { stateLimit(ctx, s, perSecond, 3*duration) },
		func(ctx context.Context) { stateLimit(ctx, s, perSecond, 3*duration) },
	)
	return faults[h.random.IntN(len(faults))]
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// restart stops a daemon with the signal and starts it again. It does nothing
// while the daemon is already stopping.
func (h *harness) restart(d *daemon, s syscall.Signal) {
	if _, stopping := d.state(); !stopping.IsZero() {
		return
	}
	if h.planned && h.stopping() > 0 {
		// A planned rolling restart stops one daemon at a time.
		return
	}
	if err := d.restart(s); err != nil {
		h.addFinding("daemon %s failed to start: %v", d.settings.Node, err)
	}
}

// restartAll kills all daemons at once and starts them again.
func (h *harness) restartAll() {
	var running sync.WaitGroup
	for _, d := range h.daemons {
		running.Go(func() { h.restart(d, syscall.SIGKILL) })
	}
	running.Wait()
}

// replaceInTurn replaces the servers one after the other and lets some of them be stuck
// for longer than requests wait. It returns once the last of them has left.
func (h *harness) replaceInTurn(ctx context.Context, pause time.Duration) {
	random := rand.New(rand.NewPCG(h.options.Seed, 700))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		h.mu.Lock()
		names := sortedNames(h.servers)
		leaving, stuck := h.servers[names[random.IntN(len(names))]], h.servers[names[random.IntN(len(names))]]
		h.mu.Unlock()
		announced, duration := random.IntN(3) > 0, time.Duration(500+random.IntN(2000))*time.Millisecond
		running.Go(func() { h.replaceServer(leaving.ID, leaving, announced) })
		running.Go(func() { h.serverFault(ctx, stuck, standin.ServerFaults{Slow: stuckTime}, duration) })
	}
}

// stuckTime is the time that a stuck server adds to each request.
const stuckTime = 1200 * time.Millisecond

// disturbStore lets the store fail in some way for a moment, again and again.
func (h *harness) disturbStore(ctx context.Context, pause time.Duration) {
	random := rand.New(rand.NewPCG(h.options.Seed, 900))
	for {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		faults := []standin.Faults{{Status: http.StatusServiceUnavailable}, {LoseAnswers: true}, {HistoryLost: true}, {Delay: 300 * time.Millisecond}}
		h.storeFault(ctx, faults[random.IntN(len(faults))], time.Duration(300+random.IntN(2000))*time.Millisecond)
	}
}

// disturbRepeatedly pauses, kills or cuts off a daemon again and again.
func (h *harness) disturbRepeatedly(ctx context.Context, index int) {
	d, random := h.daemons[index], rand.New(rand.NewPCG(h.options.Seed, 800+uint64(index)))
	for ctx.Err() == nil {
		duration := time.Duration(500+random.IntN(3000)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			d.signal(syscall.SIGSTOP)
			sleep(ctx, duration)
			d.signal(syscall.SIGCONT)
		case 1:
			h.restart(d, syscall.SIGKILL)
		default:
			h.linkFault(ctx, d.settings.Node, []Mode{Blackhole, RequestsOnly, Slow}[random.IntN(3)], duration)
		}
		sleep(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
	}
}

// killInTurn kills one daemon after the other and starts each again at once.
func (h *harness) killInTurn(ctx context.Context, pause time.Duration) {
	for i := 0; ; i++ {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		h.restart(h.daemons[i%len(h.daemons)], syscall.SIGKILL)
	}
}

// stopping returns the number of daemons that are being stopped.
func (h *harness) stopping() int {
	n := 0
	for _, d := range h.daemons {
		if _, stoppingAt := d.state(); !stoppingAt.IsZero() {
			n++
		}
	}
	return n
}

func (h *harness) storeFault(ctx context.Context, f standin.Faults, duration time.Duration) {
	defer h.disturb(storeName, time.Now())
	h.store.SetFaults(f)
	sleep(ctx, duration)
	h.store.SetFaults(standin.Faults{})
}

func (h *harness) proxy(name string) *Proxy {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proxies[name]
}

func (h *harness) linkFault(ctx context.Context, name string, mode Mode, duration time.Duration) {
	defer h.disturb(name, time.Now())
	p := h.proxy(name)
	p.SetMode(mode)
	sleep(ctx, duration)
	p.SetMode(PassThrough)
}

func (h *harness) serverFault(ctx context.Context, s *standin.Server, f standin.ServerFaults, duration time.Duration) {
	s.SetFaults(f)
	sleep(ctx, duration)
	s.SetFaults(h.usualFaults())
}

// pickServer draws a server that is in service.
func (h *harness) pickServer() (string, *standin.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := h.random.IntN(len(h.servers))
	// Names are sorted so that the choice depends on the seed only.
	for _, name := range sortedNames(h.servers) {
		if index == 0 {
			return name, h.servers[name]
		}
		index--
	}
	return "", nil
}

// replaceServer starts a new server and drains an older one of the same service,
// which may leave without announcing it.
func (h *harness) replaceServer(name string, s *standin.Server, announced bool) {
	h.mu.Lock()
	_, found := h.servers[name]
	delete(h.servers, name)
	h.mu.Unlock()
	if !found {
		return
	}
	if err := h.addServer(s.Service); err != nil {
		h.addFinding("replacement server failed to start: %v", err)
	}
	// All daemons discover a new server within 1 to 2 s.
	time.Sleep(2 * time.Second)
	h.mu.Lock()
	h.leavingServers = append(h.leavingServers, s)
	h.mu.Unlock()
	s.Drain(h.drainTime(), announced)
}

// startAndLeave starts a server that leaves right after its start, as one that is no
// longer needed.
func (h *harness) startAndLeave(service string) {
	s, err := h.startServer(service, nil)
	if err != nil {
		h.addFinding("server failed to start: %v", err)
		return
	}
	h.mu.Lock()
	h.leavingServers = append(h.leavingServers, s)
	h.mu.Unlock()
	time.Sleep(firstEntryTime)
	s.Drain(h.drainTime(), true)
}

// firstEntryTime is the time in which a server writes its first entry.
const firstEntryTime = 30 * time.Millisecond

// defaultDrainTime covers the time until daemons stop sending requests to a leaving server
// and its longest request.
const defaultDrainTime = 5 * time.Second

func (h *harness) drainTime() time.Duration { return cmp.Or(h.options.DrainTime, defaultDrainTime) }
