package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/coordination/retry"
)

// TestRandomRetryBudget guards against a retry storm: for any sequence of results,
// the number of allowed retries stays within the initial balance plus the credit
// from successes, and no retry ends after the deadline of the caller.
func TestRandomRetryBudget(t *testing.T) {
	randomtest.Check(t, []string{"failure"}, func(rt *rapid.T, report *randomtest.Report) {
		options := retry.DefaultOptions()
		policy := retry.NewPolicy(options, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)))
		now := time.Unix(1000, 0)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			report.Step()
			if rapid.Bool().Draw(rt, "succeeds") {
				policy.RecordSuccess("a", "p")
				successes++
				continue
			}
			report.Fault("failure")
			r := retry.Request{
				ClientAccount: "a", Pool: "p",
				Attempt:  rapid.IntRange(1, 40).Draw(rt, "attempt"),
				Deadline: now.Add(time.Duration(rapid.IntRange(-1000, 3000).Draw(rt, "remaining")) * time.Millisecond),
				Expected: 100 * time.Millisecond,
			}
			d := policy.Retry(now, r)
			report.Outcome(string(d.Denied))
			if !d.Allowed {
				continue
			}
			retries++
			if end := now.Add(d.Delay + r.Expected); end.After(r.Deadline) {
				rt.Fatalf("allowed retry ends %s after the deadline", end.Sub(r.Deadline))
			}
		}
		if bound := options.Initial + options.Ratio*float64(successes) + 1e-9; float64(retries) > bound {
			rt.Fatalf("%d retries were allowed, the maximum is %.1f", retries, bound)
		}
	})
}

// TestBudgetsOfAccountsAreSeparate guards against an account whose failures use up
// the retries of other accounts.
func TestBudgetsOfAccountsAreSeparate(t *testing.T) {
	g := NewWithT(t)
	policy := retry.NewPolicy(retry.Options{Ratio: 0.1, Initial: 2, Max: 10}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	requestRetry := func(account, pool string) retry.Decision {
		return policy.Retry(now, retry.Request{ClientAccount: account, Pool: pool, Attempt: 1, Deadline: now.Add(time.Second)})
	}
	g.Expect(requestRetry("large", "p1").Allowed).To(BeTrue())
	g.Expect(requestRetry("large", "p1").Allowed).To(BeTrue())
	g.Expect(requestRetry("large", "p2").Denied).To(Equal(retry.DenyBudget))
	g.Expect(requestRetry("small", "p2").Allowed).To(BeTrue())
	g.Expect(requestRetry("small", "p1").Denied).To(Equal(retry.DenyBudget), "the pool's budget is spent")
}

// TestBackoffUsesFullJitter guards against synchronized retries: the delays are
// spread over the whole range, and the bound doubles up to the maximum.
func TestBackoffUsesFullJitter(t *testing.T) {
	g := NewWithT(t)
	options := retry.DefaultOptions()
	random := rand.New(rand.NewPCG(1, 2))
	for attempt, bound := range map[int]time.Duration{1: 20, 2: 40, 3: 80, 30: 2000} {
		lowest, highest := time.Hour, time.Duration(0)
		for range 1000 {
			d := options.Backoff(random, attempt)
			lowest, highest = min(lowest, d), max(highest, d)
		}
		g.Expect(highest).To(BeNumerically("<=", bound*time.Millisecond))
		g.Expect(highest).To(BeNumerically(">", bound*time.Millisecond*9/10))
		g.Expect(lowest).To(BeNumerically("<", bound*time.Millisecond/10))
	}
}
