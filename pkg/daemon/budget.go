package daemon

import (
	"time"

	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/retry"
)

// unlimitedDeadline is later than the deadline of any request, so that the retry
// policy imposes no deadline. Streams and calls check their own deadlines.
const unlimitedDeadline = 24 * time.Hour

// retryBudgets implements the retry budgets of streams and calls on top of one
// retry policy, so that both share the same budgets.
type retryBudgets struct {
	policy *retry.Policy
	clock  clock.PassiveClock
}

// Withdraw implements streaming.RetryBudget.
func (b *retryBudgets) Withdraw(account, pool string) bool {
	return b.Retry(b.clock.Now(), account, pool)
}

// Deposit implements streaming.RetryBudget.
func (b *retryBudgets) Deposit(account, pool string) { b.policy.RecordSuccess(account, pool) }

// Retry implements oncecall.RetryBudget.
func (b *retryBudgets) Retry(now time.Time, account, pool string) bool {
	return b.policy.Retry(now, retry.Request{
		ClientAccount: account, Pool: pool, Attempt: 1, Deadline: now.Add(unlimitedDeadline),
	}).Allowed
}

// Success implements oncecall.RetryBudget.
func (b *retryBudgets) Success(_ time.Time, account, pool string) {
	b.policy.RecordSuccess(account, pool)
}
