package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	// The daemon is built while the test runs. Its packages are linked in, so
	// that a result in the test cache does not outlive a change of them.
	_ "github.com/monsooncrank/monsooncrank/pkg/edge"
	_ "github.com/monsooncrank/monsooncrank/pkg/logging"
	_ "github.com/monsooncrank/monsooncrank/platform"

	"github.com/monsooncrank/monsooncrank/soak"
)

// fixedSeeds run in CI: one without unplanned faults, one with, and each seed
// that ever failed.
var fixedSeeds = []uint64{3, 4}

// TestSoak answers processes that are killed, paused and stopped while stores,
// links and servers fail. SOAK_SEED and SOAK_RUNS choose seeds; the folder of a
// failed seed keeps the logs.
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
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, binary, seed, duration) })
	}
}

func play(t *testing.T, binary string, seed uint64, duration time.Duration) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	report, err := soak.Run(soak.Options{Seed: seed, Binary: binary, Folder: folder, Daemons: 4, Callers: 24, Duration: duration})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: planned %t, %d asked, %d served", seed, report.Planned, report.Sent, report.Succeeded)
	for _, finding := range report.Findings {
		t.Errorf("seed %d: %s", seed, finding)
	}
	if report.Succeeded*2 < report.Sent {
		t.Errorf("seed %d: %d of %d requests were served", seed, report.Succeeded, report.Sent)
	}
	if t.Failed() {
		t.Logf("logs are in %s", folder)
		return
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Error(err)
	}
}
