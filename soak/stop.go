package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// StopOptions configure a planned stop of one daemon in calm.
type StopOptions struct {
	// Binary is the path of the daemon's executable; settings files and logs are written to
	// Folder.
	Binary, Folder string
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// StoreAway makes the store answer nothing from SIGTERM on.
	StoreAway bool
	// OtherSignals sends a second SIGTERM and SIGHUPs during the grace period.
	OtherSignals bool
}

const (
	// stopStep is the time between the requests of one kind.
	stopStep = 500 * time.Millisecond
	// stopLead is the time from the first request of each kind to SIGTERM.
	stopLead = time.Second
	// idleConnectionsOpened is when connections without a request are opened, which is before the
	// load balancer has noticed the stop.
	idleConnectionsOpened = 2 * time.Second
	// stopServers is the number of servers of each service.
	stopServers = 8
	// stopWarmUps is the number of requests of each kind before the stop.
	stopWarmUps = 10
	// maxUnreadTime is how long a caller may wait for the end of a connection on which its request
	// was not passed on.
	maxUnreadTime = 500 * time.Millisecond
	// excusedAfter is the time after SIGTERM from which on no request may be cut.
	excusedAfter = 3 * time.Second
	// signalDelay is the time within which the signal has reached the process.
	signalDelay = stopStep / 2
	// stopAccepted is the time after SIGTERM within which requests are refused only if they cannot
	// end, which allows for twice their time and stopSlack.
	stopAccepted = 2500 * time.Millisecond
	stopSlack    = time.Second
)

// StopKind is a kind of requests in a planned stop.
type StopKind struct {
	Path string
	// Work is the time that a server takes for a request or one of its events.
	Work time.Duration
	// long is set if servers take longer for a request than the grace period.
	long bool
}

// kinds returns the kinds of requests in a planned stop.
func (o *StopOptions) kinds() []StopKind {
	const short = 2 * time.Second / streamEvents
	long := o.Grace * 9 / 8 / streamEvents
	return []StopKind{
		{Path: "/once/quick/", Work: 20 * time.Millisecond},
		{Path: "/once/slow/", Work: 2 * time.Second},
		{Path: "/look/quick/", Work: 20 * time.Millisecond},
		{Path: "/look/slow/", Work: 250 * time.Millisecond},
		{Path: "/stream/resumable/short/", Work: short},
		{Path: "/stream/resumable/long/", Work: long, long: true},
		{Path: "/stream/once/short/", Work: short},
		{Path: "/stream/once/long/", Work: long, long: true},
	}
}

// service returns the service of a stream. Long ones have their own, as the others would wait for
// longer than usual beside them.
func (k StopKind) service() string {
	if k.long {
		return "long"
	}
	return "models"
}

// duration returns how long a server takes for a request.
func (k StopKind) duration() time.Duration {
	if strings.HasPrefix(k.Path, "/stream/") {
		return k.Work * streamEvents
	}
	return k.Work
}

// mayRepeat reports whether a request may run more than once.
func (k StopKind) mayRepeat() bool { return !strings.Contains(k.Path, "/once/") }

// StopConnection is the use of the connection on which a request is sent.
type StopConnection string

// Uses of connections.
const (
	// ConnectionKept has carried a request before the stop.
	ConnectionKept StopConnection = "kept"
	// ConnectionNew is opened for the request.
	ConnectionNew StopConnection = "new"
	// ConnectionIdle is opened while the load balancer may still select the daemon.
	ConnectionIdle StopConnection = "idle"
	// ConnectionUpload carries a request whose body begins before the stop.
	ConnectionUpload StopConnection = "upload"
	// ConnectionEndless carries one whose body does not end.
	ConnectionEndless StopConnection = "endless"
)

// StopOutcome is what became of a request.
type StopOutcome string

// Outcomes of requests.
const (
	// StopAnswered is a complete answer of a server.
	StopAnswered StopOutcome = "answered"
	// StopRefused is an answer which states that the request did not run.
	StopRefused StopOutcome = "refused"
	// StopFailed is a complete answer which states that the request may have run.
	StopFailed StopOutcome = "failed"
	// StopUnread is a connection that was closed or refused before the request was passed on.
	StopUnread StopOutcome = "unread"
	// StopCut is a connection that ended without a complete answer after the request was passed
	// on.
	StopCut StopOutcome = "cut"
	// StopTorn is an answer that looks complete and is not.
	StopTorn StopOutcome = "torn"
)

// StopRequest is a request in a planned stop.
type StopRequest struct {
	ID         string
	Kind       StopKind
	Connection StopConnection
	// SentAfter is the time from SIGTERM to the last byte of the request, and EndedAfter that to
	// the end of its answer.
	// HeaderAfter is the time from SIGTERM to the header of the answer.
	SentAfter, EndedAfter, HeaderAfter time.Duration
	Outcome                            StopOutcome
	Status                             int
	Ran                                bool
	// Closes and RetryAfter are set if the answer states them, and Stopping if it names the stop
	// as the reason of a refusal.
	Closes, RetryAfter, Stopping bool
	Err                          error
}

// StopReport holds the requests of a planned stop.
type StopReport struct {
	Requests []*StopRequest
	Grace    time.Duration
	// ExitedAfter is the time from SIGTERM to the end of the process, and Killed is set if it
	// ended by SIGKILL.
	ExitedAfter time.Duration
	Killed      bool
}

// stopRun is a planned stop in progress.
type stopRun struct {
	options StopOptions
	store   *standin.Store
	ledger  *standin.Ledger
	daemons []*daemon
	// stopAt is the time of SIGTERM.
	stopAt time.Time

	mu       sync.Mutex
	requests []*StopRequest
}

// RunStop stops one of two daemons while callers send requests of all kinds, on connections of all
// uses, until its process has ended.
func RunStop(options StopOptions) (StopReport, error) {
	s := &stopRun{options: options, store: standin.NewStore(), ledger: standin.NewLedger()}
	defer func() {
		for _, d := range s.daemons {
			d.signal(syscall.SIGKILL)
			d.wait()
		}
	}()
	if err := s.setUp(); err != nil {
		return StopReport{}, err
	}
	s.warmUp()
	stopped := s.daemons[0]
	s.stopAt = time.Now().Add(stopLead + 2*stopStep)
	var running sync.WaitGroup
	s.sendAll(&running)
	time.Sleep(time.Until(s.stopAt))
	if options.StoreAway {
		s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	}
	stopped.signal(syscall.SIGTERM)
	if options.OtherSignals {
		running.Go(func() {
			for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
				time.Sleep(options.Grace / 5)
				stopped.signal(signal)
			}
		})
	}
	stopped.wait()
	report := StopReport{Grace: options.Grace, ExitedAfter: time.Since(s.stopAt)}
	report.Killed = report.ExitedAfter >= options.Grace
	running.Wait()
	for _, r := range s.requests {
		r.Ran = len(s.ledger.Runs(r.ID)) > 0
		if r.Outcome == StopUnread && r.Ran {
			r.Outcome = StopCut
		}
	}
	report.Requests = s.requests
	return report, nil
}

// setUp starts the simulated platform, the servers and the daemons.
func (s *stopRun) setUp() error {
	store, cloud := httptest.NewServer(s.store), httptest.NewServer(standin.NewCloud())
	var routes []standin.Route
	for _, k := range s.options.kinds() {
		r := standin.Route{Prefix: k.Path, Kind: standin.KindOnce, Service: "plain", Attempts: 2, Timeout: s.deadline()}
		switch {
		case strings.HasPrefix(k.Path, "/stream/"):
			r.Kind, r.Service, r.Resumable = standin.KindStream, k.service(), k.mayRepeat()
		case k.mayRepeat():
			r.Kind = standin.KindIdempotent
		}
		routes = append(routes, r)
	}
	s.store.PutConfiguration(standin.Configuration(1, hostName, routes, map[string][]string{"account": {apiKey}}, 0))
	for i := range stopServers {
		for _, service := range []string{"plain", "models", "long"} {
			server := &standin.Server{ID: fmt.Sprint(service, "-", i), Service: service, Zone: "zone-0", WorkTime: defaultWorkTime, EventCount: streamEvents}
			if err := standin.StartServer(server, s.store, s.ledger, nil); err != nil {
				return err
			}
		}
	}
	address := func(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
	for i := range 2 {
		d, err := newDaemon(s.options.Binary, s.options.Folder, i, "zone-0", address(store), address(cloud))
		if err != nil {
			return err
		}
		d.settings.Grace = s.options.Grace
		if err := d.start(); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	giveUpAt := time.Now().Add(readyTimeout)
	for _, d := range s.daemons {
		for !standin.Ready(http.DefaultClient, d.settings.Ready) {
			if time.Now().After(giveUpAt) {
				return &NotReadyError{Node: d.settings.Node}
			}
			time.Sleep(stopStep / 10)
		}
	}
	return nil
}

// NotReadyError reports a daemon that was not ready in time.
type NotReadyError struct{ Node string }

func (e *NotReadyError) Error() string { return e.Node + " was not ready in time" }

// deadline is the deadline of all requests, which is after the end of the grace period.
func (s *stopRun) deadline() time.Duration { return s.options.Grace + 25*time.Second }

// warmUp sends requests as callers do before a stop.
func (s *stopRun) warmUp() {
	var running sync.WaitGroup
	kinds := s.options.kinds()
	for number, k := range kinds {
		for i := range stopWarmUps {
			running.Go(func() {
				// All at once would delay each other's first events.
				time.Sleep(time.Duration(i*len(kinds)+number) * stopLead / time.Duration(stopWarmUps*len(kinds)))
				r := &StopRequest{ID: fmt.Sprint("before-", k.Path, i), Kind: k}
				conn := s.dial()
				defer conn.CloseIdleConnections()
				s.send(r, conn, nil)
			})
		}
	}
	running.Wait()
}

// sendAll starts the callers.
func (s *stopRun) sendAll(running *sync.WaitGroup) {
	kinds := s.options.kinds()
	for _, k := range kinds {
		running.Go(func() { s.sendAt(s.options.Grace+stopLead, k, ConnectionEndless) })
	}
	for at := -stopLead; at < s.options.Grace; at += stopStep {
		for _, k := range kinds {
			if k.long && at%(2*stopStep) != 0 {
				continue
			}
			for _, connection := range []StopConnection{ConnectionKept, ConnectionNew, ConnectionIdle, ConnectionUpload} {
				running.Go(func() { s.sendAt(at, k, connection) })
			}
		}
	}
}

// sendAt sends a request at a time after SIGTERM.
func (s *stopRun) sendAt(at time.Duration, k StopKind, use StopConnection) {
	r := &StopRequest{ID: fmt.Sprint(strings.ReplaceAll(k.Path, "/", "-"), use, "-", at.Milliseconds()), Kind: k, Connection: use}
	sendAt := s.stopAt.Add(at)
	var conn *connectionClient
	var bodyAt *time.Time
	switch use {
	case ConnectionKept:
		// The first requests are spread over time as those of callers are.
		time.Sleep(time.Until(s.stopAt.Add(at/10 - stopLead - stopStep)))
		conn = s.dial()
		s.send(&StopRequest{ID: r.ID + "-first", Kind: StopKind{Path: "/look/quick/"}}, conn, nil)
		time.Sleep(time.Until(sendAt))
	case ConnectionIdle:
		time.Sleep(time.Until(s.stopAt.Add(min(at, idleConnectionsOpened))))
		conn = s.dial()
		time.Sleep(time.Until(sendAt))
	case ConnectionUpload, ConnectionEndless:
		time.Sleep(time.Until(s.stopAt.Add(min(at, 0) - stopStep)))
		conn, bodyAt = s.dial(), &sendAt
	default:
		time.Sleep(time.Until(sendAt))
		conn = s.dial()
	}
	defer conn.CloseIdleConnections()
	s.send(r, conn, bodyAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
}

// connectionClient sends requests on one connection.
type connectionClient struct {
	http.Client
	err error
}

// ConnectionClosedError reports a request that could not be sent on its connection.
type ConnectionClosedError struct{}

func (*ConnectionClosedError) Error() string { return "the connection was closed before" }

// dial opens a connection to the daemon that is stopped.
func (s *stopRun) dial() *connectionClient {
	conn, err := net.DialTimeout("tcp", s.daemons[0].settings.Front, time.Second)
	used := false
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(context.Context, string, string) (net.Conn, error) {
		if err != nil || used {
			return nil, &ConnectionClosedError{}
		}
		used = true
		return conn, nil
	}}
	return &connectionClient{Client: http.Client{Transport: transport}, err: err}
}

// lateBody is a body whose second half follows at a time.
type lateBody struct {
	halves []string
	at     time.Time
}

func (b *lateBody) Read(to []byte) (int, error) {
	if len(b.halves) == 0 {
		return 0, io.EOF
	}
	if len(b.halves) == 1 {
		time.Sleep(time.Until(b.at))
	}
	n := copy(to, b.halves[0])
	b.halves = b.halves[1:]
	return n, nil
}

// send sends a request and records what became of it. The second half of the body follows at
// bodyAt unless that is nil.
func (s *stopRun) send(r *StopRequest, c *connectionClient, bodyAt *time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline()+2*time.Second)
	defer cancel()
	body := &lateBody{halves: []string{"body ", "of " + r.ID}}
	if bodyAt != nil {
		body.at = *bodyAt
	}
	r.SentAfter = max(time.Since(s.stopAt), body.at.Sub(s.stopAt))
	response, content, err := s.exchange(ctx, r, c, body)
	r.EndedAfter = time.Since(s.stopAt)
	r.Err = err
	if response == nil {
		r.Outcome = StopUnread
		return
	}
	r.Stopping = strings.Contains(content, "problem:draining")
	r.Status, r.Closes, r.RetryAfter = response.StatusCode, response.Close, response.Header.Get("Retry-After") != ""
	switch {
	case err != nil:
		r.Outcome = StopCut
	case r.Status == http.StatusOK && !s.isWhole(r, content):
		r.Outcome = StopTorn
	case r.Status == http.StatusOK:
		r.Outcome = StopAnswered
	case slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}, r.Status):
		r.Outcome = StopRefused
	default:
		r.Outcome = StopFailed
	}
}

// exchange sends a request and reads its answer.
func (s *stopRun) exchange(ctx context.Context, r *StopRequest, c *connectionClient, body *lateBody) (*http.Response, string, error) {
	if c.err != nil {
		return nil, "", c.err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.daemons[0].settings.Front+r.Kind.Path+"x", body)
	if err != nil {
		return nil, "", err
	}
	request.ContentLength = int64(len(strings.Join(body.halves, "")))
	request.Host = hostName
	attempt := standin.Request{ID: r.ID, Key: apiKey, Deadline: s.deadline()}
	attempt.SetHeader(request.Header)
	request.Header.Set(standin.WorkHeader, strconv.FormatInt(r.Kind.Work.Milliseconds(), 10))
	response, err := c.Do(request)
	if err != nil {
		return nil, "", err
	}
	r.HeaderAfter = time.Since(s.stopAt)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// isWhole reports whether an answer holds all that a server sends.
func (s *stopRun) isWhole(r *StopRequest, content string) bool {
	if strings.HasPrefix(r.Kind.Path, "/stream/") {
		events, rest := standin.ParseEvents(content)
		return len(events) == streamEvents && rest == ""
	}
	return content == standin.ResponseBody(r.ID)
}

// Table counts the requests that were sent in each step by outcome, one line each.
func (r *StopReport) Table() string {
	outcomes := []StopOutcome{StopAnswered, StopRefused, StopFailed, StopUnread, StopCut, StopTorn}
	counts := make(map[time.Duration]map[StopOutcome]int)
	for _, request := range r.Requests {
		if request.Connection == ConnectionEndless {
			continue
		}
		step := (request.SentAfter + stopStep/10).Truncate(stopStep)
		if request.SentAfter < -stopStep/10 {
			step -= stopStep
		}
		if counts[step] == nil {
			counts[step] = make(map[StopOutcome]int)
		}
		counts[step][request.Outcome]++
	}
	var steps []time.Duration
	for step := range counts {
		steps = append(steps, step)
	}
	slices.Sort(steps)
	var table strings.Builder
	for _, step := range steps {
		fmt.Fprintf(&table, "%6.1f s:", step.Seconds())
		for _, outcome := range outcomes {
			fmt.Fprintf(&table, " %3d %s", counts[step][outcome], outcome)
		}
		table.WriteString("\n")
	}
	return table.String()
}

// Findings lists what callers must not see in a planned stop.
func (r *StopReport) Findings() []string {
	var findings []string
	add := func(request *StopRequest, what string) {
		findings = append(findings, fmt.Sprintf("%s sent %.2f s after SIGTERM: %s, status %d at %.2f s: %v", request.ID,
			request.SentAfter.Seconds(), what, request.Status, request.EndedAfter.Seconds(), request.Err))
	}
	for _, request := range r.Requests {
		if what := request.finding(r.Grace); what != "" {
			add(request, what)
		}
		if left := r.Grace - request.SentAfter; request.Stopping &&
			request.SentAfter < stopAccepted && left > 2*request.Kind.duration()+stopSlack {
			add(request, "refused although it could end")
		}
	}
	if r.Killed {
		findings = append(findings, fmt.Sprintf("the process had to be killed after %v", r.ExitedAfter))
	}
	return findings
}

// excused reports whether a request may be cut at the end of the grace period: one that servers take
// longer for, if it was sent before SIGTERM, and one that others can run again or take up, if it was
// sent soon after and had little more time than it takes.
func (r *StopRequest) excused(grace time.Duration) bool {
	if r.EndedAfter < grace*5/6 {
		return false
	}
	return r.Kind.long && r.SentAfter < signalDelay ||
		r.Kind.mayRepeat() && r.SentAfter < excusedAfter && grace-r.SentAfter < 2*r.Kind.duration()
}

// finding returns what its caller must not see of a request, or an empty text.
func (r *StopRequest) finding(grace time.Duration) string {
	switch {
	case r.Connection == ConnectionEndless && r.Outcome != StopRefused:
		return "no answer although its body did not end"
	case r.Outcome == StopTorn:
		return "an incomplete answer looks complete"
	case r.Outcome == StopCut && !r.excused(grace):
		return "passed on and cut"
	case r.Outcome == StopFailed && !r.excused(grace):
		return "passed on and given up"
	case r.Outcome == StopRefused && r.Ran:
		return "refused as not run and has run"
	case r.Outcome == StopRefused && r.Status == http.StatusServiceUnavailable && !r.RetryAfter:
		return "refused without Retry-After"
	case (r.Outcome == StopRefused || r.Outcome == StopAnswered) && !r.Closes && r.HeaderAfter > signalDelay:
		return "answered without Connection: close"
	case r.Outcome == StopUnread && r.Connection != ConnectionNew && r.EndedAfter > r.SentAfter+maxUnreadTime:
		return "held and closed without an answer"
	}
	return ""
}
