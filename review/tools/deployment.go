package main

import (
	"fmt"
	"os"
	"time"
)

// machines of a small deployment: seven in four zones.
var machines = []struct{ node, zone string }{
	{"edge-tbilisi-a-1", "tbilisi-a"}, {"edge-tbilisi-a-2", "tbilisi-a"}, {"edge-tbilisi-b-1", "tbilisi-b"}, {"edge-tbilisi-b-2", "tbilisi-b"},
	{"edge-tbilisi-c-1", "tbilisi-c"}, {"edge-tbilisi-c-2", "tbilisi-c"}, {"edge-tbilisi-d-1", "tbilisi-d"},
}

// requestsPerSecond is the load of the clients.
const requestsPerSecond = 20

// deployment is a small deployment: the platform, four workers, seven daemons and clients.
type deployment struct {
	record  *record
	folder  string
	store   *store
	cloud   *cloud
	workers []*worker
	daemons []*daemon
	// toStore and toCloud are the links of each daemon's machine.
	toStore, toCloud map[string]*link
	clients          *clients
	stop             chan struct{}
}

// newDeployment starts the platform and the workers. Files are in a temporary folder.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, store: newStore(), cloud: &cloud{record: r}, toStore: make(map[string]*link), toCloud: make(map[string]*link),
		clients: &clients{record: r}, stop: make(chan struct{})}
	d.store.put("op", "config", configuration(1))
	storeAddress, err := listen(d.store)
	if err != nil {
		return nil, err
	}
	cloudAddress, err := listen(d.cloud)
	if err != nil {
		return nil, err
	}
	for i, zone := range []string{"tbilisi-a", "tbilisi-b", "tbilisi-c", "tbilisi-d"} {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x2a000000+i), service: service, zone: zone, version: "v1", slots: 6, store: d.store, record: r}
		w.onRun = func(w *worker, id, path string) { r.add("worker: %s runs %s %s", w.id, id, path) }
		if err := startWorker(w); err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	first, err := freePorts(loopbackAddress(), len(machines)*portsPerDaemon)
	if err != nil {
		return nil, err
	}
	for i, m := range machines {
		if d.toStore[m.node], err = newLink(storeAddress); err != nil {
			return nil, err
		}
		if d.toCloud[m.node], err = newLink(cloudAddress); err != nil {
			return nil, err
		}
		one, err := newDaemon(folder, m.node, m.zone, first+i*portsPerDaemon, d.toStore[m.node].address, d.toCloud[m.node].address)
		if err != nil {
			return nil, err
		}
		d.daemons = append(d.daemons, one)
	}
	return d, nil
}

// startDaemons starts all daemons and the clients, and waits until one daemon performs the duties.
func (d *deployment) startDaemons() error {
	for _, one := range d.daemons {
		if err := one.start(); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	go d.clients.watchReady(d.daemons, d.stop)
	go d.clients.run(requestsPerSecond, d.stop)
	if !d.await(25*time.Second, func() bool {
		for _, one := range d.daemons {
			if !one.isReady() {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("%w: not all daemons are ready", errCannotRun)
	}
	return nil
}

// await waits until a condition holds.
func (d *deployment) await(atMost time.Duration, holds func() bool) bool {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// daemonNamed returns a daemon.
func (d *deployment) daemonNamed(node string) *daemon {
	for _, one := range d.daemons {
		if one.node == node {
			return one
		}
	}
	return nil
}

// restart stops a daemon with SIGTERM and starts it again after a delay, as in a rolling restart.
func (d *deployment) restart(one *daemon, delay time.Duration) error {
	d.record.add("platform: SIGTERM to %s", one.node)
	one.stop()
	time.Sleep(delay)
	d.record.add("platform: %s starts again", one.node)
	return one.start()
}

// close ends all processes and removes the files.
func (d *deployment) close() {
	close(d.stop)
	for _, one := range d.daemons {
		one.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}
