package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var options = mesh.Options{Interval: 250 * time.Millisecond, LeafInterval: 400 * time.Millisecond, PeerExpiry: 30 * time.Second, FullMeshLimit: 4, HubCount: 3}

func newDirectory() *mesh.Directory { return mesh.NewDirectory("self", 1, options) }

func message(node string, wall time.Time) *mesh.Message {
	return &mesh.Message{Record: mesh.Record{Node: node, Incarnation: 1, Sequence: 1}, Address: node + ":1", WallUnixMilli: wall.UnixMilli()}
}

// Guards against expired daemons that are added again because their entries
// remain in the store after their hosts are removed for good.
func TestUnchangedEntriesDoNotRestoreExpiredDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDirectory()
	g.Expect(d.UpdateEntry(at(0), "dead", "10.0.0.1:1", 1, 5)).To(gomega.BeTrue())
	g.Expect(d.Expire(at(31_000))).To(gomega.ConsistOf("dead"))
	g.Expect(d.UpdateEntry(at(32_000), "dead", "10.0.0.1:1", 1, 5)).To(gomega.BeFalse())
	g.Expect(d.Size()).To(gomega.Equal(1))
	g.Expect(d.UpdateEntry(at(33_000), "dead", "10.0.0.1:1", 1, 6)).To(gomega.BeTrue())
}

// Guards against steps of the wall clocks of a few hosts: the median must not
// change.
func TestMedianWallOffsetIgnoresSteppedClocks(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDirectory()
	d.UpdateNeighbor(at(0), message("a", at(100)), false)
	d.UpdateNeighbor(at(0), message("b", at(90)), false)
	d.UpdateNeighbor(at(0), message("stepped", at(5000)), false)
	g.Expect(d.MedianWallOffset(at(0), 95*time.Millisecond)).To(gomega.BeNumerically("<=", 100*time.Millisecond))
	// This daemon's own clock is stepped.
	g.Expect(d.MedianWallOffset(at(0), -3*time.Second)).To(gomega.BeNumerically("~", 95*time.Millisecond, 10*time.Millisecond))
}

// Guards against frequent exchanges with a neighbor that does not answer: the
// interval must grow, but an urgent update must still be sent at once.
func TestExchangesBackOff(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDirectory()
	d.UpdateNeighbor(at(0), message("a", at(0)), false)
	g.Expect(d.Due(at(249))).To(gomega.BeEmpty())
	g.Expect(d.Due(at(250))).To(gomega.HaveLen(1))
	g.Expect(d.Due(at(260))).To(gomega.BeEmpty(), "one exchange at a time")
	d.ExchangeDone(at(300), "a", true)
	d.Due(at(550))
	d.ExchangeDone(at(600), "a", true)
	g.Expect(d.Due(at(900))).To(gomega.BeEmpty())
	d.MakeExchangesDue(at(900))
	g.Expect(d.Due(at(900))).To(gomega.HaveLen(1))
}

// Guards against records that arrive late, twice or from an earlier run.
func TestOlderRecordsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDirectory()
	merge := func(incarnation, sequence uint64) bool {
		return d.MergeRecord(at(0), &mesh.Record{Node: "a", Incarnation: incarnation, Sequence: sequence})
	}
	g.Expect(merge(1, 5)).To(gomega.BeTrue())
	g.Expect(merge(1, 5)).To(gomega.BeFalse())
	g.Expect(merge(1, 4)).To(gomega.BeFalse())
	g.Expect(merge(2, 1)).To(gomega.BeTrue())
	g.Expect(merge(1, 9)).To(gomega.BeFalse())
}

// cluster delivers messages between directories without a network.
type cluster struct {
	nodes map[string]*mesh.Directory
	seq   map[string]uint64
	down  map[string]bool
	sent  int
}

func newCluster(n int) *cluster {
	c := &cluster{nodes: make(map[string]*mesh.Directory), seq: make(map[string]uint64), down: make(map[string]bool)}
	for i := range n {
		name := fmt.Sprintf("d%02d", i)
		weight := 0.2
		if i < 5 {
			weight = 0.8
		}
		c.nodes[name] = mesh.NewDirectory(name, weight, options)
	}
	for name, d := range c.nodes {
		for other := range c.nodes {
			weight := 0.2
			if other < "d05" {
				weight = 0.8
			}
			d.UpdateEntry(at(0), other, other+":1", weight, 1)
		}
		_ = name
	}
	return c
}

func (c *cluster) message(now time.Time, from, to string) *mesh.Message {
	d := c.nodes[from]
	c.seq[from]++
	return &mesh.Message{Record: mesh.Record{Node: from, Incarnation: 1, Sequence: c.seq[from]}, Address: from + ":1",
		WallUnixMilli: now.UnixMilli(), Records: d.RecordsFor(now, to), Revision: d.Revision(), ReceivedRevision: d.ReceivedRevisionOf(to)}
}

func (c *cluster) deliver(now time.Time, to string, m *mesh.Message, initiatedByPeer bool) {
	d := c.nodes[to]
	d.UpdateNeighbor(now, m, initiatedByPeer)
	d.MergeRecord(now, &m.Record)
	for i := range m.Records {
		d.MergeRecord(now, &m.Records[i])
	}
}

// run simulates the exchanges of all daemons for the given time in milliseconds.
func (c *cluster) run(from, to int) {
	for ms := from; ms < to; ms += 50 {
		now := at(ms)
		for name, d := range c.nodes {
			if c.down[name] {
				continue
			}
			for _, p := range d.Due(now) {
				c.sent++
				if c.down[p.Node] {
					d.ExchangeDone(now, p.Node, true)
					continue
				}
				c.deliver(now, p.Node, c.message(now, name, p.Node), true)
				c.deliver(now, name, c.message(now, p.Node, name), false)
				d.ExchangeDone(now, p.Node, false)
			}
		}
	}
}

// maxRecordAge returns the greatest age of any record that a running daemon has of
// another running daemon, or an hour if a record is missing.
func (c *cluster) maxRecordAge(now time.Time) time.Duration {
	var oldest time.Duration
	for name, d := range c.nodes {
		for other := range c.nodes {
			if c.down[name] || c.down[other] || name == other {
				continue
			}
			p, ok := d.Lookup(other)
			if !ok || p.RecordAt.IsZero() {
				return time.Hour
			}
			oldest = max(oldest, now.Sub(p.RecordAt))
		}
	}
	return oldest
}

// Guards against traffic that grows faster than the number of daemons, and
// against records that take longer than one second to reach all daemons.
func TestHubsForwardRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	small, large := newCluster(20), newCluster(80)
	small.run(0, 4000)
	large.run(0, 4000)
	g.Expect(large.maxRecordAge(at(4000))).To(gomega.BeNumerically("<=", time.Second))
	g.Expect(float64(large.sent) / float64(small.sent)).To(gomega.BeNumerically("<=", 4.5))
	hubs := 0
	for _, d := range large.nodes {
		if d.IsHub(at(4000)) {
			hubs++
		}
	}
	g.Expect(hubs).To(gomega.Equal(3))
}

// Guards against the loss of record exchange when all hubs fail at once: other
// daemons must take over, and the original hubs must be able to return.
func TestFailedHubsAreReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(40)
	c.run(0, 2000)
	for name, d := range c.nodes {
		if d.IsHub(at(2000)) {
			c.down[name] = true
		}
	}
	g.Expect(c.down).To(gomega.HaveLen(3))
	c.run(2000, 9000)
	g.Expect(c.maxRecordAge(at(9000))).To(gomega.BeNumerically("<=", time.Second))
	c.down = make(map[string]bool)
	c.run(9000, 16_000)
	g.Expect(c.maxRecordAge(at(16_000))).To(gomega.BeNumerically("<=", time.Second))
}

// Guards against messages that change in their encoding, and against truncated
// messages that are accepted.
func TestMessageEncodingRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	m := message("a", at(0))
	m.Fleet = fleet.View{Version: 7, Digest: 8, Span: changelog.Span{Run: 1, From: 2, To: 3}, AgeMillis: -1, Received: changelog.Position{Run: 4, Revision: 5},
		Entries: []fleet.Entry{{ID: "s", Server: &fleet.Server{ID: "s", Address: "10.0.0.1:80", Leaving: true}, Version: 6}}}
	m.Records = []mesh.Record{{Node: "b", Usage: usage.Windows{7: {"account": 3}}}}
	encoded, err := m.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	decoded, err := mesh.DecodeMessage(encoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(m))
	_, err = mesh.DecodeMessage(encoded[:len(encoded)/2])
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against a daemon that takes itself for connected while it hears from no
// other daemon, and against the opposite for one that is alone.
func TestADaemonThatHearsFromNobodyIsIsolated(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDirectory()
	g.Expect(d.Isolated(at(0))).To(gomega.BeFalse(), "it knows no other daemon")
	d.UpdateEntry(at(0), "silent", "10.0.0.2:1", 1, 1)
	g.Expect(d.Isolated(at(10))).To(gomega.BeTrue())
	d.UpdateNeighbor(at(100), message("a", at(100)), true)
	g.Expect(d.Isolated(at(1000))).To(gomega.BeFalse())
	g.Expect(d.Isolated(at(3000))).To(gomega.BeTrue())
}
