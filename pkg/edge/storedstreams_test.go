package edge

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// countedReads counts the reads of the records of streams.
type countedReads struct {
	table.Store
	count atomic.Int64
}

func (c *countedReads) Query(ctx context.Context, partition, after string, limit int) ([]table.Item, error) {
	if partition == streamversion.RecordsPartitions()[0] {
		c.count.Add(1)
	}
	return c.Store.Query(ctx, partition, after, limit)
}

// runRecords lets a daemon send and store records of streams until stop is called.
func runRecords(t *testing.T, s *state) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.collectStreams(ctx) })
	running.Go(func() { s.storeRecords(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// beginStored lets a daemon begin streams and waits until the store has their records.
func beginStored(t *testing.T, s *state, version string, streams ...string) {
	t.Helper()
	defer runRecords(t, s)()
	for _, stream := range streams {
		s.StreamBegan(stream, versionEntry(version).Server)
		gomega.NewWithT(t).Eventually(func() bool { return isStored(s, stream) }, 5*time.Second, time.Millisecond).Should(gomega.BeTrue(), stream)
	}
}

// measureStalls returns a function that tells for how long this process has not run since, as on a
// machine that is busy with others. Bounds on waits leave that time out.
func measureStalls(t *testing.T) func() time.Duration {
	t.Helper()
	const pause = 5 * time.Millisecond
	var total atomic.Int64
	ctx := t.Context()
	go func() {
		for ctx.Err() == nil {
			at := time.Now()
			time.Sleep(pause)
			if excess := time.Since(at) - 2*pause; excess > 0 {
				total.Add(int64(excess))
			}
		}
	}()
	return func() time.Duration { return time.Duration(total.Load()) }
}

func isStored(s *state, stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams.IsStored(stream)
}

// rowsOf returns the rows with records of streams.
func rowsOf(t *testing.T, store table.Store) []table.Item {
	t.Helper()
	var all []table.Item
	for _, partition := range streamversion.RecordsPartitions() {
		items, err := store.Query(t.Context(), partition, "", 100)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, items...)
	}
	return all
}

// TestStreamsGoOnBesideTwoVersionsAfterAllWereLost guards against streams that are refused after a
// loss of all daemons because their service had servers of two versions, also if answers of the store
// were lost.
func TestStreamsGoOnBesideTwoVersionsAfterAllWereLost(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	first := startWithServers(t, store, "v1", "v2")
	stop := runRecords(t, first)
	time.Sleep(2 * collectIdleInterval)
	g.Expect(store.Stats().Transactions).To(gomega.BeZero(), "there is nothing to store")
	store.SetFault(func(o memtable.Operation) memtable.Fault {
		if o == memtable.OperationTransact {
			return memtable.FaultAnswerLost
		}
		return memtable.FaultNone
	})
	first.StreamBegan("one", versionEntry("v1").Server)
	g.Expect(isStored(first, "one")).To(gomega.BeFalse())
	store.SetFault(nil)
	g.Eventually(func() bool { return isStored(first, "one") }, "3s").Should(gomega.BeTrue())
	stop()
	beginStored(t, first, "v2", "other")
	writes := store.Stats().Transactions
	stop = runRecords(t, first)
	time.Sleep(2 * collectIdleInterval)
	stop()
	g.Expect(store.Stats().Transactions).To(gomega.Equal(writes), "the store has them")

	reads := &countedReads{Store: store}
	restarted := startWithServers(t, reads, "v1", "v2")
	beginStored(t, restarted, "v2", "third")
	for stream, version := range map[string]string{"one": "v1", "other": "v2"} {
		origin, known := restarted.StreamOrigin(t.Context(), "request", streamAt("s", stream))
		g.Expect(known).To(gomega.BeTrue(), stream)
		g.Expect(origin).To(gomega.Equal(streamversion.Origin{Service: "s", Version: version}))
	}
	_, known := restarted.StreamOrigin(t.Context(), "request", streamAt("s", "unknown"))
	g.Expect(known).To(gomega.BeFalse())
	g.Expect(reads.count.Load()).To(gomega.BeEquivalentTo(1), "one read for all")
}

// silentStore does not answer until the context of a call ends while it is silent.
type silentStore struct {
	table.Store
	silent atomic.Bool
	reads  atomic.Int64
}

func (s *silentStore) Get(ctx context.Context, key table.Key) (table.Item, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return table.Item{}, ctx.Err()
	}
	return s.Store.Get(ctx, key)
}

func (s *silentStore) Query(ctx context.Context, partition, after string, limit int) ([]table.Item, error) {
	if partition == streamversion.RecordsPartitions()[0] {
		s.reads.Add(1)
	}
	if s.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.Store.Query(ctx, partition, after, limit)
}

// TestTakeUpsShareAFailedRead guards against take-ups that wait for one another's failing reads of
// a silent store, one after the other, and against callers that wait for a read of another after
// their own time is over.
func TestTakeUpsShareAFailedRead(t *testing.T) {
	g := gomega.NewWithT(t)
	store := &silentStore{Store: memtable.New()}
	first := startWithServers(t, store, "v1", "v2")
	beginStored(t, first, "v1", "one")
	s := startWithServers(t, store, "v1", "v2")
	store.silent.Store(true)
	at := time.Now()
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() { s.StreamOrigin(t.Context(), "request", streamAt("s", "one")) })
	}
	all.Wait()
	g.Expect(time.Since(at)).To(gomega.BeNumerically("<", time.Second))
	g.Expect(store.reads.Load()).To(gomega.BeEquivalentTo(1), "one read for all")

	time.Sleep(2 * streamsRetryInterval)
	all.Go(func() { s.StreamOrigin(t.Context(), "request", streamAt("s", "one")) })
	g.Eventually(store.reads.Load, "100ms", "1ms").Should(gomega.BeEquivalentTo(2), "another read later")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	at = time.Now()
	s.StreamOrigin(ctx, "request", streamAt("s", "one"))
	g.Expect(time.Since(at)).To(gomega.BeNumerically("<", lookupTimeout/2), "the caller's time is over")
	all.Wait()

	store.silent.Store(false)
	g.Eventually(func() bool {
		_, known := s.StreamOrigin(t.Context(), "request", streamAt("s", "one"))
		return known
	}, time.Second).Should(gomega.BeTrue(), "the store is back")
}

// TestOldRecordsOfStreamsAreDeleted guards against rows that pile up in the store with each run of
// a daemon, and against a daemon that can't store records any more since its row was deleted.
func TestOldRecordsOfStreamsAreDeleted(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	s := startWithServers(t, store, "v1", "v2")
	beginStored(t, s, "v1", "one")
	u := &duties{daemon: &Daemon{settings: settings, platform: &fakePlatform{Store: store}, state: s}}
	look := func() {
		for range streamversion.RecordsPartitions() {
			u.streams.cleanedAt = time.Time{}
			u.deleteOldStreams(t.Context())
			looked := u.streams.cleaned
			u.deleteOldStreams(t.Context())
			g.Expect(u.streams.cleaned).To(gomega.Equal(looked), "one partition at a time")
		}
	}
	look()
	g.Expect(rowsOf(t, store)).To(gomega.HaveLen(1))
	look()
	g.Expect(rowsOf(t, store)).To(gomega.BeEmpty())
	beginStored(t, s, "v1", "two")
	g.Expect(rowsOf(t, store)).To(gomega.HaveLen(1))
}

// slowWrites is a table that performs each write of a part after the one before and takes a while for
// it, also if its caller has given up.
type slowWrites struct {
	table.Store
	takes time.Duration
	mu    sync.Mutex
	free  map[string]time.Time
}

func (s *slowWrites) Transact(ctx context.Context, writes []table.Write) error {
	s.mu.Lock()
	part, at := writes[0].Key.Partition, time.Now()
	if free := s.free[part]; free.After(at) {
		at = free
	}
	at = at.Add(s.takes)
	s.free[part] = at
	s.mu.Unlock()
	done := make(chan error, 1)
	time.AfterFunc(time.Until(at), func() { done <- s.Store.Transact(context.Background(), writes) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &table.AmbiguousError{Reason: ctx.Err().Error()}
	}
}

// TestRecordsAreStoredWhileTheStoreIsSlow guards against records of streams that are not stored for as
// long as a write takes over half a second, since it is given up before, and against records that wait
// for writes of others.
func TestRecordsAreStoredWhileTheStoreIsSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	store := &slowWrites{Store: memtable.New(), takes: milliseconds(600), free: make(map[string]time.Time)}
	network := newStreamNetwork()
	var daemons []*state
	for _, node := range []string{"edge-tbilisi-a-1", "edge-tbilisi-a-2", "edge-tbilisi-b-1", "edge-tbilisi-b-2", "edge-tbilisi-c-1", "edge-tbilisi-c-2", "edge-tbilisi-d-1"} {
		s := network.add(t, node, "zone")
		s.versionStore = store
		s.streams.SetStreamAge(bootNow(), time.Minute)
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, []fleet.Entry{versionEntry("v1"), versionEntry("v2")}), "store")
		s.serversReadAt = bootNow()
		s.confirmVersions()
		daemons = append(daemons, s)
	}
	for _, s := range daemons {
		s.copyStreamsOnce(t.Context())
	}
	for _, s := range daemons {
		defer runRecords(t, s)()
	}
	stalled := measureStalls(t)
	var begun sync.WaitGroup
	for _, s := range daemons {
		for i := range 2 {
			begun.Go(func() {
				time.Sleep(time.Duration(i) * milliseconds(100))
				s.StreamBegan(fmt.Sprint("stream ", i, " of ", s.settings.Node), versionEntry("v1").Server)
			})
		}
	}
	begun.Wait()
	// The write that takes 600 ms, and the time until it begins.
	for at, before := time.Now(), stalled(); time.Since(at)-(stalled()-before) < milliseconds(800); {
		time.Sleep(milliseconds(10))
	}
	restarted := startWithServers(t, store, "v1", "v2")
	for _, s := range daemons {
		for i := range 2 {
			stream := fmt.Sprint("stream ", i, " of ", s.settings.Node)
			g.Expect(isStored(s, stream)).To(gomega.BeTrue(), "the daemon knows")
			_, known := restarted.StreamOrigin(t.Context(), "request", streamAt("s", stream))
			g.Expect(known).To(gomega.BeTrue(), stream)
		}
	}
}

// TestRecordsAreStoredAfterAWriteThatIsGivenUp guards against a daemon that can't store records any more
// since the store has performed a write that it had given up.
func TestRecordsAreStoredAfterAWriteThatIsGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	store := &slowWrites{Store: memtable.New(), takes: milliseconds(1300), free: make(map[string]time.Time)}
	s := startWithServers(t, store, "v1", "v2")
	defer runRecords(t, s)()
	s.StreamBegan("one", versionEntry("v1").Server)
	time.Sleep(milliseconds(1300))
	g.Expect(isStored(s, "one")).To(gomega.BeFalse())
	store.mu.Lock()
	store.takes = 0
	store.mu.Unlock()
	g.Eventually(func() bool { return isStored(s, "one") }, "3s").Should(gomega.BeTrue())
	s.StreamBegan("two", versionEntry("v1").Server)
	g.Expect(isStored(s, "two")).To(gomega.BeTrue())
}

// TestTheFirstEventWaitsForItsRecord guards against a stream whose caller has events while no record
// of it lies elsewhere, whatever the number of daemons (review cases 11 and 13), and against one that
// waits although one version only can have begun it.
func TestTheFirstEventWaitsForItsRecord(t *testing.T) {
	for _, daemons := range []int{1, 2, 7, 8, 13, 65, 85} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := memtable.New()
			network := newStreamNetwork()
			var all []*state
			for i := range daemons {
				s := network.add(t, fmt.Sprint("daemon-", i), fmt.Sprint("zone-", i%4))
				s.versionStore = store
				s.streams.SetStreamAge(bootNow(), time.Minute)
				s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, []fleet.Entry{versionEntry("v1"), versionEntry("v2")}), "store")
				all = append(all, s)
			}
			for _, s := range all {
				s.copyStreamsOnce(t.Context())
				defer runRecords(t, s)()
			}
			for i, s := range []*state{all[0], all[daemons/2]} {
				stream := fmt.Sprint("stream-", i)
				s.StreamBegan(stream, versionEntry("v1").Server)
				g.Expect(isStored(s, stream) || testutil.ToFloat64(s.streamMetrics.unstored.WithLabelValues(unstoredTimeout)) > 0).To(gomega.BeTrue())
				g.Eventually(func() bool { return isStored(s, stream) }).Should(gomega.BeTrue())
			}
			restarted := startWithServers(t, store, "v1", "v2")
			for i := range 2 {
				_, known := restarted.StreamOrigin(t.Context(), "request", streamAt("s", fmt.Sprint("stream-", i)))
				g.Expect(known).To(gomega.BeTrue(), "after a loss of all")
			}
		})
	}
	g := gomega.NewWithT(t)
	one := startWithServers(t, memtable.New(), "v1")
	row := streamversion.Row{Versions: streamversion.InUse{"s": {"v1"}}, Complete: true}
	one.streams.MergeStored(bootNow(), row)
	at := time.Now()
	one.StreamBegan("only", versionEntry("v1").Server)
	g.Expect(time.Since(at)).To(gomega.BeNumerically("<", streamsStoreWait/2))
	g.Expect(one.records.collectWake).To(gomega.BeEmpty())
}

// TestTheFirstEventDoesNotWaitForAStoreThatIsAway guards against first events that wait for longer than
// streamsStoreWait, or for that long each time while no collector can store records, and against
// records that are not stored once it is back.
func TestTheFirstEventDoesNotWaitForAStoreThatIsAway(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	network := newStreamNetwork()
	var all []*state
	for i := range 4 {
		s := network.add(t, fmt.Sprint("daemon-", i), fmt.Sprint("zone-", i%2))
		s.versionStore = store
		s.streams.SetStreamAge(bootNow(), time.Minute)
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, []fleet.Entry{versionEntry("v1"), versionEntry("v2")}), "store")
		all = append(all, s)
	}
	for _, s := range all {
		s.copyStreamsOnce(t.Context())
		defer runRecords(t, s)()
	}
	store.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
	s := all[0]
	stalled := measureStalls(t)
	began := func(stream string) time.Duration {
		at, before := time.Now(), stalled()
		s.StreamBegan(stream, versionEntry("v1").Server)
		return time.Since(at) - (stalled() - before)
	}
	for i := range 20 {
		g.Expect(began(fmt.Sprint("away-", i))).To(gomega.BeNumerically("<", streamsStoreWait+milliseconds(100)))
	}
	held := func() float64 { return testutil.ToFloat64(s.streamMetrics.unstored.WithLabelValues(unstoredHeld)) }
	g.Expect(held()).To(gomega.BeNumerically(">=", 10), "two daemons hold them")
	for i := range 20 {
		holders := 0
		for _, o := range all[1:] {
			o.mu.Lock()
			if _, known := o.streams.Recorded(bootNow(), fmt.Sprint("away-", i)); known {
				holders++
			}
			o.mu.Unlock()
		}
		g.Expect(holders).To(gomega.BeNumerically(">=", 2))
	}
	store.SetFault(nil)
	for i := range 20 {
		g.Eventually(func() bool { return isStored(s, fmt.Sprint("away-", i)) }, "3s").Should(gomega.BeTrue(), "the store is back")
	}
}

// TestACollectorThatDoesNotReplyIsReplaced guards against records that only a daemon was sent which was
// lost, and against one that stores none: of an earlier build, which holds what it is sent.
func TestACollectorThatDoesNotReplyIsReplaced(t *testing.T) {
	for _, kind := range []string{"lost", "silent", "earlier build"} {
		t.Run(kind, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := memtable.New()
			network := newStreamNetwork()
			var all []*state
			for i := range 8 {
				s := network.add(t, fmt.Sprint("daemon-", i), fmt.Sprint("zone-", i%2))
				s.versionStore = store
				s.streams.SetStreamAge(bootNow(), time.Minute)
				s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, []fleet.Entry{versionEntry("v1"), versionEntry("v2")}), "store")
				all = append(all, s)
			}
			for _, s := range all {
				s.copyStreamsOnce(t.Context())
			}
			s := all[0]
			gone := s.streams.CollectorsFor("stream")[0]
			call := s.callPeer
			s.callPeer = func(ctx context.Context, address string, payload []byte) ([]byte, error) {
				switch {
				case address == gone && kind == "silent":
					<-ctx.Done()
					return nil, ctx.Err()
				case address == gone && kind == "earlier build":
					m, err := streamversion.Decode[streamversion.Message](payload)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					m.Collect = 0
					payload, err = streamversion.Encode(m)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				return call(ctx, address, payload)
			}
			if kind == "lost" {
				network.kill(gone)
			}
			for _, s := range all {
				if s.settings.Node != gone || kind == "earlier build" {
					defer runRecords(t, s)()
				}
			}
			stalled := measureStalls(t)
			began := func() time.Duration {
				at, before := time.Now(), stalled()
				s.StreamBegan("stream", versionEntry("v1").Server)
				return time.Since(at) - (stalled() - before)
			}
			g.Expect(began()).To(gomega.BeNumerically("<", streamsStoreWait+milliseconds(100)))
			g.Eventually(func() bool { return isStored(s, "stream") }, "3s").Should(gomega.BeTrue())
			g.Expect(began()).To(gomega.BeNumerically("<", streamsStoreWait))
		})
	}
}
