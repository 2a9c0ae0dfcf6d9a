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

// reportedOutcomes holds the outcomes that publishers received, by publish ID.
type reportedOutcomes struct{ published, refused, undetermined map[string]bool }

// lateTable keeps transactions whose request was lost and applies them later, as a
// network may deliver a request after the sender has given up.
type lateTable struct {
	*memtable.Store
	// deliverLate is set by the fault function when the transaction in progress
	// is lost and is to be delivered later.
	deliverLate bool
	delayed     [][]table.Write
}

func (l *lateTable) Transact(ctx context.Context, writes []table.Write) error {
	l.deliverLate = false
	err := l.Store.Transact(ctx, writes)
	if l.deliverLate {
		l.delayed = append(l.delayed, writes)
	}
	return err
}

// deliverDelayed applies the delayed transactions.
func (l *lateTable) deliverDelayed(report *randomtest.Report) {
	for _, writes := range l.delayed {
		report.Fault("request late")
		_ = l.Store.Transact(context.Background(), writes)
	}
	l.delayed = nil
}

// TestRandomPublish runs racing publishers with lost and late requests, lost
// answers and failures of both stores. It guards against a publish that is reported
// as done but is missing from the history, one that is reported as not done but is
// in the history, and a head that skips or repeats a revision.
func TestRandomPublish(t *testing.T) {
	faults := []string{"answer lost", "request lost", "request late", "table unavailable", "object store fault", "racing publisher", "sent again"}
	randomtest.Check(t, faults, func(rt *rapid.T, report *randomtest.Report) {
		store, objects := memtable.New(), memstore.New()
		late := &lateTable{Store: store}
		hooks := &hookedTable{Store: late}
		p := NewPublisher(PublisherOptions{Table: hooks, Objects: objects, RetryWait: time.Nanosecond})
		reported := reportedOutcomes{make(map[string]bool), make(map[string]bool), make(map[string]bool)}
		store.SetFault(func(memtable.Operation) memtable.Fault {
			f := memtable.Fault(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3}).Draw(rt, "table fault"))
			if f != memtable.FaultNone {
				report.Fault([]string{"", "table unavailable", "answer lost", "request lost"}[f])
			}
			late.deliverLate = f == memtable.FaultRequestLost && rapid.Bool().Draw(rt, "late")
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
			publishRandomly(rt, report, p, hooks, reported, n)
			if rapid.Bool().Draw(rt, "arrives") {
				late.deliverDelayed(report)
			}
		}
		late.deliverDelayed(report)
		store.SetFault(nil)
		objects.SetFault(nil)
		checkHistory(rt, p, reported)
	})
}

// publishRandomly publishes a set. At random, a second publisher publishes between
// the first one's check and its transaction, or the first one repeats its request.
func publishRandomly(rt *rapid.T, report *randomtest.Report, p *Publisher, hooks *hookedTable, reported reportedOutcomes, n int) {
	baseRevision := uint64(rapid.IntRange(0, 5).Draw(rt, "against"))
	if head, err := p.Head(context.Background()); err == nil {
		baseRevision = head.Revision
	}
	publishOnce := func(id string) {
		report.Step()
		_, err := p.Publish(context.Background(), Request{Set: setOf(n), BaseRevision: baseRevision, Publisher: id, PublishID: id})
		reported.record(report, id, err)
	}
	if rapid.IntRange(0, 2).Draw(rt, "race") == 0 {
		report.Fault("racing publisher")
		hooks.before = func() { publishOnce(fmt.Sprint("racer-", n)) }
	}
	publishOnce(fmt.Sprint("first-", n))
	if rapid.IntRange(0, 2).Draw(rt, "again") == 0 {
		report.Fault("sent again")
		publishOnce(fmt.Sprint("first-", n))
	}
}

// record stores the outcome of one publish.
func (c reportedOutcomes) record(report *randomtest.Report, id string, err error) {
	var undeterminedErr *UndeterminedError
	var conflictErr *ConflictError
	switch {
	case err == nil:
		report.Outcome("published")
		c.published[id] = true
	case errors.As(err, &conflictErr):
		report.Outcome("conflict")
		c.refused[id] = true
	case errors.As(err, &undeterminedErr):
		report.Outcome("undetermined")
		c.undetermined[id] = true
	default:
		report.Outcome("not published")
		c.refused[id] = true
	}
}

// checkHistory compares the history with the outcomes that publishers received.
func checkHistory(rt *rapid.T, p *Publisher, reported reportedOutcomes) {
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
	for id := range reported.published {
		if !listed[id] {
			rt.Fatalf("publish %s was reported as done and is not in the history", id)
		}
	}
	for id := range reported.refused {
		if listed[id] && !reported.published[id] && !reported.undetermined[id] {
			rt.Fatalf("publish %s was reported as not done and is in the history", id)
		}
	}
}
