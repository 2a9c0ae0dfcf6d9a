package demo

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// watchInterval is how often each daemon's revision is read.
const watchInterval = 20 * time.Millisecond

// revisionWatch counts how often a daemon served under a lower revision than
// before.
type revisionWatch struct {
	cancel   context.CancelFunc
	done     chan struct{}
	once     sync.Once
	reverted int
}

func watchRevisions(d *deployment) *revisionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &revisionWatch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		highest := make(map[string]uint64)
		for sleep(ctx, watchInterval) {
			for _, one := range d.running() {
				w.observe(highest, one.Name(), one.Revision())
			}
		}
	}()
	return w
}

func (w *revisionWatch) observe(highest map[string]uint64, name string, revision uint64) {
	// Revision 0 means that the daemon serves nothing.
	if revision == 0 {
		return
	}
	if revision < highest[name] {
		w.reverted++
	}
	highest[name] = max(highest[name], revision)
}

// stop ends the watch and returns the count.
func (w *revisionWatch) stop() int {
	w.once.Do(func() {
		w.cancel()
		<-w.done
	})
	return w.reverted
}

// publish publishes a set through a publisher of its own.
func (d *deployment) publish(ctx context.Context, set *config.Set, against uint64) error {
	_, err := d.daemons[0].Publish(ctx, publish.Request{Set: set, BaseRevision: against, Publisher: "demo"})
	return errors.Trace(err)
}
