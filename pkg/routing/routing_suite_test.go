package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newRouter(options routing.Options) *routing.Router {
	return routing.NewRouter(epoch, rand.New(rand.NewPCG(1, 2)), options)
}

func servers(n int) []routing.Server {
	list := make([]routing.Server, n)
	for i := range list {
		list[i] = routing.Server{
			BackendServer: membership.BackendServer{
				Name: fmt.Sprintf("engine-%d", i), Kind: membership.KindEngine,
				AvailabilityZone: fmt.Sprintf("zone-%d", i%4), Incarnation: 1,
			},
			PricePerHour: 1, MaxSequences: 16,
		}
	}
	return list
}

func group(list []routing.Server) []routing.Group {
	return []routing.Group{{Name: "chat", Servers: list}}
}
