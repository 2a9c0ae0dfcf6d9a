package routing_test

import (
	"fmt"
	"math/rand/v2"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

var _ = Describe("Balancer", func() {
	var (
		b          *routing.Balancer
		decisions  *decision.Recorder
		registry   *prometheus.Registry
		invariants *invariant.Reporter
	)
	chat := &routing.Query{Group: "chat", PromptTokens: 100}

	BeforeEach(func() {
		decisions, registry, invariants = decision.NewRecorder(100), prometheus.NewRegistry(), &invariant.Reporter{}
		b = routing.NewBalancer(routing.BalancerOptions{
			Clock: clocktesting.NewFakePassiveClock(epoch), Random: rand.New(rand.NewPCG(1, 2)),
			Decisions: decisions, Invariants: invariants, Registerer: registry,
		})
		b.Update(group(servers(4)))
	})

	It("records each decision with its alternatives", func() {
		d, err := b.Acquire("r", "a", chat)
		Expect(err).NotTo(HaveOccurred())
		explained := decisions.Explain("r")
		Expect(explained).To(HaveLen(1))
		Expect(explained[0].Chosen).To(Equal(d.Server.Name))
		Expect(explained[0].Alternatives).To(HaveLen(2))
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families).To(ContainElement(HaveField("GetName()", "monsooncrank_routing_decisions_total")))
	})

	It("records why no server is eligible", func() {
		b.Update(group(nil))
		_, err := b.Acquire("r", "a", chat)
		Expect(err).To(BeAssignableToTypeOf(&routing.NoServerError{}))
		Expect(decisions.Explain("r")).To(HaveLen(1))
	})

	// Acquire calls Pick and Started under one lock. Otherwise concurrent
	// requests would all be sent to the same idle server.
	It("spreads concurrent requests and counts them exactly", func() {
		var wait sync.WaitGroup
		for i := range 200 {
			wait.Go(func() {
				defer GinkgoRecover()
				_, err := b.Acquire("r", fmt.Sprint(i), chat)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wait.Wait()
		for i := range 4 {
			Expect(b.Outstanding(fmt.Sprintf("engine-%d", i))).To(BeNumerically("~", 50, 15))
		}
		for i := range 200 {
			b.FirstToken(fmt.Sprint(i))
			b.Finished(fmt.Sprint(i), routing.Usage{PromptTokens: 100})
		}
		Expect(b.Outstanding("engine-0")).To(BeZero())
		Expect(invariants.Counts()).To(BeEmpty())
	})
})

var _ = Describe("AppendPrefixes", func() {
	message := func(i int) api.Message { return api.Message{Role: "user", Content: fmt.Sprint("message ", i)} }

	It("shares the prefixes of an earlier turn and keeps their number bounded", func() {
		var messages []api.Message
		var earlier []routing.Prefix
		for i := range 12 {
			messages = append(messages, message(i))
			prefixes, tokens := routing.AppendPrefixes(nil, "model", messages)
			Expect(len(prefixes)).To(BeNumerically("<=", routing.MaxPrefixes))
			Expect(prefixes[len(prefixes)-1].Tokens).To(Equal(tokens))
			if i > 0 {
				Expect(prefixes).To(ContainElement(earlier[len(earlier)-1]))
				Expect(prefixes[0]).To(Equal(earlier[0]))
			}
			earlier = prefixes
		}
	})

	It("hashes the same text differently for another model or role", func() {
		a, _ := routing.AppendPrefixes(nil, "model", []api.Message{message(1)})
		b, _ := routing.AppendPrefixes(nil, "other", []api.Message{message(1)})
		c, _ := routing.AppendPrefixes(nil, "model", []api.Message{{Role: "system", Content: message(1).Content}})
		Expect(a[0].Hash).NotTo(Or(Equal(b[0].Hash), Equal(c[0].Hash)))
	})
})
