package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

const (
	// versionsPartition is the table partition with the software versions in use, in one
	// row.
	versionsPartition = "versions"
	// versionsMinReadPause is the least time between two reads of that row because of streams that are
	// taken up.
	versionsMinReadPause = 20 * time.Millisecond
	// versionsStoreInterval is how often a daemon looks for versions that the store does not hold
	// yet, besides when a server joins.
	versionsStoreInterval = 250 * time.Millisecond
	// serversSeenWait is how long a stream that is taken up right after the start of a daemon waits
	// for the servers to be seen, which is checked every serversSeenCheck.
	serversSeenWait  = 500 * time.Millisecond
	serversSeenCheck = 20 * time.Millisecond
	// maxRowReaders is the number of daemons up to which each reads the row once a second until it knows
	// all versions in use: 64 of the 2,000 reads a second that a small deployment's store answers, for
	// the age of streams after each start. Of more daemons the hubs read it and tell the others, and each
	// take-up reads it.
	maxRowReaders = 64
	// versionsLogInterval is the least time between two log lines while the store is away.
	versionsLogInterval = 2 * time.Second
)

// earlierVersionsKey is the row of daemons before mesh.FormatDemands, which begin streams at
// versions that it does not hold yet.
var (
	versionsKey        = table.Key{Partition: versionsPartition, Sort: "stored-before-use"}
	earlierVersionsKey = table.Key{Partition: versionsPartition, Sort: "in-use"}
)

// storedVersions is what the holder of the duties knows of the row.
type storedVersions struct {
	loaded bool
	// version is that of the row, or 0 if there is none.
	version table.Version
	row     streamversion.Row
}

// storeVersions keeps the row of the versions in use up to date. It changes only when a
// version comes into use or goes out of it, and when it becomes complete.
func (u *duties) storeVersions(ctx context.Context) {
	stored, s := &u.versions, u.daemon.state
	if !stored.loaded {
		version, row, err := readVersions(ctx, u.daemon.platform)
		if err == nil {
			err = u.deleteEarlierVersions(ctx)
		}
		if err != nil {
			klog.InfoS("failed to read the stored software versions", "err", err)
			return
		}
		*stored = storedVersions{loaded: true, version: version, row: row}
		s.mu.Lock()
		s.streams.Loaded(bootNow(), row.Versions)
		s.mu.Unlock()
	}
	s.mu.Lock()
	now := bootNow()
	row := s.streams.StoredRow(now, stored.row, s.peers.OldestFormat(now) >= mesh.FormatDemands)
	s.mu.Unlock()
	if row.Equal(stored.row) {
		return
	}
	err := writeVersions(ctx, u.daemon.platform, stored.version, row)
	klog.InfoS("software versions stored", "versions", row.Versions, "complete", row.Complete, "before", stored.row.Versions, "err", err)
	if err != nil {
		stored.loaded = false
		return
	}
	stored.version, stored.row = stored.version+1, row
}

// deleteEarlierVersions deletes the row of an earlier build, which that would take for complete
// when it runs again.
func (u *duties) deleteEarlierVersions(ctx context.Context) error {
	item, err := u.daemon.platform.Get(ctx, earlierVersionsKey)
	var missing *table.NotFoundError
	switch {
	case errors.As(err, &missing):
		return nil
	case err != nil:
		return err
	}
	return u.daemon.platform.Transact(ctx, []table.Write{{Key: earlierVersionsKey, Version: item.Version, Delete: true}})
}

// readVersions reads the row of the versions in use and its version. Whether a row of the copy
// with which the store has returned is complete is not known: a later one may be lost.
func readVersions(ctx context.Context, store table.Store) (table.Version, streamversion.Row, error) {
	item, err := store.Get(ctx, versionsKey)
	var missing *table.NotFoundError
	switch {
	case errors.As(err, &missing):
		return store.Epoch().At(0), streamversion.Row{}, nil
	case err != nil:
		return 0, streamversion.Row{}, err
	}
	var row streamversion.Row
	if err := json.Unmarshal(item.Value, &row); err != nil {
		// It tells nothing and is written again.
		klog.ErrorS(err, "stored software versions cannot be decoded")
		return item.Version, streamversion.Row{}, nil
	}
	row.Complete = row.Complete && !item.Copied()
	return item.Version, row, nil
}

// writeVersions writes the row of the versions in use if it still has the given version.
func writeVersions(ctx context.Context, store table.Store, version table.Version, row streamversion.Row) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Annotate(err, "encode the software versions")
	}
	return store.Transact(ctx, []table.Write{{Key: versionsKey, Version: version, Value: value}})
}

// isolatedViewMaxAge is the age of the view of the servers from which on a daemon that hears no other
// one begins no streams that may be taken up. An entry lapses sooner where the server writes nothing,
// and the others may conclude after that that its version is out of use.
const isolatedViewMaxAge = 3 * time.Second

// viewMayBeBehind reports whether other daemons may know of changes of the servers that this one can't
// know of.
func (s *state) viewMayBeBehind(now time.Time) bool {
	return s.peers.Isolated(now) && s.fleetAge() > isolatedViewMaxAge
}

// beginAtStoredVersions limits a query to servers of versions that may begin streams. Beside
// daemons of an earlier build, which neither store versions nor tell of it, all may: the row is
// not complete then.
func (s *state) beginAtStoredVersions(q *placement.Query) {
	now, mayUse := bootNow(), q.MayUse
	if s.versionStore == nil || s.peers.OldestFormat(now) < mesh.FormatDemands {
		return
	}
	behind := s.viewMayBeBehind(now)
	q.MayUse = func(server *fleet.Server, running int) bool {
		return !behind && s.streams.MayBegin(server) && (mayUse == nil || mayUse(server, running))
	}
}

func (s *state) wakeStoreNewVersions() {
	select {
	case s.versionsWake <- struct{}{}:
	default:
	}
}

// storeNewVersions stores versions that come into service, or reads whether another daemon has,
// until the context ends.
func (s *state) storeNewVersions(ctx context.Context) {
	watch := epochWatch{store: s.versionStore}
	returned := false
	tick := time.NewTicker(versionsStoreInterval)
	defer tick.Stop()
	var loggedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.versionsWake:
		case <-tick.C:
		}
		returned = watch.changed() || returned
		err := s.storeNewVersionsOnce(ctx, returned)
		if err == nil {
			returned = false
		} else if bootNow().Sub(loggedAt) >= versionsLogInterval {
			loggedAt = bootNow()
			klog.InfoS("versions not stored before their use", "err", err)
		}
	}
}

// storeNewVersionsOnce reads the row if versions are in service that it may lack. The daemons that
// rank as hubs add them, and others if these don't; the first of them succeeds, and the others find
// them in the row. All other daemons are told by hubs, and read the row themselves only if they follow
// the store. If the
// store has returned from an older copy, each daemon looks which versions the copy lacks.
func (s *state) storeNewVersionsOnce(ctx context.Context, returned bool) error {
	followsStore := s.followsStore()
	s.mu.Lock()
	now := bootNow()
	role := streamversion.Role{RanksAsHub: s.peers.RanksAsHub(), FollowsStore: followsStore, Few: s.peers.Size() <= maxRowReaders, Returned: returned}
	reads := s.streams.ReadsRow(now, role)
	s.mu.Unlock()
	if !reads {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, streamversion.RowTimeout)
	defer cancel()
	readAt := bootNow()
	version, row, err := readVersions(ctx, s.versionStore)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if returned {
		s.streams.MarkUnstored(readAt, row.Versions)
	}
	s.streams.MergeStored(readAt, row)
	s.streams.MarkStored(readAt, row.Versions)
	_, missing := s.streams.InService()
	wroteAt := bootNow()
	adds := s.streams.AddsVersions(wroteAt, role)
	allStoreFirst := s.peers.OldestFormat(wroteAt) >= mesh.FormatDemands
	completes := !row.Complete && allStoreFirst && s.streams.Covered(wroteAt)
	s.mu.Unlock()
	if len(missing) == 0 && !completes || !adds {
		return nil
	}
	if !completes && !row.Complete && allStoreFirst {
		if completes, err = s.isFirstRow(ctx, version); err != nil {
			return err
		}
		if completes && s.Catalog() == nil {
			// The row must hold the routes, too. No stream begins before they are known.
			return nil
		}
	}
	s.mu.Lock()
	row = s.streams.AddedRow(wroteAt, row, completes)
	s.mu.Unlock()
	if err := writeVersions(ctx, s.versionStore, version, row); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.RowWritten(wroteAt, row)
	klog.InfoS("software versions stored before their use", "versions", missing, "complete", row.Complete, "hub", role.RanksAsHub, "tookMs", bootNow().Sub(readAt).Milliseconds())
	s.wakeExchange()
	return nil
}

// isFirstRow reports whether a row of the versions in use that is written in place of a version is
// complete because the deployment starts for the first time: no stream has begun before, and none
// begins at a version that the row does not hold. The row of a store that has returned from an older
// copy may be missing because it was lost.
func (s *state) isFirstRow(ctx context.Context, version table.Version) (bool, error) {
	if !s.settings.Bootstrap || version.Exists() || version.Epoch() > 0 {
		return false, nil
	}
	_, err := s.versionStore.Get(ctx, earlierVersionsKey)
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		return true, nil
	}
	return false, err
}

// awaitServersSeen waits until the servers have been seen, which takes some tens of milliseconds
// from the start, or for serversSeenWait.
func (s *state) awaitServersSeen(ctx context.Context) {
	for waited := time.Duration(0); waited < serversSeenWait && ctx.Err() == nil; waited += serversSeenCheck {
		s.mu.Lock()
		seen := s.streams.SeesSince(bootNow())
		s.mu.Unlock()
		if seen {
			return
		}
		pause(ctx, serversSeenCheck)
	}
}

// confirmVersionsAt reads which versions may have begun streams, as of a moment after at, and reports
// whether the row that it has read is complete. Before a version begins a stream it is stored, so that a row read after a stream was
// taken up tells all versions that may have begun it, also to a daemon that was cut off or stood still
// meanwhile. Many callers take up their streams at the same time when daemons are lost: all that wait
// share one read, and reads are some time apart.
func (s *state) confirmVersionsAt(ctx context.Context, at time.Time) bool {
	if !s.versionsReading.acquire(ctx) {
		return false
	}
	defer s.versionsReading.release()
	if !s.versionsReadFailedAt.IsZero() && bootNow().Sub(s.versionsReadFailedAt) < streamsRetryInterval {
		return false
	}
	s.awaitServersSeen(ctx)
	s.mu.Lock()
	readAt, complete, daemons, seen := s.versionsReadAt, s.versionsReadComplete, s.peers.Size(), s.streams.SeesSince(bootNow())
	s.mu.Unlock()
	if !readAt.Before(at) {
		return complete
	}
	if !seen {
		s.versionsReadFailedAt = bootNow()
		return false
	}
	pause(ctx, versionsReadPause(daemons)-bootNow().Sub(readAt))
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	now := bootNow()
	_, row, err := readVersions(ctx, s.versionStore)
	if err != nil {
		s.versionsReadFailedAt = bootNow()
		klog.InfoS("failed to read the stored software versions", "err", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versionsReadAt, s.versionsReadComplete = now, row.Complete
	s.streams.MergeStored(now, row)
	klog.V(1).InfoS("stored software versions read", "versions", row.Versions, "complete", row.Complete, "covered", s.streams.Covered(bootNow()))
	return row.Complete
}

// versionsReadPause returns the least time between two such reads of a daemon: all daemons together
// make 1,000 a second at most.
func versionsReadPause(daemons int) time.Duration {
	return max(versionsMinReadPause, time.Duration(daemons)*time.Millisecond)
}
