package publish

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/memstore"
)

// claims is what publishers were told, by publish ID.
type claims struct{ published, refused, open map[string]bool }

// lateTable keeps transactions that were lost on their way and applies them
// later, as a network may deliver them after the sender has given up.
type lateTable struct {
	*memtable.Store
	lose    bool
	waiting [][]table.Write
}

func (l *lateTable) Transact(ctx context.Context, writes []table.Write) error {
	l.lose = false
	err := l.Store.Transact(ctx, writes)
	if l.lose {
		l.waiting = append(l.waiting, writes)
	}
	return err
}

func (l *lateTable) arrive(report *randomtest.Report) {
	for _, writes := range l.waiting {
		report.Fault("request late")
		_ = l.Store.Transact(context.Background(), writes)
	}
	l.waiting = nil
}

// TestRandomPublish guards against a publish that is reported as done and is
// not in the history, one that is reported as not done and is, and a head that
// skips or repeats a revision, under racing publishers and lost answers.
func TestRandomPublish(t *testing.T) {
	faults := []string{"answer lost", "request lost", "request late", "table unavailable", "object store fault", "racing publisher", "sent again"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		store, objects := memtable.New(), memstore.New()
		late := &lateTable{Store: store}
		hooks := &hookedTable{Store: late}
		p := NewPublisher(PublisherOptions{Table: hooks, Objects: objects, RetryWait: time.Nanosecond})
		told := claims{make(map[string]bool), make(map[string]bool), make(map[string]bool)}
		store.SetFault(func(memtable.Operation) memtable.Fault {
			f := memtable.Fault(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3}).Draw(rt, "table fault"))
			if f != memtable.FaultNone {
				report.Fault([]string{"", "table unavailable", "answer lost", "request lost"}[f])
			}
			late.lose = f == memtable.FaultRequestLost && rapid.Bool().Draw(rt, "late")
			return f
		})
		objects.SetFault(func(memstore.Operation) memstore.Fault {
			f := memstore.Fault(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(rt, "object fault"))
			if f != memstore.FaultNone {
				report.Fault("object store fault")
			}
			return f
		})
		for n := range 12 {
			publishSome(rt, report, p, hooks, told, n)
			if rapid.Bool().Draw(rt, "arrives") {
				late.arrive(report)
			}
		}
		late.arrive(report)
		store.SetFault(nil)
		objects.SetFault(nil)
		checkHistory(rt, p, told)
	})
}

// publishSome publishes, at times with a second publisher that comes between
// the first one's check and its transaction, and at times twice.
func publishSome(rt *rapid.T, report *randomtest.Report, p *Publisher, hooks *hookedTable, told claims, n int) {
	against := uint64(rapid.IntRange(0, 5).Draw(rt, "against"))
	if head, err := p.Head(context.Background()); err == nil {
		against = head.Revision
	}
	one := func(id string) {
		report.Step()
		_, err := p.Publish(context.Background(), Request{Set: setOf(n), BaseRevision: against, Publisher: id, PublishID: id})
		told.note(report, id, err)
	}
	if rapid.IntRange(0, 2).Draw(rt, "race") == 0 {
		report.Fault("racing publisher")
		hooks.before = func() { one(fmt.Sprint("racer-", n)) }
	}
	one(fmt.Sprint("first-", n))
	if rapid.IntRange(0, 2).Draw(rt, "again") == 0 {
		report.Fault("sent again")
		one(fmt.Sprint("first-", n))
	}
}

func (c claims) note(report *randomtest.Report, id string, err error) {
	var undetermined *UndeterminedError
	var conflict *ConflictError
	switch {
	case err == nil:
		report.Outcome("published")
		c.published[id] = true
	case errors.As(err, &conflict):
		report.Outcome("conflict")
		c.refused[id] = true
	case errors.As(err, &undetermined):
		report.Outcome("undetermined")
		c.open[id] = true
	default:
		report.Outcome("not published")
		c.refused[id] = true
	}
}

func checkHistory(rt *rapid.T, p *Publisher, told claims) {
	ctx := context.Background()
	records, err := p.History(ctx, maxHistory)
	if err != nil {
		rt.Fatal(err)
	}
	listed := make(map[string]bool)
	for i, r := range records {
		if r.Revision != uint64(len(records)-i) {
			rt.Fatalf("history entry %d has revision %d of %d", i, r.Revision, len(records))
		}
		if listed[r.PublishID] {
			rt.Fatalf("publish %s is in the history twice", r.PublishID)
		}
		listed[r.PublishID] = true
		_, body, err := p.Get(ctx, r.Revision)
		if err != nil {
			rt.Fatalf("revision %d is in the history without its body: %v", r.Revision, err)
		}
		if _, err := config.DecodeBody(body, r.BodyHash); err != nil {
			rt.Fatal(err)
		}
	}
	for id := range told.published {
		if !listed[id] {
			rt.Fatalf("publish %s was reported as done and is not in the history", id)
		}
	}
	for id := range told.refused {
		if listed[id] && !told.published[id] && !told.open[id] {
			rt.Fatalf("publish %s was reported as not done and is in the history", id)
		}
	}
}
