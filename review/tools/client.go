package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names in the configuration of the cases.
const (
	host        = "enrol.example"
	bookPath    = "/book/"
	lookPath    = "/look/"
	streamPath  = "/term/"
	service     = "enrol-app"
	modelName   = "tutor-llm"
	accountName = "account-a"
	accountKey  = "key-of-account-a"
)

// configuration returns a manifest with two routes to a plain service and one to a model.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 150,
			"priority": 2, "service": service, "maxAttempts": attempts, "public": false}
	}
	stream := map[string]any{"name": "term", "host": host, "pathPrefix": streamPath, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 800,
		"priority": 0, "service": modelName, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 500}
	model := map[string]any{"name": modelName, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacityTokens": 615591, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true,
			"stride": 1, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}}
	return map[string]any{"version": version,
		"routes":   []any{route("book", bookPath, "non_idempotent", 1), route("look", lookPath, "idempotent", 2), stream},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false}, model},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": accountName, "apiKeys": []string{accountKey}, "ratePerS": 0, "burst": 0}},
	}
}

// clients send requests to the daemons that are ready until stop is closed.
type clients struct {
	record *record
	count  atomic.Int64
	served atomic.Int64
	mu     sync.Mutex
	ready  []*daemon
}

// watchReady keeps the list of daemons in rotation, as the balancer does.
func (c *clients) watchReady(all []*daemon, stop <-chan struct{}) {
	for {
		var ready []*daemon
		for _, d := range all {
			if d.isReady() {
				ready = append(ready, d)
			}
		}
		c.mu.Lock()
		c.ready = ready
		c.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// run sends perSecond requests a second.
func (c *clients) run(perSecond int, stop <-chan struct{}) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		c.mu.Lock()
		if len(c.ready) == 0 {
			c.mu.Unlock()
			continue
		}
		d := c.ready[rand.IntN(len(c.ready))]
		c.mu.Unlock()
		go c.send(d)
	}
}

func (c *clients) send(d *daemon) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	n := c.count.Add(1)
	path, method := bookPath, http.MethodPost
	if n%3 == 0 {
		path, method = lookPath, http.MethodGet
	}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("booking " + id)
	}
	request, err := http.NewRequest(method, "http://"+d.front+path+"x", body)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	request.Header.Set("Authorization", "Bearer "+accountKey)
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.record.add("client: %s %s to %s: %v", method, id, d.node, err)
		return
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK && err == nil {
		c.served.Add(1)
	}
	c.record.add("client: %s %s to %s: %d", method, id, d.node, response.StatusCode)
}
