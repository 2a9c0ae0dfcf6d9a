package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/config"
)

var _ = Describe("capacity groups", func() {
	// Guards against a Pool in two groups, for which Hosts would be bought
	// twice, and against groups that miss the Pools of a fallback.
	It("puts each Pool of the examples in one group", func() {
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
		Expect(groups).To(HaveLen(2), "the engines, which share a route, and the booking servers")
	})

	// Guards against slots that are handed out once for each Route: deferred
	// requests would not give way to others on the same engines.
	It("joins the pools of interactive and deferred routes", func() {
		set, err := config.Load("../../examples/ganda.jsonc")
		Expect(err).NotTo(HaveOccurred())
		snapshot := config.NewSnapshot(1, "", set)
		joined := joinedPools(snapshot)
		chat, _ := snapshot.Route("styling-chat")
		for _, name := range []string{"lookbook", "profile-summary", "profile-summary-on-demand"} {
			other, ok := snapshot.Route(name)
			Expect(ok).To(BeTrue())
			Expect(joined[other.Pools[0]]).To(Equal(joined[chat.Pools[0]]))
		}
		salon, _ := snapshot.Service("salon")
		Expect(joined[salon.Pools[0]]).NotTo(Equal(joined[chat.Pools[0]]))
	})

	// Guards against engines that lack the adapters of their models.
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
