package oncecall

import (
	"context"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"k8s.io/klog/v2"
)

// expiryPageSize is the number of records that each poll of a range checks for
// expiry. At this size a range of 100,000 records is checked in about an hour.
const expiryPageSize = 50

// claimSettler settles the open claims and deletes the expired records of the
// ranges whose leases this daemon holds. It performs the I/O for the settlement
// state machine.
type claimSettler struct {
	caller  *Caller
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu           sync.Mutex
	stateMachine *idempotency.Settler
	heldRanges   [idempotency.Ranges]bool
	// expiryCursors holds, for each range, the sort key after which the next check
	// for expired records continues.
	expiryCursors [idempotency.Ranges]string
}

func newClaimSettler(c *Caller) *claimSettler {
	s := &claimSettler{
		caller:       c,
		stateMachine: idempotency.NewSettler(idempotency.SettlerOptions{LookupRetryPeriod: c.options.LookupRetryPeriod}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running.Add(1)
	go s.loop()
	return s
}

func (s *claimSettler) close() {
	s.cancel()
	s.running.Wait()
}

func (s *claimSettler) loop() {
	defer s.running.Done()
	for s.caller.sleep(s.ctx, s.caller.options.SettleInterval) {
		for r := range idempotency.Ranges {
			s.pollRange(r)
		}
		s.mu.Lock()
		s.caller.metrics.openClaims.Set(float64(s.stateMachine.Open()))
		s.mu.Unlock()
	}
}

// pollRange lists the open claims of a range whose lease is held and passes them
// to the state machine. It also reports the loss of a lease to it.
func (s *claimSettler) pollRange(r int) {
	if !s.caller.options.Leases.HoldsRange(r) {
		if s.heldRanges[r] {
			s.heldRanges[r] = false
			s.handle(idempotency.LeaseLost{Range: r})
		}
		return
	}
	s.heldRanges[r] = true
	open, err := s.listOpen(r)
	if err != nil {
		klog.InfoS("listing open claims failed", "range", r, "err", err)
		return
	}
	s.handle(idempotency.Listed{Range: r, Open: open})
	s.deleteExpired(r)
}

// deleteExpired deletes the expired records on the next page of a range. The
// deletions are committed in the deferred class, so claims and outcomes take
// precedence over them.
func (s *claimSettler) deleteExpired(r int) {
	ctx, cancel := context.WithTimeout(s.ctx, s.caller.options.StoreTimeout)
	defer cancel()
	items, err := s.caller.options.Store.Query(ctx, idempotency.RecordPartition(r), s.expiryCursors[r], expiryPageSize)
	if err != nil {
		return
	}
	s.expiryCursors[r] = ""
	if len(items) == expiryPageSize {
		s.expiryCursors[r] = items[len(items)-1].Key.Sort
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

func (s *claimSettler) listOpen(r int) ([]idempotency.OpenClaim, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.caller.options.StoreTimeout)
	defer cancel()
	open, corrupt, err := idempotency.ListOpen(ctx, s.caller.options.Store, r)
	for _, err := range corrupt {
		klog.ErrorS(err, "open claim skipped because it cannot be decoded", "range", r)
	}
	return open, err
}

func (s *claimSettler) handle(event idempotency.SettleEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range s.stateMachine.Handle(s.caller.options.Clock.Now(), event) {
		s.running.Add(1)
		go s.perform(action)
	}
}

func (s *claimSettler) perform(action idempotency.SettleAction) {
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

func (s *claimSettler) lookup(a idempotency.SettleLookup) idempotency.SettleLookedUp {
	declared, pools, ok := s.caller.options.Configuration.Call(a.Record.Service, a.Record.Call)
	if !ok || declared.LookupPath == "" {
		return idempotency.SettleLookedUp{ID: a.ID, NoLookup: true}
	}
	kind, answer := s.caller.lookup(declared, pools, a.Record.AttemptID, a.ID.Key)
	return idempotency.SettleLookedUp{ID: a.ID, Kind: kind, Answer: answer}
}

// write stores a settlement unless the lease has been lost in the meantime. If
// another holder has already settled the claim, the check of the record's version
// rejects the write as well.
func (s *claimSettler) write(a idempotency.SettleWrite) idempotency.SettleCommitted {
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
