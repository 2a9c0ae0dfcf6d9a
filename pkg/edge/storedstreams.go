package edge

import (
	"context"
	stderrors "errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

const (
	// streamsStoreWait is how long the first event of a stream waits for its record to be stored.
	// It is a small part of the time in which an answer must begin.
	streamsStoreWait = 150 * time.Millisecond
	// collectInterval is how often a daemon looks for records to send while the store lacks some, and
	// collectIdleInterval otherwise, besides when a stream begins. collectGap is the least time between
	// two looks, so that streams that begin together share calls.
	collectInterval     = 20 * time.Millisecond
	collectIdleInterval = 200 * time.Millisecond
	collectGap          = 2 * time.Millisecond
	// collectReplyTime is how long a reply may take beyond the time that a collector may wait for the
	// store.
	collectReplyTime = 200 * time.Millisecond
	// streamsReadInterval is the least time between two reads of the records, and streamsRetryInterval
	// that after a read that failed. It is longer than a read may take, so that take-ups which come
	// together share one failed read. Daemons leave it to the collectors, as long as one replies.
	streamsReadInterval  = time.Second
	streamsRetryInterval = 300 * time.Millisecond
	// streamsCleanInterval is how often the holder of the duties looks for rows to delete, unless
	// streams may be taken up for longer.
	streamsCleanInterval = 30 * time.Second
)

// recordsState is what a daemon does with the records of streams that other daemons, and itself, have
// begun. Its fields are guarded by the mutex of state unless they say otherwise.
type recordsState struct {
	log *streamversion.RecordLog
	// collectWake wakes collectStreams, and storeWake storeRecords.
	collectWake, storeWake chan struct{}
	// collected is closed and replaced when a collector has replied, and written when a write of
	// records has ended.
	collected, written chan struct{}
	// readAt is when this daemon last read the stored records of streams, or zero, and readFailedAt when
	// a read of them last failed. Both are guarded by versionsReading.
	readAt, readFailedAt time.Time
}

func newRecordsState(node string, incarnation uint64) recordsState {
	return recordsState{log: streamversion.NewRecordLog(node, incarnation), collectWake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1),
		collected: make(chan struct{}), written: make(chan struct{})}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// collectStreams sends the records of this daemon's streams to collectors until the context ends.
func (s *state) collectStreams(ctx context.Context) {
	watch := epochWatch{store: s.versionStore}
	timer := time.NewTimer(collectIdleInterval)
	defer timer.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.records.collectWake:
		case <-timer.C:
		}
		s.mu.Lock()
		if watch.changed() {
			s.streams.StoreReturned()
		}
		due := s.streams.Collections(bootNow())
		interval := collectIdleInterval
		if s.streams.Uncollected() {
			interval = collectInterval
		}
		s.mu.Unlock()
		for _, call := range due {
			calls.Go(func() { s.sendCollection(ctx, &call) })
		}
		pause(ctx, collectGap)
		timer.Reset(interval)
	}
}

// sendCollection makes a call to a collector, which may be this daemon.
func (s *state) sendCollection(ctx context.Context, call *streamversion.Collection) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.Message.Collect)*time.Millisecond+collectReplyTime)
	defer cancel()
	var reply *streamversion.Reply
	if call.Node == s.settings.Node {
		reply = s.answerStreams(ctx, &call.Message)
	} else {
		s.mu.Lock()
		p, known := s.peers.Lookup(call.Node)
		s.mu.Unlock()
		if known {
			// A call that fails is logged, and leaves no reply.
			reply, _ = s.exchangeStreams(ctx, &p, &call.Message)
		}
	}
	s.mu.Lock()
	s.streams.Collected(bootNow(), call, reply)
	close(s.records.collected)
	s.records.collected = make(chan struct{})
	s.mu.Unlock()
	wake(s.records.collectWake)
}

// awaitCollected waits until the first event of a stream may be passed on, or for streamsStoreWait.
func (s *state) awaitCollected(stream string) {
	startedAt := time.Now()
	timer := time.NewTimer(streamsStoreWait)
	defer timer.Stop()
	defer func() { s.streamMetrics.recordWait.Observe(time.Since(startedAt).Seconds()) }()
	for {
		s.mu.Lock()
		mayPass, isStored, collected := s.streams.MayPass(bootNow(), stream), s.streams.IsStored(stream), s.records.collected
		s.mu.Unlock()
		if mayPass {
			if !isStored {
				s.streamMetrics.unstored.WithLabelValues(unstoredHeld).Inc()
			}
			return
		}
		select {
		case <-collected:
		case <-timer.C:
			s.streamMetrics.unstored.WithLabelValues(unstoredTimeout).Inc()
			return
		}
	}
}

// answerStreams holds and stores the records of a message, and answers its questions.
func (s *state) answerStreams(ctx context.Context, m *streamversion.Message) *streamversion.Reply {
	s.mu.Lock()
	reply := s.streams.Handle(bootNow(), m)
	if m.Collect > 0 {
		s.records.log.Add(bootNow(), m)
	}
	s.mu.Unlock()
	if m.Collect > 0 {
		reply.Outcome = s.awaitStored(ctx, m)
	}
	if m.ReadsStore && len(reply.Origins) < len(m.Lookup) {
		hasRead := s.learnStoredStreams(ctx)
		s.mu.Lock()
		reply = s.streams.Answer(bootNow(), m)
		s.mu.Unlock()
		reply.HasRead = hasRead
	}
	return &reply
}

// awaitStored waits for the outcome of the records of a message, for as long as its sender allows.
func (s *state) awaitStored(ctx context.Context, m *streamversion.Message) streamversion.CollectOutcome {
	if s.versionStore == nil {
		return streamversion.RecordsNotStored
	}
	wake(s.records.storeWake)
	timer := time.NewTimer(time.Duration(m.Collect) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		outcome, written := s.records.log.Outcome(&m.Batch), s.records.written
		s.mu.Unlock()
		if outcome != streamversion.RecordsBeingWritten {
			return outcome
		}
		select {
		case <-written:
		case <-timer.C:
			return outcome
		case <-ctx.Done():
			return outcome
		}
	}
}

// storeRecords writes the records that this daemon collects to the store until the context ends.
func (s *state) storeRecords(ctx context.Context) {
	watch := epochWatch{store: s.versionStore}
	timer := time.NewTimer(collectIdleInterval)
	defer timer.Stop()
	var writes sync.WaitGroup
	defer writes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.records.storeWake:
		case <-timer.C:
		}
		s.mu.Lock()
		if watch.changed() {
			s.records.log.StoreReturned()
		}
		var again time.Time
		for {
			now := bootNow()
			var w *streamversion.RecordsWrite
			if w, again = s.records.log.Next(now); w == nil {
				break
			}
			writes.Go(func() { s.writeRecords(ctx, w) })
		}
		s.mu.Unlock()
		interval := collectIdleInterval
		if !again.IsZero() {
			interval = min(interval, max(again.Sub(bootNow()), time.Millisecond))
		}
		timer.Reset(interval)
	}
}

// writeRecords writes a row of records.
func (s *state) writeRecords(ctx context.Context, w *streamversion.RecordsWrite) {
	ctx, cancel := context.WithTimeout(ctx, streamversion.RecordsTimeout)
	defer cancel()
	value, err := streamversion.Encode(&streamversion.Message{Batch: w.Batch})
	if err == nil {
		key := table.Key{Partition: w.Partition, Sort: w.Row}
		err = s.versionStore.Transact(ctx, []table.Write{{Key: key, Version: s.versionStore.Epoch().At(w.Writes), Value: value}})
	}
	if err != nil {
		s.streamMetrics.failedWrites.Inc()
		klog.V(1).InfoS("records of streams not stored", "partition", w.Partition, "row", w.Row, "err", err)
	}
	s.mu.Lock()
	s.records.log.Written(bootNow(), w, err == nil)
	close(s.records.written)
	s.records.written = make(chan struct{})
	s.mu.Unlock()
	wake(s.records.storeWake)
}

// semaphore is a mutex of which the wait ends with a context.
type semaphore chan struct{}

func newSemaphore() semaphore { return make(semaphore, 1) }

// acquire reports whether it holds the semaphore.
func (s semaphore) acquire(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s semaphore) release() { <-s }

// learnStoredStreams reads the records that daemons have stored, unless that was done lately. All that
// wait share one read, which goes on when its caller leaves. It reports whether it has read them.
func (s *state) learnStoredStreams(ctx context.Context) bool {
	if s.versionStore == nil || !s.versionsReading.acquire(ctx) {
		return false
	}
	defer s.versionsReading.release()
	now := bootNow()
	lately := func(at time.Time, interval time.Duration) bool { return !at.IsZero() && now.Sub(at) < interval }
	if lately(s.records.readAt, streamsReadInterval) {
		return true
	}
	if lately(s.records.readFailedAt, streamsRetryInterval) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	items, err := s.readStoredStreams(ctx)
	if err != nil {
		s.records.readAt, s.records.readFailedAt = time.Time{}, bootNow()
		klog.InfoS("failed to read the stored records of streams", "err", err)
	} else {
		s.records.readAt = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := 0
	for _, item := range items {
		m, err := streamversion.Decode[streamversion.Message](item.Value)
		if err != nil {
			klog.ErrorS(err, "failed to decode stored records of streams", "row", item.Key)
			continue
		}
		s.streams.MergeStreams(now, &m.Batch)
		for i := range m.Batch.Groups {
			records += m.Batch.Groups[i].Len()
		}
	}
	klog.InfoS("stored records of streams read", "rows", len(items), "records", records)
	return err == nil
}

// readStoredStreams returns the rows of all partitions that could be read.
func (s *state) readStoredStreams(ctx context.Context) ([]table.Item, error) {
	partitions := streamversion.RecordsPartitions()
	rows, failures := make([][]table.Item, len(partitions)), make([]error, len(partitions))
	var reads sync.WaitGroup
	for i, partition := range partitions {
		reads.Go(func() {
			for after, more := "", true; more && failures[i] == nil; {
				var page []table.Item
				page, failures[i] = s.versionStore.Query(ctx, partition, after, maxDaemonRows)
				rows[i] = append(rows[i], page...)
				if more = len(page) == maxDaemonRows; more {
					after = page[len(page)-1].Key.Sort
				}
			}
		})
	}
	reads.Wait()
	return slices.Concat(rows...), stderrors.Join(failures...)
}

// storedStreams is what the holder of the duties knows of the rows of records.
type storedStreams struct {
	cleanedAt time.Time
	// cleaned is how often it has looked for rows to delete, each time in the next partition.
	cleaned int
	// versions holds the versions of the rows when they were last looked at.
	versions map[table.Key]table.Version
}

// deleteOldStreams deletes the rows that have not changed since they were last looked at, some minutes
// ago: those of runs that have ended, and those that are used no more. A daemon whose row is deleted
// although it uses it writes the records to another one.
func (u *duties) deleteOldStreams(ctx context.Context) {
	old, now, s := &u.streams, bootNow(), u.daemon.state
	s.mu.Lock()
	interval := max(streamsCleanInterval, s.streams.StreamAge(now))
	s.mu.Unlock()
	if now.Sub(old.cleanedAt) < interval {
		return
	}
	old.cleanedAt = now
	partitions := streamversion.RecordsPartitions()
	part := partitions[old.cleaned%len(partitions)]
	old.cleaned++
	items, err := u.daemon.platform.Query(ctx, part, "", table.MaxTransactionWrites)
	if err != nil {
		klog.InfoS("failed to read the stored records of streams", "err", err)
		return
	}
	versions := make(map[table.Key]table.Version)
	for key, version := range old.versions {
		if key.Partition != part {
			versions[key] = version
		}
	}
	var deletions []table.Write
	for _, item := range items {
		if before, known := old.versions[item.Key]; known && before == item.Version {
			deletions = append(deletions, table.Write{Key: item.Key, Version: item.Version, Delete: true})
		}
		versions[item.Key] = item.Version
	}
	old.versions = versions
	if len(deletions) == 0 {
		return
	}
	if err := u.daemon.platform.Transact(ctx, deletions[:min(len(deletions), maxDeletions)]); err != nil {
		klog.InfoS("failed to delete old records of streams", "partition", part, "err", err)
	}
}

// maxDeletions is the number of rows deleted at once. The guard of the partition needs a place, too.
const maxDeletions = table.MaxTransactionWrites / 2
