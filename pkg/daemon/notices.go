package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

const (
	// noticePollInterval is the maximum delay until a reclaim notice is read. It is
	// short because the cloud announces a reclaim only seconds in advance.
	noticePollInterval = 500 * time.Millisecond
	noticePollTimeout  = 2 * time.Second
)

// reclaimNotice is the payload of a reclaim announcement to other daemons. It holds
// the remaining time rather than a point in time, because the clocks of Hosts may
// not be synchronized.
type reclaimNotice struct {
	Name            string `json:"name"`
	Incarnation     uint64 `json:"incarnation"`
	RemainingMillis int64  `json:"remaining_millis"`
}

// reclaimWatcher polls the cloud for reclaim notices, applies them at this daemon
// and broadcasts them to the others.
type reclaimWatcher struct {
	cloud     cloud.API
	directory *membership.PoolDirectory
	balancer  *routing.Balancer
	streams   *streaming.Driver
	clock     clock.WithTicker
	// broadcast announces a notice to the other daemons.
	broadcast broadcastFunc
	// lookupServer returns the BackendServer on the Host with the given name.
	lookupServer func(name string) (membership.BackendServer, bool)

	mu sync.Mutex
	// seen holds the server incarnations whose notice has been applied.
	seen map[string]bool

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func (n *reclaimWatcher) start() {
	n.seen = make(map[string]bool)
	n.ctx, n.stop = context.WithCancel(context.Background())
	if n.cloud != nil {
		n.tasks.Go(n.run)
	}
}

func (n *reclaimWatcher) close() {
	n.stop()
	n.tasks.Wait()
}

func (n *reclaimWatcher) run() {
	ticker := n.clock.NewTicker(noticePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			n.poll()
		case <-n.ctx.Done():
			return
		}
	}
}

// poll reads the notices if this daemon is currently one of the pollers. The cloud
// API is rate-limited, so only a few daemons poll and announce notices to the rest.
func (n *reclaimWatcher) poll() {
	if !n.directory.IsPoller() {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, noticePollTimeout)
	defer cancel()
	notices, err := n.cloud.Notices(ctx)
	if err != nil {
		klog.V(1).InfoS("cannot read reclaim notices", "error", err)
		return
	}
	for _, notice := range notices {
		server, ok := n.lookupServer(notice.HostID)
		if !ok {
			continue
		}
		remaining := notice.ReclaimAt.Sub(n.clock.Now())
		if n.applyNotice(server.Name, server.Incarnation, remaining) {
			n.announce(server, remaining)
		}
	}
}

func (n *reclaimWatcher) announce(server membership.BackendServer, remaining time.Duration) {
	payload, err := json.Marshal(reclaimNotice{
		Name: server.Name, Incarnation: server.Incarnation, RemainingMillis: remaining.Milliseconds(),
	})
	if err != nil {
		klog.ErrorS(err, "cannot encode reclaim notice")
		return
	}
	n.broadcast(fmt.Sprintf("reclaim/%s/%d", server.Name, server.Incarnation), payload)
}

// retireGracePeriod is the maximum time for which a Host that the system itself
// retires may finish its work before it is stopped.
const retireGracePeriod = 10 * time.Minute

// retire stops the assignment of new work to a server at every daemon. Work in
// progress continues.
func (n *reclaimWatcher) retire(server membership.BackendServer) {
	if n.applyNotice(server.Name, server.Incarnation, retireGracePeriod) {
		n.announce(server, retireGracePeriod)
	}
}

// handleAnnouncement applies a notice that another daemon has announced.
func (n *reclaimWatcher) handleAnnouncement(payload []byte) {
	var notice reclaimNotice
	if err := json.Unmarshal(payload, &notice); err != nil {
		klog.ErrorS(err, "malformed reclaim notice")
		return
	}
	n.applyNotice(notice.Name, notice.Incarnation, time.Duration(notice.RemainingMillis)*time.Millisecond)
}

// applyNotice stops the assignment of new work to the server and informs the stream
// driver of the reclaim. It reports whether the notice is new.
func (n *reclaimWatcher) applyNotice(name string, incarnation uint64, remaining time.Duration) bool {
	key := fmt.Sprintf("%s#%d", name, incarnation)
	n.mu.Lock()
	seen := n.seen[key]
	n.seen[key] = true
	n.mu.Unlock()
	if seen {
		return false
	}
	klog.InfoS("reclaim notice", "server", name, "incarnation", incarnation, "remaining", remaining)
	n.directory.ReportLeaving(name, incarnation)
	n.balancer.NoticeReceived(name, incarnation)
	n.streams.ReclaimNotice(name, n.clock.Now().Add(remaining))
	return true
}
