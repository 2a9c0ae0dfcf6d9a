package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// Upgrade is how daemons that run an earlier build are replaced by ones that run the current
// build, one after the other by planned stops.
type Upgrade int

// Upgrades.
const (
	// UpgradeNone is no upgrade: all daemons run the current build.
	UpgradeNone Upgrade = iota
	// UpgradeAll replaces all daemons.
	UpgradeAll
	// UpgradeHalf stops half-way and leaves both builds side by side.
	UpgradeHalf
	// UpgradeBack stops half-way and goes back to the earlier build.
	UpgradeBack
	// UpgradePairs replaces two daemons at a time.
	UpgradePairs
	// Downgrade replaces all daemons, which run the current build, by the earlier one.
	Downgrade
)

// String returns the name of the upgrade in test names.
func (u Upgrade) String() string {
	return [...]string{"none", "all", "half", "back", "pairs", "downgrade"}[u]
}

// firstBinary returns the build that daemons run at the start.
func (o *Options) firstBinary() string {
	if o.Upgrade == UpgradeNone || o.Upgrade == Downgrade {
		return o.Binary
	}
	return o.OldBinary
}

// upgrade replaces the builds of the daemons, in an order that the seed determines.
func (h *harness) upgrade(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.options.Seed, 1100))
	order := random.Perm(len(h.daemons))
	target, count, step := h.options.Binary, len(order), 1
	switch h.options.Upgrade {
	case UpgradeHalf, UpgradeBack:
		count = (count + 1) / 2
	case UpgradePairs:
		step = 2
	case Downgrade:
		target = h.options.OldBinary
	}
	h.replaceBuilds(ctx, order[:count], step, target)
	if h.options.Upgrade == UpgradeBack {
		h.replaceBuilds(ctx, order[:count], step, h.options.OldBinary)
	}
}

// replaceBuilds stops daemons and starts them again with another build, some at a time.
func (h *harness) replaceBuilds(ctx context.Context, indices []int, step int, binary string) {
	for len(indices) > 0 {
		sleep(ctx, h.options.UpgradeEvery)
		if ctx.Err() != nil {
			return
		}
		n := min(step, len(indices))
		done := make(chan struct{}, n)
		for _, i := range indices[:n] {
			go func() {
				h.replaceBuild(h.daemons[i], binary)
				done <- struct{}{}
			}()
		}
		for range n {
			<-done
		}
		indices = indices[n:]
	}
}

// replaceBuild stops a daemon and starts it again with another build.
func (h *harness) replaceBuild(d *daemon, binary string) {
	for {
		if _, stopping := d.state(); stopping.IsZero() {
			break
		}
		// Another fault stops it.
		time.Sleep(pollInterval)
	}
	d.setBinary(binary)
	if err := d.restart(syscall.SIGTERM); err != nil {
		h.addFinding("daemon %s failed to start: %v", d.settings.Node, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.upgraded++
}
