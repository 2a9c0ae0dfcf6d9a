package config

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var exampleFiles = []string{"../../examples/kodiclub.jsonc", "../../examples/ganda.jsonc"}

const testKeyHash = "0000000000000000000000000000000000000000000000000000000000000000"

// validConfig is a small valid configuration; the specs change one line of it.
const validConfig = `{"objects": [
{"kind": "LatencyTarget", "name": "fast", "first_token_seconds": 0.86, "between_tokens_seconds": 0.037, "share": 0.95},
{"kind": "Model", "name": "m", "context_tokens": 100, "weights_bytes": 1000},
{"kind": "Adapter", "name": "a", "model": "m"},
{"kind": "Pool", "name": "p", "availability_zone": "z", "machine_class": "c", "purchase": "on_demand", "price_per_hour": 1, "models": ["m"], "max_hosts": 2, "sequences_per_host": 4, "checks_fencing": true},
{"kind": "Pool", "name": "s", "availability_zone": "z", "machine_class": "c", "purchase": "on_demand", "price_per_hour": 1, "max_hosts": 2, "checks_fencing": true},
{"kind": "Service", "name": "b", "pools": ["s"], "calls": [{"name": "c", "path": "/c", "mode": "once_only", "timeout_seconds": 1}]},
{"kind": "ClientAccount", "name": "k", "key_hashes": ["` + testKeyHash + `"], "weight": 1, "max_in_flight": 10, "requests_per_second": 1, "routes": ["r"], "services": ["b"]},
{"kind": "Route", "name": "r", "model": "a", "pools": ["p"], "priority": 0, "default_timeout_seconds": 1, "latency_target": "fast"}, // chat
]}`

// mistake is one change of validConfig and the finding that it must produce.
type mistake struct {
	description, old, changed string
	line                      int
	object                    string
	rule                      Rule
	reason                    string
}

var mistakes = []mistake{
	{"syntax", `"share": 0.95}`, `"share": 0.95`, 3, "file", RuleSyntax, "invalid character"},
	{"unknown field", `"share"`, `"shares"`, 2, `LatencyTarget "fast"`, RuleUnknownField, `"shares"`},
	{"unknown field of a call", `"mode": "once_only"`, `"mode": "once_only", "modus": 1`, 7, `Service "b"`, RuleUnknownField, `"calls[0].modus"`},
	{"unknown field of a file", `{"objects"`, `{"version": 1, "objects"`, 1, "file", RuleUnknownField, "version"},
	{"unknown kind", `"Adapter"`, `"Adaptor"`, 4, `Adaptor "a"`, RuleUnknownKind, "Adaptor"},
	{"field twice", `"priority": 0`, `"priority": 0, "priority": 1`, 9, `Route "r"`, RuleDuplicateField, "priority"},
	{"wrong type", `"context_tokens": 100`, `"context_tokens": 1.5`, 3, `Model "m"`, RuleWrongType, "whole number"},
	{"null", `"weight": 1`, `"weight": null`, 8, `ClientAccount "k"`, RuleWrongType, "a number"},
	{"missing field", `"context_tokens": 100, `, ``, 3, `Model "m"`, RuleBadValue, "context_tokens"},
	{"bad name", `"name": "k"`, `"name": "k/1"`, 8, `ClientAccount "k/1"`, RuleBadName, "must match"},
	{"duplicate name", `{"kind": "Adapter"`, `{"kind": "Adapter", "name": "m", "model": "m"}, {"kind": "Adapter"`, 4, `Adapter "m"`, RuleDuplicateName, `Model "m" at f:3`},
	{"duplicate call", `"timeout_seconds": 1}`, `"timeout_seconds": 1}, {"name": "c", "path": "/c", "mode": "repeatable", "timeout_seconds": 1}`, 7, `Service "b"`, RuleDuplicateName, `call "c"`},
	{"dangling reference", `"pools": ["p"]`, `"pools": ["p", "q"]`, 9, `Route "r"`, RuleDanglingReference, `Pool "q"`},
	{"fallback cycle", `"latency_target": "fast"`, `"latency_target": "fast", "fallback": "r"`, 9, `Route "r"`, RuleCycle, "r -> r"},
	{"adapter cycle", `"model": "m"}`, `"model": "a"}`, 4, `Adapter "a"`, RuleCycle, "a -> a"},
	{"account above its pools", `"max_in_flight": 10`, `"max_in_flight": 11`, 8, `ClientAccount "k"`, RuleUnmeetableLimit, "10 requests"},
	{"timeout below first token", `"default_timeout_seconds": 1`, `"default_timeout_seconds": 0.8`, 9, `Route "r"`, RuleUnmeetableLimit, "0.86"},
	{"sum that overflows", `"max_hosts": 2, "sequences_per_host": 4`, `"max_hosts": 9223372036854775807, "sequences_per_host": 4`, 5, `Pool "p"`, RuleBadValue, "max_hosts"},
	{"time that overflows", `"first_token_seconds": 0.86`, `"first_token_seconds": 1e300`, 2, `LatencyTarget "fast"`, RuleBadValue, "first_token_seconds"},
	{"share above 1", `"share": 0.95`, `"share": 95`, 2, `LatencyTarget "fast"`, RuleBadValue, "at most 1"},
	{"negative weight", `"weight": 1`, `"weight": -1`, 8, `ClientAccount "k"`, RuleBadValue, "above 0"},
	{"bad key hash", testKeyHash, `abc`, 8, `ClientAccount "k"`, RuleBadKeyHash, "hexadecimal"},
	{"dangling model of a pool", `"models": ["m"]`, `"models": ["n"]`, 5, `Pool "p"`, RuleDanglingReference, `"n"`},
	{"shedding without a target", `"latency_target": "fast"}, // chat`, `"shed_by_target": true}, // chat`, 9, `Route "r"`, RuleBadValue, "needs a latency_target"},
	{"route of an unserved model", `"model": "a", "pools"`, `"model": "m2", "pools"`, 9, `Route "r"`, RuleDanglingReference, `"m2"`},
	{"service on engines", `"pools": ["s"]`, `"pools": ["p"]`, 7, `Service "b"`, RuleBadValue, "engines"},
	{"bad purchase", `"on_demand", "price_per_hour": 1, "models"`, `"spot", "price_per_hour": 1, "models"`, 5, `Pool "p"`, RuleBadValue, "reclaimable"},
}

func parseFindings(files ...File) []Finding {
	_, err := Parse(files...)
	if err == nil {
		return nil
	}
	var bad *InvalidError
	ExpectWithOffset(1, err).To(BeAssignableToTypeOf(bad))
	return err.(*InvalidError).Findings
}

var _ = Describe("Parse", func() {
	It("accepts a set without mistakes", func() {
		Expect(parseFindings(File{"f", []byte(validConfig)})).To(BeEmpty())
	})

	// Guards against a rule that is not checked, is reported at the wrong place,
	// or is reported more than once.
	for _, m := range mistakes {
		It("reports as one line: "+m.description, func() {
			Expect(strings.Count(validConfig, m.old)).To(Equal(1), "text to replace")
			got := parseFindings(File{"f", []byte(strings.Replace(validConfig, m.old, m.changed, 1))})
			Expect(got).To(HaveLen(1), "%v", got)
			Expect(got[0]).To(And(HaveField("File", "f"), HaveField("Line", m.line), HaveField("Object", m.object), HaveField("Rule", m.rule)))
			Expect(got[0].Reason).To(ContainSubstring(m.reason))
		})
	}

	It("reports a pool that does not serve the route's model", func() {
		other := `{"kind": "Model", "name": "n", "context_tokens": 1, "weights_bytes": 1},` + "\n"
		text := strings.Replace(validConfig, `{"kind": "Adapter"`, other+`{"kind": "Adapter"`, 1)
		got := parseFindings(File{"f", []byte(strings.Replace(text, `"models": ["m"]`, `"models": ["n"]`, 1))})
		Expect(got).To(HaveLen(1))
		Expect(got[0].Rule).To(Equal(RuleModelNotServed))
	})

	It("reports a second entry Route of a model", func() {
		second := `{"kind": "Route", "name": "r2", "model": "a", "pools": ["p"], "priority": 0, "default_timeout_seconds": 1},`
		got := parseFindings(File{"f", []byte(validConfig)}, File{"g", []byte(`{"objects": [` + second + `]}`)})
		Expect(got).To(HaveLen(1))
		Expect(got[0].String()).To(HavePrefix(`g:1: Route "r2": "a" is routed by Route "r"`))
	})

	// Guards against a report that stops at the first file or is not sorted.
	It("reports the mistakes of several files sorted by file and line", func() {
		got := parseFindings(File{"g", []byte("{\"objects\": [\n\n{\"kind\": \"X\", \"name\": \"x\"},\n1]}")}, File{"f", []byte("{}")}, File{"h", []byte("[[[[\n")})
		lines := make([]string, 0, len(got))
		for _, f := range got {
			lines = append(lines, fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Rule))
		}
		Expect(lines).To(Equal([]string{"f:1 bad-value", "g:3 unknown-kind", "g:4 wrong-type", "h:2 syntax"}))
	})

	// Guards against a stack overflow in the recursive parser.
	It("refuses deep nesting", func() {
		got := parseFindings(File{"f", []byte(strings.Repeat("[", 1<<20))})
		Expect(got).To(HaveLen(1))
		Expect(got[0].Rule).To(Equal(RuleSyntax))
	})
})

var _ = Describe("the examples", func() {
	It("pass the check and have the expected numbers of hosts and accounts", func() {
		for _, path := range exampleFiles {
			set, err := Load(path)
			Expect(err).NotTo(HaveOccurred())
			engines, booking := 0, 0
			for _, p := range set.Pools {
				if len(p.Models) > 0 {
					engines += p.MaxHosts
				} else {
					booking += p.MaxHosts
				}
			}
			Expect([]int{engines, booking, len(set.ClientAccounts)}).To(Equal([]int{12, 4, 5}))
			snapshot := NewSnapshot(1, "", set)
			for _, a := range set.ClientAccounts {
				found, ok := snapshot.AccountByKey("example-key-" + a.Name)
				Expect(ok).To(BeTrue(), a.Name)
				Expect(found.Name).To(Equal(a.Name))
			}
		}
	})

	It("finds entry routes, calls and base models", func() {
		set, err := Load(exampleFiles[1])
		Expect(err).NotTo(HaveOccurred())
		snapshot := NewSnapshot(1, "", set)
		chat, _ := snapshot.RouteByModel("styling-model")
		lookbook, _ := snapshot.DeferredRouteByModel("styling-model")
		summary, _ := snapshot.RouteByModel("client-profile")
		Expect([]string{chat.Name, lookbook.Name, summary.Name}).To(Equal([]string{"styling-chat", "lookbook", "profile-summary"}))
		call, ok := snapshot.Call("salon", "deposit_hold")
		Expect(ok && call.Mode == CallOnceOnly && call.LookupPath != "").To(BeTrue())
		base, _ := snapshot.BaseModel("client-profile")
		Expect(base.Name).To(Equal("styling-model"))
		_, ok = snapshot.AccountByKey("example-key-nobody")
		Expect(ok).To(BeFalse())
		Expect(snapshot.ChecksFencing("engine-1", "engines-luzon-d-on-demand")).To(BeFalse())
	})
})

var _ = Describe("Canonical", func() {
	// Guards against a body hash that depends on the order of files or objects.
	It("has equal bytes for equal sets and is read back", func() {
		a, err := os.ReadFile(exampleFiles[0])
		Expect(err).NotTo(HaveOccurred())
		extra := []byte(`{"objects": [{"kind": "Model", "name": "aaa", "context_tokens": 1, "weights_bytes": 1}]}`)
		one, err := Parse(File{"a", a}, File{"b", extra})
		Expect(err).NotTo(HaveOccurred())
		two, err := Parse(File{"b", extra}, File{"a", a})
		Expect(err).NotTo(HaveOccurred())
		first, _ := Canonical(one)
		second, _ := Canonical(two)
		Expect(first).To(Equal(second))
		back, err := DecodeBody(first, HashBody(first))
		Expect(err).NotTo(HaveOccurred())
		Expect(Diff(one, back)).To(BeEmpty())
		Expect(parseFindings(File{"body", first})).To(BeEmpty())
	})

	It("is refused with another hash and read with fields of a newer version", func() {
		body := []byte(`{"objects": [{"kind": "Model", "name": "m", "context_tokens": 1, "weights_bytes": 1, "new": 1}, {"kind": "New", "name": "n"}]}`)
		_, err := DecodeBody(body, "other")
		Expect(err).To(BeAssignableToTypeOf(&BodyHashError{}))
		set, err := DecodeBody(body, HashBody(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Len()).To(Equal(1))
	})
})

var _ = Describe("Diff", func() {
	It("names added, removed and changed objects with their fields", func() {
		from := &Set{Models: []Model{{Name: "a", ContextTokens: 1}, {Name: "b"}}}
		to := &Set{Models: []Model{{Name: "a", ContextTokens: 2}}, Adapters: []Adapter{{Name: "c", Model: "a"}}}
		var lines []string
		for _, c := range Diff(from, to) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal([]string{`changed Model "a": context_tokens 1 -> 2`, `removed Model "b"`, `added Adapter "c"`}))
	})
})
