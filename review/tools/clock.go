package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// clockAhead is by how much the time of day of the machines that serve the clients is ahead.
	clockAhead = 2400 * time.Millisecond
	// steppedDaemons is the number of these machines: 2 of 7 are a share of 0.28.
	steppedDaemons = 2
	// upgradeTime is the time from the end of a worker's run to the start of the next one.
	upgradeTime = 500 * time.Millisecond
	// streamsPerSecond is the rate at which streams begin around the upgrade.
	streamsPerSecond = 25
	// beforeUpgrade and afterUpgrade are how long streams begin before and after it.
	beforeUpgrade = 3 * time.Second
	afterUpgrade  = 3 * time.Second
	// takeUpDelay is the time after which a client takes a stream up again.
	takeUpDelay = time.Second
	// maxTakeUps limits how often a client takes a stream up.
	maxTakeUps = 3
	// sharedParts is the number of parts of prompts that requests share.
	sharedParts = 31
	// allowedJoined is how many streams may hold events of two versions (RULES, ORDER).
	allowedJoined = 2
)

// playClock upgrades the last worker with an old version in place: it stops and starts again under
// its ID with the version that the others have. The time of day of two machines is ahead, to which
// the clients of their zone are connected. As a play may not touch the clock, true time in it is the
// time of day of this machine less clockAhead: workers state their starts in it. What the other
// daemons take for the time of day is of no account, as they begin no streams.
func playClock(d *deployment, trouble bool) ([]string, error) {
	ahead := time.Duration(0)
	if trouble {
		ahead = clockAhead
		d.record.add("clock: the time of day of %s and %s is %s ahead", machines[0].node, machines[1].node, ahead)
	}
	var workers []*modelWorker
	for i, version := range []string{"v1", "v2", "v2"} {
		w := &modelWorker{id: fmt.Sprintf("i-%08x", 0x3b000000+i), zone: machines[2*i].zone, store: d.store, record: d.record}
		if err := w.start(version, ahead); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		workers = append(workers, w)
	}
	if err := d.startDaemons(); err != nil {
		return nil, err
	}
	// The versions are in the store, and the daemons know the servers for as long as streams last.
	time.Sleep(16 * time.Second)
	c := &streamClients{deployment: d, first: steppedDaemons}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(stop)
	}()
	time.Sleep(beforeUpgrade)
	workers[0].crash()
	time.Sleep(upgradeTime)
	if err := workers[0].start("v2", ahead); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	time.Sleep(afterUpgrade)
	close(stop)
	<-ended
	d.record.add("streams begun %d, whole %d, taken up %d, joined %d", c.begun, c.whole, c.takenUp, len(c.joined))
	if c.begun == 0 || c.takenUp+c.refused == 0 {
		return nil, fmt.Errorf("%w: no stream was taken up", errCannotRun)
	}
	if len(c.joined) > allowedJoined {
		return c.joined, nil
	}
	return nil, nil
}

// streamClients are clients of a route whose streams may be taken up again.
type streamClients struct {
	deployment *deployment
	mu         sync.Mutex
	begun      int
	whole      int
	takenUp    int
	refused    int
	joined     []string
	tries      []streamTry
	// delay is the time after which a client takes a stream up again; 0 stands for takeUpDelay.
	delay time.Duration
	// first limits the daemons that the clients use to the first ones; 0 stands for all.
	first int
}

// streamTry is one try of a client for a stream.
type streamTry struct {
	// origin is the try that brought the first event, or empty for a new stream.
	origin string
	daemon *daemon
	at     time.Time
	// goesOn is set if the try brought events.
	goesOn bool
}

// run begins streams until stop is closed and waits for their ends.
func (c *streamClients) run(stop <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	tick := time.NewTicker(time.Second / streamsPerSecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			running.Go(c.stream)
		}
	}
}

// stream asks for one stream, takes it up again if it breaks off, and looks at its events.
func (c *streamClients) stream() {
	deadline := time.Now().Add(12 * time.Second)
	origin, last, versions := "", 0, map[string]bool{}
	for try := 0; try <= maxTakeUps && time.Now().Before(deadline); try++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		status, events, ended := c.attempt(id, origin, last, deadline)
		c.mu.Lock()
		switch {
		case origin == "" && len(events) > 0:
			c.begun++
			origin = id
		case origin != "" && status == http.StatusOK && len(events) > 0:
			c.takenUp++
		case origin != "" && status != http.StatusOK:
			c.refused++
		}
		c.mu.Unlock()
		for _, version := range events {
			versions[version] = true
		}
		last += len(events)
		if ended && status == http.StatusOK {
			c.mu.Lock()
			c.whole++
			c.mu.Unlock()
			break
		}
		time.Sleep(cmp.Or(c.delay, takeUpDelay))
	}
	if len(versions) > 1 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.joined = append(c.joined, fmt.Sprintf("stream %s holds events of workers of two software versions", origin))
	}
}

// attempt makes one try and returns the versions of the events that it brought, and whether the
// answer came to its end.
func (c *streamClients) attempt(id, origin string, last int, deadline time.Time) (status int, versions []string, ended bool) {
	r := c.deployment.record
	c.deployment.clients.mu.Lock()
	ready := slices.Clone(c.deployment.clients.ready)
	c.deployment.clients.mu.Unlock()
	if c.first > 0 {
		ready = slices.DeleteFunc(ready, func(one *daemon) bool { return !slices.Contains(c.deployment.daemons[:c.first], one) })
	}
	if len(ready) == 0 {
		return 0, nil, false
	}
	d := ready[rand.IntN(len(ready))]
	at := time.Now()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tries = append(c.tries, streamTry{origin: origin, daemon: d, at: at, goesOn: len(versions) > 0})
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+d.front+streamPath+"x", strings.NewReader("question "+id))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+accountKey)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "1460,400")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07%02x:800,%s:660", rand.IntN(sharedParts), id[:8]))
	if origin != "" {
		request.Header.Set("Resumes", origin)
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	client := http.Client{Timeout: time.Until(deadline) + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		r.add("client: stream %s to %s: %v", id, d.node, err)
		return 0, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if _, version, found := strings.Cut(lines.Text(), " by "); found {
			versions = append(versions, version)
		}
	}
	r.add("client: stream %s (origin %q, after event %d) to %s: %d, %d events, versions %v, err %v", id, origin, last, d.node, response.StatusCode,
		len(versions), countEach(versions), lines.Err())
	return response.StatusCode, versions, lines.Err() == nil
}

// countEach counts equal texts.
func countEach(texts []string) map[string]int {
	counts := make(map[string]int)
	for _, text := range texts {
		counts[text]++
	}
	return counts
}
