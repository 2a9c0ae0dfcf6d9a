// Package lease gives duties that one daemon must do alone to one holder at a
// time: rows that are acquired, renewed and released by compare-and-set, with a
// fencing number that only rises.
//
// Core takes the time and an event and returns actions; Manager is its driver
// over a table.Store. No clocks of two hosts are compared: a holder counts its
// lease from before it sent the request, on its own monotonic clock, and stops a
// margin before the end; another daemon takes the lease over only after it has
// itself seen the same version unchanged for the whole duration.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Partition holds the rows of all leases.
const Partition = "lease"

// Ranges is the number of ranges that keys are split into.
const Ranges = 64

// RangeOf returns the range of a key.
func RangeOf(key string) int { return int(xxhash.Sum64String(key) % Ranges) }

// RangeName returns the name of a range's lease for a duty.
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
// fencing number never falls.
type Row struct {
	// Holder is unique for each start of a daemon; empty means released.
	Holder string `json:"holder,omitempty"`
	// Number is the fencing number; it rises with every acquisition.
	FencingNumber uint64 `json:"number"`
	// DurationMillis is how long the lease lasts from its last write.
	DurationMillis int64 `json:"duration_ms"`
	// OrderDeadlineMillis bounds how long an order of the holder may be in
	// flight after it was given.
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

// encodeRow cannot fail: Row holds only strings and integers.
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

// Event is an input of a Core: Tick, Listed, Wrote, Peers or Drain.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Listed is the end of a List. SentAt is when the request was sent; the time of
// the event is when the answer came.
type Listed struct {
	SentAt time.Time
	Items  []table.Item
	Failed bool
}

// WriteStatus says how a write ended.
type WriteStatus int

// The ends of a write.
const (
	WriteApplied WriteStatus = iota + 1
	// WriteRefused means that the row had another version.
	WriteRefused
	// WriteUnavailable means that nothing was applied.
	WriteUnavailable
	// WriteAmbiguous means that the write may have applied or may still apply.
	WriteAmbiguous
)

// Wrote is the end of a Write.
type Wrote struct {
	Name   string
	Status WriteStatus
}

// Peers says how many daemons share the leases, this one included.
type Peers struct{ Daemons int }

// Drain releases all leases and takes no more.
type Drain struct{}

func (Tick) event()   {}
func (Listed) event() {}
func (Wrote) event()  {}
func (Peers) event()  {}
func (Drain) event()  {}

// Action is an output of a Core: List, Write, Acquired or Lost.
type Action interface{ action() }

// List asks for all rows of the partition.
type List struct{}

// Write asks for a compare-and-set of a lease's row. The holder counts from the
// event that led to it; a write that is sent later only shortens the lease.
type Write struct {
	Name  string
	Write table.Write
}

// Acquired says that a lease is held with a fencing number. EarliestOrder is
// when orders may first go to engines that ignore fencing numbers: no order of
// an earlier holder can be in flight then.
type Acquired struct {
	Name          string
	FencingNumber uint64
	EarliestOrder time.Time
}

// Lost says that a lease is no longer held: it has lapsed or is being released.
type Lost struct {
	Name          string
	FencingNumber uint64
	Lapsed        bool
}

func (List) action()     {}
func (Write) action()    {}
func (Acquired) action() {}
func (Lost) action()     {}
