package streamversion_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// submission returns the message by which a daemon lets a collector store records of streams.
func submission(at time.Time, streams ...string) *streamversion.Message {
	c := newCore("origin")
	join(c, at, server("x", "v1"))
	join(c, at, server("y", "v2"))
	for _, stream := range streams {
		c.Began(at, stream, server("x", "v1"))
	}
	return &c.Collections(at)[0].Message
}

// TestRecordLogWritesTogether guards against a write for each record, and against records that wait for
// a slow write of others.
func TestRecordLogWritesTogether(t *testing.T) {
	g := NewWithT(t)
	l := streamversion.NewRecordLog("a", 1)
	first, second := submission(start, "one"), submission(start, "two", "three")
	l.Add(start, first)
	w, _ := l.Next(start)
	g.Expect(w.Batch.Groups[0].Len()).To(Equal(1))
	l.Add(after(1), second)
	none, again := l.Next(after(2))
	g.Expect(none).To(BeNil(), "the first write is not slow yet")
	g.Expect(again.Sub(start)).To(BeNumerically("<", 100*time.Millisecond))
	slow, _ := l.Next(again)
	g.Expect(slow).NotTo(BeNil())
	g.Expect(slow.Partition).NotTo(Equal(w.Partition))
	g.Expect(slow.Batch.Groups[0].Len()).To(Equal(2))
	l.Written(after(200), w, true)
	g.Expect(l.Outcome(&first.Batch)).To(Equal(streamversion.RecordsStored))
	g.Expect(l.Outcome(&second.Batch)).To(Equal(streamversion.RecordsBeingWritten))
	l.Written(after(300), slow, false)
	g.Expect(l.Outcome(&second.Batch)).To(Equal(streamversion.RecordsNotStored))
}

// TestRecordLogLeavesUncertainRows guards against a late write that replaces records which the store has
// acknowledged: the row of a write whose outcome is not known is not written again.
func TestRecordLogLeavesUncertainRows(t *testing.T) {
	g := NewWithT(t)
	l := streamversion.NewRecordLog("a", 1)
	rows := make(map[string]uint64)
	uncertain := make(map[string]bool)
	for i := range 40 {
		at := after(1000 * i)
		l.Add(at, submission(at, fmt.Sprint("stream-", i)))
		w, _ := l.Next(at)
		g.Expect(w).NotTo(BeNil())
		key := w.Partition + "/" + w.Row
		g.Expect(uncertain).NotTo(HaveKey(key))
		g.Expect(w.Writes).To(Equal(rows[key]), "the version of the row is known")
		ok := i%3 > 0
		if rows[key]++; !ok {
			uncertain[key] = true
		}
		l.Written(at, w, ok)
	}
	g.Expect(len(rows)).To(BeNumerically("<", 40), "rows are used again")
}

// TestRecordLogWritesEverythingAgain guards against records that the store has lost with its older copy.
func TestRecordLogWritesEverythingAgain(t *testing.T) {
	g := NewWithT(t)
	l := streamversion.NewRecordLog("a", 1)
	m := submission(start, "one", "two")
	l.Add(start, m)
	w, _ := l.Next(start)
	l.Written(start, w, true)
	l.StoreReturned()
	g.Expect(l.Outcome(&m.Batch)).To(Equal(streamversion.RecordsBeingWritten))
	again, _ := l.Next(after(1000))
	g.Expect(again.Row).NotTo(Equal(w.Row))
	g.Expect(again.Writes).To(BeZero())
	g.Expect(again.Batch.Groups[0].Len()).To(Equal(2))
}
