package oncecall_test

import (
	"context"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// crashingClient breaks off every call, as if its server had crashed. Crashed
// servers are not available any more.
type crashingClient struct {
	service.Client
	directory membership.Directory

	mu      sync.Mutex
	calls   int
	crashed map[string]bool
}

func (c *crashingClient) Call(_ context.Context, address string, _ *service.Request) (*api.CallAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.crashed[address] = true
	return nil, &service.BrokenError{Address: address}
}

// Available implements membership.Directory.
func (c *crashingClient) Available(pool string) []membership.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.directory.Available(pool)), func(s membership.BackendServer) bool { return c.crashed[s.Address] })
}

// ReportLeaving implements membership.Directory.
func (c *crashingClient) ReportLeaving(name string, incarnation uint64) {
	c.directory.ReportLeaving(name, incarnation)
}

func (c *crashingClient) Lookup(_ context.Context, address, _ string, attemptID, _ string) (*api.CallAnswer, error) {
	return nil, &service.AttemptNotFoundError{Address: address, AttemptID: attemptID}
}

var _ = Describe("a call that crashes its servers", func() {
	newCaller := func(servers int) (*crashingClient, *oncecall.Caller) {
		d := newDeployment(servers)
		client := &crashingClient{directory: d, crashed: make(map[string]bool)}
		options := quarantine.DefaultOptions()
		options.SettleDelay = 20 * time.Millisecond
		manager := quarantine.NewManager(quarantine.ManagerOptions{Core: options, Store: d.store, Clock: clock.RealClock{},
			Probe: func(context.Context, string) quarantine.ServerState { return quarantine.ServerDown }})
		DeferCleanup(manager.Close)
		return client, d.caller(func(o *oncecall.Options) { o.Client, o.Directory, o.Quarantine = client, client, manager })
	}

	// Guards against a repeatable call that crashes as many servers as it is
	// tried on, and more each time that it is sent again.
	It("is not tried on further servers if it is repeatable", func() {
		client, caller := newCaller(4)
		_, problem := call(caller, "slots", "", "seat")
		Expect(problem.Name).To(Equal(api.ProblemQuarantined))
		Expect(problem.Outcome).To(Equal(api.OutcomeUnknown))
		Expect(client.calls).To(Equal(2))
		_, problem = call(caller, "slots", "", "seat")
		Expect(problem.Name).To(Equal(api.ProblemQuarantined))
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(client.calls).To(Equal(2))
	})

	// Guards against a once-only call that crashes one server each time that it
	// is sent again under a new key.
	It("is not sent again under other keys if it runs once only", func() {
		client, caller := newCaller(4)
		for _, key := range []string{"k1", "k2"} {
			_, problem := call(caller, "pay", key, "seat")
			Expect(problem.Outcome).To(Equal(api.OutcomeUnknown))
		}
		_, problem := call(caller, "pay", "k3", "seat")
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(client.calls).To(Equal(2))
	})
})
