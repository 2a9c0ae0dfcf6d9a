package shutdown_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/shutdown"
)

// detectedAfter is when the load balancer sends no more connections to a daemon that is not ready.
const detectedAfter = 2600 * time.Millisecond

// graces are the grace periods of the tests.
var graces = []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 20 * time.Second}

// samples returns times of which one is the longest.
func samples(usual, longest time.Duration) []time.Duration {
	all := []time.Duration{longest}
	for range 15 {
		all = append(all, usual)
	}
	return all
}

// TestRequestsAreBegunOnlyIfTheyCanEnd guards against requests that are begun so late that the end
// of the grace period cuts them, and against refusals of those that can end.
func TestRequestsAreBegunOnlyIfTheyCanEnd(t *testing.T) {
	requestedAt := time.Unix(1000, 0)
	for _, grace := range graces {
		plan := shutdown.NewPlan(requestedAt, grace)
		for at := time.Duration(0); at <= grace; at += 500 * time.Millisecond {
			now := requestedAt.Add(at)
			left := plan.AnswerUntil.Sub(now)
			late := now.After(plan.AcceptUntil)
			later, sooner := now.Add(left+time.Millisecond), now.Add(left)
			quick, slow := samples(left/8, left/4), samples(left/4, left)
			if left <= 0 {
				quick, slow = samples(time.Millisecond, time.Millisecond), samples(time.Millisecond, time.Second)
			}
			tests := []struct {
				name    string
				request shutdown.Request
				want    bool
			}{
				{"ends by itself in time", shutdown.Request{Deadline: sooner, Once: true, Recent: slow}, true},
				{"nothing is known", shutdown.Request{Deadline: later}, false},
				{"once, usually quick", shutdown.Request{Deadline: later, Once: true, Recent: quick}, left > 0},
				{"once, at times slow", shutdown.Request{Deadline: later, Once: true, Recent: slow}, false},
				{"repeatable, at times slow", shutdown.Request{Deadline: later, Recent: slow}, left > 0},
				{"stream, usually quick", shutdown.Request{Deadline: later, Stream: true, Recent: quick}, left > 0},
				{"stream, at times half of the time left", shutdown.Request{Deadline: later, Stream: true, Recent: samples(left/8, max(left/2, time.Millisecond))}, left > 0 && !late},
				{"stream that must not be repeated, at times slow", shutdown.Request{Deadline: later, Once: true, Stream: true, Recent: slow}, false},
			}
			for _, test := range tests {
				t.Run(fmt.Sprintf("%v of %v, %s", at, grace, test.name), func(t *testing.T) {
					g := gomega.NewWithT(t)
					ok, expected := plan.MayBegin(now, test.request)
					g.Expect(ok).To(gomega.Equal(test.want), "%v expected, %v left", expected, left)
					g.Expect(expected).To(gomega.BeNumerically("<=", test.request.Deadline.Sub(now)))
				})
			}
		}
	}
}

// TestThePlanFitsTheGracePeriod guards against a stop that ends requests after the process was
// killed, or long before.
func TestThePlanFitsTheGracePeriod(t *testing.T) {
	requestedAt := time.Unix(1000, 0)
	for _, grace := range append(graces, 0, 100*time.Millisecond) {
		g := gomega.NewWithT(t)
		p := shutdown.NewPlan(requestedAt, grace)
		for _, pair := range [][2]time.Time{{requestedAt, p.AcceptUntil}, {p.AcceptUntil, p.AnswerUntil}, {p.AnswerUntil, p.CloseUntil}, {p.CloseUntil, p.KilledAt}} {
			g.Expect(pair[1]).NotTo(gomega.BeTemporally("<", pair[0]), grace.String())
		}
		if grace >= 3*time.Second {
			lastSixth := p.KilledAt.Add(-grace / 6)
			g.Expect(p.AnswerUntil).NotTo(gomega.BeTemporally("<", lastSixth), "requests are ended in the last sixth only")
			g.Expect(p.AcceptUntil).To(gomega.BeTemporally("~", requestedAt.Add(detectedAfter), 100*time.Millisecond))
		}
	}
}

// TestOnlyRecentTimesCount guards against estimates from single requests, and from those of long
// ago.
func TestOnlyRecentTimesCount(t *testing.T) {
	g := gomega.NewWithT(t)
	var d shutdown.Durations
	g.Expect(d.Recent("a", "all")).To(gomega.BeEmpty())
	for range 4 {
		d.Add(time.Minute, "a", "all")
		d.Add(time.Second, "b", "all")
	}
	g.Expect(d.Recent("a")).To(gomega.BeEmpty(), "too few")
	g.Expect(d.Recent("a", "all")).To(gomega.ConsistOf(time.Minute, time.Minute, time.Minute, time.Minute, time.Second, time.Second, time.Second, time.Second))
	for range 100 {
		d.Add(2*time.Second, "a", "all")
	}
	g.Expect(d.Recent("a", "all")).To(gomega.HaveEach(2 * time.Second))
	for i := range 10_000 {
		d.Add(time.Second, fmt.Sprint(i))
	}
	d.Add(time.Second, "a")
	g.Expect(d.Recent("a")).To(gomega.BeEmpty(), "kinds are bounded")
}
