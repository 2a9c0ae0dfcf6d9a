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
	g.Expect(c.SetFinal(7, usage.Counts{"account": 3})).To(gomega.Equal(usage.Counts{"account": 3}))
	g.Expect(c.SetFinal(7, usage.Counts{"account": 4})).To(gomega.Equal(usage.Counts{"account": 3}))
	for window := range int64(100) {
		c.SetFinal(window+8, usage.Counts{"account": 1})
	}
	g.Expect(c.FinalWindows()).To(gomega.Equal([]int64{102, 103, 104, 105, 106, 107}))
	c.SetFinal(7, usage.Counts{"account": 4})
	g.Expect(c.FinalWindows()).To(gomega.HaveLen(6))
	g.Expect(c.FinalsExcept([]int64{102, 103, 104, 105, 106})).To(gomega.Equal(usage.Windows{107: {"account": 1}}))
}
