package cloud

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	// Interval is the time between polls.
	Interval time.Duration
	// Active reports whether this daemon currently polls; nil means always.
	// Only a few daemons poll and broadcast the notices to the others.
	Active func() bool
	// OnNotice is called once for each new or changed notice, on the Watcher's
	// goroutine.
	OnNotice func(Notice)
	Clock    clock.WithTicker
}

const defaultWatchInterval = 500 * time.Millisecond

// Watcher polls the cloud API for reclaim notices.
type Watcher struct {
	o      WatcherOptions
	api    API
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// seen maps the Host IDs of the last poll to their reclaim times.
	seen map[string]time.Time
}

// NewWatcher starts a Watcher, which polls until Close is called.
func NewWatcher(o WatcherOptions, api API) *Watcher {
	if o.Interval == 0 {
		o.Interval = defaultWatchInterval
	}
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{o: o, api: api, cancel: cancel, seen: map[string]time.Time{}}
	ticker := o.Clock.NewTicker(o.Interval)
	w.wg.Add(1)
	go w.run(ctx, ticker)
	return w
}

// Close stops polling and waits for a running poll to end.
func (w *Watcher) Close() {
	w.cancel()
	w.wg.Wait()
}

func (w *Watcher) run(ctx context.Context, ticker clock.Ticker) {
	defer w.wg.Done()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
			if w.o.Active == nil || w.o.Active() {
				w.poll(ctx)
			}
		}
	}
}

func (w *Watcher) poll(ctx context.Context) {
	notices, err := w.api.Notices(ctx)
	if err != nil {
		klog.ErrorS(err, "failed to poll reclaim notices")
		return
	}
	current := make(map[string]time.Time, len(notices))
	for _, n := range notices {
		current[n.HostID] = n.ReclaimAt
		if at, ok := w.seen[n.HostID]; ok && at.Equal(n.ReclaimAt) {
			continue
		}
		w.o.OnNotice(n)
	}
	w.seen = current
}

// EncodeNotice encodes a notice as the payload of a broadcast announcement.
func EncodeNotice(n Notice) ([]byte, error) {
	payload, err := json.Marshal(n)
	return payload, errors.Trace(err)
}

// DecodeNotice decodes a payload written by EncodeNotice.
func DecodeNotice(payload []byte) (Notice, error) {
	var n Notice
	if err := json.Unmarshal(payload, &n); err != nil {
		return Notice{}, &InvalidResponseError{Cause: err}
	}
	return n, nil
}
