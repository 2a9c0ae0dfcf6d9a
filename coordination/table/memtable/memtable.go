// Package memtable implements table.Store in memory, with injectable faults. Tests
// use it directly; the stand-in for the table service serves it over HTTP.
package memtable

import (
	"context"
	"maps"
	"slices"
	"sort"
	"sync"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Fault is a failure that is injected into an operation.
type Fault int

// The faults that a Store can inject.
const (
	// FaultNone executes the operation normally.
	FaultNone Fault = iota
	// FaultUnavailable rejects the operation without applying it.
	FaultUnavailable
	// FaultAnswerLost applies a transaction and loses its answer.
	FaultAnswerLost
	// FaultRequestLost loses a transaction before it is applied. The caller
	// cannot distinguish this from FaultAnswerLost.
	FaultRequestLost
)

// Operation is the kind of an operation, as passed to the fault function.
type Operation int

// The operations of a Store.
const (
	OperationGet Operation = iota
	OperationQuery
	OperationTransact
)

// Stats counts the operations that reached the store.
type Stats struct {
	Gets          uint64
	Queries       uint64
	Transactions  uint64
	RowsWritten   uint64
	FaultsApplied uint64
}

// Store is a table.Store in memory. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// rows holds the items with the number of their writes as their version.
	rows  map[string]map[string]table.Item
	epoch table.Epoch
	fault func(Operation) Fault
	stats Stats
}

var _ table.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{rows: make(map[string]map[string]table.Item)}
}

// SetFault installs the function that returns the fault of each operation; nil
// removes it. The function is called with the store locked, so it must not use
// the store.
func (s *Store) SetFault(fault func(Operation) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Copy is a copy of the content of a Store.
type Copy struct {
	rows map[string]map[string]table.Item
}

// Copy returns a copy of the current content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: cloneRows(s.rows)}
}

// Restore replaces the content by a copy, as when the service returns from a backup. This
// begins a new epoch.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = cloneRows(c.rows)
	s.epoch++
}

func cloneRows(rows map[string]map[string]table.Item) map[string]map[string]table.Item {
	cloned := make(map[string]map[string]table.Item, len(rows))
	for partition, items := range rows {
		cloned[partition] = maps.Clone(items)
	}
	return cloned
}

// Epoch implements table.Store.
func (s *Store) Epoch() table.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// read returns an item as it is read in the current epoch.
func (s *Store) read(item table.Item) table.Item {
	item.Version = s.epoch.At(item.Version.Number())
	return clone(item)
}

// Stats returns the operation counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Get implements table.Store.
func (s *Store) Get(ctx context.Context, key table.Key) (table.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Gets++
	if err := s.readFault(ctx, OperationGet); err != nil {
		return table.Item{}, err
	}
	item, ok := s.rows[key.Partition][key.Sort]
	if !ok {
		return table.Item{}, &table.NotFoundError{Key: key}
	}
	return s.read(item), nil
}

// Query implements table.Store.
func (s *Store) Query(ctx context.Context, partition, after string, limit int) ([]table.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Queries++
	if err := s.readFault(ctx, OperationQuery); err != nil {
		return nil, err
	}
	items := make([]table.Item, 0, len(s.rows[partition]))
	for sortKey, item := range s.rows[partition] {
		if sortKey > after {
			items = append(items, s.read(item))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key.Sort < items[j].Key.Sort })
	if len(items) > limit {
		items = items[:limit]
	}
	return items, nil
}

// Transact implements table.Store.
func (s *Store) Transact(ctx context.Context, writes []table.Write) error {
	if err := table.Validate(writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Transactions++
	if ctx.Err() != nil {
		return &table.UnavailableError{Reason: ctx.Err().Error()}
	}
	fault := s.nextFault(OperationTransact)
	switch fault {
	case FaultUnavailable:
		return &table.UnavailableError{Reason: "injected outage"}
	case FaultRequestLost:
		return &table.AmbiguousError{Reason: "injected loss"}
	}
	if failed := s.failedConditions(writes); len(failed) > 0 {
		if fault == FaultAnswerLost {
			return &table.AmbiguousError{Reason: "injected loss"}
		}
		return &table.ConditionFailedError{Indexes: failed}
	}
	s.apply(writes)
	if fault == FaultAnswerLost || s.isLate(writes) {
		return &table.AmbiguousError{Reason: "injected loss"}
	}
	return nil
}

func (s *Store) readFault(ctx context.Context, op Operation) error {
	if ctx.Err() != nil {
		return &table.UnavailableError{Reason: ctx.Err().Error()}
	}
	if s.nextFault(op) != FaultNone {
		return &table.UnavailableError{Reason: "injected outage"}
	}
	return nil
}

func (s *Store) nextFault(op Operation) Fault {
	if s.fault == nil {
		return FaultNone
	}
	fault := s.fault(op)
	if fault != FaultNone {
		s.stats.FaultsApplied++
	}
	return fault
}

func (s *Store) failedConditions(writes []table.Write) []int {
	var failed []int
	for i, w := range writes {
		// A missing row has version 0, which is also the condition "absent".
		item := s.rows[w.Key.Partition][w.Key.Sort]
		if item.Version.Number() != w.Version.Number() || item.Written > w.Version.Epoch() {
			failed = append(failed, i)
		}
	}
	return failed
}

// isFromEarlierEpoch reports whether a write was sent before the store returned from a copy. It
// applies only to a row that has not been written in a later epoch than its own: the version is
// then that of the same content.
func (s *Store) isFromEarlierEpoch(w table.Write) bool {
	return w.Version.Epoch() < s.epoch
}

// isLate reports whether a transaction that was sent in an earlier epoch was applied. Its caller
// can't tell in which epoch.
func (s *Store) isLate(writes []table.Write) bool {
	return slices.ContainsFunc(writes, s.isFromEarlierEpoch)
}

func (s *Store) apply(writes []table.Write) {
	for _, w := range writes {
		s.stats.RowsWritten++
		partition := s.rows[w.Key.Partition]
		if w.Delete {
			delete(partition, w.Key.Sort)
			continue
		}
		if partition == nil {
			partition = make(map[string]table.Item)
			s.rows[w.Key.Partition] = partition
		}
		partition[w.Key.Sort] = clone(table.Item{Key: w.Key, Version: table.Version(w.Version.Number() + 1), Written: w.Version.Epoch(), Value: w.Value})
	}
}

func clone(item table.Item) table.Item {
	item.Value = append([]byte(nil), item.Value...)
	return item
}
