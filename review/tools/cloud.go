package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"time"
)

// dutyCall is one call of a duty as the platform has received it.
type dutyCall struct {
	at      time.Time
	subject string
	holder  string
	fence   uint64
	window  int64
	counts  map[string]int
}

// cloud plays the platform's API for duties (PROTOCOL.md, "Singleton duties") and keeps all calls.
type cloud struct {
	record *record
	mu     sync.Mutex
	calls  []dutyCall
}

// ServeHTTP handles the call of a duty.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window  int64          `json:"window"`
		Counts  map[string]int `json:"counts"`
		Service string         `json:"service"`
		Zone    string         `json:"zone"`
		Desired int            `json:"desired"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := r.URL.Path
	if body.Service != "" {
		subject += " " + body.Service + " in " + body.Zone
	}
	call := dutyCall{at: time.Now(), subject: subject, holder: r.Header.Get("Duty-Holder"), fence: fence, window: body.Window, counts: body.Counts}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.record.add("platform: call %s window %d from %s with fence number %d, counts %v", subject, body.Window, call.holder, fence, body.Counts)
}

func (c *cloud) all() []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]dutyCall(nil), c.calls...)
}

// last returns the last call that was received, if any.
func (c *cloud) last() (dutyCall, bool) {
	calls := c.all()
	if len(calls) == 0 {
		return dutyCall{}, false
	}
	return calls[len(calls)-1], true
}

// sharedFences returns the cases in which two holders sent the same fence number for a subject.
func sharedFences(calls []dutyCall) []string {
	type number struct {
		subject string
		fence   uint64
	}
	first := make(map[number]string)
	var found []string
	reported := make(map[string]bool)
	for _, call := range calls {
		key := number{call.subject, call.fence}
		before, known := first[key]
		if !known {
			first[key] = call.holder
			continue
		}
		text := fmt.Sprintf("%s: fence number %d sent by %s and by %s", call.subject, call.fence, before, call.holder)
		if before != call.holder && !reported[text] {
			reported[text] = true
			found = append(found, text)
		}
	}
	return found
}

// differingReports returns the windows that were reported with different counts.
func differingReports(calls []dutyCall) []string {
	first := make(map[int64]dutyCall)
	var found []string
	for _, call := range calls {
		if call.subject != "/usage" {
			continue
		}
		before, known := first[call.window]
		if !known {
			first[call.window] = call
			continue
		}
		if !reflect.DeepEqual(before.counts, call.counts) {
			found = append(found, fmt.Sprintf("window %d reported as %v by %s and as %v by %s", call.window, before.counts, before.holder, call.counts, call.holder))
		}
	}
	return found
}

// span is a time within which calls are excused.
type span struct{ from, to time.Time }

// lowerFences returns the calls with a lower fence number than the platform had seen for their
// subject, except those within an excused span.
func lowerFences(calls []dutyCall, excused []span) []string {
	highest := make(map[string]uint64)
	var found []string
	for _, call := range calls {
		if call.fence < highest[call.subject] {
			ok := false
			for _, e := range excused {
				ok = ok || !call.at.Before(e.from) && !call.at.After(e.to)
			}
			if !ok {
				found = append(found, fmt.Sprintf("%s window %d: fence number %d of %s after %d", call.subject, call.window, call.fence, call.holder, highest[call.subject]))
			}
		}
		highest[call.subject] = max(highest[call.subject], call.fence)
	}
	return found
}
