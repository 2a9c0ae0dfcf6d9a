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
	// exchangeTick is how often neighbors are looked at.
	exchangeTick = 50 * time.Millisecond
	// exchangeTimeout is many round trips between zones.
	exchangeTimeout = 700 * time.Millisecond
	// peerGoneAfter is when a daemon that states nothing and does not refresh
	// its row in the store is forgotten; rows are refreshed within it.
	peerGoneAfter = 45 * time.Second
	// meshLimit is the number of daemons up to which all talk to all: beyond it
	// the exchanges would take over a hundredth of a small host's processor.
	meshLimit = 12
	// hubs is how many daemons follow the store for all and pass records on;
	// one is left when two hosts are lost at once.
	hubs = 3
	// catalogPatience is how long a daemon waits for a configuration that it has
	// heard of before it reads the store, and a hub for a neighbor that another
	// hub serves. With a message of 0.4 s before it and one after it, or a read
	// of 0.3 s, the configuration is in force within two seconds.
	catalogPatience = 700 * time.Millisecond
	// crashNews is how long a crash is told to peers; it outlasts a short cut.
	crashNews = 15 * time.Second
)

// record states this daemon.
func (s *state) record() mesh.Record {
	s.sequence++
	return mesh.Record{
		Node: s.settings.Node, Incarnation: s.incarnation, Sequence: s.sequence, Loads: s.placement.Own(),
		Work:  s.placement.OwnWork(),
		Quota: s.quota.Totals(bootNow()), Usage: s.usage.Own(), Placed: s.placement.RecentPlacements(time.Now()), Stopping: s.stopping,
	}
}

// message returns what this daemon tells a neighbor.
func (s *state) message(node string) *mesh.Message {
	now := bootNow()
	neighbor, _ := s.peers.Neighbor(node)
	m := &mesh.Message{
		Record: s.record(), Address: s.settings.PeerAddress, WallUnixMilli: time.Now().UnixMilli(),
		Records: s.peers.RecordsFor(now, node), Stamp: s.peers.Stamp(), Since: s.peers.SinceOf(node),
		FleetAgeMillis: s.fleetAge().Milliseconds(), FleetVersion: s.fleet.Version(), FleetChanged: s.fleet.Changed(),
		Quarantine: s.recentCrashes(),
	}
	if s.catalog != nil {
		m.CatalogVersion = s.catalog.Version
		if s.sendsCatalog(now, node, neighbor.CatalogVersion) {
			m.Catalog = s.packedCatalog()
		}
	}
	if s.fleet.Known() && s.fleetAge() < toldStale && (neighbor.FleetVersion == 0 || s.fleet.Changed() > neighbor.FleetVersion) {
		entries, partial := s.fleet.EntriesSince(neighbor.FleetVersion)
		m.Fleet, m.HasFleet = entries, true
		if partial {
			m.FleetSince = neighbor.FleetVersion
		}
	}
	return m
}

// packedCatalog returns the configuration in force as it is sent to peers, or
// nothing if it cannot be packed; they read the store then.
func (s *state) packedCatalog() []byte {
	if s.packed != nil {
		return s.packed
	}
	packed, err := mesh.Pack(s.catalog.Source)
	if err != nil {
		klog.ErrorS(err, "configuration cannot be packed", "version", s.catalog.Version)
		return nil
	}
	s.packed = packed
	return packed
}

// behind is a neighbor that has not had the newest configuration since a time.
type behind struct {
	version int64
	since   time.Time
}

// sendsCatalog reports whether a neighbor is to be sent the configuration in
// force. Of several hubs one sends it at once; the others do when the neighbor
// makes no progress: copies of a large configuration from all of them would fill
// a small host's link.
func (s *state) sendsCatalog(now time.Time, node string, version int64) bool {
	if s.catalog.Version <= version {
		delete(s.behind, node)
		return false
	}
	if s.peers.Meshed() {
		return true
	}
	known, ok := s.behind[node]
	if !ok || known.version != version {
		s.behind[node] = behind{version: version, since: now}
		return s.peers.Serves(node)
	}
	if now.Sub(known.since) < catalogPatience {
		return false
	}
	// Sent again if it gets lost.
	s.behind[node] = behind{version: version, since: now}
	return true
}

// recentCrashes returns what peers may not know yet of requests that crash
// servers.
func (s *state) recentCrashes() []quarantine.Entry {
	var recent []quarantine.Entry
	for _, entry := range s.quarantine.List() {
		if time.Since(entry.LastCrash) < crashNews {
			recent = append(recent, entry)
		}
	}
	return recent
}

// take takes the message of a neighbor.
func (d *Daemon) take(m *mesh.Message, asked bool) {
	if len(m.Catalog) > 0 && d.state.lacks(m.CatalogVersion) {
		c, err := d.unpackCatalog(m.Catalog)
		if err != nil {
			klog.ErrorS(err, "configuration of a peer cannot be read", "peer", m.Record.Node)
		} else {
			d.state.putInForce(c, "peer "+m.Record.Node)
		}
	}
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.Heard(bootNow(), m, asked)
	s.hearCatalog(bootNow(), m.CatalogVersion)
	s.takeRecord(&m.Record)
	for i := range m.Records {
		s.takeRecord(&m.Records[i])
	}
	s.placement.ApplyPeerLoads(time.Now())
	s.quota.SetStaleness(s.peers.Staleness())
	for _, entry := range m.Quarantine {
		s.quarantine.Merge(time.Now(), entry)
	}
	s.takeFleet(m)
}

func (d *Daemon) unpackCatalog(packed []byte) (*catalog.Catalog, error) {
	source, err := mesh.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return d.platform.DecodeCatalog(source)
}

// takeRecord takes what a daemon states of itself.
func (s *state) takeRecord(r *mesh.Record) {
	now := bootNow()
	if !s.peers.Take(now, r) {
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

// takeFleet takes a neighbor's view of servers unless the store tells this
// daemon itself. The age of a view only grows on its way, so that daemons that
// the store does not answer do not confirm one another.
func (s *state) takeFleet(m *mesh.Message) {
	if m.FleetAgeMillis < 0 {
		return
	}
	now := bootNow()
	confirmed := now.Add(-time.Duration(m.FleetAgeMillis) * time.Millisecond)
	if s.storeCurrent() || m.FleetVersion < s.fleet.Version() {
		// Known already; but the neighbor could tell.
		if confirmed.After(s.toldConfirmed) {
			s.toldConfirmed = confirmed
		}
		return
	}
	source := "peer " + m.Record.Node
	switch {
	case m.HasFleet && m.FleetSince == 0:
		s.follow(s.fleet.Snapshot(now, m.FleetVersion, m.Fleet), source)
	case m.HasFleet && m.FleetSince <= s.fleet.Version():
		s.follow(s.fleet.Apply(now, m.FleetVersion, m.Fleet), source)
	case m.HasFleet || !s.fleet.Known() || m.FleetChanged > s.fleet.Version():
		// What has changed since the own view is not told.
		return
	default:
		s.follow(s.fleet.Apply(now, m.FleetVersion, nil), source)
	}
	if confirmed.After(s.toldConfirmed) {
		s.toldConfirmed = confirmed
	}
}

// answerMessage answers a neighbor's message with the own one.
func (d *Daemon) answerMessage(_ context.Context, payload []byte) ([]byte, error) {
	m, err := mesh.DecodeMessage(payload)
	if err != nil {
		return nil, err
	}
	d.take(m, true)
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.message(m.Record.Node).Encode()
}

// exchangeLoop exchanges messages with all neighbors.
func (d *Daemon) exchangeLoop(ctx context.Context) {
	tick := time.NewTicker(exchangeTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.state.urgent:
		}
		s := d.state
		s.mu.Lock()
		due := append(s.told, s.peers.Due(bootNow())...)
		s.told = nil
		s.follow(s.fleet.Tick(bootNow()), "grace period")
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
	payload, err := s.message(p.Node).Encode()
	s.mu.Unlock()
	if err == nil {
		err = d.exchangePayload(ctx, p, payload)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.Done(bootNow(), p.Node, err != nil)
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
	d.take(m, false)
	return nil
}

// sayGoodbye tells neighbors that this daemon stops.
func (d *Daemon) sayGoodbye(ctx context.Context) {
	s := d.state
	s.mu.Lock()
	s.stopping = true
	neighbors := s.peers.Neighbors()
	payloads := make([][]byte, len(neighbors))
	for i := range neighbors {
		payload, err := s.message(neighbors[i].Node).Encode()
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
func (d *Daemon) peerHandlers() peer.Handlers { return peer.Handlers{Fetch: d.answerMessage} }
