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
// fencing number never decreases.
type Row struct {
	// Holder identifies the holder and is unique for each start of a daemon.
	// It is empty if the lease is released.
	Holder string `json:"holder,omitempty"`
	// FencingNumber rises with every acquisition.
	FencingNumber uint64 `json:"number"`
	// DurationMillis is how long the lease lasts from its last write, in
	// milliseconds.
	DurationMillis int64 `json:"duration_ms"`
	// OrderDeadlineMillis bounds how long an order that the holder has sent to
	// an engine may be in flight, in milliseconds.
	OrderDeadlineMillis int64 `json:"order_deadline_ms"`
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

// Event is an input event of a Core: Tick, Listed, Wrote, Peers or Drain.
type Event interface{ event() }

// Tick reports only that time has passed.
type Tick struct{}

// Listed reports the result of a List. SentAt is when the request was sent; the
// time of the event is when the answer was received.
type Listed struct {
	SentAt time.Time
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

// Drain requests the release of all leases; none is acquired afterwards.
type Drain struct{}

func (Tick) event()   {}
func (Listed) event() {}
func (Wrote) event()  {}
func (Peers) event()  {}
func (Drain) event()  {}

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
