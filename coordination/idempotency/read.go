package idempotency

import (
	"context"
	"errors"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// openPageSize is the maximum number of open claims that one query returns.
const openPageSize = 200

// ReadRow reads a row and returns the event that answers a ReadRecord.
func ReadRow(ctx context.Context, store table.Store, key table.Key) RowRead {
	item, err := store.Get(ctx, key)
	var notFound *table.NotFoundError
	if errors.As(err, &notFound) {
		return RowRead{}
	}
	return RowRead{Item: item, Exists: err == nil, Failed: err != nil}
}

// ListOpen reads all open claims of a range. Rows that do not hold a claim are
// skipped and their errors returned as corrupt.
func ListOpen(ctx context.Context, store table.Store, r int) (open []OpenClaim, corrupt []error, err error) {
	after := ""
	for {
		items, err := store.Query(ctx, OpenPartition(r), after, openPageSize)
		if err != nil {
			return nil, nil, err
		}
		for _, item := range items {
			claim, err := DecodeOpen(item)
			if err != nil {
				corrupt = append(corrupt, err)
				continue
			}
			open = append(open, claim)
		}
		if len(items) < openPageSize {
			return open, corrupt, nil
		}
		after = items[len(items)-1].Key.Sort
	}
}
