package command

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/memstore"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

func TestCommand(t *testing.T) {
	klog.SetLogger(klog.Logger{})
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

const example = "../../examples/kodiclub.jsonc"

// fakeDaemon serves the operator API on loopback.
type fakeDaemon struct {
	address string
	drained atomic.Int32
	entries []operatorapi.QuarantineEntry
	// dropResponses closes the connection instead of responding to a POST.
	dropResponses atomic.Bool
	posts         atomic.Int32
}

func (d *fakeDaemon) Drain() { d.drained.Add(1) }

func (d *fakeDaemon) List(context.Context) ([]operatorapi.QuarantineEntry, error) {
	return d.entries, nil
}

func (d *fakeDaemon) Release(_ context.Context, fingerprint string) error {
	if fingerprint != d.entries[0].Fingerprint {
		return &operatorapi.UnknownFingerprintError{Fingerprint: fingerprint}
	}
	return nil
}

// startDaemon starts a fakeDaemon that is stopped at the end of the spec.
func startDaemon() *fakeDaemon {
	d := &fakeDaemon{entries: []operatorapi.QuarantineEntry{{Fingerprint: "f1", ClientAccount: "a", Crashes: 2, State: "quarantined"}}}
	recorder := decision.NewRecorder(8)
	recorder.Record(decision.Decision{RequestID: "r1", Kind: decision.KindRoute, Chosen: "engine-1", Reason: "lowest score",
		Alternatives: []decision.Alternative{{Name: "engine-2", Score: 0.5}}})
	api := operatorapi.NewServer(operatorapi.Options{Token: "t", Decisions: recorder, Drainer: d, Quarantine: d,
		Configuration: publish.NewPublisher(publish.PublisherOptions{Table: memtable.New(), Objects: memstore.New(), RetryWait: time.Microsecond}),
		Status:        func() operatorapi.Status { return operatorapi.Status{Daemon: "daemon-1", AvailabilityZone: "z"} }})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d.address = ln.Addr().String()
	server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		api.Handle(ctx)
		if ctx.IsPost() {
			d.posts.Add(1)
			if d.dropResponses.Load() {
				_ = ctx.Conn().Close()
			}
		}
	}}
	go func() { _ = server.Serve(ln) }()
	DeferCleanup(server.Shutdown)
	return d
}

// runCommand executes a command line and returns its output and exit code.
func runCommand(args ...string) (out, errOut string, code int) {
	var stdout, stderr bytes.Buffer
	code = Run(context.Background(), args, &stdout, &stderr)
	return stdout.String(), stderr.String(), code
}

var _ = Describe("check", func() {
	// Guards against errors in a file that hide other errors or are reported
	// twice.
	It("prints eight lines for a file with eight different errors", func() {
		out, errOut, code := runCommand("check", "testdata/mistakes.jsonc")
		Expect(code).To(Equal(ExitFailed))
		Expect(out).To(BeEmpty())
		lines := strings.Split(strings.TrimSuffix(errOut, "\n"), "\n")
		want := []string{`:6: LatencyTarget "interactive": field "share"`, `:8: Model "m": unknown field "contxt"`, `:10: Modell "o": unknown kind`,
			`:11: Model "m": duplicate name`, `:15: Route "unserved": Pool "p" does not serve "n"`, `:17: Adapter "a": field "model" closes a cycle: a -> b -> a`,
			`:20: Route "chat": field "fallback" names Route "nowhere"`, `:22: ClientAccount "k": key hash 0`}
		Expect(lines).To(HaveLen(len(want)))
		for i, line := range lines {
			Expect(line).To(HavePrefix("testdata/mistakes.jsonc" + want[i]))
		}
	})

	It("accepts the examples and reports findings as JSON", func() {
		out, _, code := runCommand("check", example)
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(HavePrefix("24 objects, no mistakes"))
		_, errOut, code := runCommand("check", "-o", "json", "testdata/mistakes.jsonc")
		var report errorReport
		Expect(json.Unmarshal([]byte(errOut), &report)).To(Succeed())
		Expect([]int{code, report.ExitCode, len(report.Findings)}).To(Equal([]int{1, 1, 8}))
		_, errOut, code = runCommand("check", "missing.jsonc")
		Expect(code).To(Equal(ExitFailed))
		Expect(errOut).To(ContainSubstring("missing.jsonc"))
	})
})

var _ = Describe("the commands", func() {
	var d *fakeDaemon
	// mustSucceed executes a command against the daemon and expects it to
	// succeed.
	mustSucceed := func(args ...string) string {
		out, errOut, code := runCommand(append([]string{"--address", d.address, "--token", "t"}, args...)...)
		ExpectWithOffset(1, code).To(Equal(ExitOK), errOut)
		return out
	}
	// mustFail expects the exit code want and returns the error output.
	mustFail := func(want int, args ...string) string {
		_, errOut, code := runCommand(append([]string{"--address", d.address, "--token", "t"}, args...)...)
		ExpectWithOffset(1, code).To(Equal(want), errOut)
		return errOut
	}
	BeforeEach(func() { d = startDaemon() })

	It("publish, list, print and compare revisions", func() {
		Expect(mustSucceed("publish", example, "--publisher", "ana")).To(HavePrefix("published revision 1 with 24 objects"))
		file := filepath.Join(GinkgoT().TempDir(), "edited.jsonc")
		edited := strings.Replace(mustSucceed("get"), `"weight":4`, `"weight":5`, 1)
		Expect(os.WriteFile(file, []byte(edited), 0o600)).To(Succeed())
		Expect(mustSucceed("diff", file)).To(Equal("changed ClientAccount \"parent-portal\": weight 4 -> 5\n1 changes\n"))
		mustSucceed("publish", file, "--against", "1", "--publisher", "ben")
		Expect(mustSucceed("diff", "--revision", "1", "--to", "2")).To(ContainSubstring("weight 4 -> 5"))
		Expect(mustFail(ExitConflict, "publish", file, "--against", "1")).To(ContainSubstring("ben published revision 2"))
		var history operatorapi.HistoryResponse
		Expect(json.Unmarshal([]byte(mustSucceed("history", "-o", "json")), &history)).To(Succeed())
		Expect(history.Revisions).To(HaveLen(2))
		Expect(mustFail(ExitFailed, "get", "--revision", "9")).To(ContainSubstring("revision 9 has not been published"))
		mustFail(ExitFailed, "publish", "testdata/mistakes.jsonc")
		mustFail(ExitUsage, "diff")
	})

	// Guards against a publish that is sent twice or reported as failed
	// although only its response was lost.
	It("publish finds a revision whose response was lost", func() {
		d.dropResponses.Store(true)
		Expect(mustSucceed("publish", example)).To(HavePrefix("published revision 1"))
		Expect(d.posts.Load()).To(Equal(int32(1)))
		mustFail(ExitUnreachable, "drain")
		Expect(d.drained.Load()).To(Equal(int32(1)))
	})

	It("show status and decisions, drain and release", func() {
		Expect(mustSucceed("status")).To(MatchRegexp(`daemon-1 +z +false`))
		Expect(mustSucceed("explain", "r1")).To(MatchRegexp(`route +engine-1 +engine-2=0.5 +lowest score`))
		mustFail(ExitFailed, "explain", "r2")
		Expect(mustSucceed("drain")).To(ContainSubstring("is draining"))
		Expect(mustSucceed("quarantine", "list")).To(MatchRegexp(`f1 +a +2 +quarantined`))
		Expect(mustSucceed("quarantine", "release", "f1")).To(Equal("f1 released\n"))
		mustFail(ExitFailed, "quarantine", "release", "f2")
		for _, args := range [][]string{{"status"}, {"explain", "r1"}, {"drain"}, {"quarantine", "list"}, {"quarantine", "release", "f1"}} {
			Expect(json.Valid([]byte(mustSucceed(append(args, "-o", "json")...)))).To(BeTrue(), "%v", args)
		}
	})

	It("report unreachable daemons together with the others", func() {
		out, errOut, code := runCommand("--address", d.address+",127.0.0.1:1", "--token", "t", "status")
		Expect(code).To(Equal(ExitUnreachable))
		Expect(out).To(ContainSubstring("daemon-1"))
		Expect(errOut).To(ContainSubstring("127.0.0.1:1"))
		_, errOut, code = runCommand("--address", d.address, "--token", "wrong", "status")
		Expect(code).To(Equal(ExitFailed))
		Expect(errOut).To(Equal("monsooncrank: Unauthorized\n"))
	})
})

var _ = Describe("--ca-file", func() {
	// Guards against a token sent to a daemon whose certificate is not verified.
	It("verifies https addresses against the file", func() {
		tlsServer := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"daemon":"daemon-1"}`)) }))
		DeferCleanup(tlsServer.Close)
		file := filepath.Join(GinkgoT().TempDir(), "ca.pem")
		block := &pem.Block{Type: "CERTIFICATE", Bytes: tlsServer.Certificate().Raw}
		Expect(os.WriteFile(file, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		out, _, code := runCommand("--address", tlsServer.URL, "--ca-file", file, "status")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(ContainSubstring("daemon-1"))
		_, _, code = runCommand("--address", tlsServer.URL, "status")
		Expect(code).To(Equal(ExitUnreachable))
		_, _, code = runCommand("--address", tlsServer.URL, "--ca-file", example, "status")
		Expect(code).To(Equal(ExitFailed))
	})
})

var _ = Describe("help", func() {
	It("has an example for each command, and completion scripts", func() {
		app := newApp(&bytes.Buffer{}, &bytes.Buffer{})
		for _, register := range Commands() {
			register(app)
		}
		for _, c := range app.Model().FlattenedCommands() {
			if c.FullCommand == "help" {
				continue
			}
			Expect(c.HelpLong).To(ContainSubstring("monsooncrank "), c.FullCommand)
			out, _, code := runCommand(append(strings.Fields(c.FullCommand), "--help")...)
			Expect(code).To(Equal(ExitOK))
			Expect(out).To(ContainSubstring("Example:\n  monsooncrank "), c.FullCommand)
		}
		// kingpin writes completion scripts to the standard output of the
		// process.
		_, _, code := runCommand("--completion-script-bash")
		Expect(code).To(Equal(ExitOK))
		_, _, code = runCommand("bogus")
		Expect(code).To(Equal(ExitUsage))
	})
})
