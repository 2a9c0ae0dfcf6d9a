package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/mesh"
)

// collectTime is how long a daemon that begins to receive the records of all still takes
// their loads from the last digest. Records arrive several times in it.
const collectTime = time.Second

// digestState is what a daemon needs to send digests and to apply them.
type digestState struct {
	log *mesh.DigestLog
	// sent holds the own records that a digest may include.
	sent mesh.SentRecords
	// collectingSince is when this daemon began to receive the records of all daemons;
	// zero means that it takes their sums from a hub.
	collectingSince time.Time
	// hubRun and hubSequence identify the last digest applied. hubSettled is set if its
	// sender knew the usage levels.
	hubRun, hubSequence uint64
	hubSettled          bool
}

// updateRole prepares for the records of all daemons when this daemon becomes a hub. It
// relies on the last digest until they have arrived.
func (s *state) updateRole(now time.Time) {
	d := &s.digests
	switch {
	case !s.peers.Collects():
		d.collectingSince = time.Time{}
	case d.collectingSince.IsZero():
		d.collectingSince = now
		if s.placement.SummaryInUse() {
			s.quota.Collect(now)
			klog.InfoS("collecting the records of all daemons", "daemons", s.peers.Size(), "fullMesh", s.peers.IsFullMesh())
		}
	case s.placement.SummaryInUse() && now.Sub(d.collectingSince) >= collectTime:
		s.placement.DropSummary()
	}
}

// addDigest adds the digest of all daemons' records to a message, and what the receiver
// lacks of the placements and of the list of daemons.
func (s *state) addDigest(now time.Time, m *mesh.Message, neighbor *mesh.Peer, node string) {
	if s.digests.log.Due(now) {
		s.buildDigest(now)
	}
	if s.peers.SendsDigest(node) {
		s.digests.log.Fill(m, node, neighbor.Placed.Acknowledged)
	}
	m.Members, m.MembersSpan = s.peers.MembersFor(node, neighbor.Members.Acknowledged)
}

func (s *state) buildDigest(now time.Time) {
	s.placement.ExpirePeers(time.Now())
	s.peers.RefreshMembers(now, mesh.Member{Address: s.settings.PeerAddress, Zone: s.settings.AvailabilityZone, Incarnation: s.incarnation,
		ForwardAddress: s.settings.MetricsAddress, OutOfReach: s.forward.reach.OutOfReach(), Refusals: s.limits.OwnRefusals(), Alive: !s.stopping})
	// A sum from another daemon does not say which records it includes.
	var included map[string]uint64
	if !s.placement.SummaryInUse() {
		included = s.peers.Sequences()
	}
	s.updateContention(now)
	digest := &mesh.Digest{Daemons: s.peers.Size(), Loads: s.placement.Sum(), Quota: s.quota.Levels(now), Rollouts: s.rolloutExcess(),
		LevelsUnknown: !s.knowsLevels(now), ShortPrompts: s.placement.ShortPromptLimits()}
	if !digest.LevelsUnknown {
		digest.Levels = s.contention.core.Levels()
	}
	if err := s.digests.log.Put(now, digest, included, s.placement.CollectedPlacements(s.settings.Node)); err != nil {
		klog.ErrorS(err, "failed to encode the digest for other daemons")
	}
}

// applyDigest applies the digest of a hub. Levels of usage limits are raised only by a
// digest that answers a message of this daemon: others may have been on their way for long.
func (s *state) applyDigest(now time.Time, m *mesh.Message, answers bool) {
	s.applyMembers(now, m)
	if s.peers.Collects() {
		return
	}
	s.applyPlaced(m)
	s.applySpeeds(m)
	digest, err := m.DecodeDigest()
	if err != nil {
		klog.ErrorS(err, "failed to decode the digest of a hub", "peer", m.Record.Node)
		return
	}
	d := &s.digests
	if digest == nil || m.Record.Incarnation == d.hubRun && digest.Sequence < d.hubSequence {
		return
	}
	d.hubRun, d.hubSequence, d.hubSettled = m.Record.Incarnation, digest.Sequence, digest.Quota.Settled
	sent, known := d.sent.Lookup(m.Included)
	loads := sent.Loads
	if !known {
		loads = s.placement.Own()
	}
	s.placement.SetSummary(time.Now(), m.Record.Incarnation, digest.Loads, loads)
	digest.Quota.Settled = digest.Quota.Settled && answers
	s.quota.Adopt(now, digest.Quota, sent.Used, digest.Daemons)
	s.rollouts.follower.SetTold(digest.Rollouts)
	if !digest.LevelsUnknown {
		s.contention.core.Adopt(now, digest.Levels)
	}
	s.placement.AdoptShortPromptLimits(time.Now(), digest.ShortPrompts)
}

// applyMembers applies what a hub tells of the daemons.
func (s *state) applyMembers(now time.Time, m *mesh.Message) {
	for i := range m.Members {
		member := &m.Members[i]
		if member.Node == s.settings.Node || member.Removed {
			continue
		}
		s.quota.AddPeer(member.Node)
		s.limits.PeerRefusals(time.Now(), member.Node, member.Incarnation, member.Refusals, s.placement.RunningAt)
	}
	for _, node := range s.peers.MergeMembers(now, m.Record.Node, m.Members, m.MembersSpan) {
		klog.InfoS("peer removed", "peer", node, "hub", m.Record.Node)
		s.quota.RemovePeer(node)
	}
}

// applyPlaced applies the placements that a hub passes on.
func (s *state) applyPlaced(m *mesh.Message) {
	if m.PlacedSpan.Run == 0 {
		return
	}
	neighbor, _ := s.peers.Lookup(m.Record.Node)
	placed, err := m.DecodePlaced(neighbor.Placed.Received)
	if err != nil {
		klog.ErrorS(err, "failed to decode placements from a hub", "peer", m.Record.Node)
		return
	}
	s.placement.ApplyPassedOn(time.Now(), s.settings.Node, placed)
	received, _ := neighbor.Placed.Received.Advance(m.PlacedSpan)
	s.peers.SetPlacedReceived(m.Record.Node, received)
}
