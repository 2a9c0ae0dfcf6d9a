package fleet_test

import (
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// TestLeavingDoesNotFollowClocks guards against a run that counts as leaving because the one before said
// that it leaves, or not as leaving although it said so: the start that a server states is compared with
// the time of day of a daemon.
func TestLeavingDoesNotFollowClocks(t *testing.T) {
	const behind, ahead = -2400, 2400
	for name, test := range map[string]struct {
		saidAt, nextStart int64
		leaving           bool
	}{
		"next run of a server whose clock is behind":         {10_000, 11_000 + behind, false},
		"run that is not listed of one whose clock is ahead": {10_000, 9500 + ahead, true},
	} {
		t.Run(name, func(t *testing.T) {
			core := fleet.New(fleet.Options{Run: 1})
			first := fleet.Server{ID: "i-1", Service: "s", Address: "a:1", StartedUnixMilli: 5000}
			core.ApplySnapshot(time.Unix(1000, 0), 1, []fleet.Entry{{ID: "i-1", Server: &first, Version: 1}})
			core.SaidLeaving(&first, time.UnixMilli(test.saidAt))
			next := first
			next.StartedUnixMilli = test.nextStart
			core.ApplyChanges(time.Unix(1000, 0), 2, []fleet.Entry{{ID: "i-1", Server: &next, Version: 2}})
			if got := core.Servers()[0].Leaving; got != test.leaving {
				t.Errorf("leaving %t, want %t", got, test.leaving)
			}
		})
	}
}
