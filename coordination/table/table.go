// Package table defines the interface to the transactional table service that the
// coordination packages use, and the errors it returns.
//
// The service offers conditional writes grouped in one atomic transaction.
// Each row has a version whose number rises by one with every write, so that a
// writer can make its change conditional on the exact row that it has read.
//
// A store may return from an older copy of its content. What was written since the
// copy is lost then, and numbers are given out again. Such a return begins a new
// epoch. All implementations ensure that
//   - everything that is read carries the epoch in which it was read;
//   - a write applies only in the epoch of its version, or right after the return if
//     the row has not been written since, which is reported as ambiguous;
//   - an answer of an earlier epoch than the newest one known is an error.
//
// Users ensure that they write again what the store must hold, and conclude nothing
// from rows that are missing, or that Item.Copied reports, about what was written in
// earlier epochs.
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
	Key Key
	// Version consists of the epoch in which the row was read and the number of its writes.
	Version Version
	// Written is the epoch in which the row was written.
	Written Epoch
	Value   []byte
}

// Copied reports whether the row comes from the copy with which the store has returned, so
// that later writes of it may be lost.
func (i *Item) Copied() bool { return i.Written < i.Version.Epoch() }

// Write is one conditional change of a row.
//
// Version is the version that the row must have for the write to apply; the
// number 0 means that the row must not exist. A write that puts a value leaves the
// row at Version+1.
type Write struct {
	Key     Key
	Version Version
	Value   []byte
	Delete  bool
}

// Store is the transactional table service.
//
// Implementations must not retry a write on their own: after a lost answer they
// return AmbiguousError, and the caller decides whether to retry.
type Store interface {
	// Epoch returns the newest epoch that is known from the answers of the service.
	Epoch() Epoch
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
