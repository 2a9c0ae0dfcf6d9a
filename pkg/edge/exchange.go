package edge

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
)

const (
	// exchangeInterval is the age that the load and usage of peers may have;
	// an engine reads several thousand prompt tokens in that time.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTick is how often peers are looked at.
	exchangeTick = 50 * time.Millisecond
	// exchangeTimeout is many round trips between zones.
	exchangeTimeout = 700 * time.Millisecond
	// peerGoneAfter is when a daemon that neither speaks nor refreshes its row
	// in the store is forgotten; rows are refreshed three times within it.
	peerGoneAfter = 30 * time.Second
)

// digest returns what this daemon states to a peer.
func (s *state) digest(catalogVersion int64, fleetVersion uint64, needsFleet bool) *mesh.Digest {
	now := bootNow()
	d := &mesh.Digest{
		Node: s.settings.Node, Incarnation: s.incarnation, Address: s.settings.PeerAddress,
		WallUnixMilli: time.Now().UnixMilli(), StoreReachable: s.serversCurrent(), FleetVersion: s.fleet.Version(),
		Loads: s.placement.Own(), Quota: s.quota.Totals(now), Usage: s.usage.Own(),
		Placed: s.placement.News(time.Now()), Quarantine: s.recentCrashes(), Stopping: s.stopping,
	}
	if s.catalog != nil {
		d.CatalogVersion = s.catalog.Version
		if s.catalog.Version > catalogVersion {
			d.Catalog = s.catalog.Source
		}
	}
	if needsFleet && s.serversCurrent() && s.fleet.Known() && s.fleet.Version() > fleetVersion {
		d.Fleet = s.fleet.Entries()
	}
	return d
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

// crashNews is how long a crash is told to peers; it outlasts a short cut.
const crashNews = 15 * time.Second

// take takes the digest of a peer.
func (d *Daemon) take(digest *mesh.Digest) {
	if len(digest.Catalog) > 0 {
		c, err := d.platform.DecodeCatalog(digest.Catalog)
		if err != nil {
			klog.ErrorS(err, "configuration of a peer cannot be read", "peer", digest.Node)
		} else {
			d.state.putInForce(c, "peer "+digest.Node)
		}
	}
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	if digest.Stopping {
		s.peers.Remove(digest.Node)
		s.quota.Forget(digest.Node)
		s.usage.SetPeer(digest.Node, digest.Incarnation, digest.Usage)
		return
	}
	if s.peers.Heard(now, digest) {
		klog.InfoS("peer", "peer", digest.Node, "address", digest.Address, "configuration", digest.CatalogVersion)
	}
	s.placement.SetPeer(time.Now(), digest.Node, digest.Loads)
	s.placement.TakeNews(time.Now(), digest.Node, digest.Incarnation, digest.Placed)
	s.quota.SetPeer(now, digest.Node, digest.Incarnation, digest.Quota)
	s.usage.SetPeer(digest.Node, digest.Incarnation, digest.Usage)
	for _, entry := range digest.Quarantine {
		s.quarantine.Merge(time.Now(), entry)
	}
	if !s.serversCurrent() && len(digest.Fleet) > 0 {
		s.follow(s.fleet.Snapshot(now, digest.FleetVersion, digest.Fleet), "peer "+digest.Node)
	}
}

// Fetch answers a peer's digest with the own one.
func (d *Daemon) answerDigest(_ context.Context, payload []byte) ([]byte, error) {
	digest, err := mesh.DecodeDigest(payload)
	if err != nil {
		return nil, err
	}
	d.take(digest)
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest(digest.CatalogVersion, digest.FleetVersion, !digest.StoreReachable).Encode()
}

// exchangeLoop exchanges digests with all peers.
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
		d.state.mu.Lock()
		due := d.state.peers.Due(bootNow())
		d.state.mu.Unlock()
		d.state.expireServers()
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
	payload, err := s.digest(p.CatalogVersion, p.FleetVersion, !p.StoreReachable).Encode()
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
	digest, err := mesh.DecodeDigest(answer)
	if err != nil {
		return err
	}
	d.take(digest)
	return nil
}

// sayGoodbye tells peers that this daemon stops.
func (d *Daemon) sayGoodbye(ctx context.Context) {
	s := d.state
	s.mu.Lock()
	s.stopping = true
	peers := s.peers.All()
	payload, err := s.digest(math.MaxInt64, math.MaxUint64, false).Encode()
	s.mu.Unlock()
	if err != nil {
		klog.ErrorS(err, "last digest")
		return
	}
	for _, p := range peers {
		if _, err := d.peerPool.Fetch(ctx, p.Address, payload); err != nil {
			klog.V(1).InfoS("peer did not take the last digest", "peer", p.Node, "err", err)
		}
	}
}

// peerHandlers answers the calls of peers.
func (d *Daemon) peerHandlers() peer.Handlers { return peer.Handlers{Fetch: d.answerDigest} }
