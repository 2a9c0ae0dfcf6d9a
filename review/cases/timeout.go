package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// slowEvents and slowEventTime make a stream of fourteen seconds, within the timeout of its route.
	slowEvents    = 70
	slowEventTime = 200 * time.Millisecond
	// loweredTimeout is the timeout of the route after the change.
	loweredTimeout = 4 * time.Second
	// resetAfter is the time from the withdrawal of the newer version to the reset of connections.
	resetAfter = 11 * time.Second
	// resetMachines is the number of machines of which half of the clients' connections are reset.
	resetMachines = 2
	// serversPerVersion is the number of workers of each version.
	serversPerVersion = 4
	// streamsPerMachine is the number of streams at each machine.
	streamsPerMachine = 30
)

// timeoutLowered withdraws a version and lowers the timeout of the route. Streams that have begun before
// go on. Eleven seconds later connections of clients are reset, and these take their streams up. All
// daemons and all workers live all the while.
func timeoutLowered(l *lab, trouble bool) bool {
	l.store.PutConfiguration(streamRoutes(3, "/stream/chat/"))
	l.addServers(serversPerVersion, "models", slowEventTime, slowEvents)
	var withdrawn []*standin.Server
	for i := range serversPerVersion {
		s := &standin.Server{ID: fmt.Sprintf("i-models-newer-%d", i+1), Service: "models", Zone: zones[i], Version: "v2", WorkTime: slowEventTime, EventCount: slowEvents}
		must("server", standin.StartServer(s, l.store, l.ledger, nil))
		withdrawn = append(withdrawn, s)
	}
	l.startDaemons(smallDeployment)

	var next atomic.Int64
	var counts tally
	seen := &versionsSeen{streams: make(map[string][]string)}
	other := func() *daemon { return l.daemons[int(next.Add(1))%len(l.daemons)] }
	var clients sync.WaitGroup
	for i, d := range l.daemons {
		for j := range streamsPerMachine {
			clients.Go(func() {
				time.Sleep(time.Duration(j) * 50 * time.Millisecond)
				c := &streamClient{lab: l, name: fmt.Sprintf("c%d-%d", i+1, j+1), path: "/stream/chat/x", tally: &counts, seen: seen, second: j%2 == 1}
				c.stream(d, other)
			})
		}
	}
	time.Sleep(2 * time.Second)
	withdrawnAt := time.Now()
	l.log.printf("the four workers of version v2 are withdrawn: their entries are removed, and they serve on")
	for _, s := range withdrawn {
		go s.Drain(2*resetAfter, false)
	}
	time.Sleep(300 * time.Millisecond)
	if !withoutChange() {
		l.store.PutConfiguration(streamRoutesWithin(5, loweredTimeout, "/stream/chat/"))
		l.log.printf("the store has acknowledged configuration 5, which lowers the timeout of the route to %v", loweredTimeout)
	}
	time.Sleep(resetAfter - time.Since(withdrawnAt))
	if trouble {
		for _, d := range l.daemons[:resetMachines] {
			l.log.printf("half of the clients' connections to %s are reset", d.name)
			d.front.Reset()
		}
	}
	clients.Wait()
	return judgeVersions(l, &counts, seen)
}

// judgeVersions applies the rule on streams with events of several software versions.
func judgeVersions(l *lab, counts *tally, seen *versionsSeen) bool {
	joined := 0
	for stream, versions := range seen.streams {
		if len(versions) > 1 {
			joined++
			l.log.printf("%s holds events of versions %s", stream, strings.Join(versions, " and "))
		}
	}
	l.log.printf("%d streams began, %d were taken up, %d went on; %d hold events of two versions, %d are allowed", counts.began.Load(), counts.takenUp.Load(), counts.wentOn.Load(), joined, maxJoined)
	l.log.printf("rule ORDER broken: %t", joined > maxJoined)
	return joined <= maxJoined
}
