// Package idempotency keeps a record of each once-only call, which runs at most
// once for each idempotency key. The daemon that handles a call writes a claim
// before it sends the first byte of the call and an outcome after the answer. If
// the owner of a claim fails, the holder of the lease of the claim's range settles
// the claim: it determines the outcome and stores it.
//
// Call, Batcher and Settler are deterministic state machines without I/O: they
// take the time and an event and return actions. Committer runs a Batcher
// against a table.Store.
//
// A record changes from claimed to done, unknown or not_run. An unknown record
// may still become done or not_run when the outcome of the same attempt is proven
// later. The key of a not_run record may be used again: the next attempt with the
// same body replaces the record by compare-and-set on the row's version. The row
// is not deleted for this, since the versions of a new row would start again and
// a delayed write could then match a later claim.
package idempotency

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Ranges is the number of ranges that keys are hashed into. The holder of a
// range's lease settles its claims.
const Ranges = 64

const (
	recordPartition = "call/"
	openPartition   = "call-open/"
)

// State is the state of a record.
type State string

// The states of a record.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateUnknown State = "unknown"
	StateNotRun  State = "not_run"
)

// ID identifies a once-only call by its client account and idempotency key.
type ID struct {
	Account string
	Key     string
}

// Range returns the range of the ID.
func (id ID) Range() int { return rangeOf(id.sortKey()) }

func rangeOf(sortKey string) int { return int(xxhash.Sum64String(sortKey) % Ranges) }

// sortKey returns the sort key of the ID's rows. The account is escaped, so that
// no two IDs share a sort key.
func (id ID) sortKey() string { return url.PathEscape(id.Account) + "/" + id.Key }

// RowKey returns the key of the record's row.
func (id ID) RowKey() table.Key {
	sortKey := id.sortKey()
	return table.Key{Partition: recordPartitions[rangeOf(sortKey)], Sort: sortKey}
}

// OpenKey returns the key of the row that lists the claim as open. The row is
// written with the claim and deleted with the outcome, so that settlement reads
// only open claims and not every record.
func (id ID) OpenKey() table.Key {
	sortKey := id.sortKey()
	return table.Key{Partition: openPartitions[rangeOf(sortKey)], Sort: sortKey}
}

// OpenPartition returns the partition that lists a range's open claims.
func OpenPartition(r int) string { return openPartitions[r] }

// The names of the partitions are formatted once, since each call uses several.
var (
	recordPartitions = partitionNames(recordPartition)
	openPartitions   = partitionNames(openPartition)
)

func partitionNames(prefix string) (names [Ranges]string) {
	for r := range names {
		names[r] = fmt.Sprintf("%s%02d", prefix, r)
	}
	return names
}

// ParseOpenKey returns the ID of a row listed in an OpenPartition.
func ParseOpenKey(key table.Key) (ID, error) {
	account, rest, ok := strings.Cut(key.Sort, "/")
	if !ok {
		return ID{}, &CorruptRecordError{Key: key, Reason: "no account"}
	}
	name, err := url.PathUnescape(account)
	if err != nil {
		return ID{}, &CorruptRecordError{Key: key, Reason: err.Error()}
	}
	return ID{Account: name, Key: rest}, nil
}

// Record is the value of the row of a once-only call.
type Record struct {
	State     State  `json:"state"`
	Digest    string `json:"digest"`
	AttemptID string `json:"attempt"`
	// Attempts is the number of attempts under the key so far, this one
	// included.
	Attempts int `json:"attempts"`
	// Revision is the configuration revision that the attempt runs under.
	Revision uint64 `json:"revision"`
	// Daemon is the owner of the claim; Service and Call identify what it runs.
	// Settlement uses them.
	Daemon  string `json:"daemon"`
	Service string `json:"service"`
	Call    string `json:"call"`
	// SettleAfterMillis is how long after the claim its owner may still act, in
	// milliseconds.
	SettleAfterMillis int64 `json:"settle_after_ms"`
	// Answer is the stored answer of a done record.
	Answer []byte `json:"answer,omitempty"`
	// Settled is set when the holder of the range's lease wrote the outcome.
	Settled bool `json:"settled,omitempty"`
	// FinishedUnix is when the outcome was determined, in Unix seconds of its writer's
	// wall clock. It is used only for retention.
	FinishedUnix int64 `json:"finished,omitempty"`
}

// SettleAfter returns how long after the claim its owner may still act.
func (r *Record) SettleAfter() time.Duration {
	return time.Duration(r.SettleAfterMillis) * time.Millisecond
}

// Digest returns the SHA-256 digest, in hexadecimal, of the service, the call and
// the body.
func Digest(service, call string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{service, call} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Stored is a record together with its ID and the version of its row.
type Stored struct {
	ID      ID
	Version table.Version
	Record  Record
}

// Decode parses the record of a row.
func Decode(id ID, item table.Item) (*Stored, error) {
	stored := &Stored{ID: id, Version: item.Version}
	if err := json.Unmarshal(item.Value, &stored.Record); err != nil {
		return nil, &CorruptRecordError{Key: item.Key, Reason: err.Error()}
	}
	return stored, nil
}

// OpenClaim is the value of a row that lists an open claim.
type OpenClaim struct {
	ID                ID     `json:"-"`
	AttemptID         string `json:"attempt"`
	SettleAfterMillis int64  `json:"settle_after_ms"`
}

// DecodeOpen parses the claim in a row of an OpenPartition.
func DecodeOpen(item table.Item) (OpenClaim, error) {
	id, err := ParseOpenKey(item.Key)
	if err != nil {
		return OpenClaim{}, err
	}
	claim := OpenClaim{ID: id}
	if err := json.Unmarshal(item.Value, &claim); err != nil {
		return OpenClaim{}, &CorruptRecordError{Key: item.Key, Reason: err.Error()}
	}
	return claim, nil
}

// encode returns the JSON encoding of a row's value. It cannot fail, since the
// types hold only strings, numbers, booleans and bytes.
func encode[T Record | OpenClaim](r *T) []byte {
	value, _ := json.Marshal(r)
	return value
}

// ClaimWrites returns the writes of a claim. The version is 0 for the first claim
// of a key, and for a later one the version of the not_run record that it
// replaces.
func ClaimWrites(id ID, version table.Version, r *Record) []table.Write {
	return []table.Write{
		{Key: id.RowKey(), Version: version, Value: encode(r)},
		{Key: id.OpenKey(), Version: 0, Value: encode(&OpenClaim{AttemptID: r.AttemptID, SettleAfterMillis: r.SettleAfterMillis})},
	}
}

// OutcomeWrites returns the writes that replace the current record with an
// outcome. They delete the row of an open claim.
func OutcomeWrites(current *Stored, r *Record) []table.Write {
	writes := []table.Write{{Key: current.ID.RowKey(), Version: current.Version, Value: encode(r)}}
	if current.Record.State == StateClaimed {
		writes = append(writes, table.Write{Key: current.ID.OpenKey(), Version: current.Version.Epoch().At(1), Delete: true})
	}
	return writes
}

// mayReplace reports whether an outcome of the same attempt may replace a state.
// Any outcome may replace a claim, and a proven one may replace unknown.
func mayReplace(from, to State) bool {
	switch from {
	case StateClaimed:
		return to != StateClaimed
	case StateUnknown:
		return to == StateDone || to == StateNotRun
	default:
		return false
	}
}

// CorruptRecordError reports a row that does not hold a record.
type CorruptRecordError struct {
	Key    table.Key
	Reason string
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("record %s is corrupt: %s", e.Key, e.Reason)
}
