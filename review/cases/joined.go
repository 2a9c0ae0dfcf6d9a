package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/platform/standin"
	"github.com/monsooncrank/monsooncrank/soak"
)

const (
	// joinedDeployment is a small deployment to which two machines were added, so that the store turns a
	// third of the machines away.
	joinedDeployment = 9
	turnedAwayCount  = 3
	// turnedAwayTime is how long the store turns machines away.
	turnedAwayTime = 9 * time.Second
	// longEvents make a stream of nine seconds.
	longEvents = 90
	// canaryTime is how long the worker of the newer version is in service, and servesOn how long it
	// serves once its entry is removed.
	canaryTime = 6 * time.Second
	servesOn   = 10 * time.Second
	// maxJoined is the number of streams with events of two versions that the rule allows.
	maxJoined = 2
)

// versionsSeen records the software versions of the events of each stream.
type versionsSeen struct {
	mu      sync.Mutex
	streams map[string][]string
}

func (v *versionsSeen) add(stream, line string) {
	_, version, ok := strings.Cut(line, " at ")
	if !ok {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(v.streams[stream], version) {
		v.streams[stream] = append(v.streams[stream], version)
	}
}

// rankFirst returns the daemons that monsooncrank lets write which versions are in use: of machines of
// one size, those whose names have the lowest hashes.
func rankFirst(daemons []*daemon, n int) []*daemon {
	ranked := slices.Clone(daemons)
	slices.SortFunc(ranked, func(a, b *daemon) int { return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)) })
	return ranked[:n]
}

// versionsJoined lets the store turn three of nine machines away. Meanwhile a worker of a newer version
// joins, serves for some seconds and is withdrawn. Then all machines lose power, and clients take their
// streams up.
func versionsJoined(l *lab, trouble bool) bool {
	l.store.PutConfiguration(streamRoutes(3, "/stream/chat/"))
	l.addServers(3, "models", eventTime, longEvents)
	l.startDaemons(joinedDeployment)
	turnedAway := rankFirst(l.daemons, turnedAwayCount)

	var next atomic.Int64
	var counts tally
	var dark atomic.Bool
	seen := &versionsSeen{streams: make(map[string][]string)}
	other := func() *daemon { return l.daemons[int(next.Add(1))%len(l.daemons)] }
	var clients sync.WaitGroup
	for i, d := range l.daemons {
		for j := range 8 {
			clients.Go(func() {
				time.Sleep(time.Duration(j) * time.Second)
				c := &streamClient{lab: l, name: fmt.Sprintf("c%d-%d", i+1, j+1), path: "/stream/chat/x", tally: &counts, seen: seen}
				for !dark.Load() {
					c.stream(d, other)
				}
			})
		}
	}
	time.Sleep(9 * time.Second)
	if trouble && !withoutChange() {
		for _, d := range turnedAway {
			l.log.printf("the store turns %s away", d.name)
			d.turnedAway.Store(true)
			time.AfterFunc(turnedAwayTime, func() { d.turnedAway.Store(false) })
		}
	}
	time.Sleep(300 * time.Millisecond)
	canary := &standin.Server{ID: "i-models-canary", Service: "models", Zone: zones[0], Version: "v2", WorkTime: eventTime, EventCount: longEvents}
	must("server", standin.StartServer(canary, l.store, l.ledger, nil))
	l.log.printf("a worker of version v2 has joined")
	time.Sleep(canaryTime)
	l.log.printf("the worker of version v2 is withdrawn: its entry is removed, and it serves on")
	go canary.Drain(servesOn, false)
	time.Sleep(time.Second)
	dark.Store(true)
	if trouble {
		for _, d := range l.daemons {
			d.front.SetMode(soak.Blackhole)
			d.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, d := range l.daemons {
			d.front.Reset()
			d.front.SetMode(soak.PassThrough)
			d.start()
		}
	}
	clients.Wait()
	return judgeVersions(l, &counts, seen)
}
