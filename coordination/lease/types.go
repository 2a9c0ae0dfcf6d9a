// Package lease implements leases on duties, which are tasks that only one daemon
// may perform at a time. A lease is a row in a table that is acquired, renewed and
// released by compare-and-set. Its fencing number rises with every acquisition.
//
// Core is a deterministic state machine without I/O: it takes the time and an
// event and returns actions. Manager runs a Core against a table.Store. The
// clocks of two hosts are never compared. A holder measures the duration of its
// lease on its own monotonic clock, from before it sends the request, and stops a
// margin before the end. Another daemon takes the lease over only after it has
// itself observed the same version unchanged for the whole duration.
//
// The table may return from an older copy, which begins a new epoch (table.Version).
// Renewals and takeovers after the copy are lost then, and their versions are given out
// again. Whatever a row of the copy says, or the absence of a row, another daemon may
// hold the lease. Therefore
//   - a holder that observes a new epoch stops acting;
//   - a lease whose row was not written in the current epoch is taken over only after
//     the whole duration of a lease, and orders are sent only after the order deadline;
//   - fencing numbers of an epoch are higher than all of the epochs before.
//
// A holder that does not observe the new epoch cannot renew its lease, which ends before
// another daemon may take it over, since the lease was renewed before the return.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Partition is the table partition that holds the rows of all leases.
const Partition = "lease"

// Ranges is the number of ranges that keys are hashed into.
const Ranges = 64

// RangeOf returns the range of a key.
func RangeOf(key string) int { return int(xxhash.Sum64String(key) % Ranges) }

// RangeName returns the name of the lease of a duty for a range.
func RangeName(duty string, r int) string { return fmt.Sprintf("%s/%02d", duty, r) }

// RangeNames returns the names of all range leases of a duty.
func RangeNames(duty string) []string {
	names := make([]string, Ranges)
	for r := range names {
		names[r] = RangeName(duty, r)
	}
	return names
}

// RowKey returns the key of a lease's row.
func RowKey(name string) table.Key { return table.Key{Partition: Partition, Sort: name} }

// Row is the value of a lease's row. The row is never deleted, so that its
// fencing number decreases only if the table returns from an older copy.
type Row struct {
	// Holder identifies the holder and is unique for each start of a daemon.
	// It is empty if the lease is released.
	Holder string `json:"holder,omitempty"`
	// FencingNumber rises with every acquisition. Its upper bits are the epoch of the
	// table in which the lease was acquired.
	FencingNumber uint64 `json:"number"`
	// DurationMillis is how long the lease lasts from its last write, in
	// milliseconds.
	DurationMillis int64 `json:"duration_ms"`
	// OrderDeadlineMillis bounds how long an order that the holder has sent to
	// an engine may be in flight, in milliseconds.
	OrderDeadlineMillis int64 `json:"order_deadline_ms"`
}

// fencingNumberBits is the size of the part of a fencing number that counts the acquisitions
// in an epoch. Numbers fit in the 53 bits that JSON numbers hold exactly while the epoch is below
// two million.
const fencingNumberBits = 32

// nextFencingNumber returns the number of an acquisition in an epoch that replaces the row.
func (r Row) nextFencingNumber(epoch table.Epoch) uint64 {
	return max(r.FencingNumber, uint64(epoch)<<fencingNumberBits) + 1
}

func (r Row) duration() time.Duration { return time.Duration(r.DurationMillis) * time.Millisecond }

func (r Row) orderDeadline() time.Duration {
	return time.Duration(r.OrderDeadlineMillis) * time.Millisecond
}

func decodeRow(item table.Item) (Row, error) {
	var row Row
	if err := json.Unmarshal(item.Value, &row); err != nil {
		return Row{}, &CorruptRowError{Key: item.Key, Reason: err.Error()}
	}
	return row, nil
}

// encodeRow returns the JSON encoding of a row. It cannot fail, since Row holds
// only strings and integers.
func encodeRow(r Row) []byte {
	value, _ := json.Marshal(r)
	return value
}

// CorruptRowError reports a row that does not hold a lease.
type CorruptRowError struct {
	Key    table.Key
	Reason string
}

func (e *CorruptRowError) Error() string {
	return fmt.Sprintf("lease %s is corrupt: %s", e.Key, e.Reason)
}

// Event is an input event of a Core: Tick, Listed, Wrote, Peers, EpochKnown or Drain.
type Event interface{ event() }

// Tick reports only that time has passed.
type Tick struct{}

// Listed reports the result of a List, which was answered in an epoch of the table.
// SentAt is when the request was sent; the time of the event is when the answer was
// received.
type Listed struct {
	SentAt time.Time
	Epoch  table.Epoch
	Items  []table.Item
	Failed bool
}

// WriteStatus is the result of a write.
type WriteStatus int

// The results of a write.
const (
	// WriteApplied means that the write was applied.
	WriteApplied WriteStatus = iota + 1
	// WriteRefused means that the row had another version.
	WriteRefused
	// WriteUnavailable means that nothing was applied.
	WriteUnavailable
	// WriteAmbiguous means that the write may have been applied or may still be
	// applied.
	WriteAmbiguous
)

// Wrote reports the result of a Write.
type Wrote struct {
	Name   string
	Status WriteStatus
}

// Peers reports how many daemons share the leases, this one included.
type Peers struct{ Daemons int }

// EpochKnown reports the newest epoch of the table that is known. The rows are listed at
// once if it is not that of the last list.
type EpochKnown struct{ Epoch table.Epoch }

// Drain requests the release of all leases; none is acquired afterwards.
type Drain struct{}

func (Tick) event()       {}
func (Listed) event()     {}
func (Wrote) event()      {}
func (Peers) event()      {}
func (EpochKnown) event() {}
func (Drain) event()      {}

// Action is an action that a Core requests: List, Write, Acquired or Lost.
type Action interface{ action() }

// List requests a read of all rows of the partition.
type List struct{}

// Write requests a compare-and-set of a lease's row. The lease starts at the time
// of the event that led to the write; sending the write later only shortens the
// lease.
type Write struct {
	Name  string
	Write table.Write
}

// Acquired reports that a lease was acquired with a fencing number. EarliestOrder
// is when orders may first be sent to engines that ignore fencing numbers, since
// no order of an earlier holder can be in flight from then on.
type Acquired struct {
	Name          string
	FencingNumber uint64
	EarliestOrder time.Time
}

// Lost reports that a lease is no longer held. Lapsed is set if it expired or was
// taken over, and not set if it is being released.
type Lost struct {
	Name          string
	FencingNumber uint64
	Lapsed        bool
}

func (List) action()     {}
func (Write) action()    {}
func (Acquired) action() {}
func (Lost) action()     {}
