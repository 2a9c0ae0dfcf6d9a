package daemon_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/daemon"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

const validSettings = `{
  // A daemon of the first zone.
  "name": "daemon-1", "operator": "kodiclub", "availability_zone": "tbilisi-a",
  "callers": {"address": "127.0.0.1:8080"},
  "operators": {"address": "127.0.0.1:8081"},
  "peers": {"address": "127.0.0.1:8082"},
  "peer_addresses": ["127.0.0.1:8092"],
  "operator_token_file": "/run/secrets/operators-token",
  "platform": {
    "table": {"endpoint": "http://127.0.0.1:9000", "region": "local", "name": "t", "access_key": "a", "secret_key_file": "f", "timeout_seconds": 1, "connections": 8},
    "objects": {"endpoint": "http://127.0.0.1:9001", "region": "local", "name": "b", "access_key": "a", "secret_key_file": "f", "timeout_seconds": 1, "connections": 8},
    "host_list_url": "http://127.0.0.1:9002/hosts",
  },
  "drain_seconds": 30,
}`

var _ = Describe("ParseSettings", func() {
	It("accepts comments and trailing commas", func() {
		settings, err := daemon.ParseSettings("d.jsonc", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.AvailabilityZone).To(Equal("tbilisi-a"))
	})

	DescribeTable("reports the invalid setting",
		func(old, replacement, want string) {
			Expect(validSettings).To(ContainSubstring(old))
			_, err := daemon.ParseSettings("d.jsonc", []byte(strings.Replace(validSettings, old, replacement, 1)))
			Expect(err).To(BeAssignableToTypeOf(&daemon.SettingsError{}))
			Expect(err.Error()).To(ContainSubstring(want))
		},
		Entry("unknown field", `"drain_seconds"`, `"drain_secs": 1, "drain_seconds"`, "drain_secs"),
		Entry("host name instead of an IP address", "127.0.0.1:8080", "localhost:8080", "not ip:port"),
		Entry("listener without TLS on an address other than loopback", "127.0.0.1:8080", "10.0.0.1:8080", "needs tls or platform_ends_tls"),
		Entry("missing token file", "/run/secrets/operators-token", "", "operator_token_file"),
		Entry("name that contains the separator of request IDs", `"daemon-1"`, `"daemon.1"`, "name is missing or contains"),
		Entry("URL without a scheme", "http://127.0.0.1:9002/hosts", "127.0.0.1:9002", "host_list_url"),
		Entry("drain time of zero", `"drain_seconds": 30`, `"drain_seconds": 0`, "drain_seconds"),
		Entry("TLS between peers without a client CA", `"peers": {"address": "127.0.0.1:8082"}`,
			`"peers": {"address": "10.0.0.1:8082", "tls": {"certificate": "c", "key": "k"}}`, "client_ca"),
		Entry("balancer time that is not below the drain time", `"drain_seconds": 30`, `"drain_seconds": 30, "balancer_seconds": 30`, "balancer_seconds"),
		Entry("not JSON", `"name"`, `name`, "invalid"),
	)

	It("reports every problem at once", func() {
		_, err := daemon.ParseSettings("d.jsonc", []byte(`{}`))
		Expect(len(err.(*daemon.SettingsError).Problems)).To(BeNumerically(">", 10))
	})
})
