package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// simulatedStore is the store's table of servers with its history.
type simulatedStore struct {
	version table.Version
	rows    map[string]fleet.Entry
	// past holds the rows as of each version, and history all changes, oldest first.
	past    map[table.Version]map[string]fleet.Entry
	history []fleet.Entry
	// kept is the version from which changes are kept.
	kept table.Version
	// copied is the version of the copy with which the store has last returned. No state of the
	// epoch is older.
	copied table.Version
	// actual holds the state of each server that runs, which its entry states once it is written.
	actual map[string]*fleet.Server
}

// write makes a server write its entry, or lets that of one that has ended expire.
func (s *simulatedStore) write(id string) {
	if s.actual[id] != nil || s.rows[id].Server != nil {
		s.put(fleet.Entry{ID: id, Server: s.actual[id]})
	}
}

// restore makes the store return from a copy as of a version of the current epoch.
func (s *simulatedStore) restore(version table.Version) {
	epoch := version.Epoch() + 1
	at := func(v table.Version) table.Version { return epoch.At(v.Number()) }
	s.history = slices.DeleteFunc(s.history, func(e fleet.Entry) bool { return e.Version > version })
	past := make(map[table.Version]map[string]fleet.Entry)
	for v, rows := range s.past {
		if v <= version {
			past[at(v)] = rows
		}
	}
	s.past, s.version, s.kept, s.copied = past, at(version), at(0), at(version)
	s.rows = past[s.version]
}

func (s *simulatedStore) put(e fleet.Entry) {
	s.version++
	e.Version = s.version
	rows := make(map[string]fleet.Entry)
	for id, row := range s.rows {
		rows[id] = row
	}
	rows[e.ID] = e
	s.rows, s.past[s.version] = rows, rows
	s.history = append(s.history, e)
}

// list returns the present rows as of a version.
func (s *simulatedStore) list(version table.Version) []fleet.Entry {
	var list []fleet.Entry
	for _, row := range s.past[version] {
		if row.Server != nil {
			list = append(list, row)
		}
	}
	return list
}

// changes returns the changes after a version, oldest first, also several of one row.
func (s *simulatedStore) changes(after table.Version) []fleet.Entry {
	var list []fleet.Entry
	for _, e := range s.history {
		if e.Version > after {
			list = append(list, e)
		}
	}
	return list
}

// simulatedDaemon is a daemon that follows the store and exchanges views.
type simulatedDaemon struct {
	core     *fleet.Core
	position table.Version
	synced   bool
	received map[int]changelog.Position
	// ended holds the runs of servers that the daemon has learned to be leaving or
	// gone, and that are.
	ended map[string]bool
}

// TestRandomViewsAgree guards against a server that a daemon takes for usable though
// it has known that the server is leaving or gone, and against daemons whose views
// differ for good. Lists and watches of the store lag or miss changes, its history is
// dropped, messages are lost or delayed, and daemons are restarted.
func TestRandomViewsAgree(t *testing.T) {
	wantFaults := []string{"old list", "blind watch", "history dropped", "lost message", "restart", "outage", "older copy"}
	randomtest.Check(t, wantFaults, func(rt *rapid.T, report *randomtest.Report) {
		const daemons, servers = 4, 5
		now := time.Unix(1000, 0)
		store := &simulatedStore{rows: make(map[string]fleet.Entry), past: map[table.Version]map[string]fleet.Entry{0: {}}, actual: make(map[string]*fleet.Server)}
		forward := rapid.Bool().Draw(rt, "forward")
		runs, starts := make(map[string]int64), uint64(0)
		all := make([]*simulatedDaemon, daemons)
		restart := func(i int) {
			starts++
			all[i] = &simulatedDaemon{core: fleet.New(fleet.Options{StoreReturnGrace: 2 * time.Second, Run: starts}),
				received: make(map[int]changelog.Position), ended: make(map[string]bool)}
		}
		for i := range all {
			restart(i)
		}
		apply := func(i int, events []fleet.Event) {
			// The events of one answer are applied under a lock: requests see the last one of
			// each server. A watch may pass on an entry that a server wrote again after a drill
			// together with that of its next run.
			last := make(map[string]fleet.Event)
			for _, e := range events {
				last[e.Server.ID] = e
			}
			for _, e := range events {
				run := e.Server.RunID()
				if e.Change != fleet.ServerJoined {
					// A server that a blind watch has missed may be taken for gone.
					actual := store.actual[e.Server.ID]
					all[i].ended[run] = actual == nil || actual.Leaving || actual.RunID() != run
				} else if all[i].ended[run] && last[e.Server.ID] == e {
					rt.Fatalf("daemon %d uses %s again", i, run)
				}
			}
		}
		expire := func(i int) {
			d, events := all[i], all[i].core.RemoveExpired(now)
			apply(i, events)
			for _, e := range events {
				if store.version.Epoch() > 0 {
					// That a run is gone was concluded from a list which lacked it. It may have
					// written its entry again and ended after that, which a copy does not show.
					delete(d.ended, e.Server.RunID())
				}
			}
		}
		list := func(i int, version table.Version) {
			d := all[i]
			apply(i, d.core.ApplySnapshot(now, version, store.list(version)))
			d.position, d.synced = version, true
		}
		watch := func(i int, blind bool) {
			d := all[i]
			if d.position < store.kept || d.position.Epoch() != store.version.Epoch() {
				d.synced = false
				return
			}
			entries := store.changes(d.position)
			if blind {
				entries = nil
			}
			apply(i, d.core.ApplyChanges(now, store.version, entries))
			d.position = store.version
		}
		type message struct {
			from, to int
			view     fleet.View
			start    *simulatedDaemon
		}
		build := func(i, j int) message {
			from, to := all[i], all[j]
			return message{from: i, to: j, view: from.core.ViewFor(fmt.Sprint(j), to.received[i], to.core.Digest(), forward), start: to}
		}
		deliver := func(m message) {
			d := all[m.to]
			events, received, _ := d.core.Merge(now, fmt.Sprint(m.from), d.received[m.from], &m.view)
			apply(m.to, events)
			d.received[m.from] = received
		}
		var delayed []message
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			report.Step()
			now = now.Add(100 * time.Millisecond)
			i, j := rapid.IntRange(0, daemons-1).Draw(rt, "daemon"), rapid.IntRange(0, daemons-1).Draw(rt, "peer")
			id := fmt.Sprint("s", rapid.IntRange(0, servers-1).Draw(rt, "server"))
			switch rapid.IntRange(0, 13).Draw(rt, "event") {
			case 0, 1:
				runs[id]++
				store.actual[id] = &fleet.Server{ID: id, Service: "llm", Address: "10.0.0.1:80", StartedUnixMilli: runs[id]}
				store.write(id)
			case 2:
				if actual := store.actual[id]; actual != nil {
					leaving := *actual
					leaving.Leaving = true
					store.actual[id] = &leaving
					store.write(id)
				}
			case 3:
				delete(store.actual, id)
				store.write(id)
			case 4, 5:
				if all[i].synced {
					blind := rapid.IntRange(0, 4).Draw(rt, "blind") == 0
					if blind {
						report.Fault("blind watch")
					}
					watch(i, blind)
				} else {
					list(i, store.version)
				}
			case 6:
				report.Fault("old list")
				list(i, store.version.Epoch().At(uint64(rapid.IntRange(int(store.copied.Number()), int(store.version.Number())).Draw(rt, "list version"))))
			case 7, 8:
				if i != j {
					m := build(i, j)
					switch rapid.IntRange(0, 3).Draw(rt, "message") {
					case 0:
						report.Fault("lost message")
					case 1:
						delayed = append(delayed, m)
					default:
						deliver(m)
					}
				}
			case 9:
				if len(delayed) > 0 {
					deliver(delayed[0])
					delayed = delayed[1:]
				}
			case 10:
				switch rapid.IntRange(0, 2).Draw(rt, "trouble") {
				case 0:
					report.Fault("history dropped")
					store.kept = store.version
				case 1:
					report.Fault("restart")
					restart(i)
				case 2:
					report.Fault("outage")
					all[i].core.MarkStoreUnavailable()
					all[i].core.MarkStoreAvailable(now)
				}
			case 11:
				expire(i)
			case 12:
				store.write(id)
			case 13:
				if rapid.IntRange(0, 3).Draw(rt, "drill") == 0 {
					report.Fault("older copy")
					lost := min(uint64(rapid.IntRange(0, 6).Draw(rt, "lost versions")), store.version.Number())
					store.restore(store.version - table.Version(lost))
				}
			}
		}
		// One daemon reads the store; the others learn from it, directly or not. Daemons
		// whose views still differ once they have each other's changes read the store.
		now = now.Add(time.Minute)
		for i := range all {
			expire(i)
		}
		list(0, store.version)
		// What servers wrote is written again, and what they no longer refresh expires.
		for n := range servers {
			store.write(fmt.Sprint("s", n))
		}
		store.put(fleet.Entry{ID: "last", Server: &fleet.Server{ID: "last"}})
		list(0, store.version)
		for round := range 9 {
			now = now.Add(time.Second)
			for i := range all {
				expire(i)
				for j := range all {
					if i != j {
						deliver(build(i, j))
						if round%2 == 1 && all[i].core.Digest() != all[j].core.Digest() {
							list(i, store.version)
							list(j, store.version)
						}
					}
				}
			}
		}
		want := fmt.Sprint(sorted(store.list(store.version)))
		for i := range all {
			var got []fleet.Entry
			for _, s := range all[i].core.Servers() {
				got = append(got, fleet.Entry{ID: s.ID, Server: &s})
			}
			if fmt.Sprint(sorted(got)) != want {
				rt.Fatalf("daemon %d has %v, the store %v", i, sorted(got), want)
			}
		}
	})
}

// sorted returns the servers of the entries in a fixed order.
func sorted(entries []fleet.Entry) []string {
	var list []string
	for _, e := range entries {
		list = append(list, fmt.Sprintf("%s leaving=%t", e.Server.RunID(), e.Server.Leaving))
	}
	slices.Sort(list)
	return list
}
