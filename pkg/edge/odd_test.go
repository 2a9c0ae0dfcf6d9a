package edge

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// Guards against a row of the own table that another writer has left, which ends a daemon, stops a
// duty for good or passes for a daemon: deeply nested, with a number too large or a port out of range.
func TestOddRowsStopNothing(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, value := range map[string]string{
		"nested": deep, "nested field": `{"address":` + deep + `}`, "no bytes": "", "text": `"x"`,
		"number too large": `{"address":"10.0.0.1:1","cores":1e400,"present":1e400}`, "large numbers": `{"address":"10.0.0.1:1","cores":1e300,"present":9223372036854775807,"unixMs":9223372036854775807}`,
		"port out of range": `{"address":"10.0.0.1:99999","cores":1}`, "negative": `{"address":"10.0.0.1:-1","cores":-1,"present":-1}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := memtable.New()
			put := func(key table.Key) {
				g.Expect(store.Transact(t.Context(), []table.Write{{Key: key, Value: []byte(value)}})).To(gomega.Succeed())
			}
			put(table.Key{Partition: daemonPartition, Sort: "odd"})
			put(versionsKey)
			put(sizeKey("s"))
			put(table.Key{Partition: usagePartition, Sort: "00000000000000000007"})
			for _, part := range streamversion.RecordsPartitions() {
				put(table.Key{Partition: part, Sort: "odd"})
			}
			u := newTestDuties(t, &fakePlatform{Store: store})
			defer u.manager.Close()
			s := u.daemon.state
			s.versionStore = store
			var own ownRow
			g.Expect(u.daemon.readDaemons(t.Context(), &own)).To(gomega.Succeed())
			_, known := s.peers.Lookup("odd")
			g.Expect(known).To(gomega.BeFalse())
			version, row, err := readVersions(t.Context(), store)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(row.Complete).To(gomega.BeFalse())
			g.Expect(writeVersions(t.Context(), store, version, streamversion.Row{})).To(gomega.Succeed(), "it is written again")
			core := scaling.New("s", scaling.DefaultOptions())
			g.Expect(u.loadSize(t.Context(), "s", core)).To(gomega.Succeed())
			core.Inherit(bootNow(), 3)
			u.saveSize(t.Context(), "s", core)
			g.Expect(u.storedSizes["s"].row.Present).To(gomega.Equal(3), "it is written again")
			s.learnStoredStreams(t.Context())
			s.daemonsListed = true
			for _, window := range []int64{7, 8} {
				s.usage.SetPeer("other", 1, usage.Windows{window: {"account": 1}})
			}
			_, err = u.finalCounts(t.Context(), 7)
			if strings.HasPrefix(value, "{") {
				g.Expect(err).To(gomega.Or(gomega.BeNil(), gomega.BeAssignableToTypeOf(&UnusableRowError{})))
			} else {
				g.Expect(err).To(gomega.BeAssignableToTypeOf(&UnusableRowError{}))
			}
			_, err = u.finalCounts(t.Context(), 8)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "another window is stored")
		})
	}
}
