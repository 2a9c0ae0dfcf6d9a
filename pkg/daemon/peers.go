package daemon

import (
	"context"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

const (
	// handOverCandidates is the maximum number of daemons to which one stream is
	// offered in a handover.
	handOverCandidates = 3
	// fetchCandidates is the maximum number of daemons queried for a stream. They
	// are chosen by the same ranking as for a handover, so the stream is found
	// without querying all of several hundred daemons.
	fetchCandidates = 8
)

// streamPeers hands streams over to other daemons and fetches streams from them.
type streamPeers struct {
	directory *membership.PoolDirectory
	pool      *peer.Pool
}

// HandOver implements streaming.Peer.
func (p *streamPeers) HandOver(ctx context.Context, state streaming.State) (string, error) {
	payload, err := cbor.Marshal(state)
	if err != nil {
		return "", errors.Trace(err)
	}
	candidates := p.rankPeers(state.Request.ID)
	if len(candidates) > handOverCandidates {
		candidates = candidates[:handOverCandidates]
	}
	last := error(&streaming.NoPeerError{})
	for _, candidate := range candidates {
		if _, last = p.pool.HandOver(ctx, candidate.Address, payload); last == nil {
			return candidate.Name, nil
		}
		if mayHaveArrived(last) {
			// The candidate may have accepted the stream; offering it to
			// another daemon could run it twice.
			break
		}
	}
	return "", errors.Trace(last)
}

// mayHaveArrived reports whether a peer may have accepted a stream although its
// response was not received.
func mayHaveArrived(err error) bool {
	var timeout *peer.TimeoutError
	var broken *peer.ConnectionLostError
	return errors.As(err, &timeout) || errors.As(err, &broken)
}

// Fetch implements streaming.Peer.
func (p *streamPeers) Fetch(ctx context.Context, req streaming.FetchRequest) (streaming.FetchAnswer, error) {
	payload, err := cbor.Marshal(fetchArgs{Kind: fetchStream, Stream: req})
	if err != nil {
		return streaming.FetchAnswer{}, errors.Trace(err)
	}
	candidates := p.rankPeers(req.RequestID)
	if owner, ok := p.owner(req.RequestID); ok {
		candidates = append([]membership.Member{owner}, candidates...)
	}
	if len(candidates) > fetchCandidates {
		candidates = candidates[:fetchCandidates]
	}
	var last error
	for _, candidate := range candidates {
		raw, err := p.pool.Fetch(ctx, candidate.Address, payload)
		if err != nil {
			last = err
			continue
		}
		var answer streaming.FetchAnswer
		if err := cbor.Unmarshal(raw, &answer); err != nil {
			last = err
			continue
		}
		if answer.Found {
			return answer, nil
		}
	}
	return streaming.FetchAnswer{}, errors.Trace(last)
}

// rankPeers orders the live daemons by rendezvous hashing of the request ID.
// Daemons in other AvailabilityZones come first, because a zone may be reclaimed
// as a whole.
func (p *streamPeers) rankPeers(requestID string) []membership.Member {
	own := p.directory.Self().AvailabilityZone
	members := p.directory.Daemons(membership.StateAlive)
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Name] = xxhash.Sum64String(requestID + "\x00" + m.Name)
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i], members[j]
		if (a.AvailabilityZone == own) != (b.AvailabilityZone == own) {
			return b.AvailabilityZone == own
		}
		return scores[a.Name] < scores[b.Name]
	})
	return members
}

// owner returns the daemon named in the request ID if it is alive.
func (p *streamPeers) owner(requestID string) (membership.Member, bool) {
	for _, m := range p.directory.Daemons(membership.StateAlive) {
		if ownerOf(requestID) == m.Name {
			return m, true
		}
	}
	return membership.Member{}, false
}
