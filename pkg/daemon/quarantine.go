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
	// quarantinePage is how many rows one read of the table returns.
	quarantinePage = 100
	// quarantineStoreTries bounds the writes of one entry that races with other
	// daemons.
	quarantineStoreTries = 5
	quarantineInterval   = 30 * time.Second
	// advancedTokens is the output after which an attempt counts as having gone
	// further than the one before. One token may be that at which it crashes.
	advancedTokens = 2
	// quarantineSettle is the time in which the announcement of a crash has
	// reached all daemons, with room for one that is sent again.
	quarantineSettle = 300 * time.Millisecond
)

// spreader announces news to all daemons.
type spreader func(id string, payload []byte)

// quarantineDuty drives the quarantine core: entries are spread to the other
// daemons at once and kept in the table.
type quarantineDuty struct {
	store    table.Store
	spread   spreader
	clock    clock.WithTicker
	recorder *decision.Recorder
	size     prometheus.Gauge

	mu   sync.Mutex
	core *quarantine.Core

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func newQuarantineDuty(store table.Store, spread spreader, clock clock.WithTicker, recorder *decision.Recorder, registry prometheus.Registerer) (*quarantineDuty, error) {
	options := quarantine.DefaultOptions()
	options.SettleDelay = quarantineSettle
	q := &quarantineDuty{
		store: store, spread: spread, clock: clock, recorder: recorder,
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

func (q *quarantineDuty) close() {
	q.stop()
	q.tasks.Wait()
}

// run reads the stored entries now and then: a daemon that has just started, or
// that missed an announcement, learns them here.
func (q *quarantineDuty) run() {
	ticker := q.clock.NewTicker(quarantineInterval)
	defer ticker.Stop()
	for {
		if err := q.load(); err != nil {
			klog.V(1).InfoS("quarantine entries not read", "error", err)
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

func (q *quarantineDuty) load() error {
	after := ""
	for {
		items, err := q.store.Query(q.ctx, quarantinePartition, after, quarantinePage)
		if err != nil {
			return errors.Trace(err)
		}
		for _, item := range items {
			q.announced(item.Value)
			after = item.Key.Sort
		}
		if len(items) < quarantinePage {
			return nil
		}
	}
}

// announced takes in an entry from a peer or the table.
func (q *quarantineDuty) announced(payload []byte) {
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
func (q *quarantineDuty) Check(fingerprint string) streaming.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return verdictOf(q.core.Check(q.clock.Now(), quarantine.Fingerprint(fingerprint)))
}

func verdictOf(v quarantine.Verdict) streaming.Verdict {
	return streaming.Verdict{
		Isolate:     v == quarantine.VerdictIsolate,
		Quarantined: v == quarantine.VerdictRefuse,
	}
}

// ReportCrash implements streaming.Quarantine. A verdict against a request waits
// until other daemons have told of their suspects of the same crash.
func (q *quarantineDuty) ReportCrash(ctx context.Context, report streaming.CrashReport) streaming.Verdict {
	server := fmt.Sprintf("%s#%d", report.Backend.Name, report.Backend.Incarnation)
	q.mu.Lock()
	now := q.clock.Now()
	advanced := report.TokensReceived >= advancedTokens
	entry, quarantined := q.core.RecordCrash(now, quarantine.Fingerprint(report.Fingerprint), server, advanced)
	pending := q.core.Pending(now, entry.Fingerprint)
	q.mu.Unlock()
	if pending {
		q.publish(entry, false)
		select {
		case <-q.clock.After(quarantineSettle):
		case <-ctx.Done():
		}
	}
	q.mu.Lock()
	verdict := verdictOf(q.core.Check(q.clock.Now(), entry.Fingerprint))
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
	q.publish(entry, quarantined)
	return verdict
}

// ReportSuccess implements streaming.Quarantine.
func (q *quarantineDuty) ReportSuccess(fingerprint string) {
	q.mu.Lock()
	entry, cleared := q.core.RecordSuccess(q.clock.Now(), quarantine.Fingerprint(fingerprint))
	q.mu.Unlock()
	if cleared {
		q.publish(entry, false)
	}
}

// List returns the quarantined entries.
func (q *quarantineDuty) List() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.List()
}

// Release lets a request run again, everywhere.
func (q *quarantineDuty) Release(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	q.mu.Lock()
	entry, err := q.core.Release(fingerprint)
	q.size.Set(float64(len(q.core.List())))
	q.mu.Unlock()
	if err != nil {
		return errors.Trace(err)
	}
	q.publish(entry, false)
	return errors.Trace(q.persist(ctx, entry))
}

// publish tells the other daemons, and stores the entry if store is set.
func (q *quarantineDuty) publish(entry quarantine.Entry, store bool) {
	payload, err := json.Marshal(entry)
	if err != nil {
		klog.ErrorS(err, "encode quarantine entry")
		return
	}
	id := fmt.Sprintf("%s/%d/%d/%t", entry.Fingerprint, entry.Generation, len(entry.Servers), entry.Quarantined)
	q.spread(id, payload)
	if !store {
		return
	}
	q.tasks.Go(func() {
		if err := q.persist(q.ctx, entry); err != nil {
			klog.ErrorS(err, "quarantine entry not stored", "fingerprint", entry.Fingerprint)
		}
	})
}

// persist merges an entry into its row. Other daemons may write the same row.
func (q *quarantineDuty) persist(ctx context.Context, entry quarantine.Entry) error {
	key := table.Key{Partition: quarantinePartition, Sort: string(entry.Fingerprint)}
	var err error
	for range quarantineStoreTries {
		var item table.Item
		item, err = q.store.Get(ctx, key)
		var missing *table.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return errors.Trace(err)
		}
		if err == nil {
			q.announced(item.Value)
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
