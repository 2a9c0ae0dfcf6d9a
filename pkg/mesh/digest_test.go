package mesh_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

// Guards against placements that a leaf misses, or applies twice, when messages are lost, come
// twice or come from a hub that has started again.
func TestPlacementsAreToldOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	log := mesh.NewDigestLog(7)
	put := func(ms int, servers ...uint32) {
		var placed []placement.Placed
		for _, s := range servers {
			placed = append(placed, placement.Placed{Server: s, PrefixHashes: []uint64{1}})
		}
		g.Expect(log.Put(at(ms), &mesh.Digest{Daemons: 20}, map[string]uint64{"leaf": uint64(ms)}, placed)).To(gomega.Succeed())
	}
	var received changelog.Position
	// receive returns the servers of the placements that a message tells the leaf.
	receive := func(m *mesh.Message) []uint32 {
		placed, err := m.DecodePlaced(received)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		received, _ = received.Advance(m.PlacedSpan)
		var servers []uint32
		for _, p := range placed {
			servers = append(servers, p.Server)
		}
		return servers
	}
	message := func(acknowledged changelog.Position) *mesh.Message {
		m := &mesh.Message{}
		log.Fill(m, "leaf", acknowledged)
		return m
	}
	put(0, 1, 2)
	put(100)
	put(200, 3)
	g.Expect(log.Due(at(250))).To(gomega.BeFalse())
	g.Expect(log.Due(at(300))).To(gomega.BeTrue())
	first := message(received)
	g.Expect(first.Included).To(gomega.Equal(uint64(200)))
	g.Expect(receive(first)).To(gomega.Equal([]uint32{1, 2, 3}))
	g.Expect(receive(first)).To(gomega.BeEmpty(), "the same message again")
	put(300, 4)
	g.Expect(receive(message(changelog.Position{}))).To(gomega.Equal([]uint32{4}), "the acknowledgement was lost")
	put(400, 5)
	g.Expect(receive(message(received))).To(gomega.Equal([]uint32{5}))
	digest, err := message(received).DecodeDigest()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(digest.Daemons).To(gomega.Equal(20))
	g.Expect(digest.Sequence).To(gomega.Equal(uint64(5)))
	put(5000, 6)
	g.Expect(receive(message(changelog.Position{}))).To(gomega.Equal([]uint32{6}), "older lists are dropped")
	log = mesh.NewDigestLog(8)
	put(6000, 9)
	g.Expect(receive(message(received))).To(gomega.Equal([]uint32{9}), "another run of the hub")
	none, err := (&mesh.Message{}).DecodeDigest()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(none).To(gomega.BeNil())
	_, err = (&mesh.Message{Digest: []byte{0xff}}).DecodeDigest()
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against own records that are kept without bound, and against a digest that includes
// one which is no longer known.
func TestSentRecordsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var sent mesh.SentRecords
	for i := range uint64(100) {
		sent.Add(mesh.SentRecord{Sequence: i, Used: map[string]float64{"account": float64(i)}})
	}
	r, ok := sent.Lookup(99)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(r.Used["account"]).To(gomega.Equal(99.0))
	_, ok = sent.Lookup(10)
	g.Expect(ok).To(gomega.BeFalse())
}
