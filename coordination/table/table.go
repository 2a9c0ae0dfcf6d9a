// Package table defines the interface to the transactional table service that the
// coordination packages use, and the errors it returns.
//
// The service offers conditional writes grouped in one atomic transaction.
// Each row has a version that rises by one with every write, so that a writer
// can make its change conditional on the exact row that it has read.
package table

import (
	"context"
	"fmt"
)

// MaxTransactionWrites is the maximum number of writes in one transaction.
const MaxTransactionWrites = 100

// Key identifies a row.
type Key struct {
	Partition string
	Sort      string
}

// String returns the key in the form partition/sort.
func (k Key) String() string { return k.Partition + "/" + k.Sort }

// Item is a row as read from the table.
type Item struct {
	Key     Key
	Version uint64
	Value   []byte
}

// Write is one conditional change of a row.
//
// Version is the version that the row must have for the write to apply; 0
// means that the row must not exist. A write that puts a value leaves the row
// at Version+1.
type Write struct {
	Key     Key
	Version uint64
	Value   []byte
	Delete  bool
}

// Store is the transactional table service.
//
// Implementations must not retry a write on their own: after a lost answer they
// return AmbiguousError, and the caller decides whether to retry.
type Store interface {
	// Get returns the row with the key, or NotFoundError.
	Get(ctx context.Context, key Key) (Item, error)
	// Query returns up to limit rows of a partition whose sort key is
	// greater than after, in the order of their sort keys.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Transact applies all writes or none. It returns ConditionFailedError
	// when a condition does not hold, UnavailableError when nothing was
	// applied, and AmbiguousError when the writes may have been applied.
	Transact(ctx context.Context, writes []Write) error
}

// NotFoundError reports a row that does not exist.
type NotFoundError struct{ Key Key }

func (e *NotFoundError) Error() string { return fmt.Sprintf("row %s not found", e.Key) }

// ConditionFailedError reports that conditions of writes did not hold. No write
// of the transaction was applied.
type ConditionFailedError struct {
	// Indexes are the positions of the failed writes in the transaction.
	Indexes []int
}

func (e *ConditionFailedError) Error() string {
	return fmt.Sprintf("condition failed for writes %v", e.Indexes)
}

// Failed reports whether the write at position i failed its condition.
func (e *ConditionFailedError) Failed(i int) bool {
	for _, index := range e.Indexes {
		if index == i {
			return true
		}
	}
	return false
}

// UnavailableError reports a request that failed without being applied.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "table unavailable: " + e.Reason }

// AmbiguousError reports a transaction whose answer was lost: it may have been
// applied.
type AmbiguousError struct{ Reason string }

func (e *AmbiguousError) Error() string { return "table answer lost: " + e.Reason }

// InvalidTransactionError reports a transaction that violates the limits of the
// table. Nothing was applied.
type InvalidTransactionError struct{ Reason string }

func (e *InvalidTransactionError) Error() string { return "invalid transaction: " + e.Reason }

// Validate checks the number of writes and that each row is written once.
func Validate(writes []Write) error {
	if len(writes) == 0 {
		return &InvalidTransactionError{Reason: "no writes"}
	}
	if len(writes) > MaxTransactionWrites {
		return &InvalidTransactionError{Reason: fmt.Sprintf("%d writes, at most %d", len(writes), MaxTransactionWrites)}
	}
	seen := make(map[Key]struct{}, len(writes))
	for _, w := range writes {
		if _, ok := seen[w.Key]; ok {
			return &InvalidTransactionError{Reason: "row " + w.Key.String() + " written twice"}
		}
		seen[w.Key] = struct{}{}
	}
	return nil
}
