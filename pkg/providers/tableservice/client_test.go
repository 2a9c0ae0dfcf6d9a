package tableservice_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/providers/awsclient"
	"github.com/monsooncrank/monsooncrank/pkg/providers/tableservice"
	"github.com/monsooncrank/monsooncrank/pkg/standin/tableserver"
)

func TestTableService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "table service client")
}

var _ = Describe("Client", func() {
	var (
		server *tableserver.Server
		client *tableservice.Client
		ctx    = context.Background()
		key    = table.Key{Partition: "lease", Sort: "range-7"}
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server = tableserver.NewServer()
		go func() { _ = server.Serve(listener) }()
		client = tableservice.NewClient(tableservice.Options{Table: "monsooncrank", Options: awsclient.Options{
			Endpoint: "http://" + listener.Addr().String(), Region: "local",
			AccessKey: "access", SecretKey: "secret", Timeout: 2 * time.Second, Connections: 4,
		}})
	})
	AfterEach(func() {
		client.Close()
		Expect(server.Close()).To(Succeed())
	})

	It("writes, reads and lists rows with their versions", func() {
		other := table.Key{Partition: "lease", Sort: "range-8"}
		Expect(client.Transact(ctx, []table.Write{{Key: key, Value: []byte("a")}, {Key: other, Value: []byte("b")}})).To(Succeed())
		Expect(client.Transact(ctx, []table.Write{{Key: key, Version: 1, Value: []byte("c")}})).To(Succeed())
		item, err := client.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(item).To(Equal(table.Item{Key: key, Version: 2, Value: []byte("c")}))
		items, err := client.Query(ctx, "lease", "range-7", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(items).To(HaveLen(1))
		Expect(items[0].Key).To(Equal(other))
		Expect(client.Transact(ctx, []table.Write{{Key: key, Version: 2, Delete: true}})).To(Succeed())
		_, err = client.Get(ctx, key)
		Expect(err).To(BeAssignableToTypeOf(&table.NotFoundError{}))
	})

	It("returns the indexes of the writes whose conditions failed and applies none", func() {
		Expect(client.Transact(ctx, []table.Write{{Key: key, Value: []byte("a")}})).To(Succeed())
		err := client.Transact(ctx, []table.Write{
			{Key: table.Key{Partition: "lease", Sort: "new"}, Value: []byte("b")},
			{Key: key, Value: []byte("c")},
		})
		Expect(err).To(Equal(&table.ConditionFailedError{Indexes: []int{1}}))
		Expect(server.Table.Stats().RowsWritten).To(BeEquivalentTo(1))
	})

	It("reports a lost response as ambiguous and does not retry the transaction", func() {
		server.Table.SetFault(func(op memtable.Operation) memtable.Fault { return memtable.FaultAnswerLost })
		err := client.Transact(ctx, []table.Write{{Key: key, Value: []byte("a")}})
		Expect(err).To(BeAssignableToTypeOf(&table.AmbiguousError{}))
		Expect(server.Table.Stats().Transactions).To(BeEquivalentTo(1))
	})

	It("reports a rejected request and a failed dial as unavailable", func() {
		server.Table.SetFault(func(op memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		err := client.Transact(ctx, []table.Write{{Key: key, Value: []byte("a")}})
		Expect(err).To(BeAssignableToTypeOf(&table.UnavailableError{}))
		Expect(server.Close()).To(Succeed())
		client.Close()
		err = client.Transact(ctx, []table.Write{{Key: key, Value: []byte("a")}})
		Expect(err).To(BeAssignableToTypeOf(&table.UnavailableError{}))
	})

	It("reports a timeout as ambiguous", func() {
		server.SetDelay(300 * time.Millisecond)
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		err := client.Transact(shortCtx, []table.Write{{Key: key, Value: []byte("a")}})
		Expect(err).To(BeAssignableToTypeOf(&table.AmbiguousError{}))
		server.SetDelay(0)
	})
})
