package daemon

import (
	"context"
	"crypto/tls"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/tlsfiles"
)

// spread returns the function that announces news of a kind to all daemons.
func (d *Daemon) spread(kind membership.AnnouncementKind) spreader {
	return func(id string, payload []byte) { d.gossip.Broadcast(kind, id, payload) }
}

// announced takes news of other daemons, and this daemon's own.
func (d *Daemon) announced(a membership.Announcement) {
	switch a.Kind {
	case membership.AnnounceQuarantine:
		d.quarantine.announced(a.Payload)
	case membership.AnnounceReclaim:
		d.notices.announced(a.Payload)
	}
}

// revisionHeard takes a revision that a peer has confirmed.
func (d *Daemon) revisionHeard(a membership.RevisionAction) {
	d.follower.HandleAnnouncement(a.Revision, a.BodyHash)
}

// memberChanged takes a member's new state.
func (d *Daemon) memberChanged(a membership.ChangeAction) {
	switch {
	case a.Member.Kind == membership.KindDaemon:
		d.leases.SetDaemons(len(d.directory.Daemons(membership.StateAlive)) + 1)
	case a.State == membership.StateLeaving:
		d.balancer.NoticeReceived(a.Member.Name, a.Member.Incarnation)
	}
}

// NotBuiltError reports a peer's call to a daemon that failed to start.
type NotBuiltError struct{}

func (e *NotBuiltError) Error() string { return "the daemon is not built" }

// awaitBuilt waits until all parts exist: the peers' listener is open before the
// parts that answer. It returns false if the daemon failed to start.
func (d *Daemon) awaitBuilt() bool {
	select {
	case <-d.built:
		return true
	case <-d.closing:
		return false
	}
}

// peerHandlers answer peers once the daemon is built.
func (d *Daemon) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: func(m *membership.Message) *membership.Message {
			if !d.awaitBuilt() {
				return &membership.Message{}
			}
			return d.gossip.Heartbeat(m)
		},
		Announce: func(m *membership.Message) {
			if d.awaitBuilt() {
				d.gossip.Announce(m)
			}
		},
		HandOver: func(ctx context.Context, payload []byte) ([]byte, error) {
			if !d.awaitBuilt() {
				return nil, &NotBuiltError{}
			}
			return d.serveHandOver(ctx, payload)
		},
		Fetch: func(ctx context.Context, payload []byte) ([]byte, error) {
			if !d.awaitBuilt() {
				return nil, &NotBuiltError{}
			}
			return d.serveFetch(ctx, payload)
		},
	}
}

// peerTLS returns the configurations of the peers' listener and connections, or
// nil without TLS.
func (d *Daemon) peerTLS() (server, client *tls.Config, err error) {
	if d.settings.Peers.TLS == nil {
		return nil, nil, nil
	}
	source, err := tlsfiles.NewSource(*d.settings.Peers.TLS, d.clock)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	return source.Server(), source.Client(), nil
}
