package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Request asks for a retry.
type Request struct {
	ClientAccount string
	Pool          string
	// Attempt is 1 for the first retry.
	Attempt  int
	Deadline time.Time
	// Expected is how long an attempt takes at least: a retry that cannot end
	// before the deadline is denied.
	Expected time.Duration
}

// Decision allows a retry after Delay, or denies it.
type Decision struct {
	Allowed bool
	Delay   time.Duration
	Denied  DenyReason
}

// Policy holds a Budget per ClientAccount and one per Pool. A retry needs both:
// one account must not spend what others need, and a pool that fails must not
// be loaded with repeats. It is safe for concurrent use.
type Policy struct {
	options Options

	mu       sync.Mutex
	random   *rand.Rand
	accounts map[string]*Budget
	pools    map[string]*Budget
}

// NewPolicy returns a Policy that draws its delays from random.
func NewPolicy(options Options, random *rand.Rand) *Policy {
	return &Policy{
		options:  options,
		random:   random,
		accounts: make(map[string]*Budget),
		pools:    make(map[string]*Budget),
	}
}

// Succeeded credits a success of an account at a pool.
func (p *Policy) RecordSuccess(account, pool string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(p.accounts, account).RecordSuccess()
	p.budget(p.pools, pool).RecordSuccess()
}

// Retry decides on a retry and spends both budgets if it allows it.
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

// Balances returns the balance of an account and a pool.
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
