package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

const (
	simDuration      = 10 * time.Second
	simMargin        = 2 * time.Second
	simOrderDeadline = 5 * time.Second
)

// message is a request in flight to the table, or an answer in flight to a node.
type message struct {
	from        *node
	incarnation int
	write       *lease.Write
	sentAt      time.Time
	// epoch is that in which the sender has read the row.
	epoch  table.Epoch
	answer lease.Event
	// orphan marks a request whose sender has already been notified that its
	// answer was lost.
	orphan bool
}

// node is a daemon with its own clock.
type node struct {
	name        string
	incarnation int
	core        *lease.Core
	offset      time.Duration
	drift       float64
	paused      bool
	dead        bool
	// partitioned holds back the node's requests and their answers.
	partitioned bool
	inbox       []lease.Event
}

// simulation runs nodes against one table under a global clock. Messages take
// any time and arrive in any order.
type simulation struct {
	now     time.Time
	store   *memtable.Store
	nodes   []*node
	network []*message
	// lateWrites are the writes that are held back.
	lateWrites []*message
	// copies are copies of the table, oldest first.
	copies   []memtable.Copy
	names    []string
	random   *rand.Rand
	reporter *invariant.Reporter
	failures []string
	// inFlight maps lease and holder to the deadline of the last order.
	inFlight map[string]map[string]time.Time
	// highest maps a lease to the highest fencing number of its orders.
	highest map[string]uint64
	// holders maps a lease and fencing number to the holder that gave orders.
	holders     map[string]string
	ordersGiven int
}

func newSimulation(seed uint64, nodes, names int) *simulation {
	s := &simulation{
		now:      time.Unix(1000, 0),
		store:    memtable.New(),
		copies:   []memtable.Copy{memtable.New().Copy()},
		random:   rand.New(rand.NewPCG(seed, 0)),
		names:    lease.RangeNames("test")[:names],
		inFlight: make(map[string]map[string]time.Time),
		highest:  make(map[string]uint64),
		holders:  make(map[string]string),
	}
	s.reporter = &invariant.Reporter{OnViolation: func(v *invariant.ViolationError) { s.fail("%v", v) }}
	for range nodes {
		s.addNode()
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// addNode adds a node without starting it. Its clock has a random offset and a
// rate that differs from the true one by at most 1%.
func (s *simulation) addNode() {
	s.nodes = append(s.nodes, &node{
		name:   fmt.Sprint("n", len(s.nodes)),
		offset: time.Duration(s.random.IntN(100)) * time.Hour,
		drift:  1 + (s.random.Float64()-0.5)/50,
	})
}

// join starts one more node and notifies all nodes of the new number of daemons.
func (s *simulation) join() {
	s.addNode()
	s.start(s.nodes[len(s.nodes)-1])
	for _, n := range s.nodes {
		s.deliver(n, lease.Peers{Daemons: len(s.nodes)})
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *simulation) start(n *node) {
	n.incarnation++
	n.dead, n.paused, n.inbox = false, false, nil
	n.core = lease.NewCore(lease.CoreOptions{
		Holder: fmt.Sprint(n.name, "#", n.incarnation), Names: s.names, Duration: simDuration, Margin: simMargin,
		OrderDeadline: simOrderDeadline, Random: rand.New(rand.NewPCG(s.random.Uint64(), 1)), Reporter: s.reporter,
	})
	s.deliver(n, lease.Peers{Daemons: len(s.nodes)})
}

// clock returns the time of the node's own clock, which has neither the origin
// nor the rate of the other clocks.
func (s *simulation) clock(n *node) time.Time {
	since := s.now.Sub(time.Unix(1000, 0))
	return time.Unix(0, 0).Add(n.offset + time.Duration(float64(since)*n.drift))
}

// deliver passes an event to a node, or queues it while the node is paused.
func (s *simulation) deliver(n *node, event lease.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, event)
		return
	}
	now := s.clock(n)
	for _, action := range n.core.Handle(now, event) {
		switch a := action.(type) {
		case lease.Write:
			s.network = append(s.network, &message{from: n, incarnation: n.incarnation, write: &a, epoch: a.Write.Version.Epoch()})
		case lease.List:
			s.network = append(s.network, &message{from: n, incarnation: n.incarnation, sentAt: now})
		}
	}
}

// advance advances the time and delivers a Tick to every node.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.keepCopy()
	for _, n := range s.nodes {
		s.deliver(n, lease.Tick{})
	}
	s.check()
}

// maxCopies is the number of copies of the table that are kept.
const maxCopies = 40

// keepCopy keeps a copy of the table.
func (s *simulation) keepCopy() {
	s.copies = append(s.copies, s.store.Copy())
	s.copies = s.copies[max(len(s.copies)-maxCopies, 0):]
}

// drill makes the table return from a copy, which the given number of others follow. Writes that
// are on their way arrive after that.
func (s *simulation) drill(newer int) {
	s.store.Restore(s.copies[max(len(s.copies)-1-newer, 0)])
	s.copies = nil
	s.keepCopy()
}

// transmit delivers one message: a request to the table, or an answer to its node.
func (s *simulation) transmit(i int) {
	m := s.network[i]
	s.network = append(s.network[:i], s.network[i+1:]...)
	if m.answer != nil {
		if m.from.incarnation == m.incarnation {
			s.deliver(m.from, m.answer)
		}
		return
	}
	answer := s.execute(m)
	if !m.orphan {
		s.network = append(s.network, &message{from: m.from, incarnation: m.incarnation, answer: answer})
	}
}

func (s *simulation) execute(m *message) lease.Event {
	ctx := context.Background()
	if m.write == nil {
		items, err := s.store.Query(ctx, lease.Partition, "", 100)
		return lease.Listed{SentAt: m.sentAt, Epoch: s.store.Epoch(), Items: items, Failed: err != nil}
	}
	status := lease.StatusOf(s.store.Transact(ctx, []table.Write{m.write.Write}))
	if status == lease.WriteApplied && s.store.Epoch() != m.epoch {
		status = lease.WriteAmbiguous
	}
	return lease.Wrote{Name: m.write.Name, Status: status}
}

// loseAnswer notifies the sender of a write that the answer was lost, while the
// write is still in flight.
func (s *simulation) loseAnswer(i int) bool {
	m := s.network[i]
	if m.write == nil || m.answer != nil || m.orphan {
		return false
	}
	m.orphan = true
	answer := lease.Wrote{Name: m.write.Name, Status: lease.WriteAmbiguous}
	s.network = append(s.network, &message{from: m.from, incarnation: m.incarnation, answer: answer})
	return true
}

func (s *simulation) kill(n *node) { n.dead = true }

// resume resumes a paused node. The node gives its orders before it processes any
// event.
func (s *simulation) resume(n *node) {
	n.paused = false
	s.giveOrders(n)
	inbox := n.inbox
	n.inbox = nil
	for _, event := range inbox {
		s.deliver(n, event)
	}
}

// giveOrders makes a node give an order under each lease that it holds, and checks
// that the order is allowed.
func (s *simulation) giveOrders(n *node) {
	if n.dead || n.paused {
		return
	}
	now := s.clock(n)
	for _, name := range s.names {
		fencingNumber, ok := n.core.Held(now, name)
		if !ok || now.Before(n.core.EarliestOrder(name)) {
			continue
		}
		if fencingNumber < s.highest[name] {
			s.fail("order under %s with fencing number %d after %d", name, fencingNumber, s.highest[name])
		}
		s.highest[name] = fencingNumber
		s.ordersGiven++
		holder := fmt.Sprint(n.name, "#", n.incarnation)
		holdersKey := fmt.Sprint(name, fencingNumber)
		if previousHolder := s.holders[holdersKey]; previousHolder != "" && previousHolder != holder {
			s.fail("orders under %s with fencing number %d by both %s and %s", name, fencingNumber, previousHolder, holder)
		}
		s.holders[holdersKey] = holder
		for other, deadline := range s.inFlight[name] {
			// The rates of two clocks may differ by 2%.
			if other != holder && s.now.Add(simOrderDeadline/50).Before(deadline) {
				s.fail("order of %s under %s while one of %s may be in flight for another %s", holder, name, other, deadline.Sub(s.now))
			}
		}
		if s.inFlight[name] == nil {
			s.inFlight[name] = make(map[string]time.Time)
		}
		s.inFlight[name][holder] = s.now.Add(simOrderDeadline)
	}
}

// check fails the run if two nodes hold a lease at the same time by their own
// state, and makes every node give its orders.
func (s *simulation) check() {
	for _, name := range s.names {
		holders := ""
		count := 0
		for _, n := range s.nodes {
			if n.dead {
				continue
			}
			if fencingNumber, ok := n.core.Held(s.clock(n), name); ok {
				count++
				holders += fmt.Sprintf(" %s with fencing number %d", n.name, fencingNumber)
			}
		}
		if count > 1 {
			s.fail("%s is held by%s", name, holders)
		}
	}
	for _, n := range s.nodes {
		s.giveOrders(n)
	}
}

// transmitRandom delivers a random message of the nodes that are not partitioned.
func (s *simulation) transmitRandom() {
	var movable []int
	for i, m := range s.network {
		if !m.from.partitioned {
			movable = append(movable, i)
		}
	}
	if len(movable) > 0 {
		s.transmit(movable[s.random.IntN(len(movable))])
		s.check()
	}
}

// heal ends all faults and runs for long enough that every lease can be acquired.
func (s *simulation) heal() {
	s.store.SetFault(nil)
	for _, n := range s.nodes {
		if n.dead {
			s.start(n)
		}
		n.partitioned = false
		s.resume(n)
		s.deliver(n, lease.Peers{Daemons: len(s.nodes)})
	}
	for range 400 {
		for len(s.network) > 0 {
			s.transmit(0)
		}
		s.advance(250 * time.Millisecond)
	}
}
