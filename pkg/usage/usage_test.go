package usage_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

const windowLength = 5 * time.Second

// Guards against losing counts when a daemon is killed within a window: the
// counts it had reported still count, in addition to those of its next start.
func TestCountsOfAKilledDaemonRemain(t *testing.T) {
	g := gomega.NewWithT(t)
	c := usage.New(windowLength)
	now := time.Unix(1002, 0)
	window := c.WindowAt(now)
	c.Began(now, "account")
	c.SetPeer("b", 1, usage.Windows{window: {"account": 3}})
	c.SetPeer("b", 1, usage.Windows{window: {"account": 4}})
	c.SetPeer("b", 2, usage.Windows{window: {"account": 2, "other": 1}})
	g.Expect(c.Total(window)).To(gomega.Equal(usage.Counts{"account": 7, "other": 1}))
}

// Guards against further requests that change the counts of an earlier report.
func TestOwnReturnsACopy(t *testing.T) {
	g := gomega.NewWithT(t)
	c := usage.New(windowLength)
	now := time.Unix(1002, 0)
	c.Began(now, "account")
	reported := c.Own()
	c.Began(now, "account")
	g.Expect(reported[c.WindowAt(now)]["account"]).To(gomega.Equal(1))
}

// Guards against memory that grows with the run time: old windows are removed.
func TestOldWindowsAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	c := usage.New(windowLength)
	for i := range 100 {
		c.Began(time.Unix(int64(1000+5*i), 0), "account")
	}
	g.Expect(len(c.Own())).To(gomega.BeNumerically("<=", 8))
}

// Window k begins k window lengths after the Unix epoch.
func TestWindowsAreCountedFrom1970(t *testing.T) {
	g := gomega.NewWithT(t)
	c := usage.New(windowLength)
	g.Expect(c.WindowAt(time.Unix(10, 0))).To(gomega.Equal(int64(2)))
	g.Expect(c.End(2)).To(gomega.Equal(time.Unix(15, 0)))
}

// Guards against final counts that change, and against memory that grows with them.
func TestFinalCountsStay(t *testing.T) {
	g := gomega.NewWithT(t)
	c := usage.New(windowLength)
	at := time.Unix(1000, 0)
	accept := func(window int64, n int) usage.Final {
		f, _ := c.Accept(at, window, usage.Final{Counts: usage.Counts{"account": n}})
		return f
	}
	accept(7, 3)
	g.Expect(c.FinalWindows()).To(gomega.BeEmpty(), "the store has not answered yet")
	c.EpochSeen(at, 0)
	g.Expect(accept(7, 3).Counts).To(gomega.Equal(usage.Counts{"account": 3}))
	g.Expect(accept(7, 4).Counts).To(gomega.Equal(usage.Counts{"account": 3}))
	for window := range int64(100) {
		accept(window+8, 1)
	}
	g.Expect(c.FinalWindows()).To(gomega.Equal([]int64{104, 105, 106, 107}))
	accept(7, 4)
	g.Expect(c.FinalWindows()).To(gomega.HaveLen(4))
	finals := c.FinalsFor("unknown", []int64{104, 105, 106})
	g.Expect(finals).To(gomega.HaveLen(1))
	g.Expect(finals).To(gomega.HaveKey(int64(107)))
}
