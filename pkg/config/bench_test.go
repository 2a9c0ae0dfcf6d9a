package config

import (
	"fmt"
	"os"
	"testing"
)

// manyObjects returns a valid set of 10,000 objects, in proportions typical of an
// operator with many accounts.
func manyObjects() *Set {
	set := &Set{LatencyTargets: []LatencyTarget{{Name: "t", FirstTokenSeconds: 0.86, BetweenTokensSeconds: 0.037, Share: 0.95}}}
	for i := range 1000 {
		model, pool := fmt.Sprintf("m%d", i), fmt.Sprintf("p%d", i)
		set.Models = append(set.Models, Model{Name: model, ContextTokens: 1000, WeightsBytes: 1e9})
		set.Pools = append(set.Pools, Pool{Name: pool, AvailabilityZone: "z", MachineClass: "c", Purchase: "reclaimable",
			PricePerHour: 1, Models: []string{model}, MaxHosts: 8, SequencesPerHost: 16})
		set.Routes = append(set.Routes, Route{Name: "r" + model, Model: model, Pools: []string{pool}, DefaultTimeoutSeconds: 30, LatencyTarget: "t"})
	}
	for i := range 6999 {
		set.ClientAccounts = append(set.ClientAccounts, ClientAccount{Name: fmt.Sprintf("a%d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)},
			Weight: 1, MaxInFlight: 10, RequestsPerSecond: 10, Routes: []string{fmt.Sprintf("rm%d", i%1000)}})
	}
	return set
}

// BenchmarkParse10000 measures parsing and checking 10,000 objects.
func BenchmarkParse10000(b *testing.B) {
	set := manyObjects()
	body, err := Canonical(set)
	if err != nil || set.Len() != 10000 {
		b.Fatal(set.Len(), err)
	}
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := Parse(File{Name: "f", Body: body}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCheck10000 measures checking 10,000 objects that are already parsed.
func BenchmarkCheck10000(b *testing.B) {
	set := manyObjects()
	for b.Loop() {
		if err := Check(set); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAccountByKey measures the lookup of an unknown key among 6,999
// accounts.
func BenchmarkAccountByKey(b *testing.B) {
	snapshot := NewSnapshot(1, "", manyObjects())
	b.ReportAllocs()
	for b.Loop() {
		snapshot.AccountByKey("example-key")
	}
}

// FuzzParse guards against a panic on untrusted input, a finding without an
// object, line or reason, and a set that changes when its canonical form is
// decoded and encoded again.
func FuzzParse(f *testing.F) {
	for _, path := range exampleFiles {
		body, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"objects": [{"kind": "Route", "name": 1, "pools": [null, {}]}, /* x */]} // y`))
	f.Fuzz(func(t *testing.T, body []byte) {
		// A body in the object store may have been written by a newer version.
		if set, err := DecodeBody(body, HashBody(body)); err == nil {
			NewSnapshot(1, "", set)
		}
		set, err := Parse(File{Name: "f", Body: body})
		if err != nil {
			for _, finding := range err.(*InvalidError).Findings {
				if finding.Line < 1 || finding.Reason == "" || finding.Object == "" {
					t.Fatalf("incomplete finding %+v", finding)
				}
			}
			return
		}
		canonical, err := Canonical(set)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeBody(canonical, HashBody(canonical))
		if err != nil {
			t.Fatal(err)
		}
		again, _ := Canonical(back)
		if string(again) != string(canonical) {
			t.Fatalf("canonical form changed:\n%s\n%s", canonical, again)
		}
	})
}
