package s3store_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/providers/awsclient"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/s3store"
	"github.com/monsooncrank/monsooncrank/pkg/standin/objectserver"
)

func TestObjectStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "object store client")
}

var _ = Describe("Client", func() {
	var (
		server *objectserver.Server
		client *s3store.Client
		ctx    = context.Background()
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server = objectserver.NewServer()
		go func() { _ = server.Serve(listener) }()
		client = s3store.NewClient(s3store.Options{Bucket: "monsooncrank", Options: awsclient.Options{
			Endpoint: "http://" + listener.Addr().String(), Region: "local",
			AccessKey: "access", SecretKey: "secret", Timeout: 2 * time.Second, Connections: 4,
		}})
	})
	AfterEach(func() {
		client.Close()
		Expect(server.Close()).To(Succeed())
	})

	It("stores, returns and removes a body unchanged", func() {
		body := []byte("line 1\r\n\x00line 2")
		Expect(client.Put(ctx, "configuration/abc", body)).To(Succeed())
		Expect(client.Get(ctx, "configuration/abc")).To(Equal(body))
		Expect(client.Delete(ctx, "configuration/abc")).To(Succeed())
		_, err := client.Get(ctx, "configuration/abc")
		Expect(err).To(Equal(&objectstore.NotFoundError{Key: "configuration/abc"}))
	})

	It("reports a write that the server failed as ambiguous, and a failed read as unavailable", func() {
		server.SetOutage(true)
		Expect(client.Put(ctx, "a", nil)).To(BeAssignableToTypeOf(&objectstore.AmbiguousError{}))
		_, err := client.Get(ctx, "a")
		Expect(err).To(BeAssignableToTypeOf(&objectstore.UnavailableError{}))
	})

	It("reports a write as unavailable when the connection cannot be opened", func() {
		Expect(client.Put(ctx, "a", nil)).To(Succeed())
		Expect(server.Close()).To(Succeed())
		client.Close()
		Expect(client.Put(ctx, "a", nil)).To(BeAssignableToTypeOf(&objectstore.UnavailableError{}))
	})
})
