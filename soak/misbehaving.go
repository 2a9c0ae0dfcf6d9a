package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// misbehavingBody is the largest body that daemons accept.
	misbehavingBody = 4 << 20
	// misbehavingStay is how long a misbehaving client stays at most after what it has sent.
	misbehavingStay = 2 * time.Second
	// misbehavingDeadline is the deadline that these clients state.
	misbehavingDeadline = time.Hour
	// daemonMemoryKiB is the memory of the host of each daemon, as its settings state it.
	daemonMemoryKiB = 284 << 10
)

// misbehavior is a way in which clients keep to no limit.
type misbehavior struct {
	name string
	// length is the announced length of the body, or -1 for chunks.
	length int64
	// send is the number of bytes that are sent of it, in chunks of chunk bytes.
	send, chunk int
	// silent leaves out the end of the head.
	silent bool
}

var misbehaviors = []misbehavior{
	{name: "stops short", length: misbehavingBody, send: misbehavingBody - 1},
	{name: "whole", length: misbehavingBody, send: misbehavingBody},
	{name: "large chunks", length: -1, send: misbehavingBody - 1<<16, chunk: 1 << 16},
	{name: "small chunks", length: -1, send: 1 << 18, chunk: 1},
	{name: "endless chunks", length: -1, send: 2 * misbehavingBody, chunk: 1 << 16},
	{name: "far over the limit", length: 1 << 40, send: 1 << 20},
	{name: "announced only", length: misbehavingBody},
	{name: "head without end", silent: true},
}

// misbehave connects to one daemon after another as a client that keeps to no limit.
func (h *harness) misbehave(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(number)+7000))
	for n := 0; ctx.Err() == nil; n++ {
		d := h.daemons[random.IntN(len(h.daemons))]
		way := misbehaviors[random.IntN(len(misbehaviors))]
		id := fmt.Sprintf("misbehaving-%d-%d", number, n)
		if status := way.play(ctx, d.settings.Front, id, time.Duration(random.Int64N(int64(misbehavingStay)))); status != 0 {
			h.checkRefused(id, way.name, status)
		}
		sleep(ctx, 20*time.Millisecond)
	}
}

// checkRefused checks that a request whose answer promises that it didn't run has not run.
func (h *harness) checkRefused(id, way string, status int) {
	switch status {
	case http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if runs := h.ledger.Runs(id); len(runs) > 0 {
			h.addFinding("request %s (%s) was answered %d and has run", id, way, status)
		}
	}
}

// play sends a request in one way, stays for a while, and returns the status of the answer, or 0.
func (m *misbehavior) play(ctx context.Context, address, id string, stay time.Duration) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		// The daemon is down.
		return 0
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	if conn.SetDeadline(time.Now().Add(misbehavingStay)) != nil || !m.write(conn, id) {
		return 0
	}
	if conn.SetReadDeadline(time.Now().Add(stay)) != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// write sends the request and reports whether the daemon took all of it.
func (m *misbehavior) write(conn net.Conn, id string) bool {
	request := standin.Request{ID: id, Key: apiKey, Deadline: misbehavingDeadline}
	fields := make(http.Header)
	request.SetHeader(fields)
	var encoded strings.Builder
	// Writing to a builder doesn't fail.
	_ = fields.Write(&encoded)
	head := fmt.Sprintf("POST /once/%s HTTP/1.1\r\nHost: %s\r\n%s", id, hostName, encoded.String())
	switch {
	case m.silent:
		head += "X-Long: " + strings.Repeat("x", 40<<10)
	case m.length < 0:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", m.length)
	}
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	const piece = 64 << 10
	text := bytes.Repeat([]byte("m"), piece)
	if m.chunk > 0 {
		text = bytes.Repeat(fmt.Appendf(nil, "%x\r\n%s\r\n", m.chunk, strings.Repeat("m", m.chunk)), piece/m.chunk)
	}
	for left := m.send; left > 0; left -= piece {
		out := text
		if m.chunk == 0 {
			out = text[:min(left, piece)]
		}
		if _, err := conn.Write(out); err != nil {
			return false
		}
	}
	return true
}

// checkMemory checks the largest resident memory that the running daemons have had.
func (h *harness) checkMemory() {
	for _, d := range h.daemons {
		d.mu.Lock()
		pid := d.process.Pid
		d.mu.Unlock()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			// The daemon is down.
			continue
		}
		for line := range strings.Lines(string(status)) {
			value, found := strings.CutPrefix(line, "VmHWM:")
			if !found {
				continue
			}
			if kib, err := strconv.Atoi(strings.Fields(value)[0]); err != nil || kib > daemonMemoryKiB {
				h.addFinding("daemon %s held %s of memory, its host has %d kB", d.settings.Node, strings.TrimSpace(value), daemonMemoryKiB)
			}
		}
	}
}
