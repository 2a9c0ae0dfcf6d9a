package streamversion_test

import (
	"fmt"
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
			cores[i].SetStreamAge(streamAge)
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
				cores[i].SetMembers(members)
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
