package daemon

import (
	"time"

	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/retry"
)

// farDeadline is beyond the deadline of any request; the duties that ask check
// their own deadlines.
const farDeadline = 24 * time.Hour

// budgets lets streams and calls draw on the same retry budgets.
type budgets struct {
	policy *retry.Policy
	clock  clock.PassiveClock
}

// Withdraw implements streaming.RetryBudget.
func (b *budgets) Withdraw(account, pool string) bool {
	return b.Retry(b.clock.Now(), account, pool)
}

// Deposit implements streaming.RetryBudget.
func (b *budgets) Deposit(account, pool string) { b.policy.RecordSuccess(account, pool) }

// Retry implements oncecall.RetryBudget.
func (b *budgets) Retry(now time.Time, account, pool string) bool {
	return b.policy.Retry(now, retry.Request{
		ClientAccount: account, Pool: pool, Attempt: 1, Deadline: now.Add(farDeadline),
	}).Allowed
}

// Success implements oncecall.RetryBudget.
func (b *budgets) Success(_ time.Time, account, pool string) { b.policy.RecordSuccess(account, pool) }
