package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// eventInterval is the time between two events of a stream.
	eventInterval = 100 * time.Millisecond
	// eventsPerStream is the number of events of a whole stream.
	eventsPerStream = 40
)

// modelWorker plays a worker of a model. It can start again at its address and under its ID with
// another version of its software.
type modelWorker struct {
	id, zone string
	store    *store
	record   *record

	mu       sync.Mutex
	address  string
	version  string
	born     int64
	sequence int64
	down     bool
	server   *http.Server
}

// start starts a run of the worker. The time of day of this machine is ahead of true time.
func (w *modelWorker) start(version string, ahead time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	first := w.address == ""
	w.address, w.version, w.born, w.down, w.sequence = listener.Addr().String(), version, time.Now().Add(-ahead).UnixMilli(), false, 0
	run := &modelRun{worker: w, version: version, born: w.born}
	w.server = &http.Server{Handler: run}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	if first {
		go w.heartbeat()
	}
	go w.writeEntry()
	w.record.add("worker: %s starts with version %s, born %d", w.id, version, w.born)
	return nil
}

// crash ends the run of the worker: all its connections are closed.
func (w *modelWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	_ = w.server.Close()
	w.record.add("worker: %s with version %s stops", w.id, w.version)
}

func (w *modelWorker) heartbeat() {
	for {
		time.Sleep(heartbeatInterval)
		w.writeEntry()
	}
}

func (w *modelWorker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.sequence++
	w.store.put("servers", w.id, map[string]any{"service": modelName, "address": w.address, "zone": w.zone, "version": w.version, "slots": 64,
		"state": "ready", "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born, "stage": "unified",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}})
}

// modelRun is one run of a model worker.
type modelRun struct {
	worker  *modelWorker
	version string
	born    int64
}

// ServeHTTP streams an answer, from the event after Last-Event-Id on.
func (m *modelRun) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		out.Header().Set("Instance-Id", m.worker.id)
		return
	case "/api/report":
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "unified", "busy": false, "born": m.born, "waiting": 0, "running": 0, "sequence": 0,
			"kvUsed": 0, "kvTotal": 615591, "handles": 0, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}})
		return
	}
	id := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.worker.id {
		out.Header().Set("Instance-Id", m.worker.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	m.worker.record.add("worker: %s with version %s runs %s after event %d", m.worker.id, m.version, id, last)
	out.Header().Set("Server-Seal", "seal."+m.worker.id+"."+id)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(out)
	for n := last + 1; n <= eventsPerStream; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: event %d by %s\n\n", n, n, m.version); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}
