package daemon

import (
	"math/rand/v2"

	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// buildConfiguration builds what follows and publishes the configuration.
func (d *Daemon) buildConfiguration(func(uint64) *rand.Rand) error {
	d.follower = publish.NewFollower(publish.FollowerOptions{
		Table: d.platform.table, Objects: d.platform.objects, Clock: d.clock, Reporter: d.invariants,
		// A read a second from each of 590 daemons would be a third of the
		// table's reads.
		ShouldPoll: d.directory.IsPoller,
		Peers:      &configurationPeers{directory: d.directory, pool: d.pool, gossip: d.gossip},
	})
	d.publisher = publish.NewPublisher(publish.PublisherOptions{
		Table: d.platform.table, Objects: d.platform.objects, Clock: d.clock,
		OnPublished: func(r publish.Record) { d.follower.HandleAnnouncement(r.Revision, r.BodyHash) },
	})
	return nil
}
