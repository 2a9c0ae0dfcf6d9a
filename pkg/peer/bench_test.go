package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// benchNetwork simulates the network between many membership cores in one
// process. It passes encoded frames between them on a virtual clock; a message
// sent in a tick arrives before the next tick.
type benchNetwork struct {
	now      time.Time
	cores    []*membership.Core
	names    []string
	index    map[string]int
	inFlight []func()

	bytes, messages, largestBytes int
	// hops is the largest number of hops that the newest revision took.
	hops      int
	revision  uint64
	lossRound uint64
	// regions is the number of regions that are partitioned from one another; 0
	// means that all daemons are connected.
	regions int
}

// benchSizes returns the numbers of daemons to simulate. 590 daemons are left out
// with -short, because they take minutes.
func benchSizes() []int {
	if testing.Short() {
		return []int{7, 64}
	}
	return []int{7, 64, 590}
}

const (
	benchZones   = 18
	benchTick    = 100 * time.Millisecond
	joinDuration = 30 * time.Second
)

// benchNetworks caches the joined networks by number of daemons, because 590
// daemons take long to join.
var benchNetworks = map[int]*benchNetwork{}

func joinedNetwork(b *testing.B, daemons int) *benchNetwork {
	b.Helper()
	if benchNetworks[daemons] == nil {
		benchNetworks[daemons] = newBenchNetwork(b, daemons, membership.Options{})
	}
	return benchNetworks[daemons]
}

func newBenchNetwork(b *testing.B, daemons int, o membership.Options) *benchNetwork {
	b.Helper()
	w := &benchNetwork{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), index: map[string]int{}}
	o.Seeds = []string{benchAddress(0), benchAddress(1)}
	for i := range daemons {
		self := membership.Member{Name: fmt.Sprintf("daemon-%03d", i), Address: benchAddress(i),
			AvailabilityZone: fmt.Sprintf("region-%d-zone-%d", i%7, i%benchZones), Incarnation: uint64(w.now.UnixMilli())}
		w.index[self.Address] = i
		w.names = append(w.names, self.Name)
		w.cores = append(w.cores, membership.New(o, self, rand.New(rand.NewPCG(uint64(i), 7)), w.now))
	}
	for range 20 {
		w.run(joinDuration)
		if w.joined() {
			return w
		}
	}
	b.Fatal("the daemons did not discover one another")
	return nil
}

func benchAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250) }

// joined reports whether every daemon sees all others as alive.
func (w *benchNetwork) joined() bool {
	for _, c := range w.cores {
		if len(c.Daemons(membership.StateAlive)) != len(w.cores)-1 {
			return false
		}
	}
	return true
}

func (w *benchNetwork) run(d time.Duration) {
	for range int(d / benchTick) {
		w.tick()
	}
}

func (w *benchNetwork) tick() {
	w.now = w.now.Add(benchTick)
	for i := range w.cores {
		w.step(i, membership.TickEvent{})
	}
	for len(w.inFlight) > 0 {
		inFlight := w.inFlight
		w.inFlight = nil
		for _, deliver := range inFlight {
			deliver()
		}
	}
}

func (w *benchNetwork) step(i int, e membership.Event) *membership.Message {
	var reply *membership.Message
	for _, action := range w.cores[i].Step(w.now, e) {
		switch a := action.(type) {
		case membership.ReplyAction:
			reply = a.Message
		case membership.RevisionAction:
			w.hops = max(w.hops, int(a.Hops))
		case membership.SendAction:
			w.send(i, a)
		}
	}
	return reply
}

func (w *benchNetwork) send(from int, a membership.SendAction) {
	to, ok := w.index[a.Address]
	if !ok {
		return
	}
	if w.regions > 0 && from%w.regions != to%w.regions {
		if !a.Urgent {
			w.inFlight = append(w.inFlight, func() { w.step(from, membership.PeerFailedEvent{Name: a.Name}) })
		}
		return
	}
	frame := w.encode(a.Message)
	w.inFlight = append(w.inFlight, func() {
		reply := w.step(to, membership.MessageEvent{Message: decodeFrame(frame), Heartbeat: !a.Urgent})
		if reply == nil {
			w.bytes += emptyReplyBytes
			return
		}
		answer := w.encode(reply)
		w.inFlight = append(w.inFlight, func() {
			w.step(from, membership.MessageEvent{Message: decodeFrame(answer)})
		})
	})
}

// emptyReplyBytes is the size of the frame that replies to an announcement.
const emptyReplyBytes = 20

func (w *benchNetwork) encode(m *membership.Message) []byte {
	frame, err := appendFrame(nil, &header{Method: methodHeartbeat, Sequence: 1000}, m, defaultMaxFrameBytes)
	if err != nil {
		panic(err)
	}
	w.bytes += len(frame)
	w.messages++
	w.largestBytes = max(w.largestBytes, len(frame))
	return frame
}

func decodeFrame(frame []byte) *membership.Message {
	var h header
	body, err := decodeHeader(frame[lengthPrefixBytes:], &h)
	if err != nil {
		panic(err)
	}
	m := &membership.Message{}
	if err := decodeBody(body, m); err != nil {
		panic(err)
	}
	return m
}

// BenchmarkControl measures the cost of membership for each daemon: CPU time
// including encoding, bytes sent and received, and messages. The case "idle" has
// no changes. The case "changes" has 3 revisions and one leaving BackendServer in
// 10 s, which is slightly more than 27,000 configuration changes and 2,500
// restarts a day.
func BenchmarkControl(b *testing.B) {
	for _, n := range benchSizes() {
		for _, load := range []string{"idle", "changes"} {
			b.Run(fmt.Sprintf("%s/daemons=%d", load, n), func(b *testing.B) {
				w := joinedNetwork(b, n)
				w.run(20 * time.Second)
				w.bytes, w.messages, w.largestBytes = 0, 0, 0
				seconds := 0
				for b.Loop() {
					if load == "changes" {
						w.applyChanges()
					}
					w.run(7 * time.Second)
					seconds += 7
					if load == "changes" {
						seconds += 3
					}
				}
				per := float64(n * seconds)
				b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "cpu-us/daemon-s")
				// Each message is sent by one daemon and received by another.
				b.ReportMetric(2*float64(w.bytes)/per, "bytes/daemon-s")
				b.ReportMetric(2*float64(w.messages)/per, "messages/daemon-s")
				b.ReportMetric(float64(w.largestBytes), "largest-bytes")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// applyChanges publishes three revisions and marks one BackendServer as leaving.
func (w *benchNetwork) applyChanges() {
	for range 3 {
		w.raiseRevision()
		w.run(time.Second)
	}
	w.step(0, membership.LeavingEvent{Name: "engine-changing", Incarnation: w.revision})
}

// raiseRevision publishes the next revision at one of the daemons.
func (w *benchNetwork) raiseRevision() {
	w.revision++
	w.step(int(w.revision)%len(w.cores), membership.RevisionEvent{Revision: w.revision, BodyHash: fmt.Sprintf("%064x", w.revision)})
}

// BenchmarkSpreadRevision measures how long a revision takes to reach all
// daemons, in ticks of 100 ms and in hops.
func BenchmarkSpreadRevision(b *testing.B) {
	for _, n := range benchSizes() {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			w := joinedNetwork(b, n)
			ticks, maxTicks, revisions, maxHops := 0, 0, 0, 0
			for b.Loop() {
				w.run(3 * time.Second)
				revisions++
				w.hops = 0
				w.raiseRevision()
				took := 0
				for ; !w.allHaveRevision(w.revision); took++ {
					w.tick()
				}
				ticks += took
				maxTicks = max(maxTicks, took)
				maxHops = max(maxHops, w.hops)
			}
			b.ReportMetric(float64(ticks)/float64(revisions), "mean-ticks")
			b.ReportMetric(float64(maxTicks), "max-ticks")
			b.ReportMetric(float64(maxHops), "max-hops")
			b.ReportMetric(float64(revisions), "revisions")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (w *benchNetwork) allHaveRevision(revision uint64) bool {
	for _, c := range w.cores {
		if c.Revision().Revision < revision {
			return false
		}
	}
	return true
}

// Numbers of BackendServers that leave at once: the share of one of 18 zones in
// 7,000 BackendServers, and the 46% of the 7,000 that can be reclaimed.
const (
	zoneServers        = 390
	reclaimableServers = 3220
)

// BenchmarkZoneLoss measures how long it takes until all daemons have marked the
// BackendServers of one zone as leaving, and the bytes that each daemon transfers.
func BenchmarkZoneLoss(b *testing.B) {
	for _, n := range benchSizes() {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) { benchLoss(b, n, zoneServers) })
	}
}

// BenchmarkReclaimAll measures the same for all reclaimable BackendServers.
func BenchmarkReclaimAll(b *testing.B) {
	for _, n := range benchSizes() {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) { benchLoss(b, n, reclaimableServers) })
	}
}

func benchLoss(b *testing.B, n, servers int) {
	w := joinedNetwork(b, n)
	rounds, maxTicks, used := 0, 0, 0
	w.largestBytes = 0
	for b.Loop() {
		w.run(20 * time.Second)
		rounds++
		w.lossRound++
		before := w.bytes
		for i := range servers {
			w.step(i%n, membership.LeavingEvent{Name: fmt.Sprintf("engine-%05d", i), Incarnation: w.lossRound})
		}
		took := 0
		for ; !w.allLeft(servers, w.lossRound); took++ {
			w.tick()
		}
		maxTicks = max(maxTicks, took)
		w.run(10 * time.Second)
		used += w.bytes - before
	}
	b.ReportMetric(float64(maxTicks), "max-ticks")
	b.ReportMetric(2*float64(used)/float64(rounds)/float64(n), "bytes/daemon")
	b.ReportMetric(float64(w.largestBytes), "largest-bytes")
	b.ReportMetric(0, "ns/op")
}

func (w *benchNetwork) allLeft(servers int, incarnation uint64) bool {
	for _, c := range w.cores {
		for i := range servers {
			if !c.HasLeft(fmt.Sprintf("engine-%05d", i), incarnation) {
				return false
			}
		}
	}
	return true
}

// BenchmarkMemory measures the heap size of one core for different numbers of
// known daemons and of BackendServers in the host list.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ daemons, servers int }{{16, 16}, {256, 256}, {590, 590}, {590, 7000}} {
		b.Run(fmt.Sprintf("daemons=%d/servers=%d", size.daemons, size.servers), func(b *testing.B) {
			entries := benchList(size.servers)
			var before, after runtime.MemStats
			var cores []*membership.Core
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				cores = append(cores, loadedCore(size.daemons, entries))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(cores)), "heap-bytes/core")
			runtime.KeepAlive(cores)
			runtime.KeepAlive(entries)
		})
	}
}

func loadedCore(daemons int, entries []membership.ListEntry) *membership.Core {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := membership.New(membership.Options{}, membership.Member{Name: "daemon-self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), now)
	m := &membership.Message{Sender: membership.Delta{Name: "daemon-0", Kind: membership.KindDaemon, Incarnation: 1}}
	for i := range daemons - 1 {
		m.Deltas = append(m.Deltas, membership.Delta{Name: fmt.Sprintf("daemon-%03d", i), Kind: membership.KindDaemon,
			Address: benchAddress(i), AvailabilityZone: "region-1-zone-1", Incarnation: 1})
	}
	c.Step(now, membership.MessageEvent{Message: m, Heartbeat: true})
	c.Step(now, membership.HostListEvent{Entries: entries})
	return c
}

func benchList(n int) []membership.ListEntry {
	entries := make([]membership.ListEntry, n)
	for i := range entries {
		zone := i % benchZones
		entries[i] = membership.ListEntry{Member: membership.Member{Name: fmt.Sprintf("engine-%05d", i), Kind: membership.KindEngine,
			Address: fmt.Sprintf("10.%d.%d.%d:8000", 1+i/62500, i/250%250, i%250), Pool: fmt.Sprintf("pool-%02d", zone),
			AvailabilityZone: fmt.Sprintf("region-%d-zone-%d", zone%7, zone), MachineClass: "a8", Incarnation: 1}}
	}
	return entries
}

// BenchmarkHostList measures how long the core takes to process one poll of the
// host list.
func BenchmarkHostList(b *testing.B) {
	for _, n := range []int{16, 256, 590, 7000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			entries := benchList(n)
			c := loadedCore(590, entries)
			now := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
			for b.Loop() {
				c.Step(now, membership.HostListEvent{Entries: entries})
			}
		})
	}
}

// BenchmarkAvailable measures the lookup of available BackendServers that routing
// makes for each request.
func BenchmarkAvailable(b *testing.B) {
	for _, n := range []int{16, 256, 7000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := membership.NewDirectory(loadedCore(16, benchList(n)), time.Now, nil)
			b.ReportAllocs()
			for b.Loop() {
				if len(d.Available("pool-01")) == 0 {
					b.Fatal("no servers")
				}
			}
		})
	}
}

// BenchmarkHeartbeatTCP measures a heartbeat over loopback with client and server
// in this process, including net/rpc, encoding and system calls.
func BenchmarkHeartbeatTCP(b *testing.B) {
	reply := &membership.Message{Sender: membership.Delta{Name: "daemon-001", Kind: membership.KindDaemon, Address: benchAddress(1),
		AvailabilityZone: "region-1-zone-1", Incarnation: 1}, Revision: 9, BodyHash: fmt.Sprintf("%064x", 9), Digest: 1 << 60}
	s, err := NewServer(ServerOptions{Address: loopback}, Handlers{Heartbeat: func(*membership.Message) *membership.Message { return reply }})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	p := NewPool(PoolOptions{})
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Heartbeat(context.Background(), s.Address(), reply); err != nil {
			b.Fatal(err)
		}
	}
}
