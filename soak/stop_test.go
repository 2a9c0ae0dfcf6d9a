package soak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/soak"
)

// TestPlannedStopsCutNoRequests guards against requests that a stopping daemon takes late in its
// grace period, passes on, and cuts without an answer at the end.
func TestPlannedStopsCutNoRequests(t *testing.T) {
	for _, options := range []soak.StopOptions{{Grace: 8 * time.Second, OtherSignals: true}, {Grace: 3 * time.Second, StoreAway: true}} {
		t.Run(fmt.Sprint("grace ", options.Grace), func(t *testing.T) {
			t.Parallel()
			playStop(t, options)
		})
	}
}

// playStop plays a planned stop and reports its findings as test errors.
func playStop(t *testing.T, options soak.StopOptions) {
	t.Helper()
	folder, err := os.MkdirTemp("", "soak-stop-")
	if err != nil {
		t.Fatal(err)
	}
	options.Binary, options.Folder = buildDaemon(t), folder
	report, err := soak.RunStop(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("exited after %v\n%s", report.ExitedAfter, report.Table())
	for _, finding := range report.Findings() {
		t.Error(finding)
	}
	if t.Failed() {
		t.Logf("logs are in %s", folder)
		return
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Error(err)
	}
}
