package daemon

import (
	"context"
	"crypto/tls"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/tlsfiles"
)

// broadcast returns a function that broadcasts announcements of the given kind to
// all daemons.
func (d *Daemon) broadcast(kind membership.AnnouncementKind) broadcastFunc {
	return func(id string, payload []byte) { d.gossip.Broadcast(kind, id, payload) }
}

// handleAnnouncement processes announcements of other daemons and of this daemon.
func (d *Daemon) handleAnnouncement(a membership.Announcement) {
	switch a.Kind {
	case membership.AnnounceQuarantine:
		d.quarantine.handleAnnouncement(a.Payload)
	case membership.AnnounceReclaim:
		d.notices.handleAnnouncement(a.Payload)
	}
}

// handleRevision passes a revision that a peer has confirmed to the follower.
func (d *Daemon) handleRevision(a membership.RevisionAction) {
	d.follower.HandleAnnouncement(a.Revision, a.BodyHash)
}

// handleMemberChange updates the leases when the number of daemons changes,
// routing when a BackendServer is leaving, and the quarantine when a BackendServer
// comes or goes.
func (d *Daemon) handleMemberChange(a membership.ChangeAction) {
	if a.Member.Kind == membership.KindDaemon {
		d.leases.SetDaemons(len(d.directory.Daemons(membership.StateAlive)) + 1)
		return
	}
	server := a.Member.RunID()
	switch a.State {
	case membership.StateAlive:
		d.quarantine.manager.ServerJoined(server, a.Member.Address)
	case membership.StateLeaving:
		d.balancer.NoticeReceived(a.Member.Name, a.Member.Incarnation)
		d.quarantine.manager.ServerLeaving(server)
	case membership.StateGone:
		d.quarantine.manager.ServerRemoved(server, a.Member.Address)
	}
}

// NotBuiltError is returned to a peer that calls a daemon whose start failed.
type NotBuiltError struct{}

func (e *NotBuiltError) Error() string { return "the daemon is not built" }

// awaitBuilt waits until all components have been created, because the listener for
// peers is opened before the components that handle their calls. It returns false
// if the daemon failed to start.
func (d *Daemon) awaitBuilt() bool {
	select {
	case <-d.built:
		return true
	case <-d.closing:
		return false
	}
}

// peerHandlers returns the handlers for calls by peers. They wait until all
// components have been created.
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

// peerTLS returns the TLS configurations of the listener for peers and of the
// connections to them, or nil if no TLS is configured.
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
