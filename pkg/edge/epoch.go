package edge

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// epochCheckInterval is how often a daemon that pauses between two uses of the store checks whether
// the store has returned from an older copy.
const epochCheckInterval = 250 * time.Millisecond

// epochWatch tells a user of the store that the store has returned from an older copy since it was
// last asked, so that what the user has written may be lost and must be written again. Each user
// has one of its own.
type epochWatch struct {
	store interface{ Epoch() table.Epoch }
	known bool
	epoch table.Epoch
}

// changed reports whether the epoch is another one than at the last call. The first call only
// notes it.
func (w *epochWatch) changed() bool {
	epoch := w.store.Epoch()
	changed := w.known && epoch != w.epoch
	w.known, w.epoch = true, epoch
	return changed
}

// pauseInEpoch waits for d, until the context ends, or until the store has returned from an older
// copy.
func pauseInEpoch(ctx context.Context, store table.Store, d time.Duration) {
	epoch := store.Epoch()
	for waited := time.Duration(0); waited < d && ctx.Err() == nil && store.Epoch() == epoch; waited += epochCheckInterval {
		pause(ctx, min(epochCheckInterval, d-waited))
	}
}
