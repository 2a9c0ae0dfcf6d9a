package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/quota"
)

// grantNetwork returns a leaf and the hub that grants the charges of an account, whose limit is
// a few requests. Calls to the hub fail while it is down.
func grantNetwork(t *testing.T) (leaf, hub *state, down *bool) {
	c := configuration(1)
	c.Accounts = []*catalog.ClientAccount{{Name: "account", Rate: 1000, Burst: 1000}}
	own := settings
	own.Node, own.Cores, own.QuotaWindow, own.QuotaOverage = "hub", 9, 8*time.Second, 0.1
	hub = newStateOf(t, own)
	own.Node, own.Cores = "leaf", 0.1
	leaf = newStateOf(t, own)
	for _, s := range []*state{leaf, hub} {
		// The daemons have run for long, so that usage limits are not at their start.
		s.quota = quota.New(bootNow().Add(-time.Hour), quota.Options{Window: s.settings.QuotaWindow, Overage: s.settings.QuotaOverage})
		addPeers(s, 2*fullMeshLimit)
		s.activateCatalog(c, "store")
		for i := range 2 * fullMeshLimit {
			s.quota.AddPeer(fmt.Sprint("peer-", i))
		}
	}
	leaf.peers.UpdateEntry(bootNow(), "hub", "hub:1", 9, 1)
	hub.peers.UpdateEntry(bootNow(), "leaf", "leaf:1", 0.1, 1)
	// Calls to any hub reach this one.
	down = new(bool)
	leaf.grants.call = func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
		if *down {
			return nil, errors.New("no answer")
		}
		return hub.handleGrant(ctx, payload)
	}
	return leaf, hub, down
}

// Guards against daemons that each admit requests of an account before they hear of one another:
// a request that costs more than one of many daemons may spend alone is charged at the hub.
func TestChargesAreGrantedByAHub(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf, hub, _ := grantNetwork(t)
	admitted := 0
	for range 20 {
		if _, ok := leaf.Charge("account", 200); ok {
			admitted++
		}
	}
	g.Expect(admitted).To(gomega.BeNumerically("~", 5, 1))
	g.Expect(hub.quota.Level(bootNow(), "account")).To(gomega.BeNumerically("<", 200), "the hub has counted them")
	after, ok := leaf.Charge("account", 200)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(after).To(gomega.BeNumerically(">", 0))
}

// Guards against requests that are refused, or that wait again and again, because the hub that
// grants them does not answer.
func TestChargesGoOnWithoutTheHub(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf, hub, down := grantNetwork(t)
	*down = true
	_, ok := leaf.Charge("account", 200)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(hub.quota.Level(bootNow(), "account")).To(gomega.BeNumerically(">", 900))
	*down = false
	_, ok = leaf.Charge("account", 200)
	g.Expect(ok).To(gomega.BeFalse(), "a second one is beyond the portion, and the hub is not asked again yet")
}

// Guards against a grant by a daemon that does not know what the others spend.
func TestADaemonThatIsNoHubGrantsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf, hub, _ := grantNetwork(t)
	var refused *NoHubError
	_, err := leaf.handleGrant(context.Background(), []byte{0xa0})
	g.Expect(errors.As(err, &refused)).To(gomega.BeTrue())
	_, err = hub.handleGrant(context.Background(), []byte{0xff})
	g.Expect(err).To(gomega.HaveOccurred(), "a message that cannot be read")
}
