package mesh_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
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

var options = mesh.Options{Interval: 250 * time.Millisecond, LeafInterval: 400 * time.Millisecond, PeerExpiry: 30 * time.Second, FullMeshLimit: 4, HubCount: 3, MemberMaxAge: 2500 * time.Millisecond}

func newDirectory() *mesh.Directory { return mesh.NewDirectory("self", 1, 1, options) }

func message(node string, wall time.Time) *mesh.Message {
	return &mesh.Message{Format: mesh.CurrentFormat, Record: mesh.Record{Node: node, Incarnation: 1, Sequence: 1}, Address: node + ":1", WallUnixMilli: wall.UnixMilli()}
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

// cluster delivers messages between directories without a network. Digests are modeled by
// the times at which the daemons made the records in them.
type cluster struct {
	nodes map[string]*mesh.Directory
	seq   map[string]uint64
	// made holds when each record of a daemon was made, and told the digest that each
	// daemon was last sent.
	made map[string]map[uint64]time.Time
	told map[string]map[string]time.Time
	// digests holds the digest that each daemon made at the time refreshed.
	digests   map[string]map[string]time.Time
	refreshed map[string]time.Time
	down      map[string]bool
	random    *rand.Rand
	// lost is the share of exchanges that fail.
	lost float64
	sent int
}

func newCluster(n int) *cluster {
	c := &cluster{nodes: make(map[string]*mesh.Directory), seq: make(map[string]uint64), down: make(map[string]bool),
		made: make(map[string]map[uint64]time.Time), told: make(map[string]map[string]time.Time),
		digests: make(map[string]map[string]time.Time), refreshed: make(map[string]time.Time), random: rand.New(rand.NewPCG(7, 7))}
	for i := range n {
		c.add(0, fmt.Sprintf("d%03d", i))
	}
	for _, d := range c.nodes {
		for other := range c.nodes {
			d.UpdateEntry(at(0), other, other+":1", weightOf(other), 1)
		}
	}
	return c
}

// weightOf returns the weight of a daemon: five have more than the others.
func weightOf(name string) float64 {
	if name < "d005" {
		return 0.8
	}
	return 0.2
}

func (c *cluster) add(ms int, name string) {
	c.nodes[name] = mesh.NewDirectory(name, uint64(ms)+1, weightOf(name), options)
	c.made[name], c.told[name] = make(map[uint64]time.Time), make(map[string]time.Time)
}

// view returns when the newest records that a daemon knows of were made, by daemon.
func (c *cluster) view(name string) map[string]time.Time {
	d := c.nodes[name]
	view := map[string]time.Time{}
	for other, at := range c.told[name] {
		view[other] = at
	}
	for other := range c.nodes {
		if p, ok := d.Lookup(other); ok && !p.Record.Partial && c.made[other][p.Record.Sequence].After(view[other]) {
			view[other] = c.made[other][p.Record.Sequence]
		}
	}
	return view
}

type clusterMessage struct {
	*mesh.Message
	digest map[string]time.Time
}

func (c *cluster) message(now time.Time, from, to string) clusterMessage {
	d := c.nodes[from]
	c.seq[from]++
	c.made[from][c.seq[from]] = now
	neighbor, _ := d.Lookup(to)
	m := clusterMessage{Message: &mesh.Message{Format: mesh.CurrentFormat, Record: mesh.Record{Node: from, Incarnation: 1, Sequence: c.seq[from], Partial: !d.SendsRecord(to)}, Address: from + ":1", Collects: d.Collects(),
		WallUnixMilli: now.UnixMilli(), Records: d.RecordsFor(now, to), Revision: d.Revision(), ReceivedRevision: d.ReceivedRevisionOf(to),
		MembersReceived: neighbor.Members.Received}}
	if d.SendsMembers(to) || d.SendsDigest(to) {
		if c.refreshed[from] != now {
			d.RefreshMembers(now, mesh.Member{Address: from + ":1", Incarnation: 1, Alive: true})
			c.refreshed[from], c.digests[from] = now, c.view(from)
			c.digests[from][from] = now
		}
		m.Members, m.MembersSpan = d.MembersFor(to, neighbor.Members.Acknowledged)
	}
	if d.SendsDigest(to) {
		m.digest = c.digests[from]
	}
	return m
}

func (c *cluster) deliver(now time.Time, to string, m clusterMessage, initiatedByPeer bool) {
	d := c.nodes[to]
	d.UpdateNeighbor(now, m.Message, initiatedByPeer)
	d.MergeMembers(now, m.Record.Node, m.Members, m.MembersSpan)
	if m.digest != nil && !d.RanksAsHub() {
		c.told[to] = m.digest
	}
	d.MergeRecord(now, &m.Record)
	for i := range m.Records {
		d.MergeRecord(now, &m.Records[i])
	}
}

// run simulates the exchanges of all daemons for the given time in milliseconds.
func (c *cluster) run(from, to int) {
	for ms := from; ms < to; ms += 50 {
		now := at(ms)
		// In order, so that a seed gives the same run each time.
		for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
			d := c.nodes[name]
			if c.down[name] {
				continue
			}
			due := d.Due(now)
			slices.SortFunc(due, func(a, b mesh.Peer) int { return strings.Compare(a.Node, b.Node) })
			for _, p := range due {
				c.sent++
				if c.down[p.Node] || c.random.Float64() < c.lost {
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

// maxRecordAge returns the greatest age of what any running daemon knows of another
// running daemon, or an hour if it knows nothing.
func (c *cluster) maxRecordAge(now time.Time) time.Duration {
	var oldest time.Duration
	for name := range c.nodes {
		view := c.view(name)
		for other := range c.nodes {
			if c.down[name] || c.down[other] || name == other {
				continue
			}
			made, ok := view[other]
			if !ok {
				return time.Hour
			}
			oldest = max(oldest, now.Sub(made))
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

// Guards against daemons that do not hear of one another for longer than two seconds when
// messages are lost and a hub dies, at the size of the largest deployments.
func TestHundredsOfDaemonsHearOfOneAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, n := range []int{64, 295, 590} {
		c := newCluster(n)
		c.run(0, 3000)
		c.lost = 0.1
		c.run(3000, 5000)
		g.Expect(c.maxRecordAge(at(5000))).To(gomega.BeNumerically("<=", 2*time.Second), "%d daemons", n)
		c.down["d000"] = true
		c.run(5000, 9000)
		g.Expect(c.maxRecordAge(at(9000))).To(gomega.BeNumerically("<=", 2*time.Second), "%d daemons, after the death of a hub", n)
		alive := 0
		for _, m := range c.nodes["d040"].Members(at(9000), 3*time.Second) {
			if m.Alive {
				alive++
			}
		}
		g.Expect(alive).To(gomega.Equal(n-2), "all but itself and the dead one, of %d", n)
	}
}

// Guards against leaves that are sent the records of all daemons, whose number and size grow
// with the deployment, and against leaves that forward what they are told.
func TestLeavesAreSentNoRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(80)
	c.run(0, 4000)
	for name, d := range c.nodes {
		for other := range c.nodes {
			records := d.RecordsFor(at(4000), other)
			if d.RanksAsHub() && c.nodes[other].RanksAsHub() && name != other {
				continue
			}
			g.Expect(len(records)).To(gomega.BeNumerically("<=", 3), "%s to %s", name, other)
		}
	}
}

// Guards against a read of the store by each of hundreds of daemons whenever a hub pushes a
// change to them, as with each server that joins or leaves: only those on which others
// rely read it.
func TestPushedChangesMakeNoHubs(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(295)
	c.run(0, 3000)
	for ms := 3000; ms < 6000; ms += 200 {
		for _, d := range c.nodes {
			if d.RanksAsHub() {
				d.MakeExchangesDue(at(ms))
			}
		}
		c.run(ms, ms+200)
	}
	readers := 0
	for _, d := range c.nodes {
		if d.IsHub(at(6000)) {
			readers++
		}
	}
	g.Expect(readers).To(gomega.Equal(options.HubCount))
}

// Guards against a list of daemons that grows old: a daemon that a hub no longer hears is
// not alive for the others, one that was removed is removed there, and one that joins is
// known to all.
func TestLeavesAreToldWhichDaemonsLive(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(40)
	c.run(0, 3000)
	c.down["d020"] = true
	c.add(3000, "d999")
	c.nodes["d999"].UpdateEntry(at(3000), "d010", "d010:1", 0.2, 1)
	c.run(3000, 9000)
	leaf := c.nodes["d030"]
	byName := make(map[string]bool)
	for _, m := range leaf.Members(at(9000), 3*time.Second) {
		byName[m.Node] = m.Alive
	}
	g.Expect(byName["d020"]).To(gomega.BeFalse())
	g.Expect(byName["d999"]).To(gomega.BeTrue(), "joined through a daemon that is no hub")
	g.Expect(c.nodes["d999"].Size()).To(gomega.Equal(41))
	c.run(9000, 42_000)
	for name, d := range c.nodes {
		if !c.down[name] {
			d.Expire(at(42_000))
		}
	}
	c.run(42_000, 44_000)
	_, known := leaf.Lookup("d020")
	g.Expect(known).To(gomega.BeFalse())
}

// Guards against a change that costs as many messages as there are changes: urgent
// exchanges with one daemon keep a distance, and the last change is still told.
func TestUrgentExchangesKeepADistance(t *testing.T) {
	g := gomega.NewWithT(t)
	count := func(d *mesh.Directory) (n int) {
		d.UpdateNeighbor(at(0), message("a", at(0)), false)
		for ms := 0; ms < 200; ms += 10 {
			d.MakeExchangesDue(at(ms))
			for _, p := range d.Due(at(ms)) {
				n++
				d.ExchangeDone(at(ms), p.Node, false)
			}
		}
		return n
	}
	large := newDirectory()
	for _, node := range []string{"a", "b", "c", "d", "e"} {
		large.UpdateEntry(at(0), node, "", 0.5, 1)
	}
	g.Expect(count(large)).To(gomega.Equal(2))
	g.Expect(large.NextDue(at(10_000))).To(gomega.Equal(at(200)))
	g.Expect(count(newDirectory())).To(gomega.Equal(20), "in a full mesh each change is told at once")
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
