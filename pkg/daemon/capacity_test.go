package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/config"
)

var _ = Describe("capacity groups", func() {
	// Guards against a Pool that is in two groups, so that Hosts would be bought for
	// it twice, and against groups without the Pools of a fallback.
	It("puts each Pool of the example into exactly one group", func() {
		set, err := config.Load("../../examples/kodiclub.jsonc")
		Expect(err).NotTo(HaveOccurred())
		groups := poolGroups(config.NewSnapshot(1, "", set))
		seen := make(map[string]int)
		for _, g := range groups {
			for _, offer := range g.Offers {
				seen[offer.Pool]++
			}
		}
		Expect(seen).To(HaveLen(len(set.Pools)))
		for _, n := range seen {
			Expect(n).To(Equal(1))
		}
		Expect(groups).To(HaveLen(2), "expected one group for the engines, which share a route, and one for the booking servers")
	})

	// Guards against counting the slots of shared engines once for each Route:
	// deferred requests would then not yield to others on the same engines.
	It("groups the pools of interactive and deferred routes", func() {
		set, err := config.Load("../../examples/ganda.jsonc")
		Expect(err).NotTo(HaveOccurred())
		snapshot := config.NewSnapshot(1, "", set)
		groupOf := groupNameByPool(snapshot)
		chat, _ := snapshot.Route("styling-chat")
		for _, name := range []string{"lookbook", "profile-summary", "profile-summary-on-demand"} {
			other, ok := snapshot.Route(name)
			Expect(ok).To(BeTrue())
			Expect(groupOf[other.Pools[0]]).To(Equal(groupOf[chat.Pools[0]]))
		}
		salon, _ := snapshot.Service("salon")
		Expect(groupOf[salon.Pools[0]]).NotTo(Equal(groupOf[chat.Pools[0]]))
	})

	// Guards against engines without the adapters of their models.
	It("places the models of a Pool and their adapters", func() {
		set, err := config.Load("../../examples/kodiclub.jsonc")
		Expect(err).NotTo(HaveOccurred())
		snapshot := config.NewSnapshot(1, "", set)
		pool, _ := snapshot.Pool("engines-tbilisi-d-on-demand")
		placed := placementOf(snapshot, pool, membership.BackendServer{Name: "e1"})
		Expect(placed.Models).To(Equal([]string{"club-assistant"}))
		Expect(placed.Adapters).To(Equal([]string{"placement-letters"}))
		Expect(placed.WeightsMiB).To(Equal(15258))
		Expect(placed.ChecksFencing).To(BeFalse())
	})
})
