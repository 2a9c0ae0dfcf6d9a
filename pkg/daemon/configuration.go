package daemon

import (
	"math/rand/v2"

	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// buildConfiguration creates the publisher and the follower, which keeps the
// configuration of this daemon up to date.
func (d *Daemon) buildConfiguration(func(uint64) *rand.Rand) error {
	d.follower = publish.NewFollower(publish.FollowerOptions{
		Table: d.platform.table, Objects: d.platform.objects, Clock: d.clock, Reporter: d.invariants,
		// Only a few daemons poll the table. If each of 590 daemons did so once
		// per second, a third of all table reads would be polls.
		ShouldPoll: d.directory.IsPoller,
		Peers:      &configurationPeers{directory: d.directory, pool: d.pool, gossip: d.gossip},
	})
	d.publisher = publish.NewPublisher(publish.PublisherOptions{
		Table: d.platform.table, Objects: d.platform.objects, Clock: d.clock,
		OnPublished: func(r publish.Record) { d.follower.HandleAnnouncement(r.Revision, r.BodyHash) },
	})
	return nil
}
