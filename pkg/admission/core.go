// Package admission decides which requests may run now, which wait and which
// are refused at once.
//
// Each Resource (the Pools behind a Route) has a number of slots. Waiting
// requests are ordered by priority, then by weighted fair shares among
// ClientAccounts, then by earliest deadline within an account. A request that
// cannot be answered in time is refused when that becomes clear, not when its
// deadline has passed. Deferred requests use free slots only and are preempted
// for others.
//
// Core is pure: it takes the time and an event and returns decisions.
package admission

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Request asks for a slot.
type Request struct {
	ID            string
	Resource      string
	ClientAccount string
	// Priority orders requests; lower runs first.
	Priority int
	Deadline time.Time
	// Expected is how long the request occupies its slot at least: it must
	// start that long before its deadline.
	ExpectedDuration time.Duration
	// StartBy is the latest start that keeps a target for the first token; zero
	// sets no limit. An answer that starts later is of no use to its caller
	// and would make those behind it late as well.
	StartBy time.Time
	// Deferred marks a request that uses free slots only.
	Deferred bool
}

// latestStart returns when the request must have its slot at the latest.
func (r *Request) latestStart() time.Time {
	latest := r.Deadline.Add(-r.ExpectedDuration)
	if !r.StartBy.IsZero() && r.StartBy.Before(latest) {
		return r.StartBy
	}
	return latest
}

// late says whether a start at a time is too late. Deferred requests are never
// late.
func (r *Request) late(start time.Time) bool {
	return !r.Deferred && start.After(r.latestStart())
}

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonRate           Reason = "request rate of the account exceeded"
	ReasonInFlight       Reason = "requests in flight of the account exceeded"
	ReasonDeadline       Reason = "cannot be answered before the deadline"
	ReasonQueueFull      Reason = "queue of the account is full"
	ReasonNoCapacity     Reason = "no capacity"
	ReasonUnknownAccount Reason = "account is not configured"
)

// RefusedError reports a request that did not run.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s (retry after %s)", e.Reason, e.RetryAfter)
}

// Account holds the limits of a ClientAccount across all daemons.
type Account struct {
	Weight            float64
	MaxInFlight       int
	RequestsPerSecond float64
}

// Options configure a Core.
type Options struct {
	// MaxQueuePerAccount bounds the waiting requests of one account at one
	// resource.
	MaxQueuePerAccount int
	// InitialServiceTime is the assumed occupancy of a slot until requests have
	// finished.
	InitialServiceTime time.Duration
	// ServiceTimeWeight is the weight of a new observation of the occupancy.
	ServiceTimeWeight float64
	// DeferredReserve is the share of slots kept free of deferred requests,
	// so that a request arriving now need not wait for a preemption.
	DeferredReserve float64
}

// DefaultOptions returns the options of the daemon.
func DefaultOptions() Options {
	return Options{
		MaxQueuePerAccount: 1000,
		InitialServiceTime: 2 * time.Second,
		ServiceTimeWeight:  0.05,
		DeferredReserve:    0.1,
	}
}

// Outcome says what became of a request.
type Outcome struct {
	ID string
	// Admitted requests run now.
	Admitted bool
	// Refused is set for requests that do not run.
	Refused *RefusedError
	// Preempted requests have lost their slot and must stop at once.
	Preempted bool
}

// state of a request in the core.
type state int

const (
	stateQueued state = iota
	stateRunning
)

// entry is a request that the core knows.
type entry struct {
	request   Request
	state     state
	queuedAt  time.Time
	startedAt time.Time
	// start is the virtual start time of fair queueing.
	virtualStart float64
}

// account is the local state of a ClientAccount.
type account struct {
	limits   Account
	limiter  *rate.Limiter
	inFlight int
}

// Core is the admission of one daemon. It is not safe for concurrent use.
type Core struct {
	options   Options
	daemons   int
	accounts  map[string]*account
	resources map[string]*resource
	entries   map[string]*entry
}

// NewCore returns a Core without accounts and resources.
func NewCore(options Options) *Core {
	return &Core{
		options:   options,
		daemons:   1,
		accounts:  make(map[string]*account),
		resources: make(map[string]*resource),
		entries:   make(map[string]*entry),
	}
}

// SetDaemons tells how many daemons share the limits and slots. The platform's
// balancer spreads callers evenly, so each daemon takes an equal share; no
// write per request is needed to keep the sum.
func (c *Core) SetDaemons(now time.Time, daemons int) []Outcome {
	c.daemons = max(daemons, 1)
	for _, a := range c.accounts {
		c.applyLimits(now, a)
	}
	var outcomes []Outcome
	for _, r := range c.resources {
		outcomes = append(outcomes, c.applySlots(now, r)...)
	}
	return outcomes
}

// SetAccounts replaces the accounts. Requests in flight keep counting.
func (c *Core) SetAccounts(now time.Time, accounts map[string]Account) {
	for name, limits := range accounts {
		a, ok := c.accounts[name]
		if !ok {
			// A new limiter starts with a full burst.
			share, burst := c.rateShare(limits)
			a = &account{limiter: rate.NewLimiter(share, burst)}
			c.accounts[name] = a
		}
		a.limits = limits
		c.applyLimits(now, a)
	}
	for name, a := range c.accounts {
		if _, ok := accounts[name]; !ok && a.inFlight == 0 {
			delete(c.accounts, name)
		} else if !ok {
			a.limits = Account{}
			c.applyLimits(now, a)
		}
	}
}

func (c *Core) applyLimits(now time.Time, a *account) {
	share, burst := c.rateShare(a.limits)
	a.limiter.SetLimitAt(now, share)
	a.limiter.SetBurstAt(now, burst)
}

// rateShare is this daemon's part of an account's request rate; one second's
// worth may come at once.
func (c *Core) rateShare(limits Account) (rate.Limit, int) {
	share := limits.RequestsPerSecond / float64(c.daemons)
	return rate.Limit(share), int(math.Ceil(share))
}

// maxInFlight is this daemon's share of an account's limit, at least one.
func (c *Core) maxInFlight(a *account) int {
	return int(math.Ceil(float64(a.limits.MaxInFlight) / float64(c.daemons)))
}

// SetSlots sets how many requests a resource runs at once across all daemons.
// Fewer slots than running requests preempt deferred ones only.
func (c *Core) SetSlots(now time.Time, name string, slots int) []Outcome {
	r := c.resource(name)
	r.totalSlots = slots
	return c.applySlots(now, r)
}

// share takes this daemon's part of a resource's slots.
func (c *Core) applySlots(now time.Time, r *resource) []Outcome {
	r.slots = int(math.Ceil(float64(r.totalSlots) / float64(c.daemons)))
	outcomes := c.preempt(r, r.running-r.slots)
	return append(outcomes, c.dispatch(now, r)...)
}

// Submit asks for a slot. Its outcome is the first of the returned ones if it
// is decided at once; otherwise it comes from a later call.
func (c *Core) Submit(now time.Time, request Request) []Outcome {
	a, ok := c.accounts[request.ClientAccount]
	if !ok {
		return refuse(request.ID, ReasonUnknownAccount, 0)
	}
	r := c.resource(request.Resource)
	r.seenInteractive = r.seenInteractive || !request.Deferred
	if refused := c.checkArrival(now, r, a, &request); refused != nil {
		return []Outcome{{ID: request.ID, Refused: refused}}
	}
	e := &entry{request: request, queuedAt: now}
	c.entries[request.ID] = e
	a.inFlight++
	r.enqueue(e, a.limits.Weight)
	outcomes := c.dispatch(now, r)
	if e.state == stateQueued && !request.Deferred {
		outcomes = append(outcomes, c.preempt(r, 1)...)
		outcomes = append(outcomes, c.dispatch(now, r)...)
	}
	return outcomes
}

// checkArrival refuses a request that is over a limit or cannot be in time.
func (c *Core) checkArrival(now time.Time, r *resource, a *account, request *Request) *RefusedError {
	if a.inFlight >= c.maxInFlight(a) {
		return &RefusedError{Reason: ReasonInFlight, RetryAfter: r.meanServiceTime(c.options)}
	}
	if r.slots == 0 && !request.Deferred {
		return &RefusedError{Reason: ReasonNoCapacity, RetryAfter: r.meanServiceTime(c.options)}
	}
	if r.queued(request.ClientAccount) >= c.options.MaxQueuePerAccount {
		return &RefusedError{Reason: ReasonQueueFull, RetryAfter: r.meanServiceTime(c.options)}
	}
	if !request.Deferred {
		wait := r.expectedWait(request, a.limits.Weight, c.options)
		if start := now.Add(wait); request.late(start) {
			return &RefusedError{Reason: ReasonDeadline, RetryAfter: start.Sub(request.latestStart())}
		}
	}
	if !a.limiter.AllowN(now, 1) {
		return &RefusedError{Reason: ReasonRate, RetryAfter: retryAfterRate(a.limiter)}
	}
	return nil
}

func retryAfterRate(limiter *rate.Limiter) time.Duration {
	if limiter.Limit() <= 0 {
		return time.Minute
	}
	return time.Duration(float64(time.Second) / float64(limiter.Limit()))
}

// Finish frees the slot of a request, or removes a waiting one. Finishing an
// unknown request, such as a preempted one, does nothing.
func (c *Core) Finish(now time.Time, id string) []Outcome {
	e, ok := c.entries[id]
	if !ok {
		return nil
	}
	r := c.resource(e.request.Resource)
	if e.state == stateRunning {
		r.observeServiceTime(now.Sub(e.startedAt), c.options)
		r.running--
		delete(r.runningDeferred, id)
	} else {
		r.remove(e)
	}
	c.removeEntry(e)
	return c.dispatch(now, r)
}

// Tick refuses waiting requests that can no longer be answered in time.
func (c *Core) Tick(now time.Time) []Outcome {
	var outcomes []Outcome
	for _, r := range c.resources {
		outcomes = append(outcomes, c.refuseLate(now, r)...)
		outcomes = append(outcomes, c.dispatch(now, r)...)
	}
	return outcomes
}

// Running returns the occupied slots of a resource, and Waiting its queue.
func (c *Core) Running(name string) int { return c.resource(name).running }

// Waiting returns the number of waiting requests of a resource.
func (c *Core) Waiting(name string) int { return c.resource(name).waiting }

// Slots returns this daemon's share of the slots of a resource.
func (c *Core) Slots(name string) int { return c.resource(name).slots }

// Load returns the occupied slots and the waiting requests of all resources.
func (c *Core) Load() (running, waiting int) {
	for _, r := range c.resources {
		running += r.running
		waiting += r.waiting
	}
	return running, waiting
}

func (c *Core) refuseLate(now time.Time, r *resource) []Outcome {
	var outcomes []Outcome
	for _, e := range r.late(now) {
		r.remove(e)
		c.removeEntry(e)
		outcomes = append(outcomes, refuse(e.request.ID, ReasonDeadline, r.meanServiceTime(c.options))...)
	}
	return outcomes
}

// dispatch admits waiting requests while slots are free.
func (c *Core) dispatch(now time.Time, r *resource) []Outcome {
	var outcomes []Outcome
	for {
		e := r.next(c.options)
		if e == nil {
			return outcomes
		}
		r.remove(e)
		if e.request.late(now) {
			c.removeEntry(e)
			outcomes = append(outcomes, refuse(e.request.ID, ReasonDeadline, r.meanServiceTime(c.options))...)
			continue
		}
		r.start(e, now)
		outcomes = append(outcomes, Outcome{ID: e.request.ID, Admitted: true})
	}
}

// preempt takes the slots of up to n deferred requests, newest first, since
// they have the least to lose.
func (c *Core) preempt(r *resource, n int) []Outcome {
	var outcomes []Outcome
	for ; n > 0; n-- {
		e := r.newestDeferred()
		if e == nil {
			break
		}
		r.running--
		delete(r.runningDeferred, e.request.ID)
		c.removeEntry(e)
		outcomes = append(outcomes, Outcome{ID: e.request.ID, Preempted: true})
	}
	return outcomes
}

func (c *Core) removeEntry(e *entry) {
	delete(c.entries, e.request.ID)
	if a, ok := c.accounts[e.request.ClientAccount]; ok {
		a.inFlight--
	}
}

func (c *Core) resource(name string) *resource {
	r, ok := c.resources[name]
	if !ok {
		r = newResource()
		c.resources[name] = r
	}
	return r
}

func refuse(id string, reason Reason, retryAfter time.Duration) []Outcome {
	return []Outcome{{ID: id, Refused: &RefusedError{Reason: reason, RetryAfter: retryAfter}}}
}
