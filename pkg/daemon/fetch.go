package daemon

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// fetchKind is the kind of data that a peer requests.
type fetchKind string

const (
	fetchStream   fetchKind = "stream"
	fetchRevision fetchKind = "revision"
	fetchBody     fetchKind = "body"
)

// fetchArgs is the payload of Peer.Fetch.
type fetchArgs struct {
	Kind     fetchKind              `cbor:"1,keyasint"`
	Stream   streaming.FetchRequest `cbor:"2,keyasint,omitempty"`
	BodyHash string                 `cbor:"3,keyasint,omitempty"`
}

// revisionAnswer is the response to a fetchRevision: the highest revision that the
// peer has confirmed.
type revisionAnswer struct {
	Confirmed bool   `cbor:"1,keyasint"`
	Revision  uint64 `cbor:"2,keyasint"`
	BodyHash  string `cbor:"3,keyasint"`
}

// UnknownFetchError is returned for a fetch of a kind that this version does not
// support.
type UnknownFetchError struct{ Kind string }

func (e *UnknownFetchError) Error() string { return "unknown kind of fetch " + e.Kind }

// BodyNotFoundError is returned if no peer has a configuration body.
type BodyNotFoundError struct{ BodyHash string }

func (e *BodyNotFoundError) Error() string { return "no peer holds configuration body " + e.BodyHash }

// serveFetch handles the Peer.Fetch method.
func (d *Daemon) serveFetch(ctx context.Context, payload []byte) ([]byte, error) {
	var args fetchArgs
	if err := cbor.Unmarshal(payload, &args); err != nil {
		return nil, errors.Trace(err)
	}
	switch args.Kind {
	case fetchStream:
		raw, err := cbor.Marshal(d.streams.Fetch(ctx, args.Stream))
		return raw, errors.Trace(err)
	case fetchRevision:
		var answer revisionAnswer
		answer.Revision, answer.BodyHash, answer.Confirmed = d.follower.Confirmed()
		raw, err := cbor.Marshal(answer)
		return raw, errors.Trace(err)
	case fetchBody:
		body, ok := d.follower.Body(args.BodyHash)
		if !ok {
			return nil, &BodyNotFoundError{BodyHash: args.BodyHash}
		}
		return body, nil
	default:
		return nil, &UnknownFetchError{Kind: string(args.Kind)}
	}
}

// serveHandOver handles the Peer.HandOver method: it continues a stream of a peer.
func (d *Daemon) serveHandOver(_ context.Context, payload []byte) ([]byte, error) {
	var state streaming.State
	if err := cbor.Unmarshal(payload, &state); err != nil {
		return nil, errors.Trace(err)
	}
	return nil, errors.Trace(d.streams.Accept(state))
}

// maxConfirmingPeers is the maximum number of peers that a starting daemon queries
// for the revision during a table outage. The revision also spreads by gossip, so a
// small subset of several hundred daemons is enough to find the highest one.
const maxConfirmingPeers = 32

// configurationPeers implements publish.Peers: it announces revisions to the other
// daemons and fetches revisions and configuration bodies from them.
type configurationPeers struct {
	directory *membership.PoolDirectory
	pool      *peer.Pool
	gossip    *peer.Gossip
}

// Announce implements publish.Peers.
func (p *configurationPeers) Announce(_ context.Context, revision uint64, bodyHash string) {
	p.gossip.SetRevision(revision, bodyHash)
}

// Confirmed implements publish.Peers.
func (p *configurationPeers) Confirmed(ctx context.Context) []publish.PeerRevision {
	members := p.members()
	answers := make(chan *publish.PeerRevision, len(members))
	for _, m := range members {
		go func() { answers <- p.confirmedRevisionOf(ctx, m) }()
	}
	var confirmed []publish.PeerRevision
	for range members {
		if answer := <-answers; answer != nil {
			confirmed = append(confirmed, *answer)
		}
	}
	return confirmed
}

// confirmedRevisionOf returns the confirmed revision of a peer, or nil if the peer
// has none or does not answer.
func (p *configurationPeers) confirmedRevisionOf(ctx context.Context, m membership.Member) *publish.PeerRevision {
	raw, err := p.fetch(ctx, m, fetchArgs{Kind: fetchRevision})
	if err != nil {
		return nil
	}
	var answer revisionAnswer
	if err := cbor.Unmarshal(raw, &answer); err != nil || !answer.Confirmed {
		return nil
	}
	return &publish.PeerRevision{Peer: m.Name, Revision: answer.Revision, BodyHash: answer.BodyHash}
}

// Body implements publish.Peers.
func (p *configurationPeers) Body(ctx context.Context, bodyHash string) ([]byte, error) {
	for _, m := range p.members() {
		if body, err := p.fetch(ctx, m, fetchArgs{Kind: fetchBody, BodyHash: bodyHash}); err == nil {
			return body, nil
		}
	}
	return nil, &BodyNotFoundError{BodyHash: bodyHash}
}

func (p *configurationPeers) fetch(ctx context.Context, m membership.Member, args fetchArgs) ([]byte, error) {
	payload, err := cbor.Marshal(args)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return p.pool.Fetch(ctx, m.Address, payload)
}

// members returns up to maxConfirmingPeers live daemons.
func (p *configurationPeers) members() []membership.Member {
	members := p.directory.Daemons(membership.StateAlive)
	if len(members) > maxConfirmingPeers {
		members = members[:maxConfirmingPeers]
	}
	return members
}
