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
	// handOverCandidates is how many daemons are asked to continue a stream.
	handOverCandidates = 3
	// fetchCandidates bounds the daemons that are asked for a stream. They are
	// the ones that a hand-over would choose, so that a caller finds its
	// stream without asking all of several hundred daemons.
	fetchCandidates = 8
)

// streamPeers hands streams over to other daemons and fetches them there.
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
	candidates := p.ranked(state.Request.ID)
	if len(candidates) > handOverCandidates {
		candidates = candidates[:handOverCandidates]
	}
	last := error(&streaming.NoPeerError{})
	for _, candidate := range candidates {
		if _, last = p.pool.HandOver(ctx, candidate.Address, payload); last == nil {
			return candidate.Name, nil
		}
		if mayHaveArrived(last) {
			// A second daemon would run the stream twice.
			break
		}
	}
	return "", errors.Trace(last)
}

// mayHaveArrived reports whether a peer may have taken a stream although its
// answer did not arrive.
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
	candidates := p.ranked(req.RequestID)
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

// ranked orders the live daemons by rendezvous hashing of the request ID, those
// of other AvailabilityZones first: a zone may be reclaimed as a whole.
func (p *streamPeers) ranked(requestID string) []membership.Member {
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

// owner returns the daemon that accepted a request, by the request's ID.
func (p *streamPeers) owner(requestID string) (membership.Member, bool) {
	for _, m := range p.directory.Daemons(membership.StateAlive) {
		if ownerOf(requestID) == m.Name {
			return m, true
		}
	}
	return membership.Member{}, false
}
