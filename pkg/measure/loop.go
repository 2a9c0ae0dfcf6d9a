package measure

import (
	"container/heap"
	"time"
)

// loop is an event loop on a virtual clock. Events at the same time run in the
// order in which they were added.
type loop struct {
	now    time.Duration
	next   uint64
	events eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

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

// at runs f at a time, or now if the time has passed.
func (l *loop) at(t time.Duration, f func()) {
	l.next++
	heap.Push(&l.events, event{at: max(t, l.now), order: l.next, run: f})
}

func (l *loop) after(d time.Duration, f func()) { l.at(l.now+d, f) }

// runUntil runs events up to and including a time.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = max(l.now, end)
}
