package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// Daemons on one machine reach each other directly, so that their links can't be cut from outside. Each
// daemon therefore has an address of its own, 127.0.0.i, and every other daemon j knows it by another one,
// 127.0.j.i, where a proxy listens. The proxies rewrite the addresses in messages and in the daemons' rows
// of the store, as a router with address translation does. The addresses have the same length.

// addressOf returns the address of daemon i.
func addressOf(i int) string { return fmt.Sprintf("127.0.0.%d", i) }

// addressSeenBy returns the address by which daemon j knows daemon i.
func addressSeenBy(j, i int) string { return fmt.Sprintf("127.0.%d.%d", j, i) }

func join(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// translate replaces the address and port of daemon i in bytes meant for daemon j.
func translate(encoded []byte, j, i, port int) []byte {
	return bytes.ReplaceAll(encoded, []byte(join(addressOf(i), port)), []byte(join(addressSeenBy(j, i), port)))
}

// links are the links between the daemons.
type links struct {
	// cut is the daemon that is cut off from all others, or 0.
	cut atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newLinks() *links { return &links{conns: make(map[net.Conn]struct{})} }

// isCut reports whether the link between two daemons is cut.
func (l *links) isCut(i, j int) bool {
	cut := int(l.cut.Load())
	return cut != 0 && (cut == i || cut == j)
}

// listen opens the link on which daemon j reaches daemon i at a port.
func (l *links) listen(j, i, port int) error {
	listener, err := net.Listen("tcp", join(addressSeenBy(j, i), port))
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, j, i, port)
		}
	}()
	return nil
}

// serve connects daemon j to daemon i.
func (l *links) serve(from net.Conn, j, i, port int) {
	to, err := net.Dial("tcp", join(addressOf(i), port))
	if err != nil {
		_ = from.Close()
		return
	}
	l.mu.Lock()
	l.conns[from], l.conns[to] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { l.pass(to, from, i, j, port) })
	done.Go(func() { l.pass(from, to, j, i, port) })
	done.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// maxFrameBytes is more than a message of a small deployment has.
const maxFrameBytes = 64 << 20

// pass passes messages from daemon i to daemon j on. While the link is cut they are lost without a
// sign, as behind a partition. A message has a length of four bytes before it.
func (l *links) pass(to, from net.Conn, j, i, port int) {
	defer func() { _, _ = to.Close(), from.Close() }()
	for {
		var length [4]byte
		if _, err := io.ReadFull(from, length[:]); err != nil {
			return
		}
		size := binary.BigEndian.Uint32(length[:])
		if size > maxFrameBytes {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(from, frame); err != nil {
			return
		}
		if l.isCut(i, j) {
			continue
		}
		if _, err := to.Write(append(length[:], translate(frame, j, i, port)...)); err != nil {
			return
		}
	}
}

// storeFor returns the store as daemon j sees it: with the other daemons' addresses as it knows them.
func storeFor(store *standin.Store, j, daemons, port int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, r)
		body := recorder.Body.Bytes()
		if r.URL.Path == "/api/rows-get" && recorder.Code == http.StatusOK {
			body = translateRows(body, j, daemons, port)
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(body)
	})
}

// translateRows translates the addresses in rows that daemon j reads.
func translateRows(body []byte, j, daemons, port int) []byte {
	var response struct {
		Rows    []standin.Row `json:"rows"`
		HasMore bool          `json:"hasMore"`
		Ver     uint64        `json:"ver"`
	}
	if json.Unmarshal(body, &response) != nil {
		return body
	}
	for n := range response.Rows {
		if response.Rows[n].Part != "daemon" {
			continue
		}
		for i := 1; i <= daemons; i++ {
			if i != j {
				response.Rows[n].Value = translate(response.Rows[n].Value, j, i, port)
			}
		}
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		return body
	}
	return encoded
}
