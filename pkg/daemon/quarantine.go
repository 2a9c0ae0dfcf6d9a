package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// broadcastFunc sends an announcement to all daemons. Announcements with the same
// id are sent only once.
type broadcastFunc func(id string, payload []byte)

// streamQuarantine connects the streams of this daemon to the quarantine of
// requests that crash servers, and broadcasts each change to the other daemons.
type streamQuarantine struct {
	manager   *quarantine.Manager
	broadcast broadcastFunc
	clock     clock.WithTicker
	recorder  *decision.Recorder
}

func newStreamQuarantine(store table.Store, broadcast broadcastFunc, clock clock.WithTicker, recorder *decision.Recorder, registry prometheus.Registerer) (*streamQuarantine, error) {
	q := &streamQuarantine{broadcast: broadcast, clock: clock, recorder: recorder}
	options := quarantine.DefaultOptions()
	options.SettleDelay = quarantine.DefaultSettleDelay
	q.manager = quarantine.NewManager(quarantine.ManagerOptions{
		Core: options, Store: store, Clock: clock, OnChange: q.handleChange,
		OnError: func(err error) { klog.V(1).InfoS("cannot read or write quarantine entries", "error", err) },
	})
	size := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "monsooncrank_quarantine_entries",
		Help: "Requests in quarantine.",
	}, func() float64 { return float64(len(q.manager.List())) })
	running := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "monsooncrank_quarantine_running_attempts",
		Help: "Attempts at servers that have started and not ended, as the quarantine knows them.",
	}, func() float64 { return float64(q.manager.Running()) })
	for _, gauge := range []prometheus.Collector{size, running} {
		if err := registry.Register(gauge); err != nil {
			q.close()
			return nil, errors.Trace(err)
		}
	}
	return q, nil
}

func (q *streamQuarantine) close() { q.manager.Close() }

// handleChange records a change and broadcasts it if it was made here. It may be
// called before newStreamQuarantine returns.
func (q *streamQuarantine) handleChange(c quarantine.Change) {
	if c.Source == quarantine.SourceCrash || c.Source == quarantine.SourceSettled {
		reason := "suspect after a crash"
		if c.Entry.Quarantined {
			reason = "quarantined after repeated crashes"
		}
		q.recorder.Record(decision.Decision{
			Time: q.clock.Now(), Kind: decision.KindQuarantine, RequestID: c.Request, Chosen: fmt.Sprint(c.Entry.Servers), Reason: reason,
		})
	}
	if c.Local() {
		q.announce(c.Entry)
	}
}

// announce broadcasts an entry to the other daemons.
func (q *streamQuarantine) announce(entry quarantine.Entry) {
	payload, err := json.Marshal(entry)
	if err != nil {
		klog.ErrorS(err, "cannot encode quarantine entry")
		return
	}
	id := fmt.Sprintf("%s/%d/%s/%t", entry.Fingerprint, entry.Generation, strings.Join(entry.Servers, ","), entry.Quarantined)
	q.broadcast(id, payload)
}

// handleAnnouncement merges an entry that another daemon has broadcast.
func (q *streamQuarantine) handleAnnouncement(payload []byte) {
	var entry quarantine.Entry
	if err := json.Unmarshal(payload, &entry); err != nil {
		klog.ErrorS(err, "malformed quarantine entry")
		return
	}
	q.manager.MergeFrom("", entry)
}

// Check implements streaming.Quarantine.
func (q *streamQuarantine) Check(ctx context.Context, fingerprint string) streaming.Verdict {
	v := q.manager.Check(ctx, quarantine.Fingerprint(fingerprint))
	return streaming.Verdict{
		Isolate:     v == quarantine.VerdictIsolate,
		Quarantined: v == quarantine.VerdictRefuse,
	}
}

// Started implements streaming.Quarantine.
func (q *streamQuarantine) Started(a streaming.QuarantineAttempt) {
	q.manager.Started(quarantine.Attempt{
		ID: a.ID, Request: a.RequestID, Fingerprint: quarantine.Fingerprint(a.Fingerprint),
		Server: a.Backend.RunID(), Address: a.Backend.Address,
	})
}

// Resolved implements streaming.Quarantine.
func (q *streamQuarantine) Resolved(attemptID string) { q.manager.Resolved(attemptID, false) }

// Completed implements streaming.Quarantine.
func (q *streamQuarantine) Completed(attemptID, fingerprint string) {
	q.manager.Resolved(attemptID, true)
	q.manager.Succeeded(quarantine.Fingerprint(fingerprint))
}

// Abandoned implements streaming.Quarantine.
func (q *streamQuarantine) Abandoned(attemptID string, position int) {
	q.manager.Abandoned(attemptID, position)
}

// Broken implements streaming.Quarantine.
func (q *streamQuarantine) Broken(ctx context.Context, attemptID string, position int) bool {
	return q.manager.Broken(ctx, attemptID, position)
}
