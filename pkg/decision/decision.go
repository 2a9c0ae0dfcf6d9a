// Package decision records routing, placement and other decisions of a daemon:
// it writes one structured log line for each, and keeps a bounded history that
// shows which decisions were made for a request and why.
package decision

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Kind is the kind of a decision, named after the function of the daemon that
// made it.
type Kind string

// Kinds of decisions.
const (
	KindRoute      Kind = "route"
	KindAdmission  Kind = "admission"
	KindReclaim    Kind = "reclaim"
	KindRetry      Kind = "retry"
	KindSettlement Kind = "settlement"
	KindQuarantine Kind = "quarantine"
	KindPlacement  Kind = "placement"
	KindCapacity   Kind = "capacity"
	KindHandOver   Kind = "hand_over"
)

// Alternative is a candidate that was considered. A lower score is better.
type Alternative struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
}

// Decision is a recorded decision. Chosen is empty when no candidate was chosen.
type Decision struct {
	Time         time.Time     `json:"time"`
	Kind         Kind          `json:"kind"`
	RequestID    string        `json:"request_id,omitempty"`
	Chosen       string        `json:"chosen,omitempty"`
	Alternatives []Alternative `json:"alternatives,omitempty"`
	Reason       string        `json:"reason"`
}

// Recorder logs decisions and keeps the newest ones. It is safe for concurrent
// use. A nil Recorder discards all decisions.
type Recorder struct {
	mu   sync.Mutex
	ring []Decision
	next int
}

// NewRecorder returns a Recorder that keeps up to capacity decisions.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{ring: make([]Decision, 0, max(capacity, 1))}
}

// Record logs d and adds it to the history, in place of the oldest decision
// when the history is full.
func (r *Recorder) Record(d Decision) {
	if r == nil {
		return
	}
	klog.InfoS("decision", "kind", d.Kind, "request", d.RequestID, "chosen", d.Chosen,
		"alternatives", d.Alternatives, "reason", d.Reason)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % len(r.ring)
}

// Explain returns the decisions of a request that are still in the history,
// oldest first.
func (r *Recorder) Explain(requestID string) []Decision {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if d.RequestID == requestID {
			found = append(found, d)
		}
	}
	return found
}
