package idempotency_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

const (
	simTimeToDispatch    = 2 * time.Second
	simSettleAfter       = 5 * time.Second
	simLookupRetryPeriod = 10 * time.Second
)

// task is a pending step of the simulation: a request in flight to the table or
// the service, or an event for a daemon.
type task struct {
	daemon      *daemon
	incarnation int
	due         time.Time
	// execute carries out a request and returns the function that delivers its
	// answer.
	execute func() func()
	// lost reports to the sender that no answer came.
	lost func()
	// orphan marks a request whose answer is dropped because the sender was
	// already notified of its loss. The request itself still arrives.
	orphan bool
	// event is set for an event. It is dropped if the daemon has crashed or
	// restarted since.
	event func()
	// name identifies the kind of task.
	name string
}

// daemon holds the real state machines of a daemon; the simulation performs their
// actions.
type daemon struct {
	name        string
	incarnation int
	dead        bool
	paused      bool
	batcher     *idempotency.Batcher
	settler     *idempotency.Settler
	commits     map[uint64]func(idempotency.Result)
	nextID      uint64
}

// attempt is one call of a caller.
type attempt struct {
	daemon   *daemon
	spec     idempotency.Spec
	core     *idempotency.Call
	calledAt int64
	replied  *idempotency.Reply
}

type simulation struct {
	now      time.Time
	clock    int64
	store    *memtable.Store
	random   *rand.Rand
	service  *fakeService
	daemons  []*daemon
	tasks    []*task
	attempts []*attempt
	keys     int
	reporter *invariant.Reporter
	failures []string
	history  []porcupine.Operation
	lookup   bool
}

func newSimulation(seed uint64, daemons, keys int, lookup bool, service *fakeService) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), store: memtable.New(), random: rand.New(rand.NewPCG(seed, 0)),
		service: service, keys: keys, lookup: lookup,
	}
	s.reporter = &invariant.Reporter{OnViolation: func(v *invariant.ViolationError) { s.fail("%v", v) }}
	for i := range daemons {
		d := &daemon{name: fmt.Sprint("d", i)}
		s.daemons = append(s.daemons, d)
		s.start(d)
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *simulation) start(d *daemon) {
	d.incarnation++
	d.dead, d.paused = false, false
	d.batcher = idempotency.NewBatcher(idempotency.BatchOptions{})
	d.settler = idempotency.NewSettler(idempotency.SettlerOptions{LookupRetryPeriod: simLookupRetryPeriod})
	d.commits = make(map[uint64]func(idempotency.Result))
}

// request sends a request after a delay.
func (s *simulation) request(d *daemon, name string, after time.Duration, execute func() func(), lost func()) {
	s.tasks = append(s.tasks, &task{daemon: d, incarnation: d.incarnation, due: s.now.Add(after), execute: execute, lost: lost, name: name})
}

// schedule delivers an event to a daemon after a delay, unless the daemon has
// crashed or restarted by then.
func (s *simulation) schedule(d *daemon, incarnation int, after time.Duration, event func()) {
	s.tasks = append(s.tasks, &task{daemon: d, incarnation: incarnation, due: s.now.Add(after), event: event, name: "event"})
}

// ready reports whether a task can run now.
func (s *simulation) ready(t *task) bool {
	if s.now.Before(t.due) {
		return false
	}
	return t.event == nil || !t.daemon.paused || t.incarnation != t.daemon.incarnation
}

// run runs task i.
func (s *simulation) run(i int) {
	t := s.tasks[i]
	s.tasks = append(s.tasks[:i], s.tasks[i+1:]...)
	if t.event != nil {
		if t.incarnation == t.daemon.incarnation && !t.daemon.dead {
			t.event()
		}
		return
	}
	if reply := t.execute(); !t.orphan {
		s.schedule(t.daemon, t.incarnation, 0, reply)
		answer := s.tasks[len(s.tasks)-1]
		answer.name, answer.lost = "answer to "+t.name, t.lost
	}
}

// find returns the position of the first task with a name, or -1.
func (s *simulation) find(name string) int {
	for i, t := range s.tasks {
		if t.name == name {
			return i
		}
	}
	return -1
}

// lose reports to the sender of a request, chosen by n, that no answer came.
func (s *simulation) lose(n int) bool {
	var inFlight []*task
	for _, t := range s.tasks {
		if t.execute != nil && !t.orphan && t.lost != nil {
			inFlight = append(inFlight, t)
		}
	}
	if len(inFlight) == 0 {
		return false
	}
	t := inFlight[n%len(inFlight)]
	t.orphan = true
	// The request itself arrives with the next step or stays in flight for a
	// while.
	t.due = s.now.Add(time.Duration(n%4) * simTimeToDispatch)
	s.schedule(t.daemon, t.incarnation, 0, t.lost)
	return true
}

// call starts a call with a key and a body on a daemon.
func (s *simulation) call(d *daemon, key int, body string) *attempt {
	a := &attempt{daemon: d, spec: idempotency.Spec{
		ID:     idempotency.ID{Account: "a", Key: s.key(key)},
		Digest: idempotency.Digest("booking", "book", []byte(body)), AttemptID: fmt.Sprint("t", len(s.attempts)),
		Daemon: d.name, Service: "booking", Call: "book",
		CanLookup: s.lookup, DeduplicatesByKey: s.service.deduplicates,
		DispatchBy: s.now.Add(simTimeToDispatch), SettleAfter: simSettleAfter,
	}}
	s.clock++
	a.calledAt = s.clock
	a.core = idempotency.NewCall(a.spec, s.reporter)
	s.attempts = append(s.attempts, a)
	s.feed(a, idempotency.Started{})
	s.schedule(d, d.incarnation, simTimeToDispatch, func() { s.feed(a, idempotency.CallerTimedOut{}) })
	return a
}

func (s *simulation) feed(a *attempt, event idempotency.CallEvent) {
	for _, action := range a.core.Handle(s.now, event) {
		s.perform(a, action)
	}
}

func (s *simulation) perform(a *attempt, action idempotency.CallAction) {
	d := a.daemon
	switch act := action.(type) {
	case idempotency.WriteRecord:
		s.schedule(d, d.incarnation, act.After, func() {
			s.commit(d, act.Writes, func(r idempotency.Result) { s.feed(a, idempotency.Committed{Result: r}) })
		})
	case idempotency.ReadRecord:
		s.request(d, "read", act.After, func() func() {
			row := s.get(act.Key)
			return func() { s.feed(a, row) }
		}, nil)
	case idempotency.Dispatch:
		broken := func() { s.feed(a, idempotency.Dispatched{Kind: idempotency.DispatchBroken}) }
		s.request(d, "dispatch", 0, func() func() {
			kind, answer := s.service.run(a.spec.AttemptID, a.spec.ID.Key)
			return func() { s.feed(a, idempotency.Dispatched{Kind: kind, Answer: answer}) }
		}, broken)
	case idempotency.Lookup:
		broken := func() { s.feed(a, idempotency.LookedUp{Kind: idempotency.DispatchBroken}) }
		s.request(d, "lookup", act.After, func() func() {
			kind, answer := s.service.find(act.AttemptID)
			return func() { s.feed(a, idempotency.LookedUp{Kind: kind, Answer: answer}) }
		}, broken)
	case idempotency.Reply:
		s.reply(a, act)
	}
}

// reply records the caller's answer in the history.
func (s *simulation) reply(a *attempt, r idempotency.Reply) {
	if a.replied != nil {
		s.fail("attempt %s is answered twice", a.spec.AttemptID)
	}
	a.replied = &r
	s.clock++
	s.history = append(s.history, porcupine.Operation{
		ClientId: len(s.history), Input: a.spec.ID.Key, Output: r, Call: a.calledAt, Return: s.clock,
	})
}

func (s *simulation) get(key table.Key) idempotency.RowRead {
	return idempotency.ReadRow(context.Background(), s.store, key)
}

// commit submits writes to the daemon's group commit.
func (s *simulation) commit(d *daemon, writes []table.Write, done func(idempotency.Result)) {
	d.nextID++
	d.commits[d.nextID] = done
	s.batch(d, idempotency.Submit{Commit: idempotency.Commit{ID: d.nextID, Writes: writes}})
}

func (s *simulation) batch(d *daemon, event idempotency.BatchEvent) {
	for _, action := range d.batcher.Handle(s.now, event) {
		switch a := action.(type) {
		case idempotency.Transact:
			lost := func() { s.batch(d, idempotency.Transacted{Batch: a.Batch, Err: &table.AmbiguousError{}}) }
			s.request(d, "transact", 0, func() func() {
				err := s.store.Transact(context.Background(), a.Writes)
				return func() { s.batch(d, idempotency.Transacted{Batch: a.Batch, Err: err}) }
			}, lost)
		case idempotency.Read:
			s.request(d, "read", 0, func() func() {
				item, err := s.store.Get(context.Background(), a.Key)
				return func() { s.batch(d, idempotency.ReadBack{Commit: a.Commit, Item: item, Err: err}) }
			}, nil)
		case idempotency.Finish:
			done := d.commits[a.Commit]
			delete(d.commits, a.Commit)
			done(a.Result)
		}
	}
}

// settleOpen makes a daemon list and settle open claims. Several daemons may do
// so at once, as happens when a lease lapses while its holder is paused.
func (s *simulation) settleOpen(d *daemon) {
	if d.dead || d.paused {
		return
	}
	for key := range s.keys {
		r := idempotency.ID{Account: "a", Key: s.key(key)}.Range()
		open, corrupt, err := idempotency.ListOpen(context.Background(), s.store, r)
		if len(corrupt) > 0 {
			s.fail("%v", corrupt)
		}
		if err == nil {
			s.settle(d, idempotency.Listed{Range: r, Open: open})
		}
	}
}

func (s *simulation) settle(d *daemon, event idempotency.SettleEvent) {
	for _, action := range d.settler.Handle(s.now, event) {
		switch a := action.(type) {
		case idempotency.SettleReadRecord:
			s.request(d, "read", 0, func() func() {
				row := s.get(a.ID.RowKey())
				return func() {
					s.settle(d, idempotency.SettleRead{ID: a.ID, Item: row.Item, Exists: row.Exists, Failed: row.Failed})
				}
			}, nil)
		case idempotency.SettleLookup:
			s.request(d, "lookup", 0, func() func() {
				if !s.lookup {
					return func() { s.settle(d, idempotency.SettleLookedUp{ID: a.ID, NoLookup: true}) }
				}
				kind, answer := s.service.find(a.Record.AttemptID)
				return func() { s.settle(d, idempotency.SettleLookedUp{ID: a.ID, Kind: kind, Answer: answer}) }
			}, func() { s.settle(d, idempotency.SettleLookedUp{ID: a.ID, Kind: idempotency.DispatchBroken}) })
		case idempotency.SettleWrite:
			s.commit(d, a.Writes, func(r idempotency.Result) {
				s.settle(d, idempotency.SettleCommitted{ID: a.ID, Result: r})
			})
		}
	}
}

func (s *simulation) key(i int) string { return fmt.Sprint("k", i) }

// failNext injects a fault into the next count operations of the table.
func (s *simulation) failNext(fault memtable.Fault, count int) {
	s.store.SetFault(func(memtable.Operation) memtable.Fault {
		if count--; count < 0 {
			return memtable.FaultNone
		}
		return fault
	})
}

// heal ends all faults and runs for long enough that every claim can be settled.
func (s *simulation) heal() {
	s.store.SetFault(nil)
	s.service.fault = ""
	for _, d := range s.daemons {
		if d.dead {
			s.start(d)
		}
		d.paused = false
	}
	s.runFor(2 * (simSettleAfter + simLookupRetryPeriod))
}

// runFor runs all tasks as they become due within a period.
func (s *simulation) runFor(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(250 * time.Millisecond) {
		s.runReady()
		for _, d := range s.daemons {
			s.settleOpen(d)
		}
	}
	s.runReady()
}

func (s *simulation) runReady() {
	for i := 0; i < len(s.tasks); {
		if s.ready(s.tasks[i]) {
			s.run(i)
			i = 0
			continue
		}
		i++
	}
}
