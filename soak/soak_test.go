package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	// The test builds the daemon while it runs. Importing the daemon's packages
	// makes the test cache drop a result when one of them changes.
	_ "github.com/monsooncrank/monsooncrank/pkg/edge"
	_ "github.com/monsooncrank/monsooncrank/pkg/logging"
	_ "github.com/monsooncrank/monsooncrank/platform"

	"github.com/monsooncrank/monsooncrank/soak"
)

// fixedSeeds are the seeds of CI: one without unplanned faults, one with them,
// and each seed that has ever failed.
var fixedSeeds = []uint64{3, 4}

// TestSoak checks the system's guarantees while daemons are killed, paused and
// stopped and while the store, network links and servers fail. SOAK_SEED sets the
// first seed and SOAK_RUNS the number of seeds; the folder of a failed seed is
// kept with its logs.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "monsooncrankd")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/monsooncrankd").CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	seeds, duration := fixedSeeds, 6*time.Second
	if first, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		runs, err := strconv.Atoi(os.Getenv("SOAK_RUNS"))
		if err != nil {
			runs = 1
		}
		seeds, duration = nil, 15*time.Second
		for i := range runs {
			seeds = append(seeds, first+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, binary, seed, duration) })
	}
}

// runSeed runs one seed and reports its findings as test errors.
func runSeed(t *testing.T, binary string, seed uint64, duration time.Duration) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	report, err := soak.Run(soak.Options{Seed: seed, Binary: binary, Folder: folder, Daemons: 4, Callers: 24, Duration: duration})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: planned %t, %d requests sent, %d succeeded", seed, report.Planned, report.Sent, report.Succeeded)
	for _, finding := range report.Findings {
		t.Errorf("seed %d: %s", seed, finding)
	}
	if report.Succeeded*2 < report.Sent {
		t.Errorf("seed %d: only %d of %d requests succeeded", seed, report.Succeeded, report.Sent)
	}
	if t.Failed() {
		t.Logf("logs are in %s", folder)
		return
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Error(err)
	}
}
