package edge

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// Platform is what the daemon needs of the platform. The table keeps what must
// last.
type Platform interface {
	table.Store
	// ReadCatalog returns the newest configuration, or nil, and the version of
	// the store.
	ReadCatalog(ctx context.Context) (*catalog.Catalog, uint64, error)
	// WatchCatalog waits for a configuration written after a version; it
	// returns nil if none came, and HistoryLostError if it cannot tell.
	WatchCatalog(ctx context.Context, after uint64, wait time.Duration) (*catalog.Catalog, uint64, error)
	ReadServers(ctx context.Context) ([]fleet.Entry, uint64, error)
	WatchServers(ctx context.Context, after uint64, wait time.Duration) ([]fleet.Entry, uint64, error)
	// DecodeCatalog decodes the source of a peer's configuration.
	DecodeCatalog(source []byte) (*catalog.Catalog, error)
	// ReportUsage reports the final figure of a window under a fencing number.
	ReportUsage(ctx context.Context, number uint64, window int64, counts usage.Counts) error
	// OrderServers orders servers; NoCapacityError says that there are none.
	OrderServers(ctx context.Context, number uint64, order scaling.Order) error
}

// HistoryLostError reports that changes can no longer be told; everything has
// to be read again.
type HistoryLostError struct{}

func (e *HistoryLostError) Error() string { return "history of the store is lost" }

// NoCapacityError reports that a zone has no servers of a kind to give.
type NoCapacityError struct{ Order scaling.Order }

func (e *NoCapacityError) Error() string {
	return "no capacity for " + e.Order.Service + " in " + e.Order.Zone
}
