package deferred_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// fixedRouter routes every request to the same engine.
type fixedRouter struct{ server membership.BackendServer }

func (r fixedRouter) Pick(time.Time, *streaming.PickRequest) (membership.BackendServer, error) {
	return r.server, nil
}

func (fixedRouter) Started(string, membership.BackendServer, *streaming.PickRequest, time.Time) {}
func (fixedRouter) FirstToken(string, time.Time)                                                {}
func (fixedRouter) Finished(string, streaming.Usage, time.Time)                                 {}
func (fixedRouter) Failed(string, error, time.Time)                                             {}

var _ = Describe("deferred requests over streams", func() {
	// Guards against a chat that does not resume from the saved tokens, and against
	// an engine that keeps generating for a daemon that has stopped.
	It("resume at the engine from the saved tokens", func() {
		e, err := standin.Start(standin.Options{Name: "a", DecodeStep: 2 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := engine.NewHTTPClient(engine.Options{})
		DeferCleanup(client.Close)
		stream := func() *streaming.Driver {
			return streaming.NewDriver(streaming.Options{
				Client: client, Router: fixedRouter{membership.BackendServer{Name: "a", Address: e.Address()}},
				Route: func(model string, _ bool) (streaming.Route, bool) { return streaming.Route{Name: model}, true },
			})
		}
		cluster := newTestCluster()
		DeferCleanup(func() { cluster.close() })
		req := testRequest("r1")
		req.MaxTokens = 256
		chat := stream()
		first := cluster.startDaemon(chat, nil)
		Expect(first.Accept(context.Background(), req)).To(Succeed())
		Eventually(func() (int, error) {
			status, err := first.Get(context.Background(), req.ClientAccount, req.ID)
			if err != nil {
				return 0, err
			}
			return status.SavedTokens, nil
		}).Should(BeNumerically(">", 20))
		Expect(first.Close()).To(Succeed())
		Expect(chat.Close()).To(Succeed())
		chat = stream()
		DeferCleanup(chat.Close)
		var second deferred.ChatResumer = chat
		next := cluster.startDaemon(second, nil)
		Eventually(answerOf(next, req), 5*time.Second).Should(Equal(wantText(req)))
		Eventually(e.Ledger().Running).Should(BeEmpty())
		Expect(e.Ledger().Totals().WrongResumes).To(BeZero())
		Expect(e.Ledger().Entries()[1].FirstOffset).To(BeNumerically(">", 20))
	})
})
