package measure

import (
	"container/heap"
	"time"
)

// loop is a discrete-event loop on a virtual clock. Events that are due at the
// same time run in the order in which they were added.
type loop struct {
	now       time.Duration
	lastOrder uint64
	events    eventHeap
}

// event is a function that is due at a virtual time. order is unique and breaks
// ties between events that are due at the same time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventHeap is a min-heap of events, ordered by due time and then by order.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// at schedules f at t, or at the current time if t has passed.
func (l *loop) at(t time.Duration, f func()) {
	l.lastOrder++
	heap.Push(&l.events, event{at: max(t, l.now), order: l.lastOrder, run: f})
}

// after schedules f after the delay d.
func (l *loop) after(d time.Duration, f func()) { l.at(l.now+d, f) }

// runUntil runs all events that are due up to and including end and advances the
// clock to end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = max(l.now, end)
}
