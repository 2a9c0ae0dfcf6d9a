package edge

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

const (
	// copyInterval is how often records of streams of services with one version, whose routes have
	// changed, are copied to two holders, and copyIntervalHubs how often with more daemons than a full
	// mesh has, where a message costs more than the records in it: 590 daemons send 2,360 messages a
	// second. A daemon that is killed takes the records of this time with it. Records of services with
	// several versions go to collectors at once.
	copyInterval     = 200 * time.Millisecond
	copyIntervalHubs = 500 * time.Millisecond
	// copyTimeout is the timeout of one copy.
	copyTimeout = 400 * time.Millisecond
	// lookupTimeout is the timeout of each of the two rounds in which daemons are asked
	// for the origin of a stream. It is many times the round trip between zones.
	lookupTimeout = 200 * time.Millisecond
	// timeoutsPerStream is how many timeouts of its route a stream may last over all tries
	// of its caller.
	timeoutsPerStream = 2
	// otherRunPause is how long a server whose listed run does not answer gets no streams that may
	// be taken up, unless its entry changes. Another one asks again then.
	otherRunPause = time.Second
	// minStreamAge is the least time for which the origin of a stream is kept.
	minStreamAge = 10 * time.Second
)

// streamMetrics counts where the origins of streams that callers take up come from.
type streamMetrics struct {
	origins *prometheus.CounterVec
	// unstored counts streams that began before the store had their record, recordWait is how long first
	// events have waited for it, and failedWrites counts writes of records.
	unstored     *prometheus.CounterVec
	recordWait   prometheus.Histogram
	failedWrites prometheus.Counter
}

// Reasons for which streams began before the store had their record.
const (
	// unstoredHeld means that the store did not take it, and other daemons hold it.
	unstoredHeld = "held"
	// unstoredTimeout means that the wait was over.
	unstoredTimeout = "timeout"
)

func newStreamMetrics() *streamMetrics {
	return &streamMetrics{origins: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_stream_origins_total",
		Help: "Streams that callers have taken up, by where the version that began them is known from."}, []string{"source"}),
		unstored: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "monsooncrank_streams_begun_unstored_total",
			Help: "Streams of services with several software versions that began before the store had their record, by reason."}, []string{"reason"}),
		recordWait: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "monsooncrank_stream_record_wait_seconds",
			Help: "How long first events of streams have waited for their records.", Buckets: []float64{.005, .01, .02, .03, .04, .06, .08, .1, .15, .2}}),
		failedWrites: prometheus.NewCounter(prometheus.CounterOpts{Name: "monsooncrank_stream_records_failed_writes_total",
			Help: "Writes of records of streams that the store has not acknowledged."})}
}

func (m *streamMetrics) register(registry prometheus.Registerer) {
	registry.MustRegister(m.origins, m.unstored, m.recordWait, m.failedWrites)
}

// streamAge returns how long after its begin a stream may be taken up.
func streamAge(c *catalog.Catalog) time.Duration {
	age := minStreamAge
	for _, r := range c.Routes {
		if r.Kind == catalog.KindStream && r.Resumable {
			age = max(age, timeoutsPerStream*r.Timeout)
		}
	}
	return age
}

// routesOfStreams returns the routes by which streams that may be taken up come to services.
func routesOfStreams(c *catalog.Catalog) []streamversion.Route {
	var routes []streamversion.Route
	for _, r := range c.Routes {
		if r.Kind == catalog.KindStream && r.Resumable {
			routes = append(routes, streamversion.Route{Host: r.Host, PathPrefix: r.PathPrefix, Split: r.Split})
		}
	}
	return routes
}

// confirmVersions records when the view of the servers was last complete.
func (s *state) confirmVersions() {
	if age := s.fleetAge(); age >= 0 {
		s.streams.Confirmed(bootNow().Add(-age))
	}
}

// OtherRunAnswers records that the run in the entry of a server does not answer but another one.
func (s *state) OtherRunAnswers(server *fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	for run, until := range s.endedRuns {
		if !now.Before(until) {
			delete(s.endedRuns, run)
		}
	}
	s.endedRuns[server.RunID()] = now.Add(otherRunPause)
}

// sendToAnsweringRuns limits a query to servers whose listed runs may still answer. All streams
// would be sent to a server first that has just started again, as it runs nothing.
func (s *state) sendToAnsweringRuns(q *placement.Query) {
	if len(s.endedRuns) == 0 {
		return
	}
	now := bootNow()
	q.MayUse = mayUseBoth(q.MayUse, func(server *fleet.Server) bool { return !now.Before(s.endedRuns[server.RunID()]) })
}

// StreamBegan records the server that began a stream. While the service has several versions it
// waits until the store has the record, or other daemons while the store takes none, for
// streamsStoreWait at most.
func (s *state) StreamBegan(stream string, server *fleet.Server) {
	s.mu.Lock()
	now := bootNow()
	s.streams.Began(now, stream, server)
	collects := s.streams.SeveralVersions(now, server.Service) && s.versionStore != nil
	s.mu.Unlock()
	if collects {
		wake(s.records.collectWake)
		s.awaitCollected(stream)
	}
}

// StreamOrigin returns the origin of a stream that a caller takes up. It asks those that the core names
// until the origin is proved or nobody is left to ask.
func (s *state) StreamOrigin(ctx context.Context, request string, stream *streamversion.Stream) (streamversion.Origin, bool) {
	startedAt, arrivedAt := time.Now(), bootNow()
	evidence := streamversion.Evidence{NoStore: s.versionStore == nil}
	from := ""
	for {
		s.mu.Lock()
		evidence.Behind = s.catalog != nil && s.peerCatalogVersion > s.catalog.Version
		verdict := s.streams.Decide(bootNow(), stream, &evidence)
		s.mu.Unlock()
		switch verdict.Next {
		case streamversion.AskVersions:
			evidence.VersionsRead(s.askVersions(ctx, arrivedAt))
		case streamversion.AskCollectors:
			evidence.CollectorsAsked = true
			from = s.askForOrigin(ctx, s.collectorsFor(stream.ID), true, stream, &evidence)
		case streamversion.AskPeers:
			from = s.askPeers(ctx, stream, &evidence)
		case streamversion.AskRecords:
			s.learnStoredStreams(ctx)
			evidence.RecordsAsked = true
		default:
			s.streamMetrics.origins.WithLabelValues(string(verdict.Source)).Inc()
			klog.InfoS("stream taken up", "request", request, "stream", stream.ID, "source", verdict.Source, "from", from,
				"service", verdict.Origin.Service, "version", verdict.Origin.Version, "asked", evidence.Asked, "answered", len(evidence.Replies),
				"unconfirmed", evidence.Versions == streamversion.Unanswered, "tookMs", time.Since(startedAt).Milliseconds())
			return verdict.Origin, verdict.Known()
		}
	}
}

// askVersions reads the row of versions, as of a moment after the stream was taken up.
func (s *state) askVersions(ctx context.Context, arrivedAt time.Time) streamversion.Outcome {
	if s.confirmVersionsAt(ctx, arrivedAt) {
		return streamversion.Answered
	}
	return streamversion.Unanswered
}

// askPeers asks the other daemons for the record of a stream: in a large deployment first those in
// this AvailabilityZone, to which callers usually return, then all others. It returns which one had
// the record.
func (s *state) askPeers(ctx context.Context, stream *streamversion.Stream, e *streamversion.Evidence) (from string) {
	e.PeersAsked = true
	s.mu.Lock()
	members := s.peers.Members(bootNow(), memberMaxAge)
	for _, m := range members {
		e.Listed = append(e.Listed, m.Node)
	}
	e.ListUnknown = len(members) == 0 && !s.daemonsListed
	s.mu.Unlock()
	near, far := s.lookupPeers()
	for _, peers := range [][]mesh.Peer{near, far} {
		e.Asked += len(peers)
		if from = s.askForOrigin(ctx, peers, false, stream, e); from != "" {
			return from
		}
	}
	return ""
}

// collectorsFor returns the daemons that collect the record of a stream.
func (s *state) collectorsFor(stream string) []mesh.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []mesh.Peer
	for _, node := range s.streams.CollectorsFor(stream) {
		if p, known := s.peers.Lookup(node); known {
			peers = append(peers, p)
		}
	}
	return peers
}

// lookupPeers returns the daemons to ask first and those to ask then: those in this one's
// zone and all others, or all at once if they are few.
func (s *state) lookupPeers() (near, far []mesh.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers.Alive(bootNow(), memberMaxAge) {
		if s.peers.IsFullMesh() || p.Zone == s.settings.AvailabilityZone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

// askForOrigin asks daemons for the origin of a stream and adds their replies to the evidence. It learns
// the first origin in a reply, and returns the daemon that sent it. If readStore is set, those that have
// no record read the stored ones.
func (s *state) askForOrigin(ctx context.Context, peers []mesh.Peer, readStore bool, stream *streamversion.Stream, e *streamversion.Evidence) (from string) {
	type answer struct {
		node  string
		reply *streamversion.Reply
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answers := make(chan answer, len(peers))
	s.mu.Lock()
	lookup := s.streams.Lookup(bootNow(), stream)
	lookup.ReadsStore = readStore
	s.mu.Unlock()
	for _, p := range peers {
		go func() {
			reply, err := s.exchangeStreams(ctx, &p, &lookup)
			if err != nil {
				reply = nil
			}
			answers <- answer{node: p.Node, reply: reply}
		}()
	}
	for range peers {
		a := <-answers
		if a.reply == nil {
			continue
		}
		e.Replied(a.node, a.reply)
		if origin, found := a.reply.OriginOf(stream.ID); found {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.streams.Learned(bootNow(), stream.ID, origin)
			return a.node
		}
	}
	return ""
}

// exchangeStreams sends a message about streams to a daemon and returns its reply.
func (s *state) exchangeStreams(ctx context.Context, p *mesh.Peer, m *streamversion.Message) (*streamversion.Reply, error) {
	payload, err := streamversion.Encode(m)
	if err != nil {
		return nil, err
	}
	answer, err := s.callPeer(ctx, p.Address, payload)
	if err != nil {
		klog.V(1).InfoS("message about streams failed", "peer", p.Node, "err", err)
		return nil, err
	}
	return streamversion.Decode[streamversion.Reply](answer)
}

// handleStreams handles a message about streams from another daemon.
func (s *state) handleStreams(ctx context.Context, payload []byte) ([]byte, error) {
	m, err := streamversion.Decode[streamversion.Message](payload)
	if err != nil {
		return nil, err
	}
	return streamversion.Encode(s.answerStreams(ctx, m))
}

// copyStreams copies the records of this daemon's streams to their holders until the
// context ends.
func (s *state) copyStreams(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		interval := copyInterval
		if !s.peers.IsFullMesh() {
			interval = copyIntervalHubs
		}
		s.mu.Unlock()
		pause(ctx, interval)
		s.copyStreamsOnce(ctx)
	}
}

// copyStreamsOnce sends each holder the records that it lacks.
func (s *state) copyStreamsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	s.mu.Lock()
	now := bootNow()
	peers := make(map[string]mesh.Peer)
	var members []streamversion.Member
	for _, p := range s.peers.Alive(now, memberMaxAge) {
		peers[p.Node] = p
		members = append(members, streamversion.Member{Node: p.Node, Zone: p.Zone, Run: p.Record.Incarnation, Cores: p.Weight})
	}
	s.streams.SetMembers(now, members)
	batches := make(map[string]streamversion.Batch)
	for _, node := range s.streams.Holders() {
		if batch, ok := s.streams.BatchFor(now, node); ok {
			batches[node] = batch
		}
	}
	s.mu.Unlock()
	var running sync.WaitGroup
	for node, batch := range batches {
		running.Go(func() {
			p := peers[node]
			reply, err := s.exchangeStreams(ctx, &p, &streamversion.Message{Batch: batch})
			if err != nil {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.streams.Acknowledged(node, reply.Run, &batch)
		})
	}
	running.Wait()
}
