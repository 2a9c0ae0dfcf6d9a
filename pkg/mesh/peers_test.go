package mesh_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newPeers() *mesh.Peers {
	return mesh.NewPeers("self", mesh.Options{Interval: 250 * time.Millisecond, GoneAfter: 30 * time.Second})
}

func digest(node string, wall time.Time) *mesh.Digest {
	return &mesh.Digest{Node: node, Incarnation: 1, Address: node + ":1", WallUnixMilli: wall.UnixMilli()}
}

// Answers hosts that are removed for good: their entries in the store stay
// behind and must not bring them back.
func TestEntriesOfDeadDaemonsDoNotBringThemBack(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPeers()
	g.Expect(p.List(at(0), "dead", "10.0.0.1:1", 5)).To(gomega.BeTrue())
	g.Expect(p.Expire(at(31_000))).To(gomega.ConsistOf("dead"))
	g.Expect(p.List(at(32_000), "dead", "10.0.0.1:1", 5)).To(gomega.BeFalse())
	g.Expect(p.All()).To(gomega.BeEmpty())
	g.Expect(p.List(at(33_000), "dead", "10.0.0.1:1", 6)).To(gomega.BeTrue())
}

// Answers the steps of the time of day on some hosts: the middle one counts.
func TestStepsOfAFewClocksDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPeers()
	p.Heard(at(0), digest("a", at(100)))
	p.Heard(at(0), digest("b", at(90)))
	p.Heard(at(0), digest("stepped", at(5000)))
	g.Expect(p.ClockAhead(at(0), 95*time.Millisecond)).To(gomega.BeNumerically("<=", 100*time.Millisecond))
	// The own clock steps.
	g.Expect(p.ClockAhead(at(0), -3*time.Second)).To(gomega.BeNumerically("~", 95*time.Millisecond, 10*time.Millisecond))
}

// Answers a peer that does not answer: it is asked more rarely, and at once
// when there is news.
func TestExchangesBackOff(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPeers()
	p.Heard(at(0), digest("a", at(0)))
	g.Expect(p.Due(at(249))).To(gomega.BeEmpty())
	g.Expect(p.Due(at(250))).To(gomega.HaveLen(1))
	g.Expect(p.Due(at(260))).To(gomega.BeEmpty(), "one exchange at a time")
	p.Done(at(300), "a", true)
	p.Due(at(550))
	p.Done(at(600), "a", true)
	g.Expect(p.Due(at(900))).To(gomega.BeEmpty())
	p.Urgent(at(900))
	g.Expect(p.Due(at(900))).To(gomega.HaveLen(1))
}

// Answers a digest of a daemon that has restarted.
func TestARestartIsNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPeers()
	d := digest("a", at(0))
	g.Expect(p.Heard(at(0), d)).To(gomega.BeTrue())
	g.Expect(p.Heard(at(10), d)).To(gomega.BeFalse())
	d.Incarnation = 2
	g.Expect(p.Heard(at(20), d)).To(gomega.BeTrue())
}

// A digest survives its encoding, and damaged bytes are refused.
func TestDigestsAreEncoded(t *testing.T) {
	g := gomega.NewWithT(t)
	d := digest("a", at(0))
	d.Fleet = []fleet.Entry{{ID: "s", Server: &fleet.Server{ID: "s", Address: "10.0.0.1:80", Leaving: true}}}
	d.Usage = usage.Windows{7: {"account": 3}}
	encoded, err := d.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	decoded, err := mesh.DecodeDigest(encoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(d))
	_, err = mesh.DecodeDigest(encoded[:len(encoded)/2])
	g.Expect(err).To(gomega.HaveOccurred())
}
