// Package publish publishes configurations and distributes them to all daemons.
//
// A Publisher stores the body in the object store under its SHA-256 hash and then
// updates the single head row of the table by compare-and-set. A Follower runs in
// every daemon. It polls the head row, receives announcements from peers and
// determines which configuration is in force.
package publish

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/revision"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Record is the table row of a published revision.
type Record struct {
	Revision uint64 `json:"revision"`
	// BodyHash is the SHA-256 hash of the body, in hexadecimal.
	BodyHash string `json:"body_hash"`
	// PublishID distinguishes publishers that update the head at the same time.
	PublishID   string    `json:"publish_id"`
	Publisher   string    `json:"publisher"`
	PublishedAt time.Time `json:"published_at"`
	Objects     int       `json:"objects"`
}

func (r Record) revision() revision.Revision {
	return revision.Revision{Number: r.Revision, BodyHash: r.BodyHash}
}

// The partitions of the table and the key prefix in the object store.
const (
	headPartition    = "configuration"
	historyPartition = "configuration-history"
	bodyPrefix       = "configuration/"
)

// headKey is the key of the head row, which holds the newest record.
var headKey = table.Key{Partition: headPartition, Sort: "head"}

// historyKey returns the key of a revision's history row. Sort keys decrease with
// increasing revisions, so that a query returns the newest first.
func historyKey(revision uint64) table.Key {
	return table.Key{Partition: historyPartition, Sort: fmt.Sprintf("%020d", math.MaxUint64-revision)}
}

// bodyKey returns the object store key of a body.
func bodyKey(hash string) string { return bodyPrefix + hash }

func decodeRecord(item table.Item) (Record, error) {
	var r Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return Record{}, &CorruptRowError{Key: item.Key, Cause: err}
	}
	return r, nil
}

// CorruptRowError reports a row that cannot be decoded as a Record.
type CorruptRowError struct {
	Key   table.Key
	Cause error
}

func (e *CorruptRowError) Error() string {
	return fmt.Sprintf("row %s holds no configuration record: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptRowError) Unwrap() error { return e.Cause }

// ConflictError reports a publish whose base revision is not the head. Nothing was
// published.
type ConflictError struct {
	BaseRevision uint64
	// Winner is the revision that was published after BaseRevision, or the head
	// if BaseRevision does not exist. Its Revision is 0 if it could not be read.
	Winner Record
}

func (e *ConflictError) Error() string {
	if e.Winner.Revision == 0 {
		return fmt.Sprintf("revision %d is not the head", e.BaseRevision)
	}
	return fmt.Sprintf("revision %d is not the head: %s published revision %d at %s (publish ID %s)", e.BaseRevision,
		e.Winner.Publisher, e.Winner.Revision, e.Winner.PublishedAt.Format(time.RFC3339), e.Winner.PublishID)
}

// UndeterminedError reports a publish that may or may not have updated the head:
// the answer was lost and the outcome could not be read back in time. If the
// publish was applied, the history contains its publish ID.
type UndeterminedError struct {
	PublishID string
	Revision  uint64
	Cause     error
}

func (e *UndeterminedError) Error() string {
	return fmt.Sprintf("publish %s may have become revision %d: %v", e.PublishID, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *UndeterminedError) Unwrap() error { return e.Cause }

// UnknownRevisionError reports a revision that was never published.
type UnknownRevisionError struct{ Revision uint64 }

func (e *UnknownRevisionError) Error() string {
	if e.Revision == 0 {
		return "no configuration has been published"
	}
	return fmt.Sprintf("revision %d has not been published", e.Revision)
}
