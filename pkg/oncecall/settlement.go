package oncecall

import (
	"context"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"k8s.io/klog/v2"
)

// sweepPageSize is how many records one visit of a range looks at for expiry. A
// range of 100,000 records is swept in about an hour.
const sweepPageSize = 50

// settlement drives the settler of the ranges whose leases this daemon holds.
type settlement struct {
	caller  *Caller
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu   sync.Mutex
	core *idempotency.Settler
	held [idempotency.Ranges]bool
	// sweeps is the position of each range's sweep for expired records.
	sweeps [idempotency.Ranges]string
}

func newSettlement(c *Caller) *settlement {
	s := &settlement{
		caller: c,
		core:   idempotency.NewSettler(idempotency.SettlerOptions{LookupRetryPeriod: c.options.LookupRetryPeriod}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running.Add(1)
	go s.loop()
	return s
}

func (s *settlement) close() {
	s.cancel()
	s.running.Wait()
}

func (s *settlement) loop() {
	defer s.running.Done()
	for s.caller.sleep(s.ctx, s.caller.options.SettleInterval) {
		for r := range idempotency.Ranges {
			s.visit(r)
		}
		s.mu.Lock()
		s.caller.metrics.openClaims.Set(float64(s.core.Open()))
		s.mu.Unlock()
	}
}

// visit lists the open claims of a range if its lease is held.
func (s *settlement) visit(r int) {
	if !s.caller.options.Leases.HoldsRange(r) {
		if s.held[r] {
			s.held[r] = false
			s.handle(idempotency.LeaseLost{Range: r})
		}
		return
	}
	s.held[r] = true
	open, err := s.list(r)
	if err != nil {
		klog.InfoS("open claims not listed", "range", r, "err", err)
		return
	}
	s.handle(idempotency.Listed{Range: r, Open: open})
	s.sweep(r)
}

// sweep deletes the expired records of the next page of a range. It goes with
// the deferred share, behind claims and outcomes.
func (s *settlement) sweep(r int) {
	ctx, cancel := context.WithTimeout(s.ctx, s.caller.options.StoreTimeout)
	defer cancel()
	items, err := s.caller.options.Store.Query(ctx, idempotency.RecordPartition(r), s.sweeps[r], sweepPageSize)
	if err != nil {
		return
	}
	s.sweeps[r] = ""
	if len(items) == sweepPageSize {
		s.sweeps[r] = items[len(items)-1].Key.Sort
	}
	for _, item := range items {
		stored, err := idempotency.DecodeRow(item)
		if err != nil || !stored.Expired(s.caller.options.Clock.Now(), s.caller.options.Retention) {
			continue
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.caller.commit(idempotency.ClassDeferred, idempotency.ExpireWrites(stored))
		}()
	}
}

func (s *settlement) list(r int) ([]idempotency.OpenClaim, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.caller.options.StoreTimeout)
	defer cancel()
	open, corrupt, err := idempotency.ListOpen(ctx, s.caller.options.Store, r)
	for _, err := range corrupt {
		klog.ErrorS(err, "open claim skipped", "range", r)
	}
	return open, err
}

func (s *settlement) handle(event idempotency.SettleEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range s.core.Handle(s.caller.options.Clock.Now(), event) {
		s.running.Add(1)
		go s.perform(action)
	}
}

func (s *settlement) perform(action idempotency.SettleAction) {
	defer s.running.Done()
	switch a := action.(type) {
	case idempotency.SettleReadRecord:
		row := s.caller.readRow(a.ID.RowKey())
		s.handle(idempotency.SettleRead{ID: a.ID, Item: row.Item, Exists: row.Exists, Failed: row.Failed})
	case idempotency.SettleLookup:
		s.handle(s.lookup(a))
	case idempotency.SettleWrite:
		s.handle(s.write(a))
	}
}

func (s *settlement) lookup(a idempotency.SettleLookup) idempotency.SettleLookedUp {
	declared, pools, ok := s.caller.options.Configuration.Call(a.Record.Service, a.Record.Call)
	if !ok || declared.LookupPath == "" {
		return idempotency.SettleLookedUp{ID: a.ID, NoLookup: true}
	}
	kind, answer := s.caller.lookup(declared, pools, a.Record.AttemptID, a.ID.Key)
	return idempotency.SettleLookedUp{ID: a.ID, Kind: kind, Answer: answer}
}

// write stores a settlement unless the lease has been lost meanwhile. The
// record's version would refuse it as well if another holder came first.
func (s *settlement) write(a idempotency.SettleWrite) idempotency.SettleCommitted {
	if !s.caller.options.Leases.HoldsRange(a.ID.Range()) {
		return idempotency.SettleCommitted{ID: a.ID, Result: idempotency.Result{Status: idempotency.StatusUnavailable}}
	}
	result := s.caller.commit(idempotency.ClassOnceOnly, a.Writes)
	if result.Status == idempotency.StatusApplied {
		s.caller.metrics.settlements.WithLabelValues(string(a.State)).Inc()
		s.caller.options.Decisions.Record(decision.Decision{
			Time:   s.caller.options.Clock.Now(),
			Kind:   decision.KindSettlement,
			Reason: "claim of " + a.ID.Account + " settled as " + string(a.State),
		})
	}
	return idempotency.SettleCommitted{ID: a.ID, Result: result}
}
