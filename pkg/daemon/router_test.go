package daemon

import (
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

var _ = Describe("streamRouter", func() {
	var (
		balancer *routing.Balancer
		router   *streamRouter
		now      = time.Unix(1000, 0)
	)

	BeforeEach(func() {
		balancer = routing.NewBalancer(routing.BalancerOptions{
			Router: routing.Options{Daemon: "d"}, Clock: clock.RealClock{}, Random: rand.New(rand.NewPCG(1, 1)),
		})
		var servers []routing.Server
		for _, name := range []string{"e1", "e2"} {
			servers = append(servers, routing.Server{BackendServer: membership.BackendServer{Name: name, Incarnation: 1}})
		}
		balancer.Update([]routing.Group{{Name: groupOfRoute("chat"), Servers: servers}})
		router = newStreamRouter(balancer, func(string, time.Duration) {})
	})

	start := func(attempt, request string, isolated bool) (string, error) {
		req := &streaming.PickRequest{RequestID: request, Route: "chat", Isolated: isolated}
		server, err := router.Pick(now, req)
		if err == nil {
			router.Started(attempt, server, req, now)
		}
		return server.Name, err
	}

	// Guards against a request that is quarantined because another suspect has
	// crashed the engine on which both ran.
	It("never runs two suspects on one engine", func() {
		first, err := start("a1", "r1", true)
		Expect(err).NotTo(HaveOccurred())
		second, err := start("a2", "r2", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).NotTo(Equal(first))
		_, err = start("a3", "r3", true)
		Expect(err).To(BeAssignableToTypeOf(&routing.NoServerError{}))
		_, err = start("a4", "r4", false)
		Expect(err).NotTo(HaveOccurred())
		router.Failed("a1", nil, now)
		third, err := start("a5", "r3", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(third).To(Equal(first))
	})

	// Guards against cache events that never match because routing and engines
	// compute different hashes for the same prefix.
	It("identifies prefixes by the hashes of the engines' cache events", func() {
		long := strings.Repeat("word ", 40)
		messages := []api.Message{{Role: "system", Content: long}, {Role: "user", Content: "hi"}, {Role: "assistant", Content: long}}
		prefixes, tokens := promptPrefixes("m", messages)
		hashes := engine.PrefixHashes("m", engine.PromptTokens(messages))
		Expect(tokens).To(Equal(84))
		Expect(prefixes).To(Equal([]routing.Prefix{
			{Hash: hashes[1], Tokens: 32}, {Hash: hashes[4], Tokens: 80},
		}))
	})

	// Guards against attempts that are counted as outstanding forever.
	It("counts an attempt until it ends, and a pick that is never started until the next pick of the request", func() {
		server, err := start("a1", "r1", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(balancer.Outstanding(server)).To(Equal(1))
		router.Finished("a1", streaming.Usage{}, now)
		Expect(balancer.Outstanding(server)).To(BeZero())
		for range 10 {
			_, err := router.Pick(now, &streaming.PickRequest{RequestID: "r2", Route: "chat"})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(balancer.Outstanding("e1") + balancer.Outstanding("e2")).To(BeNumerically("<=", 2))
	})
})
