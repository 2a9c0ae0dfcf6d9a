package lease_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

var _ = Describe("Core", func() {
	const name = "duty"
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var core *lease.Core
	BeforeEach(func() {
		core = lease.NewCore(lease.CoreOptions{
			Holder: "a", Names: []string{name}, Duration: simDuration, Margin: simMargin,
			OrderDeadline: simOrderDeadline, Random: rand.New(rand.NewPCG(1, 0)),
		})
	})
	// writes returns the writes among actions.
	writes := func(actions []lease.Action) []lease.Write {
		var found []lease.Write
		for _, action := range actions {
			if w, ok := action.(lease.Write); ok {
				found = append(found, w)
			}
		}
		return found
	}
	row := func(version table.Version, w lease.Write) []table.Item {
		return []table.Item{{Key: w.Write.Key, Version: version, Value: w.Write.Value}}
	}
	acquire := func(answered time.Duration) lease.Write {
		core.Handle(at(0), lease.Tick{})
		sent := writes(core.Handle(at(0), lease.Listed{SentAt: at(0)}))
		Expect(sent).To(HaveLen(1))
		core.Handle(at(answered), lease.Wrote{Name: name, Status: lease.WriteApplied})
		return sent[0]
	}

	// Guards against a holder that measures its lease from the table's answer and
	// still acts on it after another daemon may have taken it over.
	It("measures a lease from before the request", func() {
		acquire(5 * time.Second)
		_, held := core.Held(at(simDuration-simMargin-time.Millisecond), name)
		Expect(held).To(BeTrue())
		_, held = core.Held(at(simDuration-simMargin), name)
		Expect(held).To(BeFalse())
	})

	// Guards against a lease that is given up although its renewal was applied.
	It("reads back a renewal whose answer was lost", func() {
		acquire(0)
		renewals := writes(core.Handle(at(3*time.Second), lease.Tick{}))
		Expect(renewals).To(HaveLen(1))
		core.Handle(at(4*time.Second), lease.Listed{SentAt: at(2 * time.Second), Failed: true})
		core.Handle(at(4*time.Second), lease.Wrote{Name: name, Status: lease.WriteAmbiguous})
		core.Handle(at(5*time.Second), lease.Listed{SentAt: at(4 * time.Second), Items: row(2, renewals[0])})
		_, held := core.Held(at(10*time.Second), name)
		Expect(held).To(BeTrue())
		_, held = core.Held(at(11*time.Second), name)
		Expect(held).To(BeFalse())
	})

	// Guards against actions under a lease that lapsed while its holder was paused.
	It("gives up a lapsed lease before any other action", func() {
		acquire(0)
		actions := core.Handle(at(simDuration), lease.Tick{})
		Expect(actions[0]).To(Equal(lease.Lost{Name: name, FencingNumber: 1, Lapsed: true}))
	})

	// Guards against orders that overlap with those of the previous holder.
	It("takes over after the whole duration and waits for earlier orders", func() {
		other := lease.Write{Write: table.Write{
			Key: lease.RowKey(name), Value: []byte(`{"holder":"b","number":7,"duration_ms":10000,"order_deadline_ms":5000}`),
		}}
		core.Handle(at(0), lease.Tick{})
		Expect(writes(core.Handle(at(0), lease.Listed{SentAt: at(0), Items: row(3, other)}))).To(BeEmpty())
		Expect(writes(core.Handle(at(simDuration-1), lease.Tick{}))).To(BeEmpty())
		Expect(writes(core.Handle(at(simDuration), lease.Tick{}))).To(HaveLen(1))
		actions := core.Handle(at(simDuration), lease.Wrote{Name: name, Status: lease.WriteApplied})
		Expect(actions).To(ContainElement(lease.Acquired{
			Name: name, FencingNumber: 8, EarliestOrder: at(simDuration + simOrderDeadline),
		}))
	})

	It("acquires a released lease at once", func() {
		released := lease.Write{Write: table.Write{Key: lease.RowKey(name), Value: []byte(`{"number":7,"order_deadline_ms":5000}`)}}
		core.Handle(at(0), lease.Tick{})
		Expect(writes(core.Handle(at(0), lease.Listed{SentAt: at(0), Items: row(3, released)}))).To(HaveLen(1))
	})

	// Guards against a holder that is taken for the former one, or for none, because the
	// table has returned from a copy in which the row says so.
	It("takes no lease from a copy before the holder's lease has ended", func() {
		released := table.Item{Key: lease.RowKey(name), Version: table.Epoch(1).At(3), Value: []byte(`{"number":7,"order_deadline_ms":100}`)}
		core.Handle(at(0), lease.Tick{})
		listed := lease.Listed{SentAt: at(0), Epoch: 1, Items: []table.Item{released}}
		Expect(writes(core.Handle(at(0), listed))).To(BeEmpty())
		Expect(writes(core.Handle(at(simDuration-1), lease.Tick{}))).To(BeEmpty())
		Expect(writes(core.Handle(at(simDuration), lease.Tick{}))).To(HaveLen(1))
		actions := core.Handle(at(simDuration), lease.Wrote{Name: name, Status: lease.WriteApplied})
		Expect(actions).To(ContainElement(lease.Acquired{
			Name: name, FencingNumber: 1<<32 + 1, EarliestOrder: at(simDuration + simOrderDeadline),
		}))
	})

	It("takes no lease whose row is missing after a return from a copy", func() {
		core.Handle(at(0), lease.Tick{})
		Expect(writes(core.Handle(at(0), lease.Listed{SentAt: at(0), Epoch: 1}))).To(BeEmpty())
		Expect(writes(core.Handle(at(simDuration), lease.Tick{}))).To(HaveLen(1))
	})

	// Guards against a holder that goes on although its row was lost, and against one that
	// takes the row of the copy for an old read and waits for its versions to catch up.
	It("gives up a lease when the table has returned from a copy, and lists at once", func() {
		acquire(0)
		actions := core.Handle(at(time.Second), lease.EpochKnown{Epoch: 1})
		Expect(actions).To(ContainElement(lease.List{}))
		actions = core.Handle(at(time.Second), lease.Listed{SentAt: at(time.Second), Epoch: 1})
		Expect(actions).To(ContainElement(lease.Lost{Name: name, FencingNumber: 1, Lapsed: true}))
		_, held := core.Held(at(time.Second), name)
		Expect(held).To(BeFalse())
		Expect(writes(core.Handle(at(time.Second+simDuration), lease.Tick{}))).To(HaveLen(1))
	})
})
