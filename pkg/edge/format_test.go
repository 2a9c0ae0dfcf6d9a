package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	dto "github.com/prometheus/client_model/go"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
)

// speakRecords makes a daemon behave as one that knows only the records of daemons, as those of
// 3ce50e8.
func speakRecords(d *Daemon) {
	d.state.peers = mesh.NewDirectory(d.settings.Node, d.state.incarnation, d.settings.Cores, mesh.Options{Interval: exchangeInterval, LeafInterval: leafInterval,
		PeerExpiry: peerExpiry, FullMeshLimit: fullMeshLimit, HubCount: hubCount, DaemonsPerHub: daemonsPerHub, MemberMaxAge: toldMemberMaxAge, Format: mesh.FormatRecords})
}

// lastRecordsField and lastRecordsRecordField are the numbers of the last fields of messages and
// of records that such daemons know.
const (
	lastRecordsField       = 22
	lastRecordsRecordField = 12
)

// onlyKnown returns an encoded message as a daemon that knows only records sends or reads it.
func onlyKnown(t *testing.T, encoded []byte) []byte {
	t.Helper()
	drop := func(raw []byte, last uint64) map[uint64]cbor.RawMessage {
		fields := make(map[uint64]cbor.RawMessage)
		if err := cbor.Unmarshal(raw, &fields); err != nil {
			t.Fatal(err)
		}
		for n := range fields {
			if n > last {
				delete(fields, n)
			}
		}
		return fields
	}
	encode := func(v any) []byte {
		raw, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	message := drop(encoded, lastRecordsField)
	message[1] = encode(drop(message[1], lastRecordsRecordField))
	return encode(message)
}

// mixedNetwork returns hubNetwork with daemons that know only records at the given places.
type mixedNetwork struct {
	t   *testing.T
	all []*Daemon
	old map[*Daemon]bool
}

func newMixedNetwork(t *testing.T, n int, old ...int) *mixedNetwork {
	m := &mixedNetwork{t: t, all: hubNetwork(t, n), old: make(map[*Daemon]bool)}
	for _, i := range old {
		m.old[m.all[i]] = true
		speakRecords(m.all[i])
	}
	c := configuration(1)
	c.Accounts = []*catalog.ClientAccount{{Name: "account", Rate: 1000, Burst: 1000}}
	for _, d := range m.all {
		s := d.state
		s.activateCatalog(c, "store")
		for _, other := range m.all {
			s.peers.UpdateEntry(bootNow(), other.settings.Node, other.settings.Node, other.settings.Cores, 1)
			if other != d {
				s.quota.AddPeer(other.settings.Node)
			}
		}
		s.grants.call = func(ctx context.Context, address string, payload []byte) ([]byte, error) {
			for _, hub := range m.all {
				if hub.settings.Node == address && !m.old[hub] {
					return hub.state.handleGrant(ctx, payload)
				}
			}
			return nil, fmt.Errorf("%s knows no grants", address)
		}
	}
	return m
}

// request makes a daemon exchange messages with another one, as the one that asks.
func (m *mixedNetwork) request(from, to *Daemon) {
	askedAt := bootNow()
	send := func(from, to *Daemon, askedAt time.Time) {
		encoded, err := from.state.messageFor(to.settings.Node).Encode()
		if err != nil {
			m.t.Fatal(err)
		}
		if m.old[from] || m.old[to] {
			encoded = onlyKnown(m.t, encoded)
		}
		decoded, err := mesh.DecodeMessage(encoded)
		if err != nil {
			m.t.Fatal(err)
		}
		to.handleMessage(decoded, askedAt)
	}
	send(from, to, time.Time{})
	send(to, from, askedAt)
}

// round lets each leaf exchange messages with its hub and the hubs with one another, until what
// a leaf says has reached all.
func (m *mixedNetwork) round() {
	for range 3 {
		for _, d := range m.all {
			for _, p := range d.state.peers.Neighbors() {
				for _, to := range m.all {
					if to.settings.Node == p.Node {
						m.request(d, to)
					}
				}
			}
		}
		pause(m.t.Context(), 110*time.Millisecond)
	}
}

// mixes are the places of the daemons of the earlier version among 16, of which the first three
// are hubs.
var mixes = map[string][]int{
	"one leaf": {10}, "one hub": {0}, "all hubs": {0, 1, 2}, "all leaves": {3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15},
	"half": {1, 3, 5, 7, 9, 11, 13, 15}, "none": nil,
}

// TestMixedDaemonsKnowTheLoadOfAll guards against load that daemons of one version don't know of,
// or count twice, while daemons that know no digests are upgraded.
func TestMixedDaemonsKnowTheLoadOfAll(t *testing.T) {
	for name, old := range mixes {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := newMixedNetwork(t, 16, old...)
			for i, d := range m.all {
				start(t, d, fmt.Sprint("request-", i))
			}
			m.round()
			for _, d := range m.all {
				g.Expect(runningAt(d)).To(gomega.Equal(len(m.all)), "%s, old %t", d.settings.Node, m.old[d])
			}
		})
	}
}

// grantedTo returns how many charges of a daemon a hub has granted.
func grantedTo(d *Daemon) float64 {
	var m dto.Metric
	if err := d.state.grants.charges.WithLabelValues(chargeGranted).Write(&m); err != nil {
		panic(err)
	}
	return m.GetCounter().GetValue()
}

// TestHubsGrantNothingBesideDaemonsThatDoNotAsk guards against a usage limit that is spent twice:
// by the grants of a hub, and by the portions of daemons that don't know grants. Grants begin once
// the last of them is gone, and end when one returns.
func TestHubsGrantNothingBesideDaemonsThatDoNotAsk(t *testing.T) {
	for name, old := range mixes {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := newMixedNetwork(t, 16, old...)
			m.round()
			charged := func() (granted float64) {
				for _, d := range m.all {
					before := grantedTo(d)
					d.state.Charge("account", 1)
					d.state.Charge("account", 200)
					granted += grantedTo(d) - before
				}
				return granted
			}
			if len(old) > 0 {
				g.Expect(charged()).To(gomega.BeZero())
				return
			}
			g.Expect(charged()).NotTo(gomega.BeZero())
			m.old[m.all[12]] = true
			speakRecords(m.all[12])
			m.all[12].state.peers.UpdateEntry(bootNow(), "daemon-00", "daemon-00", 0.8, 1)
			m.request(m.all[12], m.all[0])
			m.round()
			g.Expect(charged()).To(gomega.BeZero(), "an earlier version has returned")
		})
	}
}
