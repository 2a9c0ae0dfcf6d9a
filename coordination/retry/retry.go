// Package retry limits retries. A Budget is refilled by successful requests, and a
// Window allows a ratio of the recent requests. The backoff has full jitter and
// stays within the remaining time of the caller.
package retry

import (
	"math/rand/v2"
	"time"
)

// Options configures a Budget and the backoff.
type Options struct {
	// Ratio is the number of retries that each success adds to the balance.
	Ratio float64
	// Initial is the initial balance. It allows a few early failures to be
	// retried before the first success.
	Initial float64
	// Max is the maximum balance. It prevents a large burst of retries in an
	// outage that follows a long healthy period.
	Max float64
	// BaseDelay is the upper bound of the first backoff. The bound doubles with
	// each attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// DefaultOptions returns options that allow one retry per ten successes.
func DefaultOptions() Options {
	return Options{Ratio: 0.1, Initial: 10, Max: 100, BaseDelay: 20 * time.Millisecond, MaxDelay: 2 * time.Second}
}

// DenyReason is the reason why a retry is not allowed.
type DenyReason string

// Reasons to deny a retry.
const (
	DenyNone     DenyReason = ""
	DenyBudget   DenyReason = "budget spent"
	DenyDeadline DenyReason = "deadline too near"
)

// Budget is the retry balance of one ClientAccount or pool. It is not safe for
// concurrent use.
type Budget struct {
	options Options
	balance float64
}

// NewBudget returns a Budget with its initial balance.
func NewBudget(options Options) *Budget {
	return &Budget{options: options, balance: min(options.Initial, options.Max)}
}

// RecordSuccess adds Ratio to the balance, up to Max.
func (b *Budget) RecordSuccess() { b.balance = min(b.balance+b.options.Ratio, b.options.Max) }

// Balance returns the number of retries that are left in the budget.
func (b *Budget) Balance() float64 { return b.balance }

func (b *Budget) canSpend() bool { return b.balance >= 1 }

func (b *Budget) spend() { b.balance-- }

// Backoff returns the delay before an attempt, where 1 is the first retry. The
// delay is uniformly distributed between 0 and an exponentially growing bound.
func (o *Options) Backoff(random *rand.Rand, attempt int) time.Duration {
	bound := o.BaseDelay
	for i := 1; i < attempt && bound < o.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, o.MaxDelay)
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}
