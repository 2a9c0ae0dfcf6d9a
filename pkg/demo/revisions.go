package demo

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// revisionPollInterval is the time between two reads of each daemon's revision.
const revisionPollInterval = 20 * time.Millisecond

// revisionMonitor counts how often the revision in force at a daemon was lower
// than at an earlier read.
type revisionMonitor struct {
	cancel   context.CancelFunc
	done     chan struct{}
	once     sync.Once
	reverted int
}

// monitorRevisions reads the revisions of the running daemons in the background
// until stop is called.
func monitorRevisions(d *deployment) *revisionMonitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &revisionMonitor{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		highest := make(map[string]uint64)
		for sleep(ctx, revisionPollInterval) {
			for _, instance := range d.runningDaemons() {
				m.observe(highest, instance.Name(), instance.Revision())
			}
		}
	}()
	return m
}

// observe compares a daemon's revision with the highest one read so far.
func (m *revisionMonitor) observe(highest map[string]uint64, name string, revision uint64) {
	// Revision 0 means that no configuration is in force and the daemon serves no
	// requests.
	if revision == 0 {
		return
	}
	if revision < highest[name] {
		m.reverted++
	}
	highest[name] = max(highest[name], revision)
}

// stop ends the monitoring and returns the count. It may be called repeatedly.
func (m *revisionMonitor) stop() int {
	m.once.Do(func() {
		m.cancel()
		<-m.done
	})
	return m.reverted
}

// publish publishes a configuration through the first daemon, based on
// baseRevision.
func (d *deployment) publish(ctx context.Context, set *config.Set, baseRevision uint64) error {
	_, err := d.daemons[0].Publish(ctx, publish.Request{Set: set, BaseRevision: baseRevision, Publisher: "demo"})
	return errors.Trace(err)
}
