package soak_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/soak"
)

// defaultProduction is the commit of the build that is in use when the current one is rolled out.
const defaultProduction = "d8f1e29"

// oldBuildFolder holds what oldBinary has built, or is empty.
var oldBuildFolder string

// oldBinary builds the daemon of the commit that PRODUCTION names from the history.
var oldBinary = sync.OnceValues(func() (binary string, err error) {
	commit := os.Getenv("PRODUCTION")
	if commit == "" {
		commit = defaultProduction
	}
	if oldBuildFolder, err = os.MkdirTemp("", "soak-old-"); err != nil {
		return "", err
	}
	tree, binary := filepath.Join(oldBuildFolder, "tree"), filepath.Join(oldBuildFolder, "monsooncrankd")
	if err := run("git", "worktree", "add", "--detach", tree, commit); err != nil {
		return "", err
	}
	err = run("go", "build", "-C", tree, "-o", binary, "./cmd/monsooncrankd")
	return binary, errors.Join(err, run("git", "worktree", "remove", "--force", tree))
})

// run runs a command.
func run(name string, arguments ...string) error {
	if out, err := exec.Command(name, arguments...).CombinedOutput(); err != nil {
		return fmt.Errorf("%s %s: %w\n%s", name, strings.Join(arguments, " "), err, out)
	}
	return nil
}

// removeOldBinary removes what oldBinary has built.
func removeOldBinary() error {
	if oldBuildFolder == "" {
		return nil
	}
	return os.RemoveAll(oldBuildFolder)
}

// buildOldDaemon returns the daemon of the earlier commit. A clone without it, such as a shallow
// one, can't run the test.
func buildOldDaemon(t *testing.T) string {
	t.Helper()
	binary, err := oldBinary()
	if err != nil {
		t.Skipf("NOT RUN: the earlier build is not there: %v", err)
	}
	return binary
}

// TestUpgrades guards against requests that are lost, run twice or falsely reported, duties held
// twice and configurations that revert while daemons of the current build and an earlier one run
// side by side. UPGRADE_SEED and UPGRADE_RUNS set the first seed and the number of seeds, UPGRADE
// the kind of upgrade, which the seed determines otherwise, SOAK_DAEMONS the number of daemons, and
// PRODUCTION the earlier commit. Seeds
// divisible by 3 have planned stops and changes only, even ones a usage limit below what callers ask.
func TestUpgrades(t *testing.T) {
	t.Parallel()
	upgrades := []soak.Upgrade{soak.UpgradeAll, soak.UpgradeHalf, soak.UpgradeBack, soak.UpgradePairs, soak.Downgrade}
	// In CI all daemons are replaced in a run with planned stops only, and half and back beside other faults.
	seeds, daemons, duration := []uint64{15, 7}, defaultDaemons, 12*time.Second
	if first, err := strconv.ParseUint(os.Getenv("UPGRADE_SEED"), 10, 64); err == nil {
		seeds = nil
		runs, err := strconv.Atoi(os.Getenv("UPGRADE_RUNS"))
		if err != nil {
			runs = 1
		}
		for i := range runs {
			seeds = append(seeds, first+uint64(i))
		}
		daemons, duration = 7, 24*time.Second
	}
	if n, err := strconv.Atoi(os.Getenv("SOAK_DAEMONS")); err == nil {
		daemons = n
	}
	binary, old := buildDaemon(t), buildOldDaemon(t)
	for _, seed := range seeds {
		upgrade := upgrades[seed%uint64(len(upgrades))]
		for _, u := range upgrades {
			if u.String() == os.Getenv("UPGRADE") {
				upgrade = u
			}
		}
		t.Run(fmt.Sprintf("%v, seed %d", upgrade, seed), func(t *testing.T) {
			runSeed(t, soak.Options{Seed: seed, Binary: binary, OldBinary: old, Upgrade: upgrade, UpgradeEvery: time.Duration(500+500*(seed%4)) * time.Millisecond,
				Daemons: daemons, Servers: max(minServers, daemons/daemonsPerServer) + serversPerCrashPart*int(seed%2), Callers: callersPerDaemon * daemons,
				CrashRequests: 1, CrashParts: int(seed % 2), Versions: 1 + int(seed%3), UsageRate: usageRate(seed, daemons), Duration: duration})
		})
	}
}

// usageRate returns the usage limit of a seed in requests per second, or 0.
func usageRate(seed uint64, daemons int) float64 {
	if seed%2 == 1 {
		return 0
	}
	return 15 * float64(daemons)
}
