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

// fetchKind says what a peer asks for.
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

// revisionAnswer is a peer's highest confirmed revision.
type revisionAnswer struct {
	Confirmed bool   `cbor:"1,keyasint"`
	Revision  uint64 `cbor:"2,keyasint"`
	BodyHash  string `cbor:"3,keyasint"`
}

// UnknownFetchError reports a fetch of a kind that this version does not serve.
type UnknownFetchError struct{ Kind string }

func (e *UnknownFetchError) Error() string { return "unknown kind of fetch " + e.Kind }

// BodyNotFoundError reports a configuration body that no peer holds.
type BodyNotFoundError struct{ BodyHash string }

func (e *BodyNotFoundError) Error() string { return "no peer holds configuration body " + e.BodyHash }

// serveFetch answers Peer.Fetch.
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

// serveHandOver continues a stream of a peer.
func (d *Daemon) serveHandOver(_ context.Context, payload []byte) ([]byte, error) {
	var state streaming.State
	if err := cbor.Unmarshal(payload, &state); err != nil {
		return nil, errors.Trace(err)
	}
	return nil, errors.Trace(d.streams.Accept(state))
}

// maxConfirmingPeers bounds the peers that a starting daemon asks during a table
// outage. The revision also spreads by gossip, so that any few of several
// hundred daemons know the highest one.
const maxConfirmingPeers = 32

// configurationPeers lets the follower learn from the other daemons.
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
		go func() { answers <- p.confirmedAt(ctx, m) }()
	}
	var confirmed []publish.PeerRevision
	for range members {
		if answer := <-answers; answer != nil {
			confirmed = append(confirmed, *answer)
		}
	}
	return confirmed
}

func (p *configurationPeers) confirmedAt(ctx context.Context, m membership.Member) *publish.PeerRevision {
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

func (p *configurationPeers) members() []membership.Member {
	members := p.directory.Daemons(membership.StateAlive)
	if len(members) > maxConfirmingPeers {
		members = members[:maxConfirmingPeers]
	}
	return members
}
