package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
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
