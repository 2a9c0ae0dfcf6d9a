package hostlist_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	testclock "k8s.io/utils/clock/testing"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/hostlist"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/hostlist"
)

func TestHostList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostlist")
}

func entry(name string, incarnation uint64) membership.ListEntry {
	return membership.ListEntry{Member: membership.Member{Name: name, Kind: membership.KindEngine,
		Address: "127.0.0.1:1", Pool: "p", AvailabilityZone: "a", MachineClass: "c",
		Purchase: membership.PurchaseReclaimable, Incarnation: incarnation}}
}

const validEntry = `{"targets":["10.0.0.1:1"],"labels":{"kind":"engine","pool":"p","state":"leaving"}}`

var _ = Describe("the parser", func() {
	DescribeTable("skips an invalid entry and keeps the others",
		func(invalidEntry string) {
			r, err := hostlist.Parse([]byte("["+invalidEntry+","+validEntry+"]"), 10)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.SkippedCount).To(Equal(1))
			Expect(r.Entries).To(HaveLen(1))
			Expect(r.Entries[0].Leaving).To(BeTrue())
		},
		Entry("kind", `{"targets":["10.0.0.2:1"],"labels":{"kind":"disk","pool":"p","state":"live"}}`),
		Entry("state", `{"targets":["10.0.0.2:1"],"labels":{"kind":"engine","pool":"p","state":"odd"}}`),
		Entry("pool", `{"targets":["10.0.0.2:1"],"labels":{"kind":"engine","state":"live"}}`),
		Entry("purchase", `{"targets":["10.0.0.2:1"],"labels":{"kind":"engine","pool":"p","state":"live","purchase":"gift"}}`),
		Entry("target", `{"targets":["nowhere"],"labels":{"kind":"engine","pool":"p","state":"live"}}`),
		Entry("incarnation", `{"targets":["10.0.0.2:1"],"labels":{"kind":"engine","pool":"p","state":"live","incarnation":"-1"}}`),
		Entry("long label", `{"targets":["10.0.0.2:1"],"labels":{"kind":"engine","pool":"`+strings.Repeat("x", 300)+`","state":"live"}}`),
	)

	It("rejects a malformed list and a list with too many entries", func() {
		for _, body := range []string{`{}`, `[`, `[1]`, "[" + validEntry + "," + validEntry + "]"} {
			_, err := hostlist.Parse([]byte(body), 1)
			var invalid *hostlist.InvalidListError
			Expect(err).To(BeAssignableToTypeOf(invalid), body)
		}
	})

	It("keeps the newer incarnation, and leaving over live, when a name is listed twice", func() {
		row := `{"targets":["10.0.0.%d:1"],"labels":{"name":"n","kind":"engine","pool":"p","state":"%s","incarnation":"%d"}}`
		list := "[" + fmt.Sprintf(row, 1, "live", 2) + "," + fmt.Sprintf(row, 2, "leaving", 2) + "," + fmt.Sprintf(row, 3, "live", 1) + "]"
		r, err := hostlist.Parse([]byte(list), 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Entries).To(HaveLen(1))
		Expect(r.Entries[0].Leaving).To(BeTrue())
	})
})

var _ = Describe("the client", func() {
	It("reads the delayed list and reports failed polls", func() {
		clock := testclock.NewFakePassiveClock(time.Unix(1000, 0))
		s, err := standin.New(standin.Options{Address: "127.0.0.1:0", Lag: 10 * time.Second, Clock: clock})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		c := hostlist.NewClient(hostlist.Options{URL: s.URL()})
		DeferCleanup(c.Close)
		s.Put(entry("e1", 7))
		clock.SetTime(time.Unix(1011, 0))
		s.SetLeaving("e1")
		entries, err := c.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(Equal([]membership.ListEntry{entry("e1", 7)}))
		clock.SetTime(time.Unix(1022, 0))
		entries, err = c.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(entries[0].Leaving).To(BeTrue())
		s.SetFailing(true)
		polls := s.Polls()
		_, err = c.List(context.Background())
		var unavailable *hostlist.UnavailableError
		Expect(err).To(BeAssignableToTypeOf(unavailable))
		Expect(s.Polls()).To(Equal(polls+1), "a failed poll must not be retried")
	})
})

// FuzzParse guards against lists that crash the parser or exceed its limit of
// entries.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[" + validEntry + "]"))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := hostlist.Parse(body, 8)
		if err == nil && len(r.Entries)+r.SkippedCount > 8 {
			t.Fatalf("%d entries", len(r.Entries))
		}
	})
}
