package admission

import (
	"container/heap"
	"time"
)

// resource is the state of one set of slots with its waiting requests.
type resource struct {
	// totalSlots is the number of slots over all daemons, and slots this
	// daemon's share.
	totalSlots int
	slots      int
	running    int
	waiting    int
	// queues holds the waiting requests by account name.
	queues map[string]*accountQueue
	// runningDeferred holds the running deferred requests, which can be
	// preempted, by request ID.
	runningDeferred map[string]*entry
	// seenInteractive is set once a request that is not deferred has been
	// submitted. Until then deferred requests may use all slots.
	seenInteractive bool
	// virtualTime is the virtual time of fair queueing: the virtual start time
	// of the request admitted last.
	virtualTime float64
	// serviceTime is the moving average of the time that a request occupies a
	// slot; 0 until the first request has finished.
	serviceTime time.Duration
}

func newResource() *resource {
	return &resource{queues: make(map[string]*accountQueue), runningDeferred: make(map[string]*entry)}
}

// accountQueue holds the waiting requests of one account, ordered by before.
type accountQueue struct {
	entries entryHeap
	weight  float64
	// virtualFinish is the virtual finish time of the account's request that
	// was admitted last.
	virtualFinish float64
}

type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return before(h[i], h[j]) }
func (h entryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *entryHeap) Push(x any)        { *h = append(*h, x.(*entry)) }

func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// before orders the requests of one account: deferred ones last, then by priority,
// deadline and arrival.
func before(a, b *entry) bool {
	if a.request.Deferred != b.request.Deferred {
		return b.request.Deferred
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	if !a.queuedAt.Equal(b.queuedAt) {
		return a.queuedAt.Before(b.queuedAt)
	}
	return a.request.ID < b.request.ID
}

func (r *resource) enqueue(e *entry, weight float64) {
	q, ok := r.queues[e.request.ClientAccount]
	if !ok {
		q = &accountQueue{}
		r.queues[e.request.ClientAccount] = q
	}
	q.weight = max(weight, minWeight)
	heap.Push(&q.entries, e)
	r.waiting++
}

// minWeight prevents a division by zero for an account without a weight.
const minWeight = 0.001

func (r *resource) remove(e *entry) {
	q := r.queues[e.request.ClientAccount]
	for i, other := range q.entries {
		if other == e {
			heap.Remove(&q.entries, i)
			r.waiting--
			return
		}
	}
}

// queued returns the number of waiting requests of an account.
func (r *resource) queued(account string) int {
	q, ok := r.queues[account]
	if !ok {
		return 0
	}
	return len(q.entries)
}

// next returns the waiting request that may start now, or nil if there is none.
func (r *resource) next(options Options) *entry {
	if r.running >= r.slots || r.waiting == 0 {
		return nil
	}
	var best *entry
	var bestQueue *accountQueue
	for _, q := range r.queues {
		if len(q.entries) == 0 {
			continue
		}
		if best == nil || r.precedes(q, q.entries[0], bestQueue, best) {
			best, bestQueue = q.entries[0], q
		}
	}
	if best.request.Deferred && r.running >= r.slots-r.reservedSlots(options) {
		return nil
	}
	return best
}

// precedes reports whether request a, the first of queue qa, comes before request
// b, the first of queue qb: deferred ones last, then by priority, then the
// account that has used less of its fair share.
func (r *resource) precedes(qa *accountQueue, a *entry, qb *accountQueue, b *entry) bool {
	if a.request.Deferred != b.request.Deferred {
		return b.request.Deferred
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	startA, startB := max(qa.virtualFinish, r.virtualTime), max(qb.virtualFinish, r.virtualTime)
	if startA != startB {
		return startA < startB
	}
	return before(a, b)
}

// reservedSlots returns the number of slots that deferred requests may not use.
func (r *resource) reservedSlots(options Options) int {
	if !r.seenInteractive {
		return 0
	}
	return int(float64(r.slots) * options.DeferredReserve)
}

// start occupies a slot. Unless the request is deferred, it advances the
// account's virtualFinish by the expected duration divided by the weight.
func (r *resource) start(e *entry, now time.Time) {
	e.state = stateRunning
	e.startedAt = now
	r.running++
	if e.request.Deferred {
		r.runningDeferred[e.request.ID] = e
		return
	}
	q := r.queues[e.request.ClientAccount]
	e.virtualStart = max(q.virtualFinish, r.virtualTime)
	r.virtualTime = e.virtualStart
	q.virtualFinish = e.virtualStart + max(e.request.ExpectedDuration, time.Millisecond).Seconds()/q.weight
}

// newestDeferred returns the deferred request that was started last.
func (r *resource) newestDeferred() *entry {
	var newest *entry
	for _, e := range r.runningDeferred {
		if newest == nil || e.startedAt.After(newest.startedAt) ||
			(e.startedAt.Equal(newest.startedAt) && e.request.ID > newest.request.ID) {
			newest = e
		}
	}
	return newest
}

// late returns the waiting requests that can no longer start in time.
func (r *resource) late(now time.Time) []*entry {
	var late []*entry
	for _, q := range r.queues {
		for _, e := range q.entries {
			if e.request.late(now) {
				late = append(late, e)
			}
		}
	}
	return late
}

// observeServiceTime adds an observation to the moving average.
func (r *resource) observeServiceTime(occupied time.Duration, options Options) {
	if r.serviceTime == 0 {
		r.serviceTime = occupied
		return
	}
	r.serviceTime += time.Duration(options.ServiceTimeWeight * float64(occupied-r.serviceTime))
}

func (r *resource) meanServiceTime(options Options) time.Duration {
	if r.serviceTime == 0 {
		return options.InitialServiceTime
	}
	return r.serviceTime
}

// expectedWait estimates how long a request that arrives now waits for a slot. It
// is the number of requests ahead divided by the rate at which slots become free.
// Requests of the same account are scaled by the inverse of the account's share
// of the weights, to include those of other accounts that run in between.
func (r *resource) expectedWait(request *Request, weight float64, options Options) time.Duration {
	if free := r.slots - (r.running - len(r.runningDeferred)); free > r.waitingInteractive() {
		return 0
	}
	probe := &entry{request: *request}
	ahead, activeWeight := 0.0, 0.0
	own := 0
	for name, q := range r.queues {
		active := false
		for _, e := range q.entries {
			switch {
			case e.request.Deferred:
			case e.request.Priority < request.Priority:
				ahead++
			case e.request.Priority == request.Priority:
				active = true
				if name == request.ClientAccount && before(e, probe) {
					own++
				}
			}
		}
		if active && name != request.ClientAccount {
			activeWeight += q.weight
		}
	}
	weight = max(weight, minWeight)
	ahead += float64(own+1) * (activeWeight + weight) / weight
	// The estimate above counts other accounts' requests in proportion to their
	// weights, but no more requests can be ahead than are waiting in total.
	ahead = min(ahead, float64(r.waiting+1))
	perSlot := float64(r.meanServiceTime(options)) / float64(max(r.slots, 1))
	return time.Duration(ahead * perSlot)
}

// waitingInteractive returns the number of waiting requests that are not
// deferred.
func (r *resource) waitingInteractive() int {
	n := 0
	for _, q := range r.queues {
		for _, e := range q.entries {
			if !e.request.Deferred {
				n++
			}
		}
	}
	return n
}
