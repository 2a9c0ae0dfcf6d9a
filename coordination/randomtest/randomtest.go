// Package randomtest runs randomized tests with a fixed seed and reports what they
// covered, so that a run that covered nothing does not count as passed.
//
// The environment variables SEED and CHECKS set the seed and the number of checks.
// With the defaults every run covers the same cases.
package randomtest

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

const (
	defaultSeed   = "1"
	defaultChecks = "100"
)

// Report counts the steps, injected faults and outcomes of a randomized test.
type Report struct {
	mu       sync.Mutex
	steps    int
	faults   map[string]int
	outcomes map[string]int
}

// Step counts one step.
func (r *Report) Step() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps++
}

// Fault counts one injected fault.
func (r *Report) Fault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind]++
}

// Outcome counts one outcome.
func (r *Report) Outcome(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[kind]++
}

// Check runs property on CHECKS random cases that are generated from SEED. It
// fails if no step was counted or if one of wantFaults was never injected.
func Check(t *testing.T, wantFaults []string, property func(*rapid.T, *Report)) {
	t.Helper()
	seed, checks := envOrDefault("SEED", defaultSeed), envOrDefault("CHECKS", defaultChecks)
	setFlag(t, "rapid.seed", seed)
	setFlag(t, "rapid.checks", checks)
	setFlag(t, "rapid.nofailfile", "true")
	report := &Report{faults: make(map[string]int), outcomes: make(map[string]int)}
	rapid.Check(t, func(rt *rapid.T) { property(rt, report) })
	fmt.Printf("%s: seed %s, checks %s, steps %d, faults {%s}, outcomes {%s}\n",
		t.Name(), seed, checks, report.steps, join(report.faults), join(report.outcomes))
	if t.Failed() {
		return
	}
	if report.steps == 0 {
		t.Errorf("%s counted no step", t.Name())
	}
	for _, kind := range wantFaults {
		if report.faults[kind] == 0 {
			t.Errorf("%s never injected %q", t.Name(), kind)
		}
	}
	if !t.Failed() {
		fmt.Printf("%s: invariants held\n", t.Name())
	}
}

func envOrDefault(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set -%s=%s: %v", name, value, err)
	}
}

func join(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for kind, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", kind, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
