package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/quota"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// tolerance is that of the smaller deployments, with limits of 1,000 a second.
var tolerance = quota.Options{Window: 8 * time.Second, Overage: 0.1, Slack: 770}

func newCore(start int) *quota.Core {
	c := quota.New(at(start), tolerance)
	c.SetLimits(at(start), map[string]quota.Limit{"account": {Rate: 1000, Burst: 1000}})
	return c
}

// spend takes as much as it can in steps of 10 and returns the total.
func spend(c *quota.Core, ms int) float64 {
	total := 0.0
	for {
		if _, ok := c.Take(at(ms), "account", 10); !ok {
			return total
		}
		total += 10
	}
}

// Answers an account that sends many times its usual over all daemons: together
// they let through what the limit says and little more.
func TestDaemonsShareOneBucket(t *testing.T) {
	g := gomega.NewWithT(t)
	daemons := map[string]*quota.Core{"a": newCore(0), "b": newCore(0), "c": newCore(0)}
	total := 0.0
	for ms := 0; ms < 8000; ms += 50 {
		for _, c := range daemons {
			total += spend(c, ms)
		}
		if ms%250 != 0 {
			continue
		}
		for name, from := range daemons {
			for other, to := range daemons {
				if other != name {
					to.SetPeer(at(ms), name, 1, from.Totals(at(ms)))
				}
			}
		}
	}
	limit := 1000.0 + 8*1000
	g.Expect(total).To(gomega.BeNumerically(">=", 0.9*limit))
	// A tenth more and the work of 0.77 s are tolerated.
	g.Expect(total).To(gomega.BeNumerically("<=", 1.1*limit+0.77*1000))
}

// Answers a cut between daemons: a silent peer is assumed to spend its share.
func TestSilentPeersAreAssumedToSpendTheirShare(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(0)
	c.AddPeer("b")
	c.AddPeer("c")
	c.AddPeer("d")
	total := spend(c, 0)
	for ms := 50; ms <= 8000; ms += 50 {
		total += spend(c, ms)
	}
	g.Expect(total).To(gomega.BeNumerically("~", 1000+8000.0/4, 300))
}

// Answers a daemon that is killed and comes back: its bucket is not full again.
func TestARestartedDaemonTakesOverTheLevel(t *testing.T) {
	g := gomega.NewWithT(t)
	old, fresh := newCore(0), newCore(10_000)
	spend(old, 10_000)
	fresh.SetPeer(at(10_100), "old", 1, old.Totals(at(10_100)))
	g.Expect(spend(fresh, 10_100)).To(gomega.BeNumerically("<=", 200))
}

// Answers a limit that falls far below what the account sends.
func TestALowerLimitTakesEffectAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(0)
	c.SetLimits(at(100), map[string]quota.Limit{"account": {Rate: 100, Burst: 50}})
	g.Expect(spend(c, 100)).To(gomega.BeNumerically("<=", 50))
	after, ok := c.Take(at(100), "account", 10)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(after).To(gomega.BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))
}

// Answers requests that were charged and refused by all servers.
func TestReturnedCostCanBeSpentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(0)
	spend(c, 0)
	c.Return(at(0), "account", 500)
	g.Expect(spend(c, 0)).To(gomega.Equal(500.0))
	g.Expect(c.Totals(at(0)).Used["account"]).To(gomega.Equal(1000.0))
}

// Answers a request that is larger than the bucket: it runs when the bucket is
// full, and the account pays it back.
func TestARequestLargerThanTheBucketPassesWhenItIsFull(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(0)
	_, ok := c.Take(at(0), "account", 3000)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = c.Take(at(1500), "account", 10)
	g.Expect(ok).To(gomega.BeFalse())
}

// Answers a deployment of many daemons that hear of one another late, and an
// account that sends many times its usual from one moment to the next
// (ganda-ho-grown scale-2: a fifth more than tolerated ran in eight seconds).
func TestManyDaemonsWithStaleReportsKeepTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	const daemons, rate, cost = 60, 60_000.0, 800.0
	cores := make([]*quota.Core, daemons)
	totals := make([][]quota.Totals, 0)
	for i := range cores {
		cores[i] = quota.New(at(-10_000), quota.Options{Window: 8 * time.Second, Overage: 0.1, Slack: 0.15 * rate})
		cores[i].SetStaleness(time.Second)
		cores[i].SetLimits(at(-10_000), map[string]quota.Limit{"account": {Rate: rate, Burst: rate}})
	}
	total, beforeBurst := 0.0, 0.0
	for ms := -3000; ms < 8000; ms += 100 {
		// Every daemon sees a fiftieth or so of what is asked: half of the limit
		// before the burst, sixteen times as much in it.
		requested := 0.5 * rate / daemons / 10
		if ms >= 0 {
			requested *= 16
		}
		now := make([]quota.Totals, daemons)
		for i, c := range cores {
			for spent := 0.0; spent < requested*float64(1+i%3)/2; spent += cost / 8 {
				if _, ok := c.Take(at(ms), "account", cost/8); !ok {
					break
				}
				if ms >= 0 {
					total += cost / 8
				} else {
					beforeBurst += cost / 8
				}
			}
			now[i] = c.Totals(at(ms))
		}
		totals = append(totals, now)
		if len(totals) <= 8 {
			continue
		}
		for i, c := range cores {
			for j, reported := range totals[len(totals)-9] {
				if i != j {
					c.SetPeer(at(ms), fmt.Sprint(j), 1, reported)
				}
			}
		}
	}
	g.Expect(beforeBurst).To(gomega.BeNumerically(">=", 0.95*0.5*rate*3), "what is within the limit runs")
	limit := rate + 8*rate
	g.Expect(total).To(gomega.BeNumerically("<=", 1.1*limit+0.15*rate))
	g.Expect(total).To(gomega.BeNumerically(">=", 0.85*limit))
}

// lumps lets daemons that hear of one another a second late see requests that
// each cost more than a daemon's portion of the bucket. It returns what was asked
// for and let through in each tenth of a second.
func simulateLargeRequests(daemons int, rate, cost float64, load func(ms int) float64) (requested, admitted []float64) {
	random := rand.New(rand.NewPCG(5, 5))
	cores := make([]*quota.Core, daemons)
	for i := range cores {
		cores[i] = quota.New(at(-10_000), quota.Options{Window: 8 * time.Second, Overage: 0.1, Slack: 190_000})
		cores[i].SetStaleness(time.Second)
		cores[i].SetLimits(at(-10_000), map[string]quota.Limit{"account": {Rate: rate, Burst: rate}})
	}
	var totals [][]quota.Totals
	for ms := 0; ms < 20_000; ms += 100 {
		in, out := 0.0, 0.0
		for demand := load(ms) * rate / 10; demand > 0; demand -= cost {
			if demand < cost && random.Float64() > demand/cost {
				break
			}
			in += cost
			if _, ok := cores[random.IntN(daemons)].Take(at(ms), "account", cost); ok {
				out += cost
			}
		}
		requested, admitted = append(requested, in), append(admitted, out)
		now := make([]quota.Totals, daemons)
		for i, c := range cores {
			now[i] = c.Totals(at(ms))
		}
		totals = append(totals, now)
		if len(totals) <= 8 || ms%400 != 0 {
			continue
		}
		for i, c := range cores {
			for j, reported := range totals[len(totals)-9] {
				if i != j {
					c.SetPeer(at(ms), fmt.Sprint(j), 1, reported)
				}
			}
		}
	}
	return requested, admitted
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Answers accounts within their limit on many daemons (kodiclub-enrol-grown
// quiet-1: one request in nine was refused though the bucket held thirty times
// its cost, because it cost more than a daemon's portion).
func TestLargeRequestsWithinTheLimitPass(t *testing.T) {
	g := gomega.NewWithT(t)
	requested, admitted := simulateLargeRequests(85, 430_000, 13_000, func(int) float64 { return 0.56 })
	t.Logf("%.4f let through", sum(admitted)/sum(requested))
	g.Expect(sum(admitted)).To(gomega.BeNumerically(">=", 0.98*sum(requested)))
}

// Answers the same requests when the account sends several times its limit, from
// one moment to the next or in waves: no window holds more than is tolerated.
func TestLargeRequestsBeyondTheLimitAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, window = 430_000.0, 80
	limit := rate + 8*rate
	for name, load := range map[string]func(ms int) float64{
		"burst": func(ms int) float64 { return 0.56 + 5*float64(ms/10_000) },
		"waves": func(ms int) float64 { return 0.3 + 3*float64(ms/1500%2) },
		"twice": func(int) float64 { return 2.2 },
	} {
		_, admitted := simulateLargeRequests(85, rate, 13_000, load)
		fullest := 0.0
		for i := range len(admitted) - window {
			fullest = max(fullest, sum(admitted[i:i+window]))
		}
		t.Logf("%s: %.3f of the limit in the fullest window", name, fullest/limit)
		g.Expect(fullest).To(gomega.BeNumerically("<=", 1.1*limit+190_000), name)
	}
}
