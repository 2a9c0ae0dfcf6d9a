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
	// noticeInterval bounds how late a reclaim notice is seen; notices give
	// seconds only.
	noticeInterval = 500 * time.Millisecond
	noticeTimeout  = 2 * time.Second
)

// reclaimNotice is a notice on its way to other daemons. The remaining time is
// sent, since the clocks of hosts are not compared.
type reclaimNotice struct {
	Name            string `json:"name"`
	Incarnation     uint64 `json:"incarnation"`
	RemainingMillis int64  `json:"remaining_millis"`
}

// noticeDuty watches for reclaim notices, acts on them and spreads them.
type noticeDuty struct {
	cloud     cloud.API
	directory *membership.PoolDirectory
	balancer  *routing.Balancer
	streams   *streaming.Driver
	clock     clock.WithTicker
	// spread announces a notice to the other daemons.
	spread spreader
	// known returns the BackendServer of a Host.
	known func(name string) (membership.BackendServer, bool)

	mu   sync.Mutex
	seen map[string]bool

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func (n *noticeDuty) start() {
	n.seen = make(map[string]bool)
	n.ctx, n.stop = context.WithCancel(context.Background())
	if n.cloud != nil {
		n.tasks.Go(n.run)
	}
}

func (n *noticeDuty) close() {
	n.stop()
	n.tasks.Wait()
}

func (n *noticeDuty) run() {
	ticker := n.clock.NewTicker(noticeInterval)
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

// poll reads the notices if it is this daemon's turn: the cloud's API is rate
// limited, and the pollers tell the rest.
func (n *noticeDuty) poll() {
	if !n.directory.IsPoller() {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, noticeTimeout)
	defer cancel()
	notices, err := n.cloud.Notices(ctx)
	if err != nil {
		klog.V(1).InfoS("reclaim notices not read", "error", err)
		return
	}
	for _, notice := range notices {
		server, ok := n.known(notice.HostID)
		if !ok {
			continue
		}
		remaining := notice.ReclaimAt.Sub(n.clock.Now())
		if n.act(server.Name, server.Incarnation, remaining) {
			n.announce(server, remaining)
		}
	}
}

func (n *noticeDuty) announce(server membership.BackendServer, remaining time.Duration) {
	payload, err := json.Marshal(reclaimNotice{
		Name: server.Name, Incarnation: server.Incarnation, RemainingMillis: remaining.Milliseconds(),
	})
	if err != nil {
		klog.ErrorS(err, "encode reclaim notice")
		return
	}
	n.spread(fmt.Sprintf("reclaim/%s/%d", server.Name, server.Incarnation), payload)
}

// retireTime is how long a Host that the system itself gives up goes on with its
// work before it is stopped.
const retireTime = 10 * time.Minute

// retire takes a server out of use at every daemon; its work goes on.
func (n *noticeDuty) retire(server membership.BackendServer) {
	if n.act(server.Name, server.Incarnation, retireTime) {
		n.announce(server, retireTime)
	}
}

// announced acts on a notice that another daemon has spread.
func (n *noticeDuty) announced(payload []byte) {
	var notice reclaimNotice
	if err := json.Unmarshal(payload, &notice); err != nil {
		klog.ErrorS(err, "malformed reclaim notice")
		return
	}
	n.act(notice.Name, notice.Incarnation, time.Duration(notice.RemainingMillis)*time.Millisecond)
}

// act gives the server no new work and plans for its streams. It reports
// whether the notice is new.
func (n *noticeDuty) act(name string, incarnation uint64, remaining time.Duration) bool {
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
