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

// fakeDaemon serves the operators' interface on loopback.
type fakeDaemon struct {
	address string
	drained atomic.Int32
	entries []operatorapi.QuarantineEntry
	// dropAnswers closes the connection in place of the answer to a POST.
	dropAnswers atomic.Bool
	posts       atomic.Int32
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
			if d.dropAnswers.Load() {
				_ = ctx.Conn().Close()
			}
		}
	}}
	go func() { _ = server.Serve(ln) }()
	DeferCleanup(server.Shutdown)
	return d
}

// runs runs a command line and returns its output and exit code.
func runs(args ...string) (out, errOut string, code int) {
	var stdout, stderr bytes.Buffer
	code = Run(context.Background(), args, &stdout, &stderr)
	return stdout.String(), stderr.String(), code
}

var _ = Describe("check", func() {
	// Guards against mistakes that hide one another or are told twice.
	It("prints eight lines for a file with eight different mistakes", func() {
		out, errOut, code := runs("check", "testdata/mistakes.jsonc")
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
		out, _, code := runs("check", example)
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(HavePrefix("24 objects, no mistakes"))
		_, errOut, code := runs("check", "-o", "json", "testdata/mistakes.jsonc")
		var report errorReport
		Expect(json.Unmarshal([]byte(errOut), &report)).To(Succeed())
		Expect([]int{code, report.ExitCode, len(report.Findings)}).To(Equal([]int{1, 1, 8}))
		_, errOut, code = runs("check", "missing.jsonc")
		Expect(code).To(Equal(ExitFailed))
		Expect(errOut).To(ContainSubstring("missing.jsonc"))
	})
})

var _ = Describe("the commands", func() {
	var d *fakeDaemon
	// ok runs a command that must succeed against the daemon.
	ok := func(args ...string) string {
		out, errOut, code := runs(append([]string{"--address", d.address, "--token", "t"}, args...)...)
		ExpectWithOffset(1, code).To(Equal(ExitOK), errOut)
		return out
	}
	fails := func(want int, args ...string) string {
		_, errOut, code := runs(append([]string{"--address", d.address, "--token", "t"}, args...)...)
		ExpectWithOffset(1, code).To(Equal(want), errOut)
		return errOut
	}
	BeforeEach(func() { d = startDaemon() })

	It("publish, list, print and compare revisions", func() {
		Expect(ok("publish", example, "--publisher", "ana")).To(HavePrefix("published revision 1 with 24 objects"))
		file := filepath.Join(GinkgoT().TempDir(), "edited.jsonc")
		edited := strings.Replace(ok("get"), `"weight":4`, `"weight":5`, 1)
		Expect(os.WriteFile(file, []byte(edited), 0o600)).To(Succeed())
		Expect(ok("diff", file)).To(Equal("changed ClientAccount \"parent-portal\": weight 4 -> 5\n1 changes\n"))
		ok("publish", file, "--against", "1", "--publisher", "ben")
		Expect(ok("diff", "--revision", "1", "--to", "2")).To(ContainSubstring("weight 4 -> 5"))
		Expect(fails(ExitConflict, "publish", file, "--against", "1")).To(ContainSubstring("ben published revision 2"))
		var history operatorapi.HistoryResponse
		Expect(json.Unmarshal([]byte(ok("history", "-o", "json")), &history)).To(Succeed())
		Expect(history.Revisions).To(HaveLen(2))
		Expect(fails(ExitFailed, "get", "--revision", "9")).To(ContainSubstring("revision 9 has not been published"))
		fails(ExitFailed, "publish", "testdata/mistakes.jsonc")
		fails(ExitUsage, "diff")
	})

	// Guards against a publish that is sent twice or reported as failed when
	// only its answer was lost.
	It("publish finds a publish whose answer was lost", func() {
		d.dropAnswers.Store(true)
		Expect(ok("publish", example)).To(HavePrefix("published revision 1"))
		Expect(d.posts.Load()).To(Equal(int32(1)))
		fails(ExitUnreachable, "drain")
		Expect(d.drained.Load()).To(Equal(int32(1)))
	})

	It("show status and decisions, drain and release", func() {
		Expect(ok("status")).To(MatchRegexp(`daemon-1 +z +false`))
		Expect(ok("explain", "r1")).To(MatchRegexp(`route +engine-1 +engine-2=0.5 +lowest score`))
		fails(ExitFailed, "explain", "r2")
		Expect(ok("drain")).To(ContainSubstring("is draining"))
		Expect(ok("quarantine", "list")).To(MatchRegexp(`f1 +a +2 +quarantined`))
		Expect(ok("quarantine", "release", "f1")).To(Equal("f1 released\n"))
		fails(ExitFailed, "quarantine", "release", "f2")
		for _, args := range [][]string{{"status"}, {"explain", "r1"}, {"drain"}, {"quarantine", "list"}, {"quarantine", "release", "f1"}} {
			Expect(json.Valid([]byte(ok(append(args, "-o", "json")...)))).To(BeTrue(), "%v", args)
		}
	})

	It("report daemons that do not answer beside those that do", func() {
		out, errOut, code := runs("--address", d.address+",127.0.0.1:1", "--token", "t", "status")
		Expect(code).To(Equal(ExitUnreachable))
		Expect(out).To(ContainSubstring("daemon-1"))
		Expect(errOut).To(ContainSubstring("127.0.0.1:1"))
		_, errOut, code = runs("--address", d.address, "--token", "wrong", "status")
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
		out, _, code := runs("--address", tlsServer.URL, "--ca-file", file, "status")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(ContainSubstring("daemon-1"))
		_, _, code = runs("--address", tlsServer.URL, "status")
		Expect(code).To(Equal(ExitUnreachable))
		_, _, code = runs("--address", tlsServer.URL, "--ca-file", example, "status")
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
			out, _, code := runs(append(strings.Fields(c.FullCommand), "--help")...)
			Expect(code).To(Equal(ExitOK))
			Expect(out).To(ContainSubstring("Example:\n  monsooncrank "), c.FullCommand)
		}
		// kingpin writes completion scripts to the process's own output.
		_, _, code := runs("--completion-script-bash")
		Expect(code).To(Equal(ExitOK))
		_, _, code = runs("bogus")
		Expect(code).To(Equal(ExitUsage))
	})
})
