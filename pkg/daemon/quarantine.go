package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

const (
	quarantinePartition = "quarantine"
	// quarantinePageSize is the maximum number of rows in one read of the table.
	quarantinePageSize = 100
	// maxQuarantineWrites is the maximum number of attempts to write an entry if
	// the write conflicts with those of other daemons.
	maxQuarantineWrites      = 5
	quarantineReloadInterval = 30 * time.Second
	// quarantineSettleDelay is the time that the announcement of a crash takes to
	// reach all daemons, including one retransmission.
	quarantineSettleDelay = 300 * time.Millisecond
)

// broadcastFunc sends an announcement to all daemons. Announcements with the same
// id are sent only once.
type broadcastFunc func(id string, payload []byte)

// quarantineManager maintains the quarantine of requests that crash servers. It
// broadcasts each change to the other daemons immediately and stores quarantined
// entries in the table.
type quarantineManager struct {
	store     table.Store
	broadcast broadcastFunc
	clock     clock.WithTicker
	recorder  *decision.Recorder
	size      prometheus.Gauge

	mu   sync.Mutex
	core *quarantine.Core

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func newQuarantineManager(store table.Store, broadcast broadcastFunc, clock clock.WithTicker, recorder *decision.Recorder, registry prometheus.Registerer) (*quarantineManager, error) {
	options := quarantine.DefaultOptions()
	options.SettleDelay = quarantineSettleDelay
	q := &quarantineManager{
		store: store, broadcast: broadcast, clock: clock, recorder: recorder,
		core: quarantine.New(options),
		size: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "monsooncrank_quarantine_entries",
			Help: "Requests in quarantine.",
		}),
	}
	if err := registry.Register(q.size); err != nil {
		return nil, errors.Trace(err)
	}
	q.ctx, q.stop = context.WithCancel(context.Background())
	q.tasks.Go(q.run)
	return q, nil
}

func (q *quarantineManager) close() {
	q.stop()
	q.tasks.Wait()
}

// run periodically loads the stored entries and removes expired ones. Loading is
// needed on a daemon that has just started or has missed an announcement.
func (q *quarantineManager) run() {
	ticker := q.clock.NewTicker(quarantineReloadInterval)
	defer ticker.Stop()
	for {
		if err := q.load(); err != nil {
			klog.V(1).InfoS("cannot read quarantine entries", "error", err)
		}
		q.mu.Lock()
		q.core.Expire(q.clock.Now())
		q.mu.Unlock()
		select {
		case <-ticker.C():
		case <-q.ctx.Done():
			return
		}
	}
}

// load reads all entries from the table and merges them.
func (q *quarantineManager) load() error {
	after := ""
	for {
		items, err := q.store.Query(q.ctx, quarantinePartition, after, quarantinePageSize)
		if err != nil {
			return errors.Trace(err)
		}
		for _, item := range items {
			q.mergeEncoded(item.Value)
			after = item.Key.Sort
		}
		if len(items) < quarantinePageSize {
			return nil
		}
	}
}

// mergeEncoded merges a JSON-encoded entry received from a peer or read from the
// table.
func (q *quarantineManager) mergeEncoded(payload []byte) {
	var entry quarantine.Entry
	if err := json.Unmarshal(payload, &entry); err != nil {
		klog.ErrorS(err, "malformed quarantine entry")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Merge(q.clock.Now(), entry)
	q.size.Set(float64(len(q.core.List())))
}

// Check implements streaming.Quarantine.
func (q *quarantineManager) Check(fingerprint string) streaming.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return streamingVerdict(q.core.Check(q.clock.Now(), quarantine.Fingerprint(fingerprint)))
}

func streamingVerdict(v quarantine.Verdict) streaming.Verdict {
	return streaming.Verdict{
		Isolate:     v == quarantine.VerdictIsolate,
		Quarantined: v == quarantine.VerdictRefuse,
	}
}

// ReportCrash implements streaming.Quarantine. Before a request is quarantined, it
// waits for the announcements of other daemons about suspects of the same crash.
func (q *quarantineManager) ReportCrash(ctx context.Context, report streaming.CrashReport) streaming.Verdict {
	server := fmt.Sprintf("%s#%d", report.Backend.Name, report.Backend.Incarnation)
	q.mu.Lock()
	now := q.clock.Now()
	entry, quarantined := q.core.RecordCrash(now, quarantine.Fingerprint(report.Fingerprint), server, report.Position)
	pending := q.core.Pending(now, entry.Fingerprint)
	q.mu.Unlock()
	if pending {
		q.announce(entry, false)
		select {
		case <-q.clock.After(quarantineSettleDelay):
		case <-ctx.Done():
		}
	}
	q.mu.Lock()
	verdict := streamingVerdict(q.core.Check(q.clock.Now(), entry.Fingerprint))
	if settled, known := q.core.Entry(entry.Fingerprint); pending && known {
		entry, quarantined = settled, settled.Quarantined
	}
	q.size.Set(float64(len(q.core.List())))
	q.mu.Unlock()
	reason := "suspect after a crash"
	if verdict.Quarantined {
		reason = "quarantined after repeated crashes"
	}
	q.recorder.Record(decision.Decision{
		Time: now, Kind: decision.KindQuarantine, RequestID: report.RequestID, Chosen: server, Reason: reason,
	})
	q.announce(entry, quarantined)
	return verdict
}

// ReportSuccess implements streaming.Quarantine.
func (q *quarantineManager) ReportSuccess(fingerprint string) {
	q.mu.Lock()
	entry, cleared := q.core.RecordSuccess(q.clock.Now(), quarantine.Fingerprint(fingerprint))
	q.mu.Unlock()
	if cleared {
		q.announce(entry, false)
	}
}

// List returns the entries of the quarantined requests.
func (q *quarantineManager) List() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.List()
}

// Release removes a request from the quarantine at all daemons and in the table.
func (q *quarantineManager) Release(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	q.mu.Lock()
	entry, err := q.core.Release(fingerprint)
	q.size.Set(float64(len(q.core.List())))
	q.mu.Unlock()
	if err != nil {
		return errors.Trace(err)
	}
	q.announce(entry, false)
	return errors.Trace(q.persist(ctx, entry))
}

// announce broadcasts the entry to the other daemons and, if store is set, writes it
// to the table in the background.
func (q *quarantineManager) announce(entry quarantine.Entry, store bool) {
	payload, err := json.Marshal(entry)
	if err != nil {
		klog.ErrorS(err, "cannot encode quarantine entry")
		return
	}
	id := fmt.Sprintf("%s/%d/%d/%t", entry.Fingerprint, entry.Generation, len(entry.Servers), entry.Quarantined)
	q.broadcast(id, payload)
	if !store {
		return
	}
	q.tasks.Go(func() {
		if err := q.persist(q.ctx, entry); err != nil {
			klog.ErrorS(err, "cannot store quarantine entry", "fingerprint", entry.Fingerprint)
		}
	})
}

// persist merges an entry with the stored row and writes it back. It retries on
// conflicts, because other daemons may write the same row.
func (q *quarantineManager) persist(ctx context.Context, entry quarantine.Entry) error {
	key := table.Key{Partition: quarantinePartition, Sort: string(entry.Fingerprint)}
	var err error
	for range maxQuarantineWrites {
		var item table.Item
		item, err = q.store.Get(ctx, key)
		var missing *table.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return errors.Trace(err)
		}
		if err == nil {
			q.mergeEncoded(item.Value)
		}
		q.mu.Lock()
		merged, known := q.core.Entry(entry.Fingerprint)
		q.mu.Unlock()
		if !known {
			merged = entry
		}
		value, encodeErr := json.Marshal(merged)
		if encodeErr != nil {
			return errors.Trace(encodeErr)
		}
		err = q.store.Transact(ctx, []table.Write{{Key: key, Version: item.Version, Value: value}})
		if err == nil {
			return nil
		}
	}
	return errors.Trace(err)
}
