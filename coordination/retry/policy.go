package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Request describes a retry that a Policy allows or denies.
type Request struct {
	ClientAccount string
	Pool          string
	// Attempt is 1 for the first retry.
	Attempt  int
	Deadline time.Time
	// Expected is the minimum duration of an attempt. A retry that cannot end
	// before the deadline is denied.
	Expected time.Duration
}

// Decision is the result of Policy.Retry: the retry is allowed after Delay, or
// denied for the reason in Denied.
type Decision struct {
	Allowed bool
	Delay   time.Duration
	Denied  DenyReason
}

// Policy holds one Budget per ClientAccount and one per pool. A retry needs a
// balance in both, so that one account cannot use up the retries of others and a
// failing pool is not overloaded with retries. It is safe for concurrent use.
type Policy struct {
	options Options

	mu       sync.Mutex
	random   *rand.Rand
	accounts map[string]*Budget
	pools    map[string]*Budget
}

// NewPolicy returns a Policy that uses random for the jitter of its delays.
func NewPolicy(options Options, random *rand.Rand) *Policy {
	return &Policy{
		options:  options,
		random:   random,
		accounts: make(map[string]*Budget),
		pools:    make(map[string]*Budget),
	}
}

// RecordSuccess credits a successful request to the budgets of account and pool.
func (p *Policy) RecordSuccess(account, pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(p.accounts, account).RecordSuccess()
	p.budget(p.pools, pool).RecordSuccess()
}

// Retry decides whether a retry is allowed, and if so takes one retry from both
// budgets.
func (p *Policy) Retry(now time.Time, r Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	account, pool := p.budget(p.accounts, r.ClientAccount), p.budget(p.pools, r.Pool)
	if !account.canSpend() || !pool.canSpend() {
		return Decision{Denied: DenyBudget}
	}
	remaining := r.Deadline.Sub(now) - r.Expected
	if remaining <= 0 {
		return Decision{Denied: DenyDeadline}
	}
	account.spend()
	pool.spend()
	return Decision{Allowed: true, Delay: min(p.options.Backoff(p.random, r.Attempt), remaining)}
}

// Balances returns the balances of account and pool.
func (p *Policy) Balances(account, pool string) (float64, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(p.accounts, account).Balance(), p.budget(p.pools, pool).Balance()
}

func (p *Policy) budget(budgets map[string]*Budget, name string) *Budget {
	b, ok := budgets[name]
	if !ok {
		b = NewBudget(p.options)
		budgets[name] = b
	}
	return b
}
