package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
	"github.com/monsooncrank/monsooncrank/soak"
)

const (
	apiKey = "key-of-tenant-one"
	// latencyTarget, gapTarget and streamTimeout are those of the routes for streams.
	latencyTarget = time.Second
	gapTarget     = 500 * time.Millisecond
	streamTimeout = 15 * time.Second
	// giveUpAfter is the gap after which a client gives a stream up: the longest of two seconds, four
	// times the objective and eight times the pause.
	giveUpAfter = max(2*time.Second, 4*latencyTarget, 8*gapTarget)
	// events and eventTime make a stream of four seconds.
	events    = 40
	eventTime = 100 * time.Millisecond
	// maxTries is how often a client tries to take a stream up, and retryPause the time between two tries
	// if the answer states none.
	maxTries   = 6
	retryPause = 400 * time.Millisecond
	// minTakeUps is the number of streams taken up from which the rule counts.
	minTakeUps = 12
)

// streamRoutes is the configuration with routes for streams that may be taken up, all to one service.
func streamRoutes(version int, prefixes ...string) []byte {
	return streamRoutesWithin(version, streamTimeout, prefixes...)
}

// streamRoutesWithin is streamRoutes with another timeout of the routes.
func streamRoutesWithin(version int, timeout time.Duration, prefixes ...string) []byte {
	var list []string
	for _, prefix := range prefixes {
		list = append(list, fmt.Sprintf(`{"name":"r%s","host":%q,"pathPrefix":%q,"kind":"streaming","timeoutMs":%d,"targetLatencyMs":%d,"gapTargetMs":%d,`+
			`"priority":1,"service":"models","maxAttempts":2,"public":false,"sticky":true,"resumable":true}`,
			strings.ReplaceAll(prefix, "/", "-"), apiHost, prefix, timeout.Milliseconds(), latencyTarget.Milliseconds(), gapTarget.Milliseconds()))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"models","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"tenant-one","apiKeys":[%q],"ratePerS":0,"burst":0}]}`, version, strings.Join(list, ","), apiKey)
}

// streamClient sends streams, one after the other. It gives a silent one up and takes it up at another
// daemon, as the pages say.
type streamClient struct {
	lab   *lab
	name  string
	path  string
	tally *tally
	// seen records the versions of the events, or is nil.
	seen *versionsSeen
	// second is set if the client reaches daemons on the second path.
	second bool
	sent   int
}

// tally counts streams.
type tally struct {
	began, notBegun, takenUp, wentOn atomic.Int64
}

// try is one client attempt for a stream.
type try struct {
	id, resumes string
	after       int
	deadline    time.Time
}

// outcome of a try.
type tryResult struct {
	status     int
	last       int
	complete   bool
	retryAfter time.Duration
	err        error
}

// send makes one try at a daemon over a new connection.
func (c *streamClient) send(d *daemon, t *try) tryResult {
	ctx, cancel := context.WithDeadline(c.lab.ctx, t.deadline)
	defer cancel()
	result := tryResult{last: t.after}
	path := d.front
	if c.second {
		path = d.front2
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+path.Address()+c.path, strings.NewReader("prompt of "+c.name))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = apiHost
	standinRequest := standin.Request{ID: t.id, Key: apiKey, Deadline: time.Until(t.deadline)}
	standinRequest.SetHeader(request.Header)
	if t.resumes != "" {
		request.Header.Set("Resumes", t.resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(t.after))
	}
	// The client abandons the stream after a gap of giveUpAfter, also before its first event.
	silence := time.AfterFunc(giveUpAfter, cancel)
	defer silence.Stop()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			silence.Reset(giveUpAfter)
			if n, err := strconv.Atoi(id); err == nil {
				result.last = n
			}
		}
		if c.seen != nil && strings.HasPrefix(lines.Text(), "data: ") {
			c.seen.add(cmp.Or(t.resumes, t.id), lines.Text())
		}
	}
	result.err = lines.Err()
	result.complete = result.err == nil && result.status == http.StatusOK
	return result
}

// stream sends one stream to a daemon and takes it up at others until its deadline passes. other
// returns the daemon for a new connection.
func (c *streamClient) stream(d *daemon, other func() *daemon) {
	c.sent++
	first := fmt.Sprintf("%s-%d", c.name, c.sent)
	deadline := time.Now().Add(streamTimeout)
	c.lab.log.printf("%s sent to %s", first, d.name)
	result := c.send(d, &try{id: first, deadline: deadline})
	c.lab.log.printf("%s ends: status %d, last event %d, complete %t, %v", first, result.status, result.last, result.complete, result.err)
	if c.lab.ctx.Err() != nil {
		return
	}
	if result.last == 0 {
		c.tally.notBegun.Add(1)
		return
	}
	c.tally.began.Add(1)
	if result.complete || errors.Is(result.err, context.DeadlineExceeded) && time.Now().After(deadline) {
		return
	}
	c.tally.takenUp.Add(1)
	last := result.last
	for n := 1; n <= maxTries && time.Now().Before(deadline) && c.lab.ctx.Err() == nil; n++ {
		d := other()
		t := &try{id: fmt.Sprintf("%s-again-%d", first, n), resumes: first, after: last, deadline: deadline}
		c.lab.log.printf("%s takes up %s after event %d at %s", t.id, first, last, d.name)
		result = c.send(d, t)
		c.lab.log.printf("%s ends: status %d, last event %d, complete %t, Retry-After %v, %v", t.id, result.status, result.last, result.complete, result.retryAfter, result.err)
		if result.last > last {
			c.tally.wentOn.Add(1)
			return
		}
		// Clients honour Retry-After up to one third of the time they have left.
		wait := max(result.retryAfter, retryPause)
		if wait > time.Until(deadline)/3 {
			return
		}
		time.Sleep(wait)
	}
}

const (
	// streamsPerDaemon is the number of streams in progress at each daemon, and smallDeployment the
	// number of machines of a small deployment.
	streamsPerDaemon = 20
	smallDeployment  = 7
	// darkTime is how long the machine has no power.
	darkTime = 3500 * time.Millisecond
)

// oneMachineLost cuts the power of one of seven machines. Then the operator adds a route. Clients of
// that machine take their streams up at the others, which have lived all the while.
func oneMachineLost(l *lab, trouble bool) bool {
	l.store.PutConfiguration(streamRoutes(3, "/stream/chat/"))
	l.addServers(4, "models", eventTime, events)
	l.startDaemons(smallDeployment)
	lost, others := l.daemons[0], l.daemons[1:]
	var next atomic.Int64
	other := func() *daemon { return others[int(next.Add(1))%len(others)] }

	var fromLost, elsewhere tally
	var dark atomic.Bool
	end := time.Now().Add(28 * time.Second)
	var clients sync.WaitGroup
	for i := range streamsPerDaemon {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := &streamClient{lab: l, name: fmt.Sprintf("lost-%d", i+1), path: "/stream/chat/x", tally: &fromLost}
			for time.Now().Before(end) && !dark.Load() {
				c.stream(lost, other)
			}
		})
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := &streamClient{lab: l, name: fmt.Sprintf("other-%d", i+1), path: "/stream/chat/x", tally: &elsewhere}
			for time.Now().Before(end) {
				c.stream(other(), other)
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		l.log.printf("%s loses power", lost.name)
		dark.Store(true)
		lost.front.SetMode(soak.Blackhole)
		lost.signal(syscall.SIGKILL)
		lost.wait()
	}
	time.Sleep(time.Second)
	if !withoutChange() {
		l.store.PutConfiguration(streamRoutes(5, "/stream/chat/", "/stream/extra/"))
		l.log.printf("the store has acknowledged configuration 5, which adds the route /stream/extra/")
	}
	time.Sleep(darkTime - time.Second)
	if trouble {
		lost.front.Reset()
		lost.front.SetMode(soak.PassThrough)
		lost.start()
	}
	clients.Wait()
	return judgeTakeUps(l, &fromLost, &elsewhere)
}

// judgeTakeUps applies the rule on streams that are taken up.
func judgeTakeUps(l *lab, fromLost, elsewhere *tally) bool {
	takenUp, wentOn := fromLost.takenUp.Load()+elsewhere.takenUp.Load(), fromLost.wentOn.Load()+elsewhere.wentOn.Load()
	began := fromLost.began.Load() + elsewhere.began.Load()
	sent := began + fromLost.notBegun.Load() + elsewhere.notBegun.Load()
	l.log.printf("of %d streams taken up, %d went on; of %d new ones %d began", takenUp, wentOn, sent, began)
	if takenUp < minTakeUps {
		l.log.printf("rule LOST holds: fewer than %d streams were taken up", minTakeUps)
		return true
	}
	broken := float64(wentOn)/float64(takenUp) < float64(began)/float64(sent)/2
	l.log.printf("rule LOST broken: %t", broken)
	return !broken
}
