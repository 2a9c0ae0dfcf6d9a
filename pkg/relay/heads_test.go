package relay_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// rawCall is a request that a caller writes itself.
type rawCall struct {
	method, proto, path, id string
	// header holds further fields, each with its line end.
	header string
	// closesAfter is the time after the request at which the caller closes its side of the
	// connection, or 0 if it does not.
	closesAfter time.Duration
}

// rawAnswer is what such a caller gets. err is set unless the answer is whole by its framing.
type rawAnswer struct {
	status int
	header http.Header
	body   string
	err    error
}

// success reports whether a caller takes the answer for a success.
func (a rawAnswer) success() bool { return a.err == nil && a.status/100 == 2 }

// call sends a request on a connection of its own.
func (c rawCall) call(address string) rawAnswer {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return rawAnswer{err: err}
	}
	defer func() { _ = conn.Close() }()
	method := cmp.Or(c.method, http.MethodPost)
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/%s\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: key\r\n%sContent-Length: 4\r\n\r\nbody",
		method, c.path, cmp.Or(c.proto, "1.1"), c.id, c.header); err != nil {
		return rawAnswer{err: err}
	}
	if c.closesAfter > 0 {
		time.AfterFunc(c.closesAfter, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	}
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return rawAnswer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return rawAnswer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// address returns the address of the daemon for callers.
func (f *fixture) address() string { return f.server.Listener.Addr().String() }

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// together runs n cases, a number of them at a time.
func together(n int, run func(i int)) {
	const atOnce = 128
	var running sync.WaitGroup
	var next atomic.Int64
	for range atOnce {
		running.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				run(i)
			}
		})
	}
	running.Wait()
}

// Bodies of answers of the tests below.
const (
	plainBody  = "the whole answer"
	streamBody = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
)

// framedAnswer returns an answer, the length of its head, and from which length on it passes for whole.
func framedAnswer(framing, id, body string) (answer string, head, whole int) {
	fields := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nForwarded-Outcome: answered\r\nSeal: s\r\n"
	switch framing {
	case "length":
		answer = fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
		head = len(answer)
		answer += body
		whole = len(answer)
	case "length first":
		answer = strings.Replace(fields, "\r\n", "\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n", 1) + "\r\n"
		head = len(answer)
		answer += body
		whole = len(answer)
	case "chunks":
		answer = fields + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"
		head = len(answer)
		half := len(body) / 2
		answer += fmt.Sprintf("%x\r\n%s\r\n%x;ext=1\r\n%s\r\n0\r\nSum: 7\r\n\r\n", half, body[:half], len(body)-half, body[half:])
		whole = len(answer)
	case "HEAD":
		answer = fields + "Content-Length: 1234\r\n\r\n"
		head, whole = len(answer), len(answer)
	case "none":
		answer = fields + "\r\n"
		head = len(answer)
		answer += body
		whole = head
	}
	return answer, head, whole
}

// Guards against a success that a daemon makes of an answer whose server stopped in its head or body, at
// any byte, with a close, a reset or silence: callers got a 200 with an empty or short body.
func TestAnAnswerThatStopsAnywhereIsNoSuccess(t *testing.T) {
	type place struct {
		name string
		// address returns the address to which callers send.
		address string
		// daemon is set if another daemon stops: all its answers have a length or chunks.
		daemon, reused bool
	}
	var reuses, cuts atomic.Int64
	var seen sync.Map
	stops := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		var framing, ending string
		var at int
		fields := strings.Split(r.URL.Path, "/")
		framing, ending = strings.ReplaceAll(fields[2], "+", " "), fields[4]
		if _, err := fmt.Sscan(fields[3], &at); err != nil {
			return false
		}
		body := plainBody
		if fields[1] == "stream" || fields[1] == "whole" {
			body = streamBody
		}
		answer, head, whole := framedAnswer(framing, id, body)
		_, earlier := seen.LoadOrStore(c, true)
		if strings.HasPrefix(id, "warm") {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nForwarded-Outcome: answered\r\nSeal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}
		cuts.Add(1)
		if earlier {
			reuses.Add(1)
		}
		_, _ = io.WriteString(c, answer[:at])
		if at == len(answer) && (whole != head || framing == "HEAD") {
			// The connection may carry another request.
			return true
		}
		switch ending {
		case "reset":
			reset(c)
		case "silence":
			// The daemon closes the connection.
			_, _ = c.Read(make([]byte, 1))
		}
		return false
	})
	direct, forwarding, peer := newFixture(t, stops), newForwardFixture(t, stops), newForwardFixture(t, stops)
	peer.targets[0].Address = stops.listener.Addr().String()
	direct.connectionLimit, forwarding.others[0].connectionLimit = 1000, 1000
	places := []place{{"direct", direct.address(), false, false}, {"reused", direct.address(), false, true},
		{"forwarded", forwarding.address(), false, false}, {"daemon", peer.address(), true, false}}
	type cut struct {
		place
		rawCall
		at, head, whole, length int
		body, ending            string
	}
	var cases []cut
	for _, p := range places {
		for _, route := range []string{"once", "look", "whole", "stream"} {
			body := plainBody
			if route == "whole" || route == "stream" {
				body = streamBody
			}
			for _, framing := range []string{"length", "length first", "chunks", "none", "HEAD"} {
				if route != "once" && (framing == "length first" || framing == "HEAD") {
					continue
				}
				method := http.MethodPost
				if framing == "HEAD" {
					method = http.MethodHead
				}
				for _, ending := range []string{"close", "reset", "silence"} {
					answer, head, whole := framedAnswer(framing, fmt.Sprint(10000), body)
					for at := 0; at <= len(answer); at++ {
						if ending == "silence" && at%24 != 0 || p.reused && route != "once" && ending == "reset" {
							continue
						}
						id := fmt.Sprint(10000 + len(cases))
						cases = append(cases, cut{place: p, at: at, head: head, whole: whole, length: len(answer), body: body, ending: ending,
							rawCall: rawCall{method: method, path: fmt.Sprintf("/%s/%s/%d/%s", route, strings.ReplaceAll(framing, " ", "+"), at, ending), id: id, header: "Left: 500ms\r\n"}})
					}
				}
			}
		}
	}
	var mu sync.Mutex
	var wrong []string
	together(len(cases), func(i int) {
		c := &cases[i]
		if c.reused {
			warm := c.rawCall
			warm.id = "warm" + warm.id
			warm.call(c.address)
		}
		got := c.call(c.address)
		// The answer of a server without a length ends with its close.
		unframed := c.whole == c.head && c.method != http.MethodHead
		mayBeWhole := c.at == c.length
		if unframed {
			mayBeWhole = c.at >= c.head && c.ending == "close" && !c.daemon
		}
		bad := got.status/100 == 2 && !strings.HasPrefix(c.body, got.body)
		switch {
		case got.success():
			bad = bad || !mayBeWhole || !unframed && c.method != http.MethodHead && got.body != c.body || c.method == http.MethodHead && got.header.Get("Content-Length") != "1234"
		case mayBeWhole && c.at == c.length:
			bad = true
		}
		if bad {
			mu.Lock()
			defer mu.Unlock()
			wrong = append(wrong, fmt.Sprintf("%s %s cut at byte %d of %d (head %d): status %d, body %q, err %v", c.name, c.path, c.at, c.length, c.head, got.status, got.body, got.err))
		}
	})
	t.Logf("%d cases, %d answers cut, %d on reused connections", len(cases), cuts.Load(), reuses.Load())
	report(t, wrong, len(cases))
	gomega.NewWithT(t).Expect(reuses.Load()).To(gomega.BeNumerically(">", 500))
}

// report fails the test with the first of the cases that went wrong.
func report(t *testing.T, wrong []string, of int) {
	t.Helper()
	const shown = 12
	if len(wrong) > 0 {
		t.Errorf("%d of %d cases:\n%s", len(wrong), of, strings.Join(wrong[:min(len(wrong), shown)], "\n"))
	}
}

// Guards against a success that is made of the beginning of one head and the rest of another, when a server
// stops in the head of an answer and writes the next answer after it on the same connection.
func TestAHeadIsNotMixedWithTheNext(t *testing.T) {
	const stale = "HTTP/1.1 200 OK\r\nSeal: s\r\nCustom: 1\r\nContent-Type: text/event-stream\r\nLast: 1"
	answers := []string{"HTTP/1.1 500 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 16\r\n\r\nid: 1\ndata: no\n\n", "HTTP/1.1 404 X\r\nId: ID\r\nContent-Length: 16\r\n\r\nid: 1\ndata: no\n\n",
		"HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 16\r\n\r\nid: 1\ndata: no\n\n", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 16\r\n\r\nid: 1\ndata: no\n\n"}
	b := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		var at, answer int
		id := r.Header.Get("Id")
		if _, err := fmt.Sscanf(id, "%d-%d", &at, &answer); err != nil {
			return false
		}
		_, _ = io.WriteString(c, stale[:at]+strings.ReplaceAll(answers[answer], "ID", id))
		return true
	})
	f := newFixture(t, b)
	f.connectionLimit = 1000
	paths := []string{"/once/x", "/look/x", "/whole/x", "/stream/x"}
	found := make([]string, len(stale)*len(answers)*len(paths))
	together(len(found), func(i int) {
		at, answer, path := i%len(stale), i/len(stale)%len(answers), paths[i/len(stale)/len(answers)]
		got := rawCall{path: path, id: fmt.Sprintf("%d-%d", at, answer), header: "Left: 300ms\r\n"}.call(f.address())
		if got.status/100 == 2 {
			found[i] = fmt.Sprintf("%s after %q: %q: status %d, body %q, err %v", path, stale[:at], answers[answer], got.status, got.body, got.err)
		}
	})
	wrong := slices.DeleteFunc(found, func(text string) bool { return text == "" })
	report(t, wrong, len(stale)*len(answers)*len(paths))
}
