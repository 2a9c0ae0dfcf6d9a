// Package retry bounds retries: a budget that recent successes refill, and
// full-jitter backoff within the caller's remaining time.
package retry

import (
	"math/rand/v2"
	"time"
)

// Options configure a Budget and its backoff.
type Options struct {
	// Ratio is the share of successes that is added to the balance.
	Ratio float64
	// Initial is the balance at the start, so that a few early failures can
	// be retried before there has been a success.
	Initial float64
	// Max bounds the balance: a long healthy time must not save up a burst of
	// retries for an outage.
	Max float64
	// BaseDelay is the upper bound of the first backoff; it doubles with each
	// attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// DefaultOptions allow one retry per ten successes.
func DefaultOptions() Options {
	return Options{Ratio: 0.1, Initial: 10, Max: 100, BaseDelay: 20 * time.Millisecond, MaxDelay: 2 * time.Second}
}

// DenyReason says why a retry is not allowed.
type DenyReason string

// The reasons against a retry.
const (
	DenyNone     DenyReason = ""
	DenyBudget   DenyReason = "budget spent"
	DenyDeadline DenyReason = "deadline too near"
)

// Budget is the retry balance of one ClientAccount or Pool. It is not safe for
// concurrent use.
type Budget struct {
	options Options
	balance float64
}

// NewBudget returns a Budget with its initial balance.
func NewBudget(options Options) *Budget {
	return &Budget{options: options, balance: min(options.Initial, options.Max)}
}

// Succeeded credits a success.
func (b *Budget) RecordSuccess() { b.balance = min(b.balance+b.options.Ratio, b.options.Max) }

// Balance returns how many retries the budget holds.
func (b *Budget) Balance() float64 { return b.balance }

func (b *Budget) canSpend() bool { return b.balance >= 1 }

func (b *Budget) spend() { b.balance-- }

// Backoff returns the delay before attempt (1 is the first retry): uniform
// between 0 and the exponentially growing bound.
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
