package peer

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// benchDaemon holds the membership components of one daemon: core, gossip driver,
// server and connection pool.
type benchDaemon struct {
	directory *membership.PoolDirectory
	gossip    *Gossip
	server    *Server
	pool      *Pool
}

func newBenchDaemon(b *testing.B, i int, seeds []string) *benchDaemon {
	b.Helper()
	d := &benchDaemon{pool: NewPool(PoolOptions{})}
	server, err := NewServer(ServerOptions{Address: loopback}, Handlers{
		Heartbeat: func(m *membership.Message) *membership.Message { return d.gossip.Heartbeat(m) },
		Announce:  func(m *membership.Message) { d.gossip.Announce(m) },
	})
	if err != nil {
		b.Fatal(err)
	}
	d.server = server
	self := membership.Member{Name: fmt.Sprintf("daemon-%03d", i), Address: server.Address(),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%benchZones), Incarnation: uint64(time.Now().UnixMilli())}
	core := membership.New(membership.Options{Seeds: seeds}, self, rand.New(rand.NewPCG(uint64(i), 3)), time.Now())
	d.directory = membership.NewDirectory(core, time.Now, nil)
	d.gossip = NewGossip(GossipOptions{}, d.directory, d.pool)
	return d
}

func (d *benchDaemon) close() {
	d.server.Close()
	d.gossip.Close()
	d.pool.Close()
}

// BenchmarkControlTCP measures the CPU time of this process, including system
// calls, for daemons that exchange messages over loopback in real time.
func BenchmarkControlTCP(b *testing.B) {
	for _, n := range []int{7, 16, 64} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var daemons []*benchDaemon
			var seeds []string
			for i := range n {
				d := newBenchDaemon(b, i, seeds)
				defer d.close()
				daemons = append(daemons, d)
				seeds = append(seeds, d.server.Address())[:min(len(seeds)+1, 3)]
			}
			for _, d := range daemons {
				d.gossip.Start()
			}
			joined := func() bool {
				for _, d := range daemons {
					if len(d.directory.Daemons(membership.StateAlive)) != n-1 {
						return false
					}
				}
				return true
			}
			for deadline := time.Now().Add(30 * time.Second); !joined(); time.Sleep(100 * time.Millisecond) {
				if time.Now().After(deadline) {
					b.Fatal("the daemons did not join")
				}
			}
			seconds, used := 0, processorTime()
			revision, spread := uint64(0), time.Duration(0)
			for b.Loop() {
				revision++
				began := time.Now()
				daemons[0].gossip.SetRevision(revision, "hash")
				for !allAtRevision(daemons, revision) {
					time.Sleep(time.Millisecond)
				}
				spread = max(spread, time.Since(began))
				time.Sleep(5*time.Second - time.Since(began))
				seconds += 5
			}
			b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(n*seconds), "cpu-us/daemon-s")
			b.ReportMetric(spread.Seconds(), "max-spread-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func allAtRevision(daemons []*benchDaemon, revision uint64) bool {
	for _, d := range daemons {
		if d.directory.Revision().Revision < revision {
			return false
		}
	}
	return true
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
