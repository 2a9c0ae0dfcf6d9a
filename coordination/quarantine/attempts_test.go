package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
)

func attempt(id, server string) quarantine.Attempt {
	return quarantine.Attempt{ID: id, Fingerprint: quarantine.Fingerprint("f-" + id), Server: server, Address: "10.0.0.1:80"}
}

func ids(suspects []quarantine.Suspect) []string {
	var list []string
	for _, s := range suspects {
		list = append(list, s.ID)
	}
	return list
}

// TestACrashConcernsAllAttemptsWithoutAnAnswer guards against crashes that are
// attributed only to the request whose connection broke: callers may have given up
// on a silent server before its crash is discovered.
func TestACrashConcernsAllAttemptsWithoutAnAnswer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := quarantine.NewAttempts()
	for _, id := range []string{"running", "abandoned", "answered", "refused", "forgotten"} {
		a.Start(attempt(id, "s1#1"))
	}
	a.Start(attempt("elsewhere", "s2#1"))
	a.EndWithoutAnswer(now.Add(-time.Minute), "forgotten", 0)
	_, crashed, shutDown := a.EndWithoutAnswer(now, "abandoned", 3)
	g.Expect(crashed || shutDown).To(BeFalse())
	a.Resolve("answered", true)
	a.Resolve("refused", false)
	suspects := a.Crashed(now.Add(5*time.Second), "s1#1")
	g.Expect(ids(suspects)).To(ConsistOf("running", "abandoned"))
	g.Expect(a.Crashed(now.Add(6*time.Second), "s1#1")).To(BeEmpty(), "a crash is attributed once")
	// The running attempt ends later, with the position that it had reached.
	suspect, crashed, _ := a.EndWithoutAnswer(now.Add(6*time.Second), "running", 7)
	g.Expect(crashed).To(BeTrue())
	g.Expect(suspect.Position).To(Equal(7))
}

// TestAttemptsOnAServerThatIsShutDownAreNotSuspected guards against the quarantine
// of requests that were running on servers which left or were reclaimed.
func TestAttemptsOnAServerThatIsShutDownAreNotSuspected(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := quarantine.NewAttempts()
	a.Start(attempt("cut", "s1#1"))
	a.ShutDown(now, "s1#1")
	_, crashed, shutDown := a.EndWithoutAnswer(now, "cut", 0)
	g.Expect(crashed).To(BeFalse())
	g.Expect(shutDown).To(BeTrue())
	g.Expect(a.Crashed(now, "s1#1")).To(BeEmpty())
	// The server has an entry again: its removal was a mistake, and it may crash.
	a.Joined("s1#1")
	a.Start(attempt("later", "s1#1"))
	g.Expect(ids(a.Crashed(now, "s1#1"))).To(ConsistOf("later"))
}

// TestAServerThatAnswersHasNotCrashed guards against suspicion of further requests
// after a crash was assumed by mistake, such as after a network partition.
func TestAServerThatAnswersHasNotCrashed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := quarantine.NewAttempts()
	a.Start(attempt("one", "s1#1"))
	a.Crashed(now, "s1#1")
	a.Resolve("one", true)
	a.Start(attempt("two", "s1#1"))
	_, crashed, _ := a.EndWithoutAnswer(now, "two", 0)
	g.Expect(crashed).To(BeFalse())
}
