package oncecall

import (
	"context"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"k8s.io/klog/v2"
)

// openPageSize is how many open claims one query returns.
const openPageSize = 200

// settlement drives the settler of the ranges whose leases this daemon holds.
type settlement struct {
	caller  *Caller
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu   sync.Mutex
	core *idempotency.Settler
	held [idempotency.Ranges]bool
}

func newSettlement(c *Caller) *settlement {
	s := &settlement{
		caller: c,
		core:   idempotency.NewSettler(idempotency.SettlerOptions{LookupPatience: c.options.LookupPatience}),
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
}

func (s *settlement) list(r int) ([]idempotency.OpenClaim, error) {
	var open []idempotency.OpenClaim
	after := ""
	for {
		ctx, cancel := context.WithTimeout(s.ctx, s.caller.options.StoreTimeout)
		items, err := s.caller.options.Store.Query(ctx, idempotency.OpenPartition(r), after, openPageSize)
		cancel()
		if err != nil {
			return nil, err
		}
		for _, item := range items {
			claim, err := idempotency.DecodeOpen(item)
			if err != nil {
				klog.ErrorS(err, "open claim skipped", "row", item.Key)
				continue
			}
			open = append(open, claim)
		}
		if len(items) < openPageSize {
			return open, nil
		}
		after = items[len(items)-1].Key.Sort
	}
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
	result := s.caller.commit(a.Writes)
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
