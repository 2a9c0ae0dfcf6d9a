package serverlimit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
)

// TestAServerThatAsksForAPauseGetsNothing guards against requests to a server that has turned
// one away and said how long it wants none, and against a pause without end.
func TestAServerThatAsksForAPauseGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	c := serverlimit.New(start, "self", 1)
	g.Expect(c.Active()).To(gomega.BeZero())
	c.Pause(start, time.UnixMilli(5), "i-1#5", 3*time.Second)
	c.Pause(start.Add(time.Second), time.UnixMilli(5), "i-1#5", time.Second)
	c.Pause(start, time.UnixMilli(5), "i-2#5", 1000*time.Hour)
	c.Pause(start, time.UnixMilli(5), "i-3#5", 0)
	g.Expect(c.Active()).To(gomega.Equal(2))
	g.Expect(c.Available(start.Add(2900*time.Millisecond), "i-1#5")).To(gomega.BeFalse(), "the later end counts")
	g.Expect(c.PauseLeft(start.Add(time.Second), "i-1#5")).To(gomega.Equal(2 * time.Second))
	g.Expect(c.PauseLeft(start.Add(time.Second), "i-1#6")).To(gomega.BeZero())
	g.Expect(c.PauseLeft(start.Add(time.Second), "i-3#5")).To(gomega.BeZero())
	g.Expect(c.Available(start.Add(2900*time.Millisecond), "i-1#6")).To(gomega.BeTrue(), "another run of the server")
	g.Expect(c.Available(start.Add(3*time.Second), "i-1#5")).To(gomega.BeTrue())
	g.Expect(c.Available(start, "i-3#5")).To(gomega.BeTrue())
	g.Expect(c.Available(start.Add(999*time.Hour), "i-2#5")).To(gomega.BeFalse(), "the whole pause counts, however long")
	g.Expect(c.Available(start.Add(1000*time.Hour), "i-2#5")).To(gomega.BeTrue())
	g.Expect(c.Active()).To(gomega.BeZero(), "past pauses are dropped")
}
