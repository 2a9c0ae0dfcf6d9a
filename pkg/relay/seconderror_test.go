package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/relay"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// Guards against a success, or a stream that looks whole, for a caller that has closed its side of the
// connection: the daemon took it for gone and ended the response as if it were complete.
func TestACallerThatClosesItsSideGetsNoFalseSuccess(t *testing.T) {
	breaks := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		if strings.HasSuffix(r.URL.Path, "/events") {
			events(c, r.Header.Get("Id"), 1, 2, false)
		} else {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: ")
		}
		time.Sleep(50 * time.Millisecond)
		return false
	})
	direct, forwarding := newFixture(t, breaks), newForwardFixture(t, breaks)
	var wrong []string
	for i, daemon := range []*fixture{direct, forwarding.fixture} {
		for _, path := range []string{"/once/x", "/look/x", "/stream/x", "/whole/x", "/whole/events", "/stream/events"} {
			for _, proto := range []string{"1.1", "1.0"} {
				id := fmt.Sprint(i, path, proto)
				got := rawCall{proto: proto, path: path, id: id, closesAfter: 20 * time.Millisecond}.call(daemon.address())
				if got.success() {
					wrong = append(wrong, fmt.Sprintf("daemon %d %s HTTP/%s: status %d, header %v, body %q", i, path, proto, got.status, got.header, got.body))
				}
			}
		}
	}
	report(t, wrong, 24)
}

// Guards against a stream that was cut and looks whole to a caller of HTTP/1.0, whose responses end with
// their connection.
func TestACutStreamResetsTheConnectionOfAnOldCaller(t *testing.T) {
	breaks := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		events(c, r.Header.Get("Id"), 1, 2, false)
		return false
	})
	direct, forwarding := newFixture(t, breaks), newForwardFixture(t, breaks)
	var wrong []string
	for i, daemon := range []*fixture{direct, forwarding.fixture} {
		for _, path := range []string{"/stream/x", "/whole/x"} {
			for _, proto := range []string{"1.1", "1.0"} {
				for _, header := range []string{"", "Connection: close\r\n", "Connection: keep-alive\r\n"} {
					got := rawCall{proto: proto, path: path, id: "1", header: header}.call(daemon.address())
					if got.success() || got.body != "" && !strings.HasPrefix(streamBody, got.body) {
						wrong = append(wrong, fmt.Sprintf("daemon %d %s HTTP/%s %q: status %d, body %q", i, path, proto, header, got.status, got.body))
					}
				}
			}
		}
	}
	report(t, wrong, 24)
}

// secondAnswer is the answer of a server that is to continue a stream.
type secondAnswer struct {
	name string
	// write writes the answer to a request with an ID and reports whether the connection stays open.
	write func(c net.Conn, id string) bool
	// notRun is set if it states that the request did not run.
	notRun bool
}

// errorBodies are bodies of errors: plain text, one that ends as an event does, and an event.
var errorBodies = map[string]string{"text": "out of memory", "block": "out of memory\n\n", "event": "id: 3\ndata: out of memory\n\n", "none": "",
	"long": strings.Repeat("out of memory\n", 1<<14)}

// secondAnswers returns the errors and other answers of a server that is to continue a stream and does not.
func secondAnswers() []secondAnswer {
	var all []secondAnswer
	add := func(name, head, body string, notRun bool) {
		for framing, frame := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), "chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
			"none": "\r\n" + body, "short": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+1, body)} {
			if framing == "chunks" && body == "" {
				frame = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
			}
			all = append(all, secondAnswer{name: name + ", framing " + framing, notRun: notRun, write: func(c net.Conn, id string) bool {
				_, _ = io.WriteString(c, strings.ReplaceAll(head, "ID", id)+frame)
				return framing == "length" || framing == "chunks"
			}})
		}
	}
	for _, status := range []int{400, 404, 408, 421, 429, 500, 502, 503, 504} {
		for fields, label := range map[string]string{"Id: ID\r\nSeal: s\r\n": "sealed", "Id: ID\r\n": "unsealed", "": "unnamed", "Id: ID\r\nNot-Run: 1\r\n": "not run",
			"Id: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\n": "as events"} {
			for body, text := range errorBodies {
				for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
					if status != http.StatusInternalServerError && (before != "" || body != "text" && body != "event") {
						continue
					}
					add(fmt.Sprintf("%q%d %s, body %s", before, status, label, body), fmt.Sprintf("%sHTTP/1.1 %d X\r\n%s", before, status, fields), text, label == "not run" || status == http.StatusMisdirectedRequest)
				}
			}
		}
	}
	for status, text := range map[int]string{200: "OK", 201: "Created", 202: "Accepted", 204: "No Content", 206: "Part"} {
		for fields, label := range map[string]string{"Id: ID\r\nSeal: s\r\nContent-Type: text/plain\r\n": "text", "Id: ID\r\nSeal: s\r\nContent-Type: application/json\r\n": "JSON", "Id: ID\r\nContent-Type: text/event-stream\r\n": "unsealed",
			"Id: other\r\nSeal: s\r\nContent-Type: text/event-stream\r\n": "of another"} {
			for body, content := range errorBodies {
				if status == http.StatusNoContent && body != "none" || status != http.StatusOK && body != "event" && body != "none" {
					continue
				}
				add(fmt.Sprintf("%d %s, body %s", status, label, body), fmt.Sprintf("HTTP/1.1 %d %s\r\n%s", status, text, fields), content, false)
			}
		}
	}
	return all
}

// Guards against bytes of an error in a stream that has begun, and against a stream that looks whole, when
// its server breaks off and the next one answers with an error or with something other than the rest.
func TestNoErrorFollowsTheEventsOfAStream(t *testing.T) {
	answers := secondAnswers()
	var reached atomic.Int64
	serve := func(_ int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		if r.Header.Get("Last") != "" {
			var i int
			if _, err := fmt.Sscan(id, &i); err != nil {
				return false
			}
			reached.Add(1)
			return answers[i%len(answers)].write(c, id)
		}
		events(c, id, 1, 2, false)
		if strings.HasSuffix(id, "0") {
			_, _ = io.WriteString(c, "15\r\nid: 3\ndata: e")
		}
		return false
	}
	// The servers are chosen in turn, so that either may begin the stream.
	first, second := newBackend(t, serve), newBackend(t, serve)
	direct, inside := newFixture(t, first, second), newForwardFixture(t, first)
	inside.others[0].servers = direct.servers
	places := []struct {
		name    string
		fixture *fixture
	}{{"direct", direct}, {"inside another daemon", inside.fixture}}
	others := []*fixture{direct, inside.fixture, inside.others[0]}
	for name, senders := range map[string]map[string]string{"one forwarded": {"server-0": "other-0"}, "both forwarded": {"server-0": "other-0", "server-1": "other-1"}} {
		f := newForwardFixture(t, first, second)
		f.cut, f.servers, f.senders = false, direct.servers, senders
		others = append(others, f.others...)
		// The daemon that passes the stream on learns from others which version has begun it.
		others = append(others, f.fixture)
		places = append(places, struct {
			name    string
			fixture *fixture
		}{name, f.fixture})
	}
	found := make([]string, len(answers)*len(places))
	for _, f := range others {
		f.connectionLimit = 1000
		for i := range found {
			f.origins[fmt.Sprint(i)] = streamversion.Origin{Service: "s", Version: "v1"}
		}
	}
	together(len(found), func(i int) {
		place, a := places[i/len(answers)], answers[i%len(answers)]
		got := rawCall{path: fmt.Sprint("/stream/", i), id: fmt.Sprint(i), header: "Left: 1500ms\r\n"}.call(place.fixture.address())
		cut := got.status == http.StatusOK && got.err != nil && strings.HasPrefix(streamBody, got.body)
		if !cut && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
			found[i] = fmt.Sprintf("%s: %s: status %d, body %.60q, err %v", place.name, a.name, got.status, got.body, got.err)
		}
	})
	wrong := slices.DeleteFunc(found, func(text string) bool { return text == "" })
	report(t, wrong, len(answers)*len(places))
	if most := len(answers) * len(places) * 9 / 10; reached.Load() < int64(most) {
		t.Errorf("%d streams reached their second server, want %d at least", reached.Load(), most)
	}
}

// Guards against the head and text of an answer to another request in the middle of a stream that ends with
// its connection, and against events that come again because the place in the stream was lost with them.
func TestAnAnswerAfterTheEventsOfAStreamIsNotPassedOn(t *testing.T) {
	others := []string{"HTTP/1.1 500 X\r\nId: 7\r\nContent-Length: 4\r\n\r\nfail", "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\nContent-Length: 16\r\n\r\nid: 9\ndata: e9\n\n", "HTTP/1.1 503 X\r\n\r\n", "fail\n\n"}
	serve := func(_ int, r *http.Request, c net.Conn) bool {
		id, after := r.Header.Get("Id"), 0
		if last := r.Header.Get("Last"); last != "" {
			_, _ = fmt.Sscan(last, &after)
		}
		if after >= 2 {
			events(c, id, after+1, 4, true)
			return true
		}
		var i int
		_, _ = fmt.Sscan(id, &i)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n: queued\n\n%s: busy\n\n%s", id, streamBody, others[i%len(others)])
		return false
	}
	first, second := newBackend(t, serve), newBackend(t, serve)
	direct, forwarding := newFixture(t, first, second), newForwardFixture(t, first, second)
	forwarding.cut, forwarding.servers, forwarding.senders = false, direct.servers, map[string]string{"server-0": "other-0", "server-1": "other-1"}
	var wrong []string
	for place, f := range []*fixture{direct, forwarding.fixture} {
		for i := range others {
			for _, other := range append(forwarding.others, f) {
				other.origins[fmt.Sprint(i)] = streamversion.Origin{Service: "s", Version: "v1"}
			}
			for _, path := range []string{"/stream/x", "/whole/x"} {
				got := rawCall{path: path, id: fmt.Sprint(i)}.call(f.address())
				// Comments are passed on.
				body := strings.ReplaceAll(strings.ReplaceAll(got.body, ": queued\n\n", ""), ": busy\n\n", "")
				want := streamBody
				if path == "/stream/x" {
					want += "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
				}
				if body != want || got.success() != (path == "/stream/x") {
					wrong = append(wrong, fmt.Sprintf("place %d %s after %q: status %d, body %q, err %v", place, path, others[i], got.status, got.body, got.err))
				}
			}
		}
	}
	report(t, wrong, 4*len(others))
}

// Guards against a request that a server may have run and that is refused as one that has not, with its
// usage given back, because another daemon has not run it. Guards as well against connections to that daemon
// that are never closed when its answer ends a stream that has begun.
func TestWhatAnotherDaemonStatesDoesNotHideAnEarlierRun(t *testing.T) {
	var wrong []string
	n := 0
	for _, stated := range []string{"not-run", "elsewhere", "unknown", "answered", ""} {
		statuses := []int{404, 429, 500, 503}
		if stated == "unknown" {
			statuses = []int{502, 504}
		}
		for _, status := range statuses {
			for _, first := range []string{"/look/broken", "/look/failed", "/stream/broken", "/stream/failed", "/stream/events"} {
				n++
				breaks := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
					id := r.Header.Get("Id")
					switch {
					case strings.HasSuffix(first, "failed"):
						fmt.Fprintf(c, "HTTP/1.1 500 X\r\nId: %s\r\nSeal: s\r\nContent-Length: 5\r\n\r\nfirst", id)
						return true
					case strings.HasSuffix(first, "events"):
						events(c, id, 1, 2, false)
					}
					return false
				})
				other := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
					body := `{"title":"refused"}`
					fmt.Fprintf(c, "HTTP/1.1 %d X\r\nForwarded-Outcome: %s\r\nId: %s\r\nRetry-After: 1\r\nContent-Length: %d\r\n\r\n%s", status, stated, r.Header.Get("Id"), len(body), body)
					return true
				})
				f := newForwardFixture(t, other)
				f.cut, f.servers, f.senders = false, newFixture(t, breaks, other).servers, map[string]string{"server-1": "other-0"}
				f.targets[0].Address = other.listener.Addr().String()
				got := rawCall{path: first, id: "1"}.call(f.address())
				bad := got.success() || got.status == http.StatusServiceUnavailable && stated != "answered" || got.status == http.StatusTooManyRequests && stated != "answered" || f.refunded != 0
				switch {
				case strings.HasSuffix(first, "events"):
					bad = bad || got.body != streamBody || got.err == nil
				case strings.HasSuffix(first, "failed") && (stated == "not-run" || stated == "elsewhere"):
					bad = bad || got.status != http.StatusInternalServerError || got.body != "first"
				}
				if other.count() == 0 {
					bad = true
				}
				f.handler.CloseExpired(time.Now().Add(time.Hour))
				open := false
				select {
				case <-other.closed:
				case <-time.After(100 * time.Millisecond):
					open = true
				}
				if bad || open {
					wrong = append(wrong, fmt.Sprintf("%s, then %d %q: status %d, body %q, err %v, refunded %v, connection open %t, forwarded %d", first, status, stated, got.status, got.body, got.err, f.refunded, open, other.count()))
				}
			}
		}
	}
	report(t, wrong, n)
}

// Guards against an error that passes for the rest of a stream when a caller takes the stream up and the first
// server, or the one after it, answers with an error, and against a refusal as not run that isn't one.
func TestAStreamThatIsTakenUpGetsNoErrorAsItsRest(t *testing.T) {
	answers := secondAnswers()
	serve := func(_ int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		var i int
		if _, err := fmt.Sscan(id, &i); err != nil {
			return false
		}
		if r.Header.Get("Last") == "4" {
			return answers[i%len(answers)].write(c, id)
		}
		// The first server of every other request has two more events.
		if i%2 == 0 {
			events(c, id, 3, 4, false)
			return false
		}
		return answers[i%len(answers)].write(c, id)
	}
	first, second := newBackend(t, serve), newBackend(t, serve)
	direct, inside := newFixture(t, first, second), newForwardFixture(t, first)
	inside.others[0].servers = direct.servers
	inside.others[0].connectionLimit, direct.connectionLimit = 1000, 1000
	for _, f := range []*fixture{direct, inside.fixture, inside.others[0]} {
		f.origins["began"] = streamversion.Origin{Service: "s", Version: "v1"}
	}
	const rest = "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
	found := make([]string, 2*len(answers))
	together(len(found), func(i int) {
		f := []*fixture{direct, inside.fixture}[i/len(answers)]
		a := answers[i%len(answers)]
		got := rawCall{path: fmt.Sprint("/stream/", i), id: fmt.Sprint(i), header: "Left: 1500ms\r\nResumes: began\r\nAfter: 2\r\n"}.call(f.address())
		bad := false
		switch {
		case got.status/100 == 2 && i%2 == 0:
			bad = got.success() || !strings.HasPrefix(rest, got.body)
		case got.status/100 == 2:
			bad = true
		case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests:
			// A server's own status is passed on, whatever it means.
			bad = i%2 == 0 || !a.notRun && got.header.Get("Content-Type") == "application/problem+json"
		}
		if bad {
			found[i] = fmt.Sprintf("place %d: %s: status %d, header %v, body %.60q, err %v", i/len(answers), a.name, got.status, got.header, got.body, got.err)
		}
	})
	wrong := slices.DeleteFunc(found, func(text string) bool { return text == "" })
	report(t, wrong, 2*len(answers))
}

// Guards against an error, or an end that looks whole, after the events of a stream that can't go on: its
// attempts, retries or time are used up, its request is put in quarantine, or servers failed before and after.
func TestAStreamThatCannotGoOnIsCut(t *testing.T) {
	for _, test := range []struct {
		name string
		// steps are what the servers do in turn: break off after events, fail, refuse, or stay silent.
		steps              []string
		attempts           int
		noRetries, refuses bool
		header             string
	}{
		{name: "attempts used up", steps: []string{"events"}, attempts: 1},
		{name: "no retries", steps: []string{"events"}, attempts: 4, noRetries: true},
		{name: "no other server", steps: []string{"events", "refuse", "refuse", "refuse"}, attempts: 9},
		{name: "deadline", steps: []string{"events", "silent"}, attempts: 2, header: "Left: 300ms\r\n"},
		{name: "quarantine", steps: []string{"events", "events"}, attempts: 4, refuses: true},
		{name: "error before", steps: []string{"fail", "events"}, attempts: 2},
		{name: "error before and quarantine", steps: []string{"fail", "events"}, attempts: 4, refuses: true},
		{name: "error before and after", steps: []string{"fail", "events", "fail"}, attempts: 3},
		{name: "error before, refusals after", steps: []string{"fail", "events", "refuse", "refuse"}, attempts: 9},
		{name: "error before, deadline after", steps: []string{"fail", "events", "silent"}, attempts: 3, header: "Left: 300ms\r\n"},
		{name: "error after error", steps: []string{"events", "fail", "fail"}, attempts: 3},
		{name: "error after error and none left", steps: []string{"events", "fail", "fail", "fail"}, attempts: 9},
		{name: "refusal, then error", steps: []string{"events", "refuse", "fail"}, attempts: 3},
	} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %t", test.name, forwarded), func(t *testing.T) {
				t.Parallel()
				var step atomic.Int64
				var f *fixture
				serve := func(_ int, r *http.Request, c net.Conn) bool {
					id := r.Header.Get("Id")
					n := min(int(step.Add(1))-1, len(test.steps)-1)
					switch test.steps[n] {
					case "events":
						f.reports.refuses.Store(test.refuses)
						events(c, id, 1, 2, false)
						return false
					case "fail":
						fmt.Fprintf(c, "HTTP/1.1 50%d X\r\nId: %s\r\nSeal: s\r\nContent-Length: 5\r\n\r\nerror", n, id)
					case "refuse":
						notRun(c, id)
					case "silent":
						_, _ = c.Read(make([]byte, 1))
						return false
					}
					return true
				}
				servers := []*backend{newBackend(t, serve), newBackend(t, serve), newBackend(t, serve), newBackend(t, serve)}
				f = newFixture(t, servers...)
				f.catalog.Routes[2].MaxAttempts, f.noRetries = test.attempts, test.noRetries
				front := f
				if forwarded {
					outer := newForwardFixture(t)
					internal := httptest.NewServer(http.HandlerFunc(f.handler.ServeForwarded))
					t.Cleanup(internal.Close)
					outer.targets = []relay.ForwardTarget{{Node: "other", Address: strings.TrimPrefix(internal.URL, "http://")}}
					front = outer.fixture
				}
				got := rawCall{path: "/stream/x", id: "1", header: test.header}.call(front.address())
				if got.success() || got.status != http.StatusOK || got.body != streamBody || front.refunded != 0 {
					t.Errorf("status %d, body %q, err %v, refunded %v", got.status, got.body, got.err, front.refunded)
				}
				if n := int(step.Load()); !test.refuses && n != len(test.steps) {
					t.Errorf("%d requests at servers, want %d", n, len(test.steps))
				}
			})
		}
	}
}
