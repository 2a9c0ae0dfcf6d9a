package edge

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
)

const (
	// exchangeInterval is the time between two exchanges with one neighbor. An
	// engine processes about ten thousand prompt tokens in this time.
	exchangeInterval = 250 * time.Millisecond
	// leafInterval is the time between two exchanges of a hub with a daemon that
	// is not a hub.
	leafInterval = 400 * time.Millisecond
	// exchangeCheckInterval and minExchangeCheckInterval are the longest and the shortest
	// time between two checks of which exchanges are due. Servers whose grace period has
	// ended are removed at the latest after the former.
	exchangeCheckInterval    = 200 * time.Millisecond
	minExchangeCheckInterval = 10 * time.Millisecond
	// exchangeTimeout is the timeout of one exchange. It is many times the round
	// trip between zones.
	exchangeTimeout = 700 * time.Millisecond
	// peerExpiry is the time after which a daemon that neither sends records nor
	// refreshes its row in the store is removed. It is longer than the time
	// between two refreshes.
	peerExpiry = 45 * time.Second
	// fullMeshLimit is the number of daemons up to which each daemon exchanges
	// messages with every other one. With more daemons the exchanges would take
	// more than 1 % of a small host's CPU.
	fullMeshLimit = 12
	// hubCount is the number of daemons that read the store on behalf of all
	// daemons and forward records. With three hubs, one remains when two hosts
	// fail at the same time.
	hubCount = 3
	// daemonsPerHub is the number of daemons for each of which there is a hub in
	// larger deployments. A hub answers 2.5 exchanges of each a second.
	daemonsPerHub = 100
	// catalogDeliveryTimeout is how long a daemon waits for an announced
	// configuration before it reads the store, and how long a hub waits before it
	// sends the configuration to a neighbor whose primary hub is another one.
	// The message before the timeout takes up to 0.4 s, and after it a message up
	// to 0.4 s or a read 0.3 s, so that the configuration is in force within two
	// seconds.
	catalogDeliveryTimeout = 700 * time.Millisecond
)

// newRecord returns the next record of this daemon.
func (s *state) newRecord() mesh.Record {
	now := bootNow()
	r := s.newPartialRecord()
	r.Partial = false
	r.Loads, r.Work, r.Quota = s.placement.Own(), s.placement.OwnWork(), s.quota.Totals(now)
	r.Usage, r.Placed = s.usage.Own(), s.placement.RecentPlacements(time.Now())
	r.Rollouts = s.rollouts.follower.Counts()
	r.Demand = s.contention.core.Offers(now)
	r.Speeds = s.placement.SpeedReports(time.Now())
	if !s.peers.Collects() && s.digests.hubSettled {
		// The hub knows the levels.
		r.Quota.Level = nil
	}
	s.digests.sent.Add(mesh.SentRecord{Sequence: r.Sequence, Loads: r.Loads, Used: r.Quota.Used})
	return r
}

// newPartialRecord returns the next record of this daemon for a receiver to which a digest
// tells the rest.
func (s *state) newPartialRecord() mesh.Record {
	s.sequence++
	return mesh.Record{
		Node: s.settings.Node, Incarnation: s.incarnation, Sequence: s.sequence, Stopping: s.stopping, Partial: true,
		ForwardAddress: s.settings.MetricsAddress, OutOfReach: s.forward.reach.OutOfReach(), Refusals: s.limits.OwnRefusals(),
	}
}

// messageFor returns the message to send to a neighbor.
func (s *state) messageFor(node string) *mesh.Message {
	now := bootNow()
	neighbor, _ := s.peers.Lookup(node)
	m := &mesh.Message{
		Format: mesh.CurrentFormat, OldestHeard: s.peers.OldestHeard(now), Address: s.settings.PeerAddress, WallUnixMilli: time.Now().UnixMilli(), Collects: s.peers.Collects(),
		Records: s.peers.RecordsFor(now, node), Revision: s.peers.Revision(), ReceivedRevision: s.peers.ReceivedRevisionOf(node),
		QuarantineReceived: neighbor.Quarantine.Received, MembersReceived: neighbor.Members.Received, PlacedReceived: neighbor.Placed.Received,
	}
	if s.peers.SendsRecord(node) {
		m.Record = s.newRecord()
	} else {
		m.Record = s.newPartialRecord()
	}
	if s.peers.SendsMembers(node) || s.peers.SendsDigest(node) {
		s.addDigest(now, m, &neighbor, node)
	}
	s.addSpeeds(m, &neighbor, node)
	m.Quarantine, m.QuarantineSpan = s.quarantine.EntriesFor(node, neighbor.Quarantine.Acknowledged, !s.peers.IsFullMesh(), maxQuarantineEntries)
	m.LimitsReceived = neighbor.Limits.Received
	m.Limits, m.LimitsSpan = s.limits.EntriesFor(node, neighbor.Limits.Acknowledged)
	s.addFinals(now, m, &neighbor)
	m.Versions = s.streams.History(now)
	m.Rollouts, m.RolloutsAsOf = s.rollouts.follower.Entries(now), s.rollouts.follower.OrdersAsOf()
	m.RolloutsWithdrawn = s.rollouts.follower.Withdrawn()
	if s.catalog != nil {
		m.CatalogVersion = s.catalog.Version
		if s.shouldSendCatalog(now, node, neighbor.CatalogVersion) {
			m.Catalog = s.compressedCatalog()
		}
	}
	// A daemon that serves others with its view forwards what it has from its peers.
	forward := s.peers.IsFullMesh() || s.peers.IsHub(now)
	if forward || s.streams.TellsStored(now) {
		m.StoredVersions, _ = s.streams.InService()
	}
	m.Fleet = s.fleet.ViewFor(node, neighbor.Fleet.Acknowledged, neighbor.FleetDigest, forward)
	m.Fleet.AgeMillis, m.Fleet.Received = s.fleetAge().Milliseconds(), neighbor.Fleet.Received
	if format, known := s.peers.FormatOf(node); known && format < mesh.FormatEpochs {
		m.Fleet = m.Fleet.InEpoch(0)
	}
	return m
}

// compressedCatalog returns the configuration in force in compressed form. It
// returns nil if the compression fails; peers then read the store.
func (s *state) compressedCatalog() []byte {
	if s.compressed != nil {
		return s.compressed
	}
	compressed, err := mesh.Compress(s.catalog.Source)
	if err != nil {
		klog.ErrorS(err, "failed to compress the configuration for peers", "version", s.catalog.Version)
		return nil
	}
	s.compressed = compressed
	return compressed
}

// catalogLag is the outdated configuration version of a neighbor and the time
// since which the neighbor has had it, or since it was last sent a newer one.
type catalogLag struct {
	version int64
	since   time.Time
}

// shouldSendCatalog reports whether to send the configuration in force to a
// neighbor that has the given version. Its primary hub sends it at once. The
// other hubs send it only if the neighbor does not get it in time, because
// copies of a large configuration from all hubs would saturate the network link
// of a small host.
func (s *state) shouldSendCatalog(now time.Time, node string, version int64) bool {
	if s.catalog.Version <= version {
		delete(s.catalogLag, node)
		return false
	}
	if s.peers.IsFullMesh() {
		return true
	}
	lag, ok := s.catalogLag[node]
	if !ok || lag.version != version {
		s.catalogLag[node] = catalogLag{version: version, since: now}
		return s.peers.IsPrimaryHubFor(node)
	}
	if now.Sub(lag.since) < catalogDeliveryTimeout {
		return false
	}
	// Restart the timeout, so that the configuration is sent again if it is lost.
	s.catalogLag[node] = catalogLag{version: version, since: now}
	return true
}

// handleMessage applies a message from a neighbor. If it answers a message of this
// daemon, requestedAt is when that was sent; otherwise it is zero.
func (d *Daemon) handleMessage(m *mesh.Message, requestedAt time.Time) {
	if len(m.Catalog) > 0 && d.state.isNewerCatalog(m.CatalogVersion) {
		c, err := d.decompressCatalog(m.Catalog)
		if err != nil {
			klog.ErrorS(err, "failed to decode the configuration received from a peer", "peer", m.Record.Node)
		} else {
			d.state.activateCatalog(c, "peer "+m.Record.Node)
		}
	}
	s := d.state
	s.quarantine.MergeFrom(m.Record.Node, m.Quarantine...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if format, known := s.peers.FormatOf(m.Record.Node); !known || format != m.Format {
		klog.InfoS("message format of a peer", "peer", m.Record.Node, "format", m.Format, "before", format, "own", mesh.CurrentFormat)
	}
	if m.Format < mesh.FormatEpochs {
		// What such a daemon knows is of the epoch that this one knows, as far as it can tell.
		m.Fleet = m.Fleet.InEpoch(s.fleet.Version().Epoch())
	}
	s.peers.UpdateNeighbor(bootNow(), m, requestedAt.IsZero())
	s.recordPeerCatalogVersion(bootNow(), m.CatalogVersion)
	s.updateRole(bootNow())
	s.applyDigest(bootNow(), m, !requestedAt.IsZero())
	s.applyRecord(&m.Record)
	for i := range m.Records {
		s.applyRecord(&m.Records[i])
	}
	s.placement.ExpirePeers(time.Now())
	s.quota.SetStaleness(s.peers.MaxStaleness())
	s.applyFinals(bootNow(), m)
	s.applyFleet(m, requestedAt)
	s.applyLimits(m)
	s.confirmVersions()
	s.applyRollouts(m, requestedAt)
	if !requestedAt.IsZero() {
		s.streams.MergeHistory(bootNow(), requestedAt, &m.Versions)
		s.streams.MarkStored(requestedAt, m.StoredVersions)
	} else if s.streams.LacksStored(m.StoredVersions) {
		// Since when the store holds them follows only from an answer.
		s.peers.MakeExchangeDue(bootNow(), m.Record.Node)
	}
}

// newFormatMetric returns the metric that tells the oldest message format among the daemons.
func (s *state) newFormatMetric() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "monsooncrank_oldest_message_format",
		Help: "The oldest message format among the daemons that this one has heard of in the last seconds."}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.peers.OldestFormat(bootNow()))
	})
}

// decompressCatalog decodes a configuration received from a peer.
func (d *Daemon) decompressCatalog(compressed []byte) (*catalog.Catalog, error) {
	source, err := mesh.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return d.platform.DecodeCatalog(source)
}

// applyRecord applies another daemon's record unless it is outdated. A daemon that takes
// the sums of all records from a hub's digest adds no record to them.
func (s *state) applyRecord(r *mesh.Record) {
	now := bootNow()
	if !s.peers.MergeRecord(now, r) {
		return
	}
	s.limits.PeerRefusals(time.Now(), r.Node, r.Incarnation, r.Refusals, s.placement.RunningAt)
	if r.Partial || !s.peers.Collects() {
		return
	}
	s.usage.SetPeer(r.Node, r.Incarnation, r.Usage)
	s.rollouts.totals.Set(r.Node, r.Incarnation, r.Rollouts)
	if r.Stopping {
		s.quota.RemovePeer(r.Node)
		s.placement.SetPeer(time.Now(), r.Node, nil, nil)
		s.contention.core.RemovePeer(r.Node)
		return
	}
	s.placement.SetPeer(time.Now(), r.Node, r.Loads, r.Work)
	s.placement.ApplyPeerPlacements(time.Now(), r.Node, r.Incarnation, r.Placed)
	s.placement.ApplySpeedReports(time.Now(), r.Node, r.Incarnation, r.Speeds)
	s.quota.SetPeer(now, r.Node, r.Incarnation, r.Quota)
	s.contention.core.SetPeer(now, r.Node, r.Demand)
}

// applyFleet merges a neighbor's view of the servers. The age of a view only grows
// as it is forwarded, so that daemons without access to the store cannot refresh one
// another's views: it counts from the time at which the neighbor was asked, and a
// message that answers nothing, of unknown age, confirms nothing. If the views differ
// although both daemons have each other's changes, this daemon reads all entries from
// the store.
func (s *state) applyFleet(m *mesh.Message, requestedAt time.Time) {
	now, node := bootNow(), m.Record.Node
	neighbor, _ := s.peers.Lookup(node)
	events, received, agreed := s.fleet.Merge(now, node, neighbor.Fleet.Received, &m.Fleet)
	s.peers.SetFleetReceived(node, received)
	s.applyServerEvents(events, "peer "+node)
	switch {
	case agreed:
		s.fleetMetrics.views.WithLabelValues(viewAgrees).Inc()
		confirmed := requestedAt.Add(-time.Duration(m.Fleet.AgeMillis) * time.Millisecond)
		if !requestedAt.IsZero() && m.Fleet.AgeMillis >= 0 && confirmed.After(s.peerConfirmedAt) {
			s.peerConfirmedAt = confirmed
		}
	case received != m.Fleet.Span.End() || neighbor.Fleet.Acknowledged != s.fleet.Head():
		s.fleetMetrics.views.WithLabelValues(viewIncomplete).Inc()
	default:
		s.fleetMetrics.views.WithLabelValues(viewDiffers).Inc()
		if !s.viewDisputed {
			klog.InfoS("views of servers differ", "peer", node, "peerVersion", m.Fleet.Version, "fleetVersion", s.fleet.Version(),
				"peerAgeMs", m.Fleet.AgeMillis, "fleetAgeMs", s.fleetAge().Milliseconds())
		}
		s.viewDisputed = true
	}
}

// handleExchange applies a message from a peer and returns this daemon's message
// as the response.
func (d *Daemon) handleExchange(_ context.Context, payload []byte) ([]byte, error) {
	m, err := mesh.DecodeMessage(payload)
	if err != nil {
		return nil, err
	}
	d.handleMessage(m, time.Time{})
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messageFor(m.Record.Node).Encode()
}

// exchangeLoop starts the exchanges that are due, removes servers whose grace period
// has ended and chooses the senders to servers with a request limit.
func (d *Daemon) exchangeLoop(ctx context.Context) {
	timer := time.NewTimer(exchangeCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.state.exchangeWake:
		}
		s := d.state
		s.mu.Lock()
		now := bootNow()
		s.updateRole(now)
		s.applyServerEvents(s.fleet.RemoveExpired(now), "grace period")
		s.refreshLimitMembers(now)
		s.confirmVersions()
		s.updateContention(now)
		due := s.peers.Due(now)
		next := s.peers.NextDue(now.Add(exchangeCheckInterval))
		s.mu.Unlock()
		timer.Reset(max(next.Sub(now), minExchangeCheckInterval))
		for i := range due {
			go d.exchange(ctx, due[i])
		}
	}
}

// exchange exchanges messages with one peer and records the result.
func (d *Daemon) exchange(ctx context.Context, p mesh.Peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s := d.state
	s.mu.Lock()
	payload, err := s.messageFor(p.Node).Encode()
	s.mu.Unlock()
	if err == nil {
		err = d.exchangePayload(ctx, p, payload)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.ExchangeDone(bootNow(), p.Node, err != nil)
	if err != nil {
		klog.V(1).InfoS("exchange with a peer failed", "peer", p.Node, "address", p.Address, "err", err)
	}
}

// exchangePayload sends an encoded message to a peer and applies its response.
func (d *Daemon) exchangePayload(ctx context.Context, p mesh.Peer, payload []byte) error {
	requestedAt := bootNow()
	answer, err := d.peerPool.Fetch(ctx, p.Address, payload)
	if err != nil {
		// The connection may have failed while the peer is up: use a new
		// connection for the next exchange.
		d.peerPool.Disconnect(p.Address)
		return err
	}
	m, err := mesh.DecodeMessage(answer)
	if err != nil {
		return err
	}
	d.handleMessage(m, requestedAt)
	return nil
}

// sendLeaveMessages informs all neighbors that this daemon is stopping.
func (d *Daemon) sendLeaveMessages(ctx context.Context) {
	s := d.state
	s.mu.Lock()
	s.stopping = true
	neighbors := s.peers.Neighbors()
	payloads := make([][]byte, len(neighbors))
	for i := range neighbors {
		payload, err := s.messageFor(neighbors[i].Node).Encode()
		if err != nil {
			klog.ErrorS(err, "failed to encode the leave message", "peer", neighbors[i].Node)
		}
		payloads[i] = payload
	}
	s.mu.Unlock()
	for i := range neighbors {
		if _, err := d.peerPool.Fetch(ctx, neighbors[i].Address, payloads[i]); err != nil {
			klog.V(1).InfoS("failed to send the leave message to a peer", "peer", neighbors[i].Node, "err", err)
		}
	}
}

// peerHandlers returns the handlers for calls from peers.
func (d *Daemon) peerHandlers() peer.Handlers {
	return peer.Handlers{Fetch: d.handleExchange, Streams: d.state.handleStreams, Grant: d.state.handleGrant}
}
