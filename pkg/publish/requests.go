package publish

import (
	"context"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/revision"
	"github.com/monsooncrank/monsooncrank/pkg/config"
)

// runRequest runs one request in its own goroutine and queues the events that it
// returns for the event loop, in order.
func (f *Follower) runRequest(run func(ctx context.Context) []queuedEvent) {
	f.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, requestTimeout)
		defer cancel()
		for _, queued := range run(ctx) {
			select {
			case f.queue <- queued:
			case <-f.ctx.Done():
				return
			}
		}
	})
}

// readHead starts a read of the head row unless one is already in progress.
func (f *Follower) readHead() {
	if f.readingHead {
		return
	}
	f.readingHead = true
	requestedAt := f.options.Clock.Now()
	f.runRequest(func(ctx context.Context) []queuedEvent {
		head, _, err := readHead(ctx, f.options.Table)
		if err != nil {
			klog.V(1).InfoS("failed to read the configuration head row", "error", err)
			return []queuedEvent{{event: revision.TableFailed{RequestedAt: requestedAt}}}
		}
		return []queuedEvent{{event: revision.HeadRead{Head: head.revision(), RequestedAt: requestedAt}}}
	})
}

// queryPeers queries the peers for their confirmed revisions.
func (f *Follower) queryPeers() {
	requestedAt := f.options.Clock.Now()
	f.runRequest(func(ctx context.Context) []queuedEvent {
		var answers []PeerRevision
		if f.options.Peers != nil {
			answers = f.options.Peers.Confirmed(ctx)
		}
		queued := make([]queuedEvent, 0, len(answers)+1)
		for _, a := range answers {
			peerEvent := revision.PeerReported{Peer: a.Peer, Revision: revision.Revision{Number: a.Revision, BodyHash: a.BodyHash}}
			queued = append(queued, queuedEvent{event: peerEvent})
		}
		return append(queued, queuedEvent{event: revision.PeersAnswered{RequestedAt: requestedAt, Confirmed: len(answers)}})
	})
}

func (f *Follower) announce(r revision.Revision) {
	if f.options.Peers == nil {
		return
	}
	f.runRequest(func(ctx context.Context) []queuedEvent {
		f.options.Peers.Announce(ctx, r.Number, r.BodyHash)
		return nil
	})
}

func (f *Follower) fetchBody(r revision.Revision) {
	f.runRequest(func(ctx context.Context) []queuedEvent {
		body, err := f.loadBody(ctx, r)
		if err != nil {
			klog.ErrorS(err, "failed to load the configuration body", "revision", r.Number, "bodyHash", r.BodyHash)
			return []queuedEvent{{event: revision.BodyFailed{Revision: r}}}
		}
		return []queuedEvent{{event: revision.BodyReady{Revision: r}, body: body}}
	})
}

// loadBody reads a body from the object store or, if that fails, from the peers,
// which may have it while the platform's object store is unavailable. The object
// store gets half of the request's time, so that the rest remains for the peers.
func (f *Follower) loadBody(ctx context.Context, r revision.Revision) (*loadedBody, error) {
	storeCtx, cancel := context.WithTimeout(ctx, requestTimeout/2)
	defer cancel()
	body, err := f.options.Objects.Get(storeCtx, bodyKey(r.BodyHash))
	if err == nil {
		var loaded *loadedBody
		if loaded, err = decodeLoaded(r, body); err == nil {
			return loaded, nil
		}
	}
	if f.options.Peers == nil {
		return nil, errors.Trace(err)
	}
	body, peerErr := f.options.Peers.Body(ctx, r.BodyHash)
	if peerErr != nil {
		return nil, errors.Annotatef(err, "no peer returned the body either (%v)", peerErr)
	}
	return decodeLoaded(r, body)
}

// decodeLoaded decodes a body and checks that it has the revision's hash.
func decodeLoaded(r revision.Revision, body []byte) (*loadedBody, error) {
	set, err := config.DecodeBody(body, r.BodyHash)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &loadedBody{snapshot: config.NewSnapshot(r.Number, r.BodyHash, set), bytes: body}, nil
}
