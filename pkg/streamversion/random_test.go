package streamversion_test

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// viewDelay is how old the view of the servers may be from which a daemon concludes that
// there is one version only.
const viewDelay = 3 * time.Second

// TestRandomStreamsAreNeverMisattributed guards against a daemon that states another
// version than the one which began a stream, whatever daemons are killed or cut off,
// servers come, go and start again under their IDs, and copies get lost.
func TestRandomStreamsAreNeverMisattributed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		now := start
		versions := []string{"v1", "v2", "v3"}
		truth := make(map[string]string)
		begun := make(map[string]time.Time)
		servers := make(map[string]*fleet.Server)
		cores := make([]*streamversion.Core, daemons)
		runs := make([]uint64, daemons)
		cut := make([]bool, daemons)
		begin := func(i int) {
			runs[i]++
			cores[i] = streamversion.New(fmt.Sprint(i), fmt.Sprint("zone-", i%2), runs[i])
			cores[i].SetStreamAge(start, streamAge)
		}
		// views holds what each daemon knows of the servers.
		views := make([]map[string]fleet.Server, daemons)
		refresh := func(i int) {
			if cut[i] {
				return
			}
			for id, known := range views[i] {
				if s, ok := servers[id]; !ok || *s != known {
					gone(cores[i], now, &known)
					delete(views[i], id)
				}
			}
			for id, s := range servers {
				if _, ok := views[i][id]; !ok {
					join(cores[i], now, s)
					views[i][id] = *s
				}
			}
			cores[i].Confirmed(now)
		}
		for i := range daemons {
			begin(i)
			views[i] = make(map[string]fleet.Server)
		}
		newServer := func(id string) {
			servers[id] = &fleet.Server{ID: id, Service: "s", Version: rapid.SampledFrom(versions).Draw(t, "version"), StartedUnixMilli: now.UnixMilli()}
		}
		newServer("x")
		for step := range rapid.IntRange(10, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(50, 2500).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				newServer(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "server"))
			case 1:
				if len(servers) > 1 {
					delete(servers, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "server"))
				}
			case 2:
				begin(i)
				views[i] = make(map[string]fleet.Server)
			case 3:
				cut[i] = !cut[i]
			case 4, 5:
				// Streams are sent only to the run in the entry that the daemon knows.
				for id, known := range views[i] {
					actual, runs := servers[id]
					if !runs || known.StartedUnixMilli != actual.StartedUnixMilli {
						continue
					}
					stream := fmt.Sprint("stream-", step)
					truth[stream], begun[stream] = actual.Version, now
					cores[i].Began(now, stream, &known)
					break
				}
			default:
				refresh(i)
			}
			for i := range daemons {
				if rapid.IntRange(0, 3).Draw(t, "refreshes") > 0 {
					refresh(i)
				}
				var members []streamversion.Member
				for j := range daemons {
					if j != i && !cut[j] {
						members = append(members, streamversion.Member{Node: fmt.Sprint(j), Zone: fmt.Sprint("zone-", j%2), Run: runs[j]})
					}
				}
				cores[i].SetMembers(start, members)
				for j := range daemons {
					batch, ok := cores[i].BatchFor(now, fmt.Sprint(j))
					if ok && !cut[i] && rapid.Bool().Draw(t, "copied") {
						reply := cores[j].Handle(now, &streamversion.Message{Batch: batch})
						cores[i].Acknowledged(fmt.Sprint(j), reply.Run, &batch)
					}
				}
				if j := rapid.IntRange(0, daemons-1).Draw(t, "peer"); !cut[i] && !cut[j] && j != i {
					history := cores[j].History(now)
					cores[i].MergeHistory(now, now, &history)
				}
			}
			for stream, version := range truth {
				for i := range daemons {
					if o, ok := cores[i].Recorded(now, stream); ok && o.Version != "" && o.Version != version {
						t.Fatalf("daemon %d takes %s of version %s for one of %s", i, stream, version, o.Version)
					}
					// A daemon learns within seconds of a version that others see first.
					age := now.Sub(begun[stream])
					if only, ok := cores[i].OnlyVersion(now, "s"); ok && only != version && age > viewDelay && age < streamAge {
						t.Fatalf("daemon %d takes %s for the only version, but %s began %s %v ago", i, only, version, stream, age)
					}
				}
			}
		}
	})
}

// modelDaemons is the number of daemons in the model, and largeModels are numbers at each of which
// daemons exchange messages or share work in another way.
const modelDaemons = 7

var largeModels = []int{7, 13, 65, 85}

// defaultChecks is the number of runs of each subtest of TestRandomResumedStreams, unless CHECKS sets it.
const defaultChecks = "60"

// TestRandomResumedStreams guards against streams that go on at another version than the one that
// began them (ORDER), and against streams that are refused although their version is known or can be
// proved (LOST), whatever versions, configurations, daemons and answers of the store come and go. SEED
// and CHECKS set the first seed and the number of runs.
func TestRandomResumedStreams(t *testing.T) {
	first, err := strconv.ParseUint(cmp.Or(os.Getenv("SEED"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	checks, err := strconv.ParseUint(cmp.Or(os.Getenv("CHECKS"), defaultChecks), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		events []string
		// daemons are the sizes of the deployments, one after the other, instead of modelDaemons, and
		// fraction is by how much fewer runs there are.
		daemons  []int
		fraction uint64
	}{
		{name: "timeouts changed after a canary release", events: []string{"canary", "timeout", "reset"}},
		{name: "the store away for hubs", events: []string{"canary", "hubs turned away", "canary beside hubs turned away", "store calm", "kill all"}},
		{name: "the store away for all", events: []string{"canary", "join", "store away", "store calm", "kill all", "reset"}},
		{name: "versions around a loss of all", events: []string{"join", "kill all", "withdraw"}},
		{name: "routes around a loss of one", events: []string{"kill one", "routes"}},
		{name: "routes around a loss of all", events: []string{"kill all", "routes", "timeout"}},
		{name: "a slow store", events: []string{"join", "store slow", "store calm", "kill all", "kill all beside a slow store"}},
		{name: "all", events: []string{"join", "withdraw", "canary", "timeout", "reset", "hubs turned away", "store away", "store slow", "store calm", "kill all", "kill one", "routes"}},
		{name: "some lost", events: []string{"join", "withdraw", "kill one", "kill 55 in 100", "kill two zones", "answers lost", "replies lost", "store calm"}, daemons: largeModels, fraction: 4},
		{name: "all lost", events: []string{"join", "withdraw", "kill all", "kill all twice", "kill 55 in 100", "store calm"}, daemons: largeModels, fraction: 4},
		{name: "some lost beside a slow store", events: []string{"join", "kill 55 in 100", "kill two zones", "store slow", "store away", "store calm", "hubs turned away"}, daemons: largeModels, fraction: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var total model
			var joined, lost []string
			tried := make(map[string]int)
			sizes := test.daemons
			if len(sizes) == 0 {
				sizes = []int{modelDaemons}
			}
			runs := checks / max(test.fraction, 1)
			for seed := first; seed < first+runs; seed++ {
				m := newModel(seed, sizes[seed%uint64(len(sizes))])
				m.play(14 * time.Second)
				if len(test.daemons) > 0 {
					// Losses only matter beside two versions.
					m.event("join", 1)
					m.play(time.Duration(5+m.rng.IntN(20)) * 200 * time.Millisecond)
				}
				for range 2 + m.rng.IntN(5) {
					m.event(test.events[m.rng.IntN(len(test.events))], m.rng.IntN(6))
					m.play(time.Duration(1+m.rng.IntN(30)) * 200 * time.Millisecond)
				}
				m.event("store calm", 0)
				m.play(6 * time.Second)
				m.reset()
				m.play(6 * time.Second)
				total.decided, total.takenUp, total.wentOn = total.decided+m.decided, total.takenUp+m.takenUp, total.wentOn+m.wentOn
				if m.joinedStream != "" {
					joined = append(joined, fmt.Sprintf("seed %d: %s\n%s", seed, m.joinedStream, strings.Join(m.log, "\n")))
				}
				for name, n := range m.events {
					tried[name] += n
				}
				total.lateEvents, total.waits = total.lateEvents+m.lateEvents, total.waits+m.waits
				if m.takenUp >= minTakeUps && float64(m.wentOn)/float64(m.takenUp) < float64(m.began)/float64(m.sent)/2 {
					lost = append(lost, fmt.Sprintf("seed %d, %d daemons: %d of %d streams taken up went on, %d of %d new ones began\n%s", seed, len(m.daemons), m.wentOn, m.takenUp, m.began, m.sent, strings.Join(m.log, "\n")))
				}
			}
			t.Logf("%d runs, %d take-ups put ORDER to the test, %d LOST, of which %d went on; %d of %d first events waited in vain; events: %v", runs, total.decided, total.takenUp, total.wentOn, total.lateEvents, total.waits, tried)
			for rule, broken := range map[string][]string{"ORDER": joined, "LOST": lost} {
				if len(broken) > 0 {
					t.Errorf("%s broken in %d of %d runs, first %s", rule, len(broken), runs, broken[0])
				}
			}
			if total.decided == 0 || total.takenUp == 0 {
				t.Error("no stream was taken up")
			}
		})
	}
}
