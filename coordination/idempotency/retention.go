package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// RecordPartition returns the partition that holds a range's records.
func RecordPartition(r int) string { return recordPartitions[r] }

// DecodeRow returns the record of a row of a RecordPartition.
func DecodeRow(item table.Item) (*Stored, error) {
	id, err := ParseOpenKey(item.Key)
	if err != nil {
		return nil, err
	}
	return Decode(id, item)
}

// Expired reports whether a record has an outcome that is older than the
// retention, after which its key may be used again. This is the only comparison of
// the wall clocks of two hosts; a difference of minutes does not matter for a
// retention of hours.
func (s *Stored) Expired(now time.Time, retention time.Duration) bool {
	if s.Record.State == StateClaimed || s.Record.FinishedUnix == 0 {
		return false
	}
	return now.Sub(time.Unix(s.Record.FinishedUnix, 0)) >= retention
}

// ExpireWrites returns the writes that delete a record if it is unchanged. A new
// row under the same key starts again at version 1. No delayed write of an
// earlier attempt can match its versions, since requests to the table end within
// seconds and the retention lasts for hours.
func ExpireWrites(s *Stored) []table.Write {
	return []table.Write{{Key: s.ID.RowKey(), Version: s.Version, Delete: true}}
}
