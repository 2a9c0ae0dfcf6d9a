package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
)

// Member is what a hub tells leaves of one daemon.
type Member struct {
	Node    string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint,omitempty"`
	Zone    string  `cbor:"3,keyasint,omitempty"`
	Weight  float64 `cbor:"4,keyasint,omitempty"`
	// Incarnation, ForwardAddress, OutOfReach and Refusals are those of the daemon's Record.
	Incarnation    uint64            `cbor:"5,keyasint,omitempty"`
	ForwardAddress string            `cbor:"6,keyasint,omitempty"`
	OutOfReach     []string          `cbor:"7,keyasint,omitempty"`
	Refusals       map[string]uint64 `cbor:"8,keyasint,omitempty"`
	// Alive is set if the daemon has sent a record lately and is not shutting down. Dead is
	// set if it has been heard before and should have been heard since. A daemon that is
	// neither is not known well enough.
	Alive bool `cbor:"9,keyasint,omitempty"`
	Dead  bool `cbor:"11,keyasint,omitempty"`
	// Removed is set if the daemon has left for good.
	Removed bool `cbor:"10,keyasint,omitempty"`
}

func (m *Member) equal(o *Member) bool {
	return m.Node == o.Node && m.Address == o.Address && m.Zone == o.Zone && m.Weight == o.Weight && m.Incarnation == o.Incarnation &&
		m.ForwardAddress == o.ForwardAddress && slices.Equal(m.OutOfReach, o.OutOfReach) && maps.Equal(m.Refusals, o.Refusals) &&
		m.Alive == o.Alive && m.Dead == o.Dead && m.Removed == o.Removed
}

// maxMembersPerMessage is the maximum number of members in one message; the rest
// follows with the next ones.
const maxMembersPerMessage = 128

// memberList holds what this daemon tells others of all daemons.
type memberList struct {
	log    *changelog.Log[string]
	listed map[string]Member
}

func newMemberList(run uint64) memberList {
	return memberList{log: changelog.New[string](run), listed: make(map[string]Member)}
}

func (l *memberList) update(m Member) {
	if old, ok := l.listed[m.Node]; ok && old.equal(&m) {
		return
	}
	l.listed[m.Node] = m
	l.log.Record(m.Node, "")
}

// RefreshMembers updates the list of daemons that leaves are told. The parameter self
// describes this daemon; its address and weight are filled in.
func (d *Directory) RefreshMembers(now time.Time, self Member) {
	self.Node, self.Weight = d.self, d.weight
	d.members.update(self)
	d.updateRole(now)
	established := !d.collectsSince.IsZero() && now.Sub(d.collectsSince) > d.options.MemberMaxAge
	for node, p := range d.peers {
		m := Member{Node: node, Address: p.Address, Zone: p.Zone, Weight: p.Weight, Incarnation: p.Record.Incarnation,
			ForwardAddress: p.Record.ForwardAddress, OutOfReach: p.Record.OutOfReach, Refusals: p.Record.Refusals,
			Alive: d.isAlive(p, now, d.options.MemberMaxAge)}
		m.Dead = !m.Alive && (established && !p.RecordAt.IsZero() || d.collectsSince.IsZero() && p.isToldDead())
		d.members.update(m)
	}
	for node, m := range d.members.listed {
		if _, known := d.peers[node]; !known && node != d.self && !m.Removed {
			d.members.update(Member{Node: node, Removed: true})
		}
	}
}

// updateRole records since when this daemon collects the records of all.
func (d *Directory) updateRole(now time.Time) {
	switch {
	case !d.Collects():
		d.collectsSince = time.Time{}
	case d.collectsSince.IsZero():
		d.collectsSince = now
	}
}

// MembersFor returns what a leaf lacks of the list of daemons and the changes that it
// covers.
func (d *Directory) MembersFor(node string, acknowledged changelog.Position) ([]Member, changelog.Span) {
	keys, span := d.members.log.Since(node, acknowledged, func(string) bool { return true }, maxMembersPerMessage)
	members := make([]Member, len(keys))
	for i, key := range keys {
		members[i] = d.members.listed[key]
	}
	return members, span
}

// MergeMembers applies what another daemon tells of the daemons and returns the names of
// those that have left for good. With a message that covers the sender's list up to its end
// the liveness of all daemons counts as stated now. A hub hears of each daemon itself: it
// removes none and takes nobody's word for their liveness.
func (d *Directory) MergeMembers(now time.Time, hub string, members []Member, span changelog.Span) (removed []string) {
	from, ok := d.peers[hub]
	if !ok || span.Run == 0 {
		return nil
	}
	for i := range members {
		m := &members[i]
		switch {
		case m.Node == d.self:
		case m.Removed:
			if p, known := d.peers[m.Node]; known && !d.RanksAsHub() && now.Sub(p.RecordAt) > d.options.MemberMaxAge && m.Node != hub {
				d.Remove(m.Node)
				removed = append(removed, m.Node)
			}
		default:
			d.mergeMember(now, m)
		}
	}
	var complete bool
	if from.Members.Received, complete = from.Members.Received.Advance(span); complete && !d.RanksAsHub() {
		d.toldAt = now
	}
	return removed
}

func (d *Directory) mergeMember(now time.Time, m *Member) {
	p := d.peer(now, m.Node)
	d.setWeight(p, m.Weight)
	if !d.RanksAsHub() {
		d.setTold(p, *m)
	}
	if m.Zone != "" {
		p.Zone = m.Zone
	}
	if p.lastMessageAt.IsZero() && m.Address != "" {
		p.Address = m.Address
	}
	if m.Incarnation > p.Record.Incarnation {
		p.Record = Record{Node: m.Node, Incarnation: m.Incarnation, Partial: true}
	}
	if m.Incarnation == p.Record.Incarnation {
		p.Record.ForwardAddress, p.Record.OutOfReach, p.Record.Refusals = m.ForwardAddress, m.OutOfReach, m.Refusals
	}
}

func (d *Directory) setTold(p *Peer, m Member) {
	if p.told.Dead != m.Dead {
		d.hubsValid = false
	}
	p.told = m
}

// isToldDead reports whether a hub has stated that the daemon is not alive, and this daemon
// has not heard from it since.
func (p *Peer) isToldDead() bool { return p.told.Dead }

// ToldAge returns the time since a hub has stated which daemons are alive.
func (d *Directory) ToldAge(now time.Time) time.Duration { return now.Sub(d.toldAt) }
