package edge

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/rollout"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// Platform is the interface of the platform that the daemon uses. Durable state
// is kept in the embedded table.
type Platform interface {
	table.Store
	// ReadCatalog returns the newest configuration, or nil if there is none, and
	// the version of the store.
	ReadCatalog(ctx context.Context) (*catalog.Catalog, table.Version, error)
	// WatchCatalog waits up to wait for a configuration written after version
	// after. It returns a nil configuration if there was none, and
	// HistoryLostError if the store no longer keeps the changes since that
	// version.
	WatchCatalog(ctx context.Context, after table.Version, wait time.Duration) (*catalog.Catalog, table.Version, error)
	// ReadServers returns the entries of all servers and the version of the
	// store.
	ReadServers(ctx context.Context) ([]fleet.Entry, table.Version, error)
	// WatchServers waits up to wait for entries that changed after version
	// after. It returns HistoryLostError as WatchCatalog does.
	WatchServers(ctx context.Context, after table.Version, wait time.Duration) ([]fleet.Entry, table.Version, error)
	// DecodeCatalog decodes the source of a configuration received from a peer.
	DecodeCatalog(source []byte) (*catalog.Catalog, error)
	// ReportUsage reports the final counts of a usage window under a fencing
	// number.
	ReportUsage(ctx context.Context, fencingNumber uint64, window int64, counts usage.Counts) error
	// RolloutOrders returns the operator's orders to move services to a software version, as
	// of the last call of ReadCatalog or WatchCatalog, and the version of the store then. An
	// order without a version to move to stands for a row that cannot be read.
	RolloutOrders() ([]rollout.Order, table.Version)
	// ReadRolloutStatus returns what was stated of the roll-out of a service and the version
	// of that statement, which is 0 if there is none.
	ReadRolloutStatus(ctx context.Context, service string) (RolloutStatus, table.Version, error)
	// WriteRolloutStatus replaces a statement of the given version and returns that of the
	// new one. It returns table.ConditionFailedError if the statement, or the row of the own
	// table that it follows from, has another version.
	WriteRolloutStatus(ctx context.Context, service string, status RolloutStatus, version table.Version, row table.Key, rowVersion table.Version) (table.Version, error)
	// OrderServers orders servers under a fencing number. It returns
	// NoCapacityError if the zone has none to offer.
	OrderServers(ctx context.Context, fencingNumber uint64, order scaling.Order) error
}

// RolloutStatus is what operators are told of a roll-out.
type RolloutStatus struct {
	To    string
	State rollout.State
}

// HistoryLostError reports that the store no longer keeps the changes since the
// requested version, so that the caller must read the complete state again.
type HistoryLostError struct{}

func (e *HistoryLostError) Error() string { return "store no longer keeps the requested changes" }

// NoCapacityError reports that a zone has no free servers of the ordered kind.
type NoCapacityError struct{ Order scaling.Order }

func (e *NoCapacityError) Error() string {
	return "no capacity for " + e.Order.Service + " in " + e.Order.Zone
}
