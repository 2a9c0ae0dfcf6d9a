package oncecall_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// endingClient ends its first call with an error, and answers the others.
type endingClient struct {
	service.Client
	end    func(ctx context.Context, address string) error
	called atomic.Int32
}

func (c *endingClient) Call(ctx context.Context, address string, req *service.Request) (*api.CallAnswer, error) {
	if c.called.Add(1) == 1 && c.end != nil {
		return nil, c.end(ctx, address)
	}
	return c.Client.Call(ctx, address, req)
}

// Guards against calls to plain services whose start or end is not reported to the
// quarantine or is reported as something else: the crash of a server under them would
// count for nothing, or count although the call did not run.
var _ = DescribeTable("the reports of a call to the quarantine",
	func(end func(context.Context, string) error, probed bool, crashes int) {
		d := newDeployment(2)
		var probes atomic.Int32
		manager := quarantine.NewManager(quarantine.ManagerOptions{Core: quarantine.DefaultOptions(), Store: d.store, Clock: clock.RealClock{},
			Probe: func(context.Context, string) quarantine.ServerState {
				probes.Add(1)
				return quarantine.ServerRuns
			}})
		DeferCleanup(manager.Close)
		client := &endingClient{end: end}
		caller := d.caller(func(o *oncecall.Options) { client.Client, o.Client, o.Quarantine = o.Client, client, manager })
		_, _ = call(caller, "slots", "", "seat")
		Expect(client.called.Load()).To(BeNumerically(">=", 1))
		Expect(manager.Running()).To(BeZero())
		Expect(probes.Load() > 0).To(Equal(probed))
		for _, server := range d.Available("p") {
			manager.ServerRestarted(server.RunID())
		}
		suspects := func() int {
			entry, _ := manager.Entry(quarantine.FingerprintOf("a\x00booking/slots", []byte(`{"object":"seat"}`)))
			return len(entry.Servers)
		}
		Eventually(suspects).Should(Equal(crashes))
		Consistently(suspects, 50*time.Millisecond).Should(Equal(crashes))
	},
	Entry("answered", nil, false, 0),
	Entry("not sent", func(_ context.Context, address string) error { return &service.NotSentError{Address: address} }, false, 0),
	Entry("refused", func(_ context.Context, address string) error { return &service.RefusedError{Address: address} }, false, 0),
	Entry("broken off", func(_ context.Context, address string) error { return &service.BrokenError{Address: address} }, true, 1),
	Entry("without an answer in time", func(ctx context.Context, address string) error {
		<-ctx.Done()
		return &service.BrokenError{Address: address, Silent: true}
	}, false, 1),
)
