package table

import "fmt"

// Epoch counts how often the store has returned from an older copy of its content. A store
// that never does so has one epoch, 0.
type Epoch uint64

// Version identifies a state of a row, or of the whole store. It consists of the epoch in
// which the state was read or written, and of a number that rises within the epoch: the
// writes of the row, or the transactions of the store.
//
// After a return from an older copy the store gives numbers out again for other contents.
// Versions are therefore ordered by their epochs first: whatever is read in a later epoch
// replaces what is known from an earlier one, and two states never share a version.
type Version uint64

const (
	numberBits = 40
	// MaxNumber and MaxEpoch are the largest parts of a Version. A store that makes 10,000
	// transactions per second reaches the former after three years.
	MaxNumber = 1<<numberBits - 1
	MaxEpoch  = Epoch(1<<(64-numberBits) - 1)
)

// At returns the version of a number in the epoch. The parts must not exceed MaxEpoch and
// MaxNumber.
func (e Epoch) At(number uint64) Version { return Version(uint64(e)<<numberBits | number) }

// Epoch returns the epoch of the version.
func (v Version) Epoch() Epoch { return Epoch(v >> numberBits) }

// Number returns the number within the epoch. That of a row that does not exist is 0.
func (v Version) Number() uint64 { return uint64(v) & MaxNumber }

// Exists reports whether a row with the version exists.
func (v Version) Exists() bool { return v.Number() > 0 }

// String returns the version in the form epoch/number.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Epoch(), v.Number()) }
