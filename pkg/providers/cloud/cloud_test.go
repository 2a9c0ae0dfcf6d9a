package cloud_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	testclock "k8s.io/utils/clock/testing"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/cloud"
)

func TestCloud(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cloud")
}

var _ = Describe("the cloud API over HTTP", func() {
	ctx := context.Background()
	offer := standin.Offer{AvailabilityZone: "a", MachineClass: "c", Purchase: membership.PurchaseReclaimable}
	req := cloud.StartRequest{AvailabilityZone: "a", MachineClass: "c", Purchase: membership.PurchaseReclaimable, Token: "t1"}
	var clock *testclock.FakePassiveClock
	var fakeCloud *standin.Cloud
	var api cloud.API
	startServer := func(o standin.Options) {
		clock = testclock.NewFakePassiveClock(time.Unix(1000, 0))
		o.Clock = clock
		fakeCloud = standin.New(o, map[standin.Offer]standin.Terms{offer: {PricePerHour: 3, Stock: 2}})
		s, err := standin.Serve("127.0.0.1:0", fakeCloud)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		c := cloud.NewClient(cloud.Options{BaseURL: s.URL()})
		DeferCleanup(c.Close)
		api = c
	}

	It("starts, lists, bills and stops hosts", func() {
		startServer(standin.Options{StartDelay: time.Second})
		host, err := api.Start(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		clock.SetTime(time.Unix(1000+3600, 0))
		hosts, err := api.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(HaveLen(1))
		Expect(hosts[0].State).To(Equal(cloud.HostRunning))
		Expect(api.Stop(ctx, host.ID)).To(Succeed())
		Expect(api.Stop(ctx, host.ID)).To(Equal(&cloud.NotFoundError{HostID: host.ID}))
		Expect(fakeCloud.Ledger().Cost).To(BeNumerically("~", 3, 1e-9))
	})

	It("reports refused capacity, and a lost response as ambiguous without a retry", func() {
		startServer(standin.Options{})
		fakeCloud.LoseAnswers(1)
		_, err := api.Start(ctx, req)
		var ambiguous *cloud.AmbiguousError
		Expect(errors.As(err, &ambiguous)).To(BeTrue(), "%v", err)
		Expect(fakeCloud.Ledger().Starts).To(Equal(1))
		again, err := api.Start(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.ID).To(Equal("host-00001"), "a start with the same token must return the host started before")
		fakeCloud.SetRefused(offer, true)
		other := req
		other.Token = "t2"
		_, err = api.Start(ctx, other)
		Expect(err).To(Equal(&cloud.CapacityRefusedError{AvailabilityZone: "a", MachineClass: "c", Purchase: membership.PurchaseReclaimable}))
	})

	It("reports the rate limit and an unreachable server", func() {
		startServer(standin.Options{RequestsPerSecond: 1, Burst: 1})
		_, err := api.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = api.List(ctx)
		Expect(err).To(Equal(&cloud.RateLimitedError{RetryAfter: time.Second}))
		_, err = cloud.NewClient(cloud.Options{BaseURL: "http://127.0.0.1:1"}).Start(ctx, req)
		var unavailable *cloud.UnavailableError
		Expect(errors.As(err, &unavailable)).To(BeTrue())
	})

	It("reports the reclaim of a zone to a watcher once per host", func() {
		startServer(standin.Options{})
		_, err := api.Start(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		notices := make(chan cloud.Notice, 8)
		ticks := testclock.NewFakeClock(time.Unix(1000, 0))
		w := cloud.NewWatcher(cloud.WatcherOptions{Interval: time.Second, Clock: ticks,
			OnNotice: func(n cloud.Notice) { notices <- n }}, api)
		DeferCleanup(w.Close)
		Expect(fakeCloud.ReclaimZone("a", 30*time.Second)).To(HaveLen(1))
		ticks.Step(time.Second)
		var n cloud.Notice
		Eventually(notices).Should(Receive(&n))
		payload, err := cloud.EncodeNotice(n)
		Expect(err).NotTo(HaveOccurred())
		Expect(cloud.DecodeNotice(payload)).To(Equal(n))
		ticks.Step(time.Second)
		Consistently(notices, 50*time.Millisecond).ShouldNot(Receive())
		clock.SetTime(time.Unix(1031, 0))
		hosts, err := api.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(BeEmpty())
	})
})
