package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// tokenRate and tokenBurst are the limit of the tenant, as in the published example.
	tokenRate, tokenBurst = 245711.0, 245711.0
	// promptTokens and outputTokens make the cost of a request.
	promptTokens, outputTokens = 17020, 460
	// demand is what the tenant asks for, as a multiple of its limit: a tenant that sends 7.5 times its
	// usual and whose limit is 1.8 times its usual, as on the site of the other cases.
	demand = 7.5 / 1.8
	// requestDeadline is how long clients wait.
	requestDeadline = 1500 * time.Millisecond
)

// limitedConfiguration has one idempotent route, and a tenant with a usage limit in tokens.
func limitedConfiguration(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"look","host":%q,"pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,`+
		`"priority":1,"service":"plain","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],`+
		`"services":[{"name":"plain","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"tenant-one","apiKeys":[%q],"unit":"token_stream","plainTokens":200,"ratePerS":%d,"burst":%d}]}`, version, apiHost, apiKey, int(tokenRate), int(tokenBurst))
}

// sentRequest is one client attempt.
type sentRequest struct {
	id string
	at time.Time
}

// sender sends requests of the tenant.
type sender struct {
	lab  *lab
	mu   sync.Mutex
	sent []sentRequest
	busy sync.WaitGroup
}

// send sends one request to a daemon over a new connection.
func (s *sender) send(d *daemon, id string) {
	s.mu.Lock()
	s.sent = append(s.sent, sentRequest{id, time.Now()})
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.lab.ctx, requestDeadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.front.Address()+"/look/"+id, nil)
	if err != nil {
		s.lab.log.printf("%s: %v", id, err)
		return
	}
	request.Host = apiHost
	header := standin.Request{ID: id, Key: apiKey, Deadline: requestDeadline}
	header.SetHeader(request.Header)
	request.Header.Set("Token-Count", strconv.Itoa(promptTokens)+","+strconv.Itoa(outputTokens))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.lab.log.printf("%s sent to %s: %v", id, d.name, err)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	s.lab.log.printf("%s sent to %s: status %d, Retry-After %q, %v", id, d.name, response.StatusCode, response.Header.Get("Retry-After"), err)
}

// sendUntil sends requests at random daemons in rotation until a time.
func (s *sender) sendUntil(end time.Time) {
	perSecond := float64(demand * tokenRate / (promptTokens + outputTokens))
	interval := time.Duration(float64(time.Second) / perSecond)
	for n := 1; time.Now().Before(end); n++ {
		var rotation []*daemon
		for _, d := range s.lab.daemons {
			if d.isReady() {
				rotation = append(rotation, d)
			}
		}
		if len(rotation) > 0 {
			d, id := rotation[rand.IntN(len(rotation))], fmt.Sprintf("r-%d", n)
			s.busy.Go(func() { s.send(d, id) })
		}
		time.Sleep(interval)
	}
	s.busy.Wait()
}

// allStopped stops all machines as planned while a tenant asks for more than its limit, and starts them
// again.
func allStopped(l *lab, trouble bool) bool {
	l.store.PutConfiguration(limitedConfiguration(3))
	l.addServers(4, "plain", 20*time.Millisecond, 0)
	l.startDaemons(smallDeployment)
	s := &sender{lab: l}
	end := time.Now().Add(24 * time.Second)
	var running sync.WaitGroup
	running.Go(func() { s.sendUntil(end) })
	time.Sleep(12 * time.Second)
	if trouble {
		l.awaitCheck()
		time.Sleep(checkInterval / 10)
		for _, d := range l.daemons {
			d.signal(syscall.SIGTERM)
			running.Go(func() {
				kill := time.AfterFunc(grace, func() { d.signal(syscall.SIGKILL) })
				d.wait()
				kill.Stop()
				d.start()
			})
		}
	}
	running.Wait()
	return s.judge()
}

// judge applies the rule on usage limits.
func (s *sender) judge() bool {
	type run struct{ sent, arrived time.Time }
	var runs []run
	for _, r := range s.sent {
		for _, executed := range s.lab.ledger.Runs(r.id)[:min(len(s.lab.ledger.Runs(r.id)), 1)] {
			runs = append(runs, run{r.at, executed.At})
			s.lab.log.printf("%s sent at %.3f ran at %s at %.3f as %s", r.id, r.at.Sub(s.lab.log.startedAt).Seconds(), executed.Server,
				executed.At.Sub(s.lab.log.startedAt).Seconds(), executed.Account)
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	allowed := (tokenRate*quotaWindow.Seconds()+tokenBurst)*(1+quotaOverage) + quotaSlack
	most, from := 0.0, time.Time{}
	for i := range runs {
		tokens := 0.0
		for _, r := range runs[i:] {
			if end := runs[i].sent.Add(quotaWindow); !r.sent.After(end) && !r.arrived.After(end) {
				tokens += promptTokens + outputTokens
			}
		}
		if cmp.Compare(tokens, most) > 0 {
			most, from = tokens, runs[i].sent
		}
	}
	s.lab.log.printf("%d requests sent, %d run; most in %v: %.0f tokens, from %.3f; allowed %.0f", len(s.sent), len(runs), quotaWindow, most, from.Sub(s.lab.log.startedAt).Seconds(), allowed)
	s.lab.log.printf("rule QUOTA broken: %t", most > allowed)
	return most <= allowed
}
