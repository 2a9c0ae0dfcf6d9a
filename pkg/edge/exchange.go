package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
)

const (
	// exchangeInterval is the time between two exchanges with one neighbor; an
	// engine reads some ten thousand prompt tokens in that time.
	exchangeInterval = 250 * time.Millisecond
	// leafInterval is the same between a hub and the other daemons: a message
	// with the records of all takes a small host a millisecond.
	leafInterval = 400 * time.Millisecond
	// exchangeCheckInterval is how often neighbors are looked at.
	exchangeCheckInterval = 50 * time.Millisecond
	// exchangeTimeout is many round trips between zones.
	exchangeTimeout = 700 * time.Millisecond
	// peerExpiry is when a daemon that states nothing and does not refresh
	// its row in the store is forgotten; rows are refreshed within it.
	peerExpiry = 45 * time.Second
	// fullMeshLimit is the number of daemons up to which all talk to all: beyond it
	// the exchanges would take over a hundredth of a small host's processor.
	fullMeshLimit = 12
	// hubs is how many daemons follow the store for all and pass records on;
	// one is left when two hosts are lost at once.
	hubCount = 3
	// catalogDeliveryTimeout is how long a daemon waits for a configuration that it has
	// heard of before it reads the store, and a hub for a neighbor that another
	// hub serves. With a message of 0.4 s before it and one after it, or a read
	// of 0.3 s, the configuration is in force within two seconds.
	catalogDeliveryTimeout = 700 * time.Millisecond
	// crashAnnouncePeriod is how long a crash is told to peers; it outlasts a short cut.
	crashAnnouncePeriod = 15 * time.Second
)

// record states this daemon.
func (s *state) newRecord() mesh.Record {
	s.sequence++
	return mesh.Record{
		Node: s.settings.Node, Incarnation: s.incarnation, Sequence: s.sequence, Loads: s.placement.Own(),
		Work:  s.placement.OwnWork(),
		Quota: s.quota.Totals(bootNow()), Usage: s.usage.Own(), Placed: s.placement.RecentPlacements(time.Now()), Stopping: s.stopping,
	}
}

// message returns what this daemon tells a neighbor.
func (s *state) messageFor(node string) *mesh.Message {
	now := bootNow()
	neighbor, _ := s.peers.Lookup(node)
	m := &mesh.Message{
		Record: s.newRecord(), Address: s.settings.PeerAddress, WallUnixMilli: time.Now().UnixMilli(),
		Records: s.peers.RecordsFor(now, node), Revision: s.peers.Revision(), ReceivedRevision: s.peers.ReceivedRevisionOf(node),
		FleetAgeMillis: s.fleetAge().Milliseconds(), FleetVersion: s.fleet.Version(), FleetChangedVersion: s.fleet.ChangedVersion(),
		Quarantine: s.recentCrashes(),
	}
	if s.catalog != nil {
		m.CatalogVersion = s.catalog.Version
		if s.shouldSendCatalog(now, node, neighbor.CatalogVersion) {
			m.Catalog = s.compressedCatalog()
		}
	}
	if s.fleet.Initialized() && s.fleetAge() < peerViewMaxAge && (neighbor.FleetVersion == 0 || s.fleet.ChangedVersion() > neighbor.FleetVersion) {
		entries, partial := s.fleet.EntriesSince(neighbor.FleetVersion)
		m.Fleet, m.HasFleet = entries, true
		if partial {
			m.FleetSince = neighbor.FleetVersion
		}
	}
	return m
}

// compressedCatalog returns the configuration in force as it is sent to peers, or
// nothing if it cannot be packed; they read the store then.
func (s *state) compressedCatalog() []byte {
	if s.compressed != nil {
		return s.compressed
	}
	compressed, err := mesh.Compress(s.catalog.Source)
	if err != nil {
		klog.ErrorS(err, "configuration cannot be packed", "version", s.catalog.Version)
		return nil
	}
	s.compressed = compressed
	return compressed
}

// behind is a neighbor that has not had the newest configuration since a time.
type catalogLag struct {
	version int64
	since   time.Time
}

// shouldSendCatalog reports whether a neighbor is to be sent the configuration in
// force. Of several hubs one sends it at once; the others do when the neighbor
// makes no progress: copies of a large configuration from all of them would fill
// a small host's link.
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
	// Sent again if it gets lost.
	s.catalogLag[node] = catalogLag{version: version, since: now}
	return true
}

// recentCrashes returns what peers may not know yet of requests that crash
// servers.
func (s *state) recentCrashes() []quarantine.Entry {
	var recent []quarantine.Entry
	for _, entry := range s.quarantine.List() {
		if time.Since(entry.LastCrash) < crashAnnouncePeriod {
			recent = append(recent, entry)
		}
	}
	return recent
}

// take takes the message of a neighbor.
func (d *Daemon) handleMessage(m *mesh.Message, initiatedByPeer bool) {
	if len(m.Catalog) > 0 && d.state.isNewerCatalog(m.CatalogVersion) {
		c, err := d.decompressCatalog(m.Catalog)
		if err != nil {
			klog.ErrorS(err, "configuration of a peer cannot be read", "peer", m.Record.Node)
		} else {
			d.state.activateCatalog(c, "peer "+m.Record.Node)
		}
	}
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.UpdateNeighbor(bootNow(), m, initiatedByPeer)
	s.recordPeerCatalogVersion(bootNow(), m.CatalogVersion)
	s.applyRecord(&m.Record)
	for i := range m.Records {
		s.applyRecord(&m.Records[i])
	}
	s.placement.ApplyPeerLoads(time.Now())
	s.quota.SetStaleness(s.peers.MaxStaleness())
	for _, entry := range m.Quarantine {
		s.quarantine.Merge(time.Now(), entry)
	}
	s.applyFleet(m)
}

func (d *Daemon) decompressCatalog(compressed []byte) (*catalog.Catalog, error) {
	source, err := mesh.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return d.platform.DecodeCatalog(source)
}

// applyRecord takes what a daemon states of itself.
func (s *state) applyRecord(r *mesh.Record) {
	now := bootNow()
	if !s.peers.MergeRecord(now, r) {
		return
	}
	s.usage.SetPeer(r.Node, r.Incarnation, r.Usage)
	if r.Stopping {
		s.quota.RemovePeer(r.Node)
		s.placement.SetPeer(time.Now(), r.Node, nil, nil)
		return
	}
	s.placement.SetPeer(time.Now(), r.Node, r.Loads, r.Work)
	s.placement.ApplyPeerPlacements(time.Now(), r.Node, r.Incarnation, r.Placed)
	s.quota.SetPeer(now, r.Node, r.Incarnation, r.Quota)
}

// applyFleet takes a neighbor's view of servers unless the store tells this
// daemon itself. The age of a view only grows on its way, so that daemons that
// the store does not answer do not confirm one another.
func (s *state) applyFleet(m *mesh.Message) {
	if m.FleetAgeMillis < 0 {
		return
	}
	now := bootNow()
	confirmed := now.Add(-time.Duration(m.FleetAgeMillis) * time.Millisecond)
	if s.storeViewFresh() || m.FleetVersion < s.fleet.Version() {
		// Known already; but the neighbor could tell.
		if confirmed.After(s.peerConfirmedAt) {
			s.peerConfirmedAt = confirmed
		}
		return
	}
	source := "peer " + m.Record.Node
	switch {
	case m.HasFleet && m.FleetSince == 0:
		s.applyServerEvents(s.fleet.ApplySnapshot(now, m.FleetVersion, m.Fleet), source)
	case m.HasFleet && m.FleetSince <= s.fleet.Version():
		s.applyServerEvents(s.fleet.ApplyChanges(now, m.FleetVersion, m.Fleet), source)
	case m.HasFleet || !s.fleet.Initialized() || m.FleetChangedVersion > s.fleet.Version():
		// What has changed since the own view is not told.
		return
	default:
		s.applyServerEvents(s.fleet.ApplyChanges(now, m.FleetVersion, nil), source)
	}
	if confirmed.After(s.peerConfirmedAt) {
		s.peerConfirmedAt = confirmed
	}
}

// handleExchange answers a neighbor's message with the own one.
func (d *Daemon) handleExchange(_ context.Context, payload []byte) ([]byte, error) {
	m, err := mesh.DecodeMessage(payload)
	if err != nil {
		return nil, err
	}
	d.handleMessage(m, true)
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messageFor(m.Record.Node).Encode()
}

// exchangeLoop exchanges messages with all neighbors.
func (d *Daemon) exchangeLoop(ctx context.Context) {
	tick := time.NewTicker(exchangeCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.state.exchangeWake:
		}
		s := d.state
		s.mu.Lock()
		due := append(s.urgentPeers, s.peers.Due(bootNow())...)
		s.urgentPeers = nil
		s.applyServerEvents(s.fleet.RemoveExpired(bootNow()), "grace period")
		s.mu.Unlock()
		for i := range due {
			go d.exchange(ctx, due[i])
		}
	}
}

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

func (d *Daemon) exchangePayload(ctx context.Context, p mesh.Peer, payload []byte) error {
	answer, err := d.peerPool.Fetch(ctx, p.Address, payload)
	if err != nil {
		// Silence on a connection says nothing about the peer: the next
		// exchange takes a new connection.
		d.peerPool.Drop(p.Address)
		return err
	}
	m, err := mesh.DecodeMessage(answer)
	if err != nil {
		return err
	}
	d.handleMessage(m, false)
	return nil
}

// sendLeaveMessages tells neighbors that this daemon stops.
func (d *Daemon) sendLeaveMessages(ctx context.Context) {
	s := d.state
	s.mu.Lock()
	s.stopping = true
	neighbors := s.peers.Neighbors()
	payloads := make([][]byte, len(neighbors))
	for i := range neighbors {
		payload, err := s.messageFor(neighbors[i].Node).Encode()
		if err != nil {
			klog.ErrorS(err, "last message", "peer", neighbors[i].Node)
		}
		payloads[i] = payload
	}
	s.mu.Unlock()
	for i := range neighbors {
		if _, err := d.peerPool.Fetch(ctx, neighbors[i].Address, payloads[i]); err != nil {
			klog.V(1).InfoS("peer did not take the last message", "peer", neighbors[i].Node, "err", err)
		}
	}
}

// peerHandlers answers the calls of peers.
func (d *Daemon) peerHandlers() peer.Handlers { return peer.Handlers{Fetch: d.handleExchange} }
