package membership

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// network simulates the network between cores in one process on a virtual clock.
// A message sent at a tick arrives before the next tick unless it is delayed.
type network struct {
	options   Options
	now       time.Time
	rand      *rand.Rand
	nodes     []*node
	byAddress map[string]*node
	// lossRate, duplicateRate and lateRate are the fractions of messages that are
	// lost, delivered twice, and delivered at a later tick.
	lossRate, duplicateRate, lateRate float64
	delayed                           []delivery
	messageSize                       func(*Message) int
	sentBytes, messages               int
	maxMessage                        int
}

type node struct {
	core      *Core
	name      string
	partition int
	paused    bool
	// delivered counts the deliveries of each announcement by ID.
	delivered map[string]int
	revision  uint64
	changes   int
}

type delivery struct {
	at   time.Time
	to   *node
	call func()
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testZones = 4

func newNetwork(n int, seed uint64, options Options) *network {
	w := &network{options: options.withDefaults(), now: startTime, byAddress: map[string]*node{},
		rand: rand.New(rand.NewPCG(seed, 1))}
	w.options.Seeds = []string{address(0), address(1), address(2)}
	for i := range n {
		w.addNode(i, 1)
	}
	return w
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250) }

func (w *network) addNode(i int, incarnation uint64) *node {
	self := Member{Name: fmt.Sprintf("daemon-%03d", i), Address: address(i),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%testZones), Incarnation: incarnation}
	n := &node{name: self.Name, delivered: map[string]int{}}
	n.core = New(w.options, self, rand.New(rand.NewPCG(uint64(i), incarnation)), w.now)
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.byAddress[self.Address] = n
	return n
}

// step passes an event to a node, executes the actions and returns the reply if
// the event is a heartbeat.
func (w *network) step(n *node, e Event) *Message {
	var reply *Message
	for _, action := range n.core.Step(w.now, e) {
		switch a := action.(type) {
		case ReplyAction:
			reply = a.Message
		case SendAction:
			w.send(n, a)
		case DeliverAction:
			n.delivered[a.Announcement.ID]++
		case RevisionAction:
			n.revision = a.Revision
		case ChangeAction:
			n.changes++
		}
	}
	return reply
}

func (w *network) reachable(from, to *node) bool {
	return to != nil && !to.paused && from.partition == to.partition
}

func (w *network) count(m *Message) {
	w.messages++
	if w.messageSize != nil {
		size := w.messageSize(m)
		w.sentBytes += size
		w.maxMessage = max(w.maxMessage, size)
	}
}

// send transmits a message. Like the driver, it tries a heartbeat twice before it
// reports the peer as failed.
func (w *network) send(from *node, a SendAction) {
	w.count(a.Message)
	attempts := 2
	if a.Urgent {
		attempts = 1
	}
	for range attempts {
		if to := w.byAddress[a.Address]; w.reachable(from, to) && w.rand.Float64() >= w.lossRate {
			w.deliver(from, to, a)
			return
		}
	}
	if !a.Urgent {
		w.schedule(from, 1, func() { w.step(from, PeerFailedEvent{Name: a.Name}) })
	}
}

func (w *network) deliver(from, to *node, a SendAction) {
	copies := 1
	if w.rand.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		ticks := 0
		if w.rand.Float64() < w.lateRate {
			ticks = 1 + w.rand.IntN(4)
		}
		w.schedule(to, ticks, func() {
			reply := w.step(to, MessageEvent{Message: a.Message, Heartbeat: !a.Urgent})
			if reply == nil || !w.reachable(to, from) || w.rand.Float64() < w.lossRate {
				return
			}
			w.count(reply)
			w.schedule(from, ticks, func() { w.step(from, MessageEvent{Message: reply}) })
		})
	}
}

func (w *network) schedule(to *node, ticks int, call func()) {
	w.delayed = append(w.delayed, delivery{at: w.now.Add(time.Duration(ticks) * w.options.TickInterval), to: to, call: call})
}

// tick advances the clock by one tick and delivers all due messages.
func (w *network) tick() {
	w.now = w.now.Add(w.options.TickInterval)
	for _, n := range w.nodes {
		if !n.paused {
			w.step(n, TickEvent{})
		}
	}
	for w.deliverDue() {
	}
}

// deliverDue delivers the due messages and reports whether there were any.
// Messages to a paused node stay pending, like data in its socket buffers.
func (w *network) deliverDue() bool {
	due := w.delayed
	w.delayed = nil
	delivered := false
	for _, d := range due {
		if d.at.After(w.now) || d.to.paused {
			w.delayed = append(w.delayed, d)
			continue
		}
		delivered = true
		d.call()
	}
	return delivered
}

func (w *network) run(d time.Duration) {
	for range int(d / w.options.TickInterval) {
		w.tick()
	}
}

// runUntil ticks until ok returns true or limit has passed. It returns the number
// of ticks and the last result of ok.
func (w *network) runUntil(limit time.Duration, ok func() bool) (int, bool) {
	for i := range int(limit / w.options.TickInterval) {
		if ok() {
			return i, true
		}
		w.tick()
	}
	return 0, ok()
}

// converged reports whether every daemon lists all others as alive and all daemons
// have the same digest.
func (w *network) converged() bool {
	digest := w.nodes[0].core.computeDigest()
	for _, n := range w.nodes {
		if len(n.core.Daemons(StateAlive)) != len(w.nodes)-1 || n.core.computeDigest() != digest {
			return false
		}
	}
	return true
}

func (w *network) offers(n *node, s string, incarnation uint64) bool {
	for _, pool := range n.core.Pools() {
		for _, m := range n.core.Available(pool) {
			if m.Name == s && m.Incarnation <= incarnation {
				return true
			}
		}
	}
	return false
}

// anyOffers returns the name of a running daemon that offers this incarnation of
// the server, or an earlier one, for new work; empty if there is none.
func (w *network) anyOffers(s string, incarnation uint64) string {
	for _, n := range w.nodes {
		if !n.paused && w.offers(n, s, incarnation) {
			return n.name
		}
	}
	return ""
}

func engineEntry(i int, incarnation uint64) ListEntry {
	return ListEntry{Member: Member{
		Name: fmt.Sprintf("engine-%04d", i), Kind: KindEngine, Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
		Pool: fmt.Sprintf("pool-%d", i%testZones), AvailabilityZone: fmt.Sprintf("zone-%d", i%testZones),
		MachineClass: "a8", Purchase: PurchaseReclaimable, Incarnation: incarnation}}
}

func engineList(n int, incarnation uint64) []ListEntry {
	entries := make([]ListEntry, 0, n)
	for i := range n {
		entries = append(entries, engineEntry(i, incarnation))
	}
	return entries
}

// sendListToAll passes the same host list to every running daemon.
func (w *network) sendListToAll(entries []ListEntry) {
	for _, n := range w.nodes {
		if !n.paused {
			w.step(n, HostListEvent{Entries: entries})
		}
	}
}
