package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is the time that a worker takes for a request.
	workTime = 30 * time.Millisecond
)

// worker plays a worker of a plain service.
type worker struct {
	id, service, zone, version string
	address                    string
	born                       int64
	slots                      int
	store                      *store
	record                     *record
	// onRun is told of each request that the worker runs.
	onRun func(w *worker, id, path string)

	mu       sync.Mutex
	sequence int64
	state    string
	gate     chan struct{}
}

func startWorker(w *worker) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.born, w.state, w.gate = listener.Addr().String(), time.Now().UnixMilli(), "ready", make(chan struct{}, w.slots)
	go func() { _ = http.Serve(listener, w) }()
	go w.heartbeat()
	return nil
}

func (w *worker) heartbeat() {
	for {
		w.writeEntry()
		time.Sleep(heartbeatInterval)
	}
}

// writeEntry writes the worker's entry in the store.
func (w *worker) writeEntry() {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots,
		"state": w.state, "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born}
	w.mu.Unlock()
	w.store.put("servers", w.id, entry)
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		out.Header().Set("Instance-Id", w.id)
		return
	case "/api/report":
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"busy": false, "born": w.born, "waiting": 0, "running": 0})
		return
	}
	id := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.gate <- struct{}{}
	defer func() { <-w.gate }()
	if w.onRun != nil {
		w.onRun(w, id, r.URL.Path)
	}
	time.Sleep(workTime)
	out.Header().Set("Server-Seal", "seal."+w.id+"."+id)
	_, _ = fmt.Fprintf(out, "answer of %s to %s%s", w.id, id, strings.Repeat(".", 700))
}
