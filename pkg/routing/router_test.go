package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

var _ = Describe("Router", func() {
	var r *routing.Router
	chat := &routing.Query{Group: "chat", PromptTokens: 100}

	BeforeEach(func() {
		r = newRouter(routing.Options{Daemon: "d", AvailabilityZone: "zone-0"})
		r.Update(epoch, group(servers(4)))
	})

	It("does not use a leaving server again because of an outdated list", func() {
		r.NoticeReceived(epoch, "engine-1", 1)
		r.Update(at(time.Second), nil)
		r.Update(at(2*time.Second), group(servers(2)))
		for i := range 50 {
			d, err := r.Pick(at(time.Duration(i)*time.Second), chat)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Server.Name).To(Equal("engine-0"))
		}
	})

	It("uses a restarted server again", func() {
		r.NoticeReceived(epoch, "engine-1", 1)
		list := servers(4)[1:2]
		list[0].Incarnation = 2
		r.Update(at(time.Second), group(list))
		d, err := r.Pick(at(time.Second), chat)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Server.Incarnation).To(Equal(uint64(2)))
	})

	It("reports why no server is eligible", func() {
		r.NoticeReceived(epoch, "engine-0", 1)
		_, err := r.Pick(epoch, &routing.Query{Group: "chat", ExcludeNames: []string{"engine-1", "engine-2", "engine-3"}})
		Expect(err).To(Equal(&routing.NoServerError{Group: "chat", Known: 4, Leaving: 1, Excluded: 3}))
		_, err = r.Pick(epoch, &routing.Query{Group: "other"})
		Expect(err).To(Equal(&routing.UnknownGroupError{Group: "other"}))
	})

	It("sends a prompt to the server that holds its prefix", func() {
		q := &routing.Query{Group: "chat", PromptTokens: 2000, Prefixes: []routing.Prefix{{Hash: 7, Tokens: 1900}}}
		r.CacheReported(epoch, "engine-2", []engine.CacheEvent{{Sequence: 1, PrefixHash: 7, Tokens: 1900}})
		d, err := r.Pick(epoch, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Server.Name).To(Equal("engine-2"))
		Expect(d.Reason).To(Equal(routing.ReasonPrefix))
		Expect(d.ExpectedCachedTokens).To(Equal(1900))
		Expect(len(d.Alternatives())).To(BeNumerically(">", 1))
	})

	It("does not pick the holder of a prefix above the load bound", func() {
		q := &routing.Query{Group: "chat", PromptTokens: 2000, Prefixes: []routing.Prefix{{Hash: 7, Tokens: 1900}}}
		r.CacheReported(epoch, "engine-2", []engine.CacheEvent{{Sequence: 1, PrefixHash: 7, Tokens: 1900}})
		for i := range 8 {
			Expect(r.Started(epoch, fmt.Sprint(i), "engine-2", chat)).To(Succeed())
		}
		d, err := r.Pick(epoch, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Server.Name).NotTo(Equal("engine-2"))
	})

	It("weighs the load difference of a stale report less than that of a fresh one", func() {
		r.Update(epoch, group(servers(2)))
		r.LoadReported(epoch, "engine-0", engine.Load{Running: 14, MeasuredAt: epoch})
		r.LoadReported(epoch, "engine-1", engine.Load{Running: 2, MeasuredAt: epoch})
		scoreDifference := func(age time.Duration) float64 {
			d, err := r.Pick(at(age), chat)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Server.Name).To(Equal("engine-1"))
			scores := map[string]float64{}
			for _, a := range d.Alternatives() {
				scores[a.Name] = a.Score
			}
			return scores["engine-0"] - scores["engine-1"]
		}
		Expect(scoreDifference(5 * time.Second)).To(BeNumerically("<", scoreDifference(0)/2))
	})

	It("does not count its own requests twice when a report includes them", func() {
		for i := range 4 {
			Expect(r.Started(epoch, fmt.Sprint(i), "engine-0", chat)).To(Succeed())
			r.FirstToken(at(6*time.Millisecond), fmt.Sprint(i))
		}
		r.LoadReported(at(time.Second), "engine-0", engine.Load{Running: 4, MeasuredAt: at(500 * time.Millisecond)})
		r.LoadReported(at(time.Second), "engine-1", engine.Load{Running: 6, MeasuredAt: at(500 * time.Millisecond)})
		r.Update(at(time.Second), group(servers(2)))
		d, err := r.Pick(at(time.Second), chat)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Server.Name).To(Equal("engine-0"))
	})

	It("sends an isolated request to the server with the least load", func() {
		for i := range 9 {
			Expect(r.Started(epoch, fmt.Sprint(i), fmt.Sprintf("engine-%d", i%3), chat)).To(Succeed())
		}
		d, err := r.Pick(epoch, &routing.Query{Group: "chat", Isolated: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Server.Name).To(Equal("engine-3"))
		Expect(d.Reason).To(Equal(routing.ReasonIsolated))
	})

	// Guards against requests suspected of one crash being sent by different
	// daemons to the same server, the least loaded one in the load reports. A
	// request that had caused no crash was then suspected of the second one too.
	It("spreads the suspected requests of different daemons over the servers", func() {
		picked := map[string]int{}
		for i := range 60 {
			random := rand.New(rand.NewPCG(uint64(i), 0))
			r := routing.NewRouter(epoch, random, routing.Options{Daemon: fmt.Sprint("daemon-", i)})
			r.Update(epoch, group(servers(6)))
			for j := range 6 {
				load := engine.Load{MeasuredAt: epoch.Add(time.Second), Running: min(j, 1)}
				r.LoadReported(epoch.Add(time.Second), fmt.Sprint("engine-", j), load)
			}
			// The reports are a second old: part of the reported load has ended.
			d, err := r.Pick(epoch.Add(2*time.Second), &routing.Query{Group: "chat", Isolated: true})
			Expect(err).NotTo(HaveOccurred())
			picked[d.Server.Name]++
		}
		// Six servers share 60 picks.
		for name, n := range picked {
			Expect(n).To(BeNumerically("<", 30), name)
		}
	})

	It("counts an attempt once", func() {
		Expect(r.Started(epoch, "a", "engine-0", chat)).To(Succeed())
		Expect(r.Started(epoch, "a", "engine-0", chat)).To(Equal(&routing.DuplicateAttemptError{AttemptID: "a"}))
		r.Failed(epoch, "a")
		r.Finished(epoch, "a", routing.Usage{})
		Expect(r.Outstanding("engine-0")).To(BeZero())
	})

	It("chooses different subsets at different daemons", func() {
		seen := map[string]bool{}
		for i := range 4 {
			r := newRouter(routing.Options{Daemon: fmt.Sprint("daemon-", i), SubsetSize: 8})
			r.Update(epoch, group(servers(256)))
			own := map[string]bool{}
			for range 200 {
				d, err := r.Pick(epoch, chat)
				Expect(err).NotTo(HaveOccurred())
				own[d.Server.Name], seen[d.Server.Name] = true, true
			}
			Expect(len(own)).To(BeNumerically("<=", 8))
		}
		Expect(len(seen)).To(BeNumerically(">", 16))
	})
})
