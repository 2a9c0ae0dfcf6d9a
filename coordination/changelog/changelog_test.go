package changelog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
)

func always(string) bool { return true }
func never(string) bool  { return false }

// noLimit is more than the number of keys in any of the tests.
const noLimit = 100

// TestAReceiverThatWasRestartedGetsEverything guards against a message that was
// built for the receiver's earlier run: it must not count as received, because the
// new run has nothing of what came before.
func TestAReceiverThatWasRestartedGetsEverything(t *testing.T) {
	g := NewWithT(t)
	sender := changelog.New[string](7)
	sender.Record("a", "")
	_, span := sender.Since("receiver", changelog.Position{}, never, noLimit)
	received, ok := changelog.Position{}.Advance(span)
	g.Expect(ok).To(BeTrue())
	sender.Record("b", "")
	keys, span := sender.Since("receiver", received, never, noLimit)
	g.Expect(keys).To(Equal([]string{"b"}))
	fresh, ok := changelog.Position{}.Advance(span)
	g.Expect(ok).To(BeFalse())
	keys, _ = sender.Since("receiver", fresh, never, noLimit)
	g.Expect(keys).To(Equal([]string{"a", "b"}))
}

// TestAnotherRunOfTheSenderIsNotMistaken guards against an acknowledgement of an
// earlier run of the sender that passes for one of its new run, whose changes are
// numbered from the beginning.
func TestAnotherRunOfTheSenderIsNotMistaken(t *testing.T) {
	g := NewWithT(t)
	first, second := changelog.New[string](7), changelog.New[string](8)
	for _, l := range []*changelog.Log[string]{first, second} {
		l.Record("a", "")
		l.Record("b", "")
	}
	keys, _ := second.Since("receiver", first.Head(), never, noLimit)
	g.Expect(keys).To(HaveLen(2))
	received, ok := first.Head().Advance(changelog.Span{Run: 8, From: 1, To: 2})
	g.Expect(ok).To(BeFalse())
	g.Expect(received).To(Equal(changelog.Position{Run: 8}))
}

// TestATruncatedChangeIsReplacedByACompleteCopy guards against a daemon that never
// learns of a removal because the sender has dropped it in the meantime.
func TestATruncatedChangeIsReplacedByACompleteCopy(t *testing.T) {
	g := NewWithT(t)
	l := changelog.New[string](7)
	l.Record("kept", "")
	l.Record("removed", "")
	has := changelog.Position{Run: 7, Revision: 1}
	l.Record("later", "")
	l.Truncate("removed")
	keys, span := l.Since("receiver", has, never, noLimit)
	g.Expect(span.From).To(BeZero())
	g.Expect(keys).To(Equal([]string{"kept", "later"}))
	keys, span = l.Since("receiver", changelog.Position{Run: 7, Revision: 2}, never, noLimit)
	g.Expect(span.From).To(Equal(uint64(2)))
	g.Expect(keys).To(Equal([]string{"later"}))
}

// TestReceivedChangesAreNotReturned guards against two daemons that send each other
// the same change for ever, and against one's own change that is hidden by the same
// key's arrival from another daemon.
func TestReceivedChangesAreNotReturned(t *testing.T) {
	g := NewWithT(t)
	l := changelog.New[string](7)
	has := l.Head()
	l.Record("a", "peer")
	keys, _ := l.Since("third", has, never, noLimit)
	g.Expect(keys).To(HaveLen(1), "the first contact is a complete copy")
	has = l.Head()
	l.Record("a", "peer")
	keys, _ = l.Since("peer", has, always, noLimit)
	g.Expect(keys).To(BeEmpty())
	keys, _ = l.Since("third", has, never, noLimit)
	g.Expect(keys).To(BeEmpty())
	keys, _ = l.Since("third", has, always, noLimit)
	g.Expect(keys).To(HaveLen(1))
	l.Record("a", "")
	l.Record("a", "third")
	keys, _ = l.Since("third", has, never, noLimit)
	g.Expect(keys).To(HaveLen(1))
}

// TestRandomExchangesReachAll guards against a change that a daemon never gets,
// while messages are lost, overtake one another or are split, daemons are restarted
// and changes are truncated.
func TestRandomExchangesReachAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const daemons, limit = 3, 2
		type message struct {
			from, to int
			entries  map[string]int
			span     changelog.Span
			ack      changelog.Position
		}
		runs := uint64(0)
		logs := make([]*changelog.Log[string], daemons)
		values := make([]map[string]int, daemons)
		received := make([][]changelog.Position, daemons)
		acked := make([][]changelog.Position, daemons)
		newest := make(map[string]int)
		restart := func(i int) {
			runs++
			logs[i], values[i] = changelog.New[string](runs), make(map[string]int)
			received[i], acked[i] = make([]changelog.Position, daemons), make([]changelog.Position, daemons)
		}
		for i := range daemons {
			restart(i)
		}
		name := func(i int) string { return fmt.Sprint("daemon-", i) }
		build := func(from, to int) message {
			keys, span := logs[from].Since(name(to), acked[from][to], always, limit)
			m := message{from: from, to: to, entries: make(map[string]int), span: span, ack: received[from][to]}
			for _, key := range keys {
				m.entries[key] = values[from][key]
			}
			return m
		}
		deliver := func(m message) {
			for key, value := range m.entries {
				if value > values[m.to][key] {
					values[m.to][key] = value
					logs[m.to].Record(key, name(m.from))
				}
			}
			received[m.to][m.from], _ = received[m.to][m.from].Advance(m.span)
			acked[m.to][m.from] = m.ack
		}
		var inFlight []message
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i, j := rapid.IntRange(0, daemons-1).Draw(rt, "daemon"), rapid.IntRange(0, daemons-1).Draw(rt, "peer")
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0:
				key := fmt.Sprint("key-", rapid.IntRange(0, 4).Draw(rt, "key"))
				values[i][key], newest[key] = step+1, step+1
				logs[i].Record(key, "")
			case 1, 2:
				if i != j {
					inFlight = append(inFlight, build(i, j))
				}
			case 3:
				if len(inFlight) > 0 {
					n := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "message")
					deliver(inFlight[n])
					if rapid.Bool().Draw(rt, "once") {
						inFlight = append(inFlight[:n], inFlight[n+1:]...)
					}
				}
			case 4:
				if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
					restart(i)
				}
			}
		}
		for range 20 {
			for i := range daemons {
				for j := range daemons {
					if i != j {
						deliver(build(i, j))
					}
				}
			}
		}
		for i := 1; i < daemons; i++ {
			for key := range newest {
				if values[i][key] != values[0][key] {
					rt.Fatalf("%s of %s is %d, of %s %d", key, name(i), values[i][key], name(0), values[0][key])
				}
			}
		}
	})
}
