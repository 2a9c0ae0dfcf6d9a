package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

var (
	start  = time.Unix(1000, 0)
	bounds = Bounds{MaxShare: 0.1, Slack: 50, StopTime: 5 * time.Second}
	order  = Order{Service: "s", To: "v2", Revision: 10, Duration: 20 * time.Second}
)

// newFollower returns a follower that knows the order and four servers of each version.
func newFollower(seed uint64) *Follower {
	f := NewFollower(bounds, seed)
	f.SetOrders(start, []Order{order}, 10)
	for i := range 4 {
		for version, since := range map[string]table.Version{"v1": 5, "v2": 11} {
			f.HandleServer(start, &fleet.Event{Server: fleet.Server{ID: fmt.Sprint(version, "-", i), Service: "s", Version: version}, Change: fleet.ServerJoined}, since)
		}
	}
	f.SetOrders(start, []Order{order}, 11)
	return f
}

// running returns a directive of a decider.
func running(sequence uint64, cleared int) Entry {
	return Entry{Order: order, Directive: Directive{Term: 1, Sequence: sequence, Share: 0.5, Servers: 3, ValidFor: directiveValidity, Cleared: cleared}}
}

// share returns the part of the requests that a follower selects the new version for.
func share(f *Follower, now time.Time) float64 {
	n := 0
	for range 200 {
		if sendOne(f, now) {
			n++
		}
	}
	return float64(n) / 200
}

// sendOne sends a request that nobody answers and reports whether the new version got it.
func sendOne(f *Follower, now time.Time) bool {
	version := "v1"
	if f.Choose(now, "s", "r", false, false).Only == "v2" {
		version = "v2"
	}
	f.Started(now, "one", "r", &fleet.Server{ID: version + "-0", Service: "s", Version: version}, time.Millisecond)
	f.Finished(now, "one", false)
	return version == "v2"
}

// Guards against a share that is given to each daemon in whole requests: with few requests at
// each, the sum would be far off.
func TestTheSharesOfManyDaemonsAddUp(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := 0
	const daemons, each = 590, 10
	for seed := range uint64(daemons) {
		f := newFollower(seed)
		e := running(1, 0)
		e.Directive.Share = 0.03
		f.Merge(start, e, start)
		for range each {
			if sendOne(f, start) {
				sent++
			}
		}
	}
	g.Expect(float64(sent)).To(gomega.BeNumerically("~", 0.03*daemons*each, 40))
}

// Guards against a daemon that goes on by itself: without further directives, with directives
// of unknown age, of an earlier decider, or with more bad answers than were cleared.
func TestADaemonGoesOnOnlyWithANewDirective(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFollower(1)
	g.Expect(share(f, start)).To(gomega.BeZero())
	f.Merge(start, running(1, 0), time.Time{})
	g.Expect(share(f, start)).To(gomega.BeZero())
	f.Merge(start, running(1, 0), start)
	g.Expect(share(f, start)).To(gomega.BeNumerically("~", 0.5, 0.01))
	g.Expect(share(f, start.Add(directiveValidity))).To(gomega.BeZero())
	f.Merge(start, running(2, 0), start.Add(2*time.Second))
	g.Expect(share(f, start.Add(directiveValidity))).To(gomega.BeNumerically("~", 0.5, 0.01))
	// What was on its way for long does not prolong it.
	f.Merge(start, running(1, 0), start.Add(4*time.Second))
	g.Expect(share(f, start.Add(5*time.Second))).To(gomega.BeZero())
	now := start.Add(10 * time.Second)
	f.Merge(start, running(3, 0), now)
	f.SetTold(map[string]Excess{"s": {Order: 10, Bad: maxExcess}})
	g.Expect(share(f, now)).To(gomega.BeZero())
	f.Merge(start, running(4, 0), now)
	g.Expect(share(f, now)).To(gomega.BeZero())
	f.Merge(start, running(5, maxExcess), now)
	g.Expect(share(f, now)).To(gomega.BeNumerically("~", 0.5, 0.01))
	// A stream that began at the version goes on there only as long as the version may be used.
	g.Expect(f.Choose(now, "s", "r", false, true).Denied).To(gomega.BeEmpty())
	g.Expect(f.Choose(now.Add(time.Minute), "s", "r", false, true).Denied).To(gomega.ConsistOf("v2"))
	g.Expect(f.Choose(now, "s", "r", true, false).Denied).To(gomega.ConsistOf("v2"))
}

// Guards against daemons that stop by themselves too late: each counts its own bad answers.
func TestADaemonStopsByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFollower(1)
	f.Merge(start, running(1, 0), start)
	sent := 0
	for i := range 200 {
		version := "v1"
		if f.Choose(start, "s", "r", false, false).Only == "v2" {
			version = "v2"
			sent++
		}
		id := fmt.Sprint(i)
		f.Started(start, id, "r", &fleet.Server{ID: version + "-0", Service: "s", Version: version}, time.Millisecond)
		if version == "v2" {
			f.Failed(id, false)
		}
		f.Finished(start, id, true)
	}
	g.Expect(sent).To(gomega.Equal(maxExcess))
}

// Guards against versions that no order allows: those of an order that was replaced, rolled
// back or is not known to be completed.
func TestVersionsOfEarlierOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFollower(1)
	f.Merge(start, running(1, 0), start)
	f.SetOrders(start, []Order{{Service: "s", To: "v3", Revision: 12, Duration: time.Second}}, 12)
	g.Expect(f.Choose(start, "s", "r", false, false).Denied).To(gomega.ConsistOf("v2", "v3"))
	g.Expect(f.Merge(start, running(9, 0), start)).To(gomega.BeFalse())
	g.Expect(share(f, start)).To(gomega.BeZero())
	// The version of the replaced order is ordered again.
	f.SetOrders(start, []Order{{Service: "s", To: "v2", Revision: 14, Duration: time.Second}}, 14)
	g.Expect(f.Choose(start, "s", "r", false, false).Denied).To(gomega.ConsistOf("v2", "v3"))
	final := Entry{Order: Order{Service: "s", To: "v2", Revision: 14, Duration: time.Second}, Directive: Directive{Term: 2, State: Completed, Denied: []string{"v3"}}}
	g.Expect(f.Merge(start, final, time.Time{})).To(gomega.BeTrue())
	c := f.Choose(start, "s", "r", false, false)
	g.Expect(c.Denied).To(gomega.ConsistOf("v3"))
	g.Expect(c.Stopped).To(gomega.HaveLen(4))
	final.Directive.Term, final.Directive.State = 9, Running
	g.Expect(f.Merge(start, final, start)).To(gomega.BeFalse())
	// A withdrawn order is forgotten, also by what was said of it on the way.
	f.SetOrders(start, nil, 15)
	g.Expect(f.Merge(start, final, start)).To(gomega.BeFalse())
	g.Expect(f.Active()).To(gomega.BeFalse())
	// The version in force is served on when it is ordered, and the one that was tried is not.
	f = newFollower(1)
	f.Merge(start, running(1, 0), start)
	f.SetOrders(start.Add(InForceTime), []Order{{Service: "s", To: "v1", Revision: 12, Duration: time.Second}}, 12)
	g.Expect(f.InForce("s")).To(gomega.BeTrue())
	g.Expect(f.Choose(start, "s", "r", false, false).Denied).To(gomega.ConsistOf("v2"))
	// A version that was tried before is not in force, though it is in use.
	f.SetOrders(start.Add(time.Minute), []Order{{Service: "s", To: "v2", Revision: 14, Duration: time.Second}}, 14)
	g.Expect(f.InForce("s")).To(gomega.BeFalse())
	// Without bounds nothing is kept at all.
	off := NewFollower(Bounds{}, 1)
	off.SetOrders(start, []Order{order}, 10)
	g.Expect(off.Active()).To(gomega.BeFalse())
}

// decide steps a decider until it decides or a time has passed.
func decide(d *Decider, in Input, until time.Duration) (Outcome, time.Duration) {
	for at := time.Duration(0); at < until; at += 100 * time.Millisecond {
		if o, ok := d.Step(start.Add(at), in); ok {
			return o, at
		}
	}
	return Outcome{}, until
}

// Guards against orders that never end, or end in the wrong way, because they ask for nothing
// that can be tried.
func TestOrdersThatCannotBeTried(t *testing.T) {
	g := gomega.NewWithT(t)
	newDecider := func(o Order) *Decider { return NewDecider(o, bounds, 1, start, Running, nil) }
	noTime := order
	noTime.Duration = 0
	o, _ := decide(newDecider(noTime), Input{NewServers: 1, OldServers: 1, AllTakePart: true}, time.Minute)
	g.Expect(o.State).To(gomega.Equal(RolledBack))
	o, at := decide(newDecider(order), Input{OldServers: 3, AllTakePart: true}, time.Minute)
	g.Expect(o.State).To(gomega.Equal(RolledBack))
	g.Expect(at).To(gomega.Equal(order.Duration))
	o, at = decide(newDecider(order), Input{NewServers: 3, OldServers: 3}, time.Minute)
	g.Expect(o.State).To(gomega.Equal(RolledBack))
	g.Expect(at).To(gomega.Equal(order.Duration))
	o, at = decide(newDecider(order), Input{NewServers: 3, AllTakePart: true}, time.Minute)
	g.Expect(o.State).To(gomega.Equal(Completed))
	g.Expect(at).To(gomega.BeNumerically("<=", 3*time.Second))
	// A version without any request is completed in time.
	o, at = decide(newDecider(order), Input{NewServers: 3, OldServers: 3, AllTakePart: true}, time.Minute)
	g.Expect(o.State).To(gomega.Equal(Completed))
	g.Expect(at).To(gomega.BeNumerically("<=", order.Duration))
}

// sumOf returns counts of one route: answers and failures of servers of the new version, and of
// the others.
func sumOf(others, othersFailed uint64, servers ...[2]uint64) *Sum {
	s := newSum(10)
	c := Counts{Order: 10, Cells: []Cell{{Route: "r", Answered: others, Failed: othersFailed}}}
	for i, n := range servers {
		c.Cells = append(c.Cells, Cell{Route: "r", Server: fmt.Sprint(i), Answered: n[0], Failed: n[1]})
	}
	s.add(&c, nil)
	return s
}

// Guards against evidence that takes an impairment of the service, or a single bad server, for
// a bad version, and against one that misses a bad version.
func TestEvidence(t *testing.T) {
	g := gomega.NewWithT(t)
	isBad := func(s *Sum) bool {
		e := newEvidence()
		e.observe(s)
		_, strength := e.strongest()
		return strength >= e.threshold(40)
	}
	g.Expect(isBad(sumOf(1000, 2, [2]uint64{20, 6}, [2]uint64{20, 6}))).To(gomega.BeTrue())
	g.Expect(isBad(sumOf(1000, 300, [2]uint64{20, 6}, [2]uint64{20, 6}))).To(gomega.BeFalse())
	g.Expect(isBad(sumOf(1000, 1000, [2]uint64{20, 20}, [2]uint64{20, 20}))).To(gomega.BeFalse())
	g.Expect(isBad(sumOf(1000, 2, [2]uint64{20, 18}, [2]uint64{20, 0}, [2]uint64{20, 0}))).To(gomega.BeFalse())
	g.Expect(isBad(sumOf(1000, 2, [2]uint64{20, 18}))).To(gomega.BeTrue())
}

// Guards against sums that lose or repeat what daemons count: reports repeat, daemons start
// again, and hubs hear of orders at different times.
func TestTotals(t *testing.T) {
	g := gomega.NewWithT(t)
	totals := NewTotals()
	report := func(order table.Version, sent uint64) map[string]Counts {
		return map[string]Counts{"s": {Order: order, Sent: sent, Cells: []Cell{{Route: "r", Answered: sent}}}}
	}
	totals.Set("a", 1, report(10, 5))
	totals.Set("a", 1, report(10, 7))
	totals.Set("b", 1, report(10, 3))
	totals.Set("a", 2, report(10, 2))
	totals.Set("a", 1, report(10, 9))
	totals.Set("c", 1, report(9, 100))
	sum := totals.Sum("s", 10)
	g.Expect(sum.Sent).To(gomega.Equal(uint64(12)))
	_, _, others, _ := sum.Answers()
	g.Expect(others).To(gomega.Equal(uint64(12)))
	totals.Set("a", 2, report(11, 1))
	g.Expect(totals.Sum("s", 10)).To(gomega.BeNil())
	g.Expect(totals.Sum("s", 11).Sent).To(gomega.Equal(uint64(1)))
}

// Guards against a shift that gives the version more than its share of what all daemons have
// sent, before the deadline.
func TestTheShiftKeepsTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDecider(order, bounds, 1, start, Running, nil)
	const rate = 1000
	in := Input{NewServers: 3, OldServers: 3, OldRunning: 5, AllTakePart: true}
	for at := time.Duration(0); at < order.Duration; at += 100 * time.Millisecond {
		in.Sum = newSum(order.Revision)
		in.Sum.Sent, in.Sum.SentNew = uint64(rate*at.Seconds()), uint64(0.05*rate*at.Seconds())
		now := start.Add(at)
		if _, ok := d.Step(now, in); ok {
			break
		}
		if e := d.Entry(now, in); e.Directive.ShiftFor > 0 {
			shift := (order.Duration - at - e.Directive.ShiftIn).Seconds()
			g.Expect(shift).To(gomega.BeNumerically(">", 0.5))
			total := rate * order.Duration.Seconds()
			g.Expect(0.05*(total-rate*shift) + rate*shift).To(gomega.BeNumerically("<=", bounds.MaxShare*total+bounds.Slack))
			return
		}
	}
	t.Fatal("no shift was announced")
}

// Guards against directives that outlive the time within which a bad version must get nothing.
func TestDirectivesEndWithinTheStopTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, stop := range []time.Duration{0, 2 * time.Second, time.Minute} {
		b := bounds
		b.StopTime = stop
		d := NewDecider(order, b, 1, start, Running, nil)
		in := Input{NewServers: 3, OldServers: 3, AllTakePart: true}
		d.Step(start, in)
		valid := d.Entry(start, in).Directive.ValidFor
		g.Expect(valid).To(gomega.BeNumerically(">", 0))
		g.Expect(valid).To(gomega.BeNumerically("<=", directiveValidity))
		if stop > 0 {
			g.Expect(valid).To(gomega.BeNumerically("<=", stop/2))
		}
	}
}

// Guards against attempts that are kept for good because their order was withdrawn meanwhile.
func TestAttemptsEndWithoutTheirOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFollower(1)
	f.Started(start, "1", "r", &fleet.Server{ID: "v1-0", Service: "s", Version: "v1"}, time.Millisecond)
	f.SetOrders(start, nil, 15)
	_, counted := f.Finished(start, "1", true)
	g.Expect(counted).To(gomega.BeFalse())
	g.Expect(f.attempts).To(gomega.BeEmpty())
}

// Guards against a version that was found bad, but whose outcome could not be stored yet, that
// gets requests meanwhile or is completed after a good period.
func TestAnOutcomeStaysUntilItIsStored(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDecider(order, bounds, 1, start, Running, nil)
	in := Input{NewServers: 3, OldServers: 3, OldRunning: 5, AllTakePart: true}
	found := false
	for at := time.Duration(0); at < 25*time.Second; at += 100 * time.Millisecond {
		now, n := start.Add(at), uint64(at/(100*time.Millisecond))+1
		// All answers of the first 3 s are bad, and none later.
		failed := min(n, 30) / 2
		in.Sum = sumOf(20*n, 0, [2]uint64{n, failed}, [2]uint64{n, failed})
		in.Sum.Sent, in.Sum.SentNew = 22*n, 2*n
		o, final := d.Step(now, in)
		if found {
			g.Expect(final).To(gomega.BeTrue(), at.String())
		}
		if final {
			found = true
			g.Expect(o.State).To(gomega.Equal(RolledBack), at.String())
		}
		e := d.Entry(now, in)
		if found {
			g.Expect(e.Directive.State).To(gomega.Equal(Running))
			g.Expect(e.Directive.Share).To(gomega.BeZero())
			g.Expect(e.Directive.ValidFor).To(gomega.BeZero())
			g.Expect(e.Directive.ShiftFor).To(gomega.BeZero())
		}
	}
	g.Expect(found).To(gomega.BeTrue())
}

// Guards against a completion that could not be stored yet and hides what is found since.
func TestBadAnswersReplaceAPendingCompletion(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDecider(order, bounds, 1, start, Running, nil)
	in := Input{NewServers: 3, OldServers: 3, AllTakePart: true, Sum: sumOf(1000, 2, [2]uint64{20, 0}, [2]uint64{20, 0})}
	o, at := decide(d, in, time.Minute)
	g.Expect(o.State).To(gomega.Equal(Completed))
	in.Sum = sumOf(2000, 4, [2]uint64{60, 40}, [2]uint64{60, 40})
	o, final := d.Step(start.Add(at+time.Second), in)
	g.Expect(final).To(gomega.BeTrue())
	g.Expect(o.State).To(gomega.Equal(RolledBack))
	in.Sum = sumOf(9000, 18, [2]uint64{7000, 40}, [2]uint64{7000, 40})
	o, _ = d.Step(start.Add(at+2*time.Second), in)
	g.Expect(o.State).To(gomega.Equal(RolledBack))
}

// Guards against orders that never end because the servers of one version go, or a daemon of an
// earlier build comes, while the version is tried.
func TestInterruptedTrialsEndAtTheDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		after Input
		want  State
	}{
		{Input{OldServers: 3, AllTakePart: true}, RolledBack},
		{Input{AllTakePart: true}, RolledBack},
		{Input{NewServers: 3, AllTakePart: true}, Completed},
		{Input{NewServers: 3, OldServers: 3}, RolledBack},
		{Input{OldServers: 3}, RolledBack},
	} {
		// The trial is interrupted before, and long after, the least time of a trial.
		for _, interrupted := range []time.Duration{2 * time.Second, 8 * time.Second} {
			d := NewDecider(order, bounds, 1, start, Running, nil)
			var o Outcome
			var at time.Duration
			for final := false; !final && at < 10*time.Minute; at += 100 * time.Millisecond {
				in := Input{NewServers: 3, OldServers: 3, OldRunning: 5, AllTakePart: true}
				if at > interrupted {
					in = c.after
				}
				o, final = d.Step(start.Add(at), in)
			}
			g.Expect(o.State).To(gomega.Equal(c.want), "%+v after %v", c.after, interrupted)
			g.Expect(at).To(gomega.BeNumerically("<=", order.Duration+100*time.Millisecond))
		}
	}
}

// Guards against a version that is completed though its servers went during the shift.
func TestAVersionWithoutServersIsNotCompleted(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDecider(order, bounds, 1, start, Running, nil)
	var o Outcome
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		in := Input{NewServers: 3, OldServers: 3, OldRunning: 5, AllTakePart: true}
		if !d.shiftAt.IsZero() {
			in.NewServers = 0
		}
		var final bool
		if o, final = d.Step(start.Add(at), in); final {
			break
		}
	}
	g.Expect(o.State).To(gomega.Equal(RolledBack))
}

// Guards against a decider that hears too few daemons and goes on by itself, and against a shift
// that daemons were not told of in time once it hears them again.
func TestADeciderThatIsCutOffDecidesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDecider(order, bounds, 1, start, Running, nil)
	in := Input{NewServers: 3, OldServers: 3, AllTakePart: true}
	alone := in
	alone.Alone = true
	alone.Sum = sumOf(1000, 2, [2]uint64{20, 18}, [2]uint64{20, 18})
	for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
		d.Step(start.Add(at), in)
	}
	g.Expect(d.Entry(start.Add(8*time.Second), in).Directive.Share).To(gomega.BeNumerically(">", 0))
	for at := 8 * time.Second; at < 40*time.Second; at += 100 * time.Millisecond {
		_, final := d.Step(start.Add(at), alone)
		g.Expect(final).To(gomega.BeFalse(), at.String())
		directive := d.Entry(start.Add(at), alone).Directive
		g.Expect(directive.Share+float64(directive.ShiftFor)).To(gomega.BeZero(), at.String())
	}
	_, final := d.Step(start.Add(40*time.Second), in)
	g.Expect(final).To(gomega.BeFalse())
	g.Expect(d.Entry(start.Add(40*time.Second), in).Directive.ShiftIn).To(gomega.Equal(announcement))
}

// Guards against a share of what is asked: where the old servers refuse requests, or requests
// are repeated there, the version would get another share of what is sent.
func TestTheShareIsOneOfWhatIsSent(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, refusedOf := range []int{0, 3, 4, 9} {
		f := newFollower(1)
		e := running(1, 0)
		e.Directive.Share = 0.03
		f.Merge(start, e, start)
		sent, sentNew := 0, 0
		for i := range 40000 {
			version := "v1"
			if f.Choose(start, "s", "r", false, false).Only == "v2" {
				version = "v2"
				sentNew++
			} else if i%(refusedOf+1) != 0 {
				continue
			}
			sent++
			id := fmt.Sprint(i)
			f.Started(start, id, "r", &fleet.Server{ID: version + "-0", Service: "s", Version: version}, time.Millisecond)
			f.Finished(start, id, true)
		}
		g.Expect(float64(sentNew)/float64(sent)).To(gomega.BeNumerically("<=", 0.031), "refused %d of %d", refusedOf, refusedOf+1)
	}
}

// Guards against a decider that goes on with the small share though what the version got, also
// on rare routes with a larger share, nears the permitted number.
func TestTheShareFallsNearTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	d := NewDecider(order, bounds, 1, start, Running, nil)
	in := Input{NewServers: 3, OldServers: 3, OldRunning: 5, AllTakePart: true}
	shareAt := func(sent, sentNew uint64) Directive {
		in.Sum = sumOf(800, 2, [2]uint64{20, 0}, [2]uint64{20, 0})
		in.Sum.cell("rare", "").Answered = 20
		in.Sum.Sent, in.Sum.SentNew = sent, sentNew
		d.Step(start.Add(time.Second), in)
		return d.Entry(start.Add(time.Second), in).Directive
	}
	usual := shareAt(10000, 300)
	g.Expect(usual.Share).To(gomega.BeNumerically("~", 0.03, 1e-9))
	g.Expect(usual.RouteShares).NotTo(gomega.BeEmpty())
	near := shareAt(10000, 1000)
	g.Expect(near.Share).To(gomega.BeNumerically("<", 0.03))
	g.Expect(near.Share).To(gomega.BeNumerically(">", 0))
	g.Expect(near.RouteShares["rare"]).To(gomega.BeNumerically("<", usual.RouteShares["rare"]))
	over := shareAt(10000, 1050)
	g.Expect(over.Share).To(gomega.BeZero())
	for _, share := range over.RouteShares {
		g.Expect(share).To(gomega.BeZero())
	}
	g.Expect(shareAt(20000, 1050).Share).To(gomega.BeNumerically("~", 0.03, 1e-9))
}
