package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
)

// TestRandomQuarantine guards against a request that crashes one BackendServer
// after another. Messages between daemons are delayed, reordered and duplicated.
// Every daemon must refuse the request once it has received two crashes, and stale
// messages must not undo a release on any daemon.
func TestRandomQuarantine(t *testing.T) {
	randomtest.Check(t, []string{"crash", "late message", "duplicate message"}, func(rt *rapid.T, report *randomtest.Report) {
		const daemons = 3
		now := time.Unix(1000, 0)
		fingerprint := quarantine.FingerprintOf("a", []byte("body"))
		cores := make([]*quarantine.Core, daemons)
		for i := range cores {
			cores[i] = quarantine.New(quarantine.DefaultOptions())
		}
		var sent []quarantine.Entry
		crashes := 0
		// Between two releases that it has received, a daemon allows a request to
		// crash at most two servers, even without messages from other daemons.
		crashesByGeneration := make(map[[2]uint64]int)
		deliver := func(core *quarantine.Core, e quarantine.Entry) {
			before, known := core.Entry(fingerprint)
			changed := core.Merge(now, "", e)
			if after, _ := core.Entry(fingerprint); known && e.Generation < before.Generation &&
				(changed || len(after.Servers) != len(before.Servers) || after.Quarantined != before.Quarantined) {
				rt.Fatalf("an entry from before a release changed the current entry")
			}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			report.Step()
			now = now.Add(time.Second)
			daemon := rapid.IntRange(0, daemons-1).Draw(rt, "daemon")
			core := cores[daemon]
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				verdict := core.Check(now, fingerprint)
				report.Outcome(fmt.Sprint(verdict))
				if verdict == quarantine.VerdictRefuse {
					continue
				}
				crashes++
				report.Fault("crash")
				e, _ := core.RecordCrash(now, fingerprint, fmt.Sprintf("engine-%d", crashes), 0)
				sent = append(sent, e)
				key := [2]uint64{uint64(daemon), e.Generation}
				if crashesByGeneration[key]++; crashesByGeneration[key] > 2 {
					rt.Fatalf("daemon %d allowed the request to crash %d servers", daemon, crashesByGeneration[key])
				}
			case 1, 2:
				if len(sent) == 0 {
					continue
				}
				report.Fault("late message")
				e := sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "message")]
				deliver(core, e)
				if rapid.Bool().Draw(rt, "again") {
					report.Fault("duplicate message")
					if core.Merge(now, "", e) {
						rt.Fatalf("a duplicate message changed the entry")
					}
				}
			case 3:
				if e, err := core.Release(now, fingerprint); err == nil {
					sent = append(sent, e)
				}
			}
		}
		for range 2 {
			for _, e := range sent {
				for _, core := range cores {
					deliver(core, e)
				}
			}
		}
		want := cores[0].Check(now, fingerprint)
		for i, core := range cores {
			if got := core.Check(now, fingerprint); got != want {
				rt.Fatalf("daemon %d returns verdict %d, daemon 0 returns %d", i, got, want)
			}
		}
	})
}

// TestRandomExchange guards against daemons that disagree for good on a request
// that crashes servers. Messages are lost, daemons restart with empty memory, and
// limited messages carry entries in parts. Once all daemons have exchanged their
// entries, all must refuse the request if one of them does.
func TestRandomExchange(t *testing.T) {
	randomtest.Check(t, []string{"crash", "lost message", "restart"}, func(rt *rapid.T, report *randomtest.Report) {
		const daemons = 4
		now := time.Unix(1000, 0)
		forward := rapid.Bool().Draw(rt, "hubs")
		limit := rapid.IntRange(1, 5).Draw(rt, "entries in a message")
		cores, starts := make([]*quarantine.Core, daemons), uint64(0)
		// acknowledged holds the position of a sender up to which a receiver has all
		// entries, as the receiver knows it.
		var acknowledged [daemons][daemons]changelog.Position
		restart := func(i int) {
			starts++
			options := quarantine.DefaultOptions()
			options.Run = starts
			cores[i] = quarantine.New(options)
			for sender := range daemons {
				acknowledged[i][sender] = changelog.Position{}
			}
		}
		for i := range cores {
			restart(i)
		}
		name := func(i int) string { return fmt.Sprint("daemon-", i) }
		send := func(from, to int, lost bool) {
			entries, span := cores[from].Since(acknowledged[to][from], name(to), forward, limit)
			if lost {
				report.Fault("lost message")
				return
			}
			for _, e := range entries {
				cores[to].Merge(now, name(from), e)
			}
			acknowledged[to][from], _ = acknowledged[to][from].Advance(span)
		}
		crashes := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			report.Step()
			now = now.Add(100 * time.Millisecond)
			i := rapid.IntRange(0, daemons-1).Draw(rt, "daemon")
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1:
				f := quarantine.Fingerprint(fmt.Sprint("request-", rapid.IntRange(0, 3).Draw(rt, "request")))
				verdict := cores[i].Check(now, f)
				report.Outcome(fmt.Sprint(verdict))
				if verdict != quarantine.VerdictRefuse {
					report.Fault("crash")
					crashes++
					cores[i].RecordCrash(now, f, fmt.Sprint("server-", crashes), rapid.IntRange(0, 3).Draw(rt, "position"))
				}
			case 2, 3, 4:
				j := rapid.IntRange(0, daemons-1).Draw(rt, "peer")
				if i != j {
					send(i, j, rapid.Bool().Draw(rt, "lost"))
				}
			case 5:
				report.Fault("restart")
				restart(i)
			}
		}
		// A daemon decides when the request arrives, and sends its decision on.
		for range 3 * daemons {
			for i := range daemons {
				for n := range 4 {
					cores[i].Check(now, quarantine.Fingerprint(fmt.Sprint("request-", n)))
				}
				for j := range daemons {
					if i != j {
						send(i, j, false)
					}
				}
			}
		}
		for n := range 4 {
			f := quarantine.Fingerprint(fmt.Sprint("request-", n))
			want := cores[0].Check(now, f) == quarantine.VerdictRefuse
			for i, core := range cores {
				if got := core.Check(now, f) == quarantine.VerdictRefuse; got != want {
					rt.Fatalf("%s refuses %s: %t, %s: %t", name(i), f, got, name(0), want)
				}
			}
		}
	})
}

func TestVerdicts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	core := quarantine.New(quarantine.DefaultOptions())
	f := quarantine.FingerprintOf("a", []byte("body"))
	g.Expect(core.Check(now, f)).To(Equal(quarantine.VerdictRun))
	_, quarantined := core.RecordCrash(now, f, "engine-1#1", 0)
	g.Expect(quarantined).To(BeFalse())
	g.Expect(core.Check(now, f)).To(Equal(quarantine.VerdictIsolate))

	// Several attempts on one engine that crashed once count as one crash.
	_, quarantined = core.RecordCrash(now, f, "engine-1#1", 0)
	g.Expect(quarantined).To(BeFalse())

	_, quarantined = core.RecordCrash(now, f, "engine-2#1", 0)
	g.Expect(quarantined).To(BeTrue())
	g.Expect(core.Check(now.Add(24*time.Hour), f)).To(Equal(quarantine.VerdictRefuse))
	g.Expect(core.List()).To(HaveLen(1))

	_, err := core.Release(now, f)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(core.Check(now, f)).To(Equal(quarantine.VerdictRun))
}

// TestOutputClearsEarlierCrashes guards against the quarantine of a harmless
// request that was running when other requests crashed its servers. A request that
// crashes servers in the middle of its answer must still be quarantined: its next
// attempt produces no new output.
func TestOutputClearsEarlierCrashes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	local, remote := quarantine.New(quarantine.DefaultOptions()), quarantine.New(quarantine.DefaultOptions())
	harmless, crashing := quarantine.FingerprintOf("a", []byte("brief")), quarantine.FingerprintOf("a", []byte("crash"))
	for i, server := range []string{"engine-1", "engine-2", "engine-3"} {
		e, quarantined := local.RecordCrash(now, harmless, server, 10*(i+1))
		g.Expect(quarantined).To(BeFalse())
		remote.Merge(now, "", e)
	}
	g.Expect(remote.Check(now, harmless)).To(Equal(quarantine.VerdictIsolate))
	_, quarantined := local.RecordCrash(now, crashing, "engine-1", 10)
	g.Expect(quarantined).To(BeFalse())
	_, quarantined = local.RecordCrash(now, crashing, "engine-2", 10)
	g.Expect(quarantined).To(BeTrue())
}

// TestAnswersThatAlwaysEndAtTheSamePointAreCounted guards against a request that
// crashes its server after the first parts of its answer and is sent again from
// the start: each of its attempts produces output, but none gets any further. Its
// crashes were cleared by every attempt.
func TestAnswersThatAlwaysEndAtTheSamePointAreCounted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	one, two := quarantine.New(quarantine.DefaultOptions()), quarantine.New(quarantine.DefaultOptions())
	f := quarantine.FingerprintOf("a", []byte("crash"))
	crash, _ := one.RecordCrash(now, f, "engine-1", 5)
	two.Merge(now, "", crash)
	_, quarantined := two.RecordCrash(now, f, "engine-2", 5)
	g.Expect(quarantined).To(BeTrue())
}

// TestCrashesAtVaryingPointsAreLimited guards against a request whose crashes
// never count because each of its answers gets further than the one before.
func TestCrashesAtVaryingPointsAreLimited(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	core := quarantine.New(quarantine.DefaultOptions())
	for i := range 4 {
		g.Expect(core.Check(now, "f")).NotTo(Equal(quarantine.VerdictRefuse))
		core.RecordCrash(now, "f", fmt.Sprint("s", i), 10*i)
	}
	g.Expect(core.Check(now, "f")).To(Equal(quarantine.VerdictRefuse))
}

// TestSuccessClearsSuspicion guards against the quarantine of a frequent request
// because two Hosts that ran it failed for other reasons.
func TestSuccessClearsSuspicion(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	local, remote := quarantine.New(quarantine.DefaultOptions()), quarantine.New(quarantine.DefaultOptions())
	f := quarantine.FingerprintOf("a", []byte("hi"))
	crash, _ := local.RecordCrash(now, f, "engine-1", 0)
	remote.Merge(now, "", crash)
	cleared, ok := local.RecordSuccess(now, f)
	g.Expect(ok).To(BeTrue())
	remote.Merge(now, "", cleared)
	remote.Merge(now, "", crash)
	_, quarantined := remote.RecordCrash(now, f, "engine-2", 0)
	g.Expect(quarantined).To(BeFalse())
}

// TestSuspectsExpire guards against a quarantine because of unrelated crashes at
// long intervals, and against unbounded memory use.
func TestSuspectsExpire(t *testing.T) {
	g := NewWithT(t)
	options := quarantine.Options{Crashes: 2, SuspectRetention: time.Minute, MaxEntries: 3}
	core := quarantine.New(options)
	now := time.Unix(1000, 0)
	f := quarantine.FingerprintOf("a", []byte("body"))
	core.RecordCrash(now, f, "engine-1", 0)
	now = now.Add(2 * time.Minute)
	g.Expect(core.Check(now, f)).To(Equal(quarantine.VerdictRun))
	_, quarantined := core.RecordCrash(now, f, "engine-2", 0)
	g.Expect(quarantined).To(BeFalse())
	core.RecordCrash(now, f, "engine-3", 0)
	for i := range 10 {
		core.RecordCrash(now.Add(time.Second), quarantine.FingerprintOf("b", []byte{byte(i)}), "engine-4", 0)
	}
	g.Expect(core.Check(now, f)).To(Equal(quarantine.VerdictRefuse), "suspects are evicted before a quarantined request")
}

// TestFingerprintSeparatesAccountAndBody guards against equal fingerprints of
// different accounts whose concatenation of name and body is the same.
func TestFingerprintSeparatesAccountAndBody(t *testing.T) {
	g := NewWithT(t)
	g.Expect(quarantine.FingerprintOf("ab", []byte("c"))).NotTo(Equal(quarantine.FingerprintOf("a", []byte("bc"))))
}

// TestSuspectsThatCrashedTogetherAreDistinguished guards against the quarantine of
// a harmless request that ran on the same server as the crashing request twice,
// through different daemons. In TestShortDemo both ran isolated on the same
// server, and both were quarantined.
func TestSuspectsThatCrashedTogetherAreDistinguished(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	options := quarantine.DefaultOptions()
	options.SettleDelay = 300 * time.Millisecond
	one, two := quarantine.New(options), quarantine.New(options)
	crash := func(at, other *quarantine.Core, f quarantine.Fingerprint, server string) {
		entry, quarantined := at.RecordCrash(now, f, server, 0)
		g.Expect(quarantined).To(BeFalse(), "quarantined before other daemons have reported their suspects")
		other.Merge(now, "", entry)
	}
	for _, server := range []string{"s1", "s2"} {
		crash(one, two, "innocent", server)
		crash(two, one, "guilty", server)
	}
	g.Expect(one.Pending(now, "innocent")).To(BeTrue())
	now = now.Add(options.SettleDelay)
	for _, core := range []*quarantine.Core{one, two} {
		g.Expect(core.Check(now, "innocent")).To(Equal(quarantine.VerdictIsolate))
		g.Expect(core.Check(now, "guilty")).To(Equal(quarantine.VerdictIsolate))
	}
	crash(two, one, "guilty", "s3")
	now = now.Add(options.SettleDelay)
	for _, core := range []*quarantine.Core{one, two} {
		g.Expect(core.Check(now, "guilty")).To(Equal(quarantine.VerdictRefuse))
		g.Expect(core.Check(now, "innocent")).To(Equal(quarantine.VerdictIsolate))
	}
	_, cleared := one.RecordSuccess(now, "innocent")
	g.Expect(cleared).To(BeTrue())
}

// TestSuspectsThatAlwaysCrashTogetherAreRefused guards against two requests that
// always crash servers together and would never be quarantined because each could
// be the cause for the other.
func TestSuspectsThatAlwaysCrashTogetherAreRefused(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	core := quarantine.New(quarantine.DefaultOptions())
	for i := range 4 {
		for _, f := range []quarantine.Fingerprint{"a", "b"} {
			core.RecordCrash(now, f, fmt.Sprint("s", i), 0)
		}
	}
	g.Expect(core.Check(now, "a")).To(Equal(quarantine.VerdictRefuse))
	g.Expect(core.Check(now, "b")).To(Equal(quarantine.VerdictRefuse))
}
