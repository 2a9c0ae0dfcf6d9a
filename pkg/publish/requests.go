package publish

import (
	"context"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/revision"
	"github.com/monsooncrank/monsooncrank/pkg/config"
)

// request runs one request beside the loop. The events it returns go to the
// loop in order.
func (f *Follower) request(run func(ctx context.Context) []message) {
	f.done.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, requestTimeout)
		defer cancel()
		for _, m := range run(ctx) {
			select {
			case f.events <- m:
			case <-f.ctx.Done():
				return
			}
		}
	})
}

// readHead reads the head row, one read at a time.
func (f *Follower) readHead() {
	if f.polling {
		return
	}
	f.polling = true
	askedAt := f.o.Clock.Now()
	f.request(func(ctx context.Context) []message {
		head, _, err := readHead(ctx, f.o.Table)
		if err != nil {
			klog.V(1).InfoS("configuration head not read", "error", err)
			return []message{{event: revision.TableFailed{RequestedAt: askedAt}}}
		}
		return []message{{event: revision.HeadRead{Head: head.revision(), RequestedAt: askedAt}}}
	})
}

func (f *Follower) askPeers() {
	askedAt := f.o.Clock.Now()
	f.request(func(ctx context.Context) []message {
		var answers []PeerRevision
		if f.o.Peers != nil {
			answers = f.o.Peers.Confirmed(ctx)
		}
		messages := make([]message, 0, len(answers)+1)
		for _, a := range answers {
			word := revision.PeerReported{Peer: a.Peer, Revision: revision.Revision{Number: a.Revision, BodyHash: a.BodyHash}}
			messages = append(messages, message{event: word})
		}
		return append(messages, message{event: revision.PeersAnswered{RequestedAt: askedAt, Confirmed: len(answers)}})
	})
}

func (f *Follower) announce(r revision.Revision) {
	if f.o.Peers == nil {
		return
	}
	f.request(func(ctx context.Context) []message {
		f.o.Peers.Announce(ctx, r.Number, r.BodyHash)
		return nil
	})
}

func (f *Follower) fetchBody(r revision.Revision) {
	f.request(func(ctx context.Context) []message {
		body, err := f.loadBody(ctx, r)
		if err != nil {
			klog.ErrorS(err, "configuration body not loaded", "revision", r.Number, "bodyHash", r.BodyHash)
			return []message{{event: revision.BodyFailed{Revision: r}}}
		}
		return []message{{event: revision.BodyReady{Revision: r}, body: body}}
	})
}

// loadBody asks the object store and, when that fails, the peers, which may
// have the body while the platform's store is down.
func (f *Follower) loadBody(ctx context.Context, r revision.Revision) (*loadedBody, error) {
	storeCtx, cancel := context.WithTimeout(ctx, requestTimeout/2)
	defer cancel()
	body, err := f.o.Objects.Get(storeCtx, bodyKey(r.BodyHash))
	if err == nil {
		var loaded *loadedBody
		if loaded, err = decodeLoaded(r, body); err == nil {
			return loaded, nil
		}
	}
	if f.o.Peers == nil {
		return nil, errors.Trace(err)
	}
	body, peerErr := f.o.Peers.Body(ctx, r.BodyHash)
	if peerErr != nil {
		return nil, errors.Annotatef(err, "no peer has the body either (%v)", peerErr)
	}
	return decodeLoaded(r, body)
}

func decodeLoaded(r revision.Revision, body []byte) (*loadedBody, error) {
	set, err := config.DecodeBody(body, r.BodyHash)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &loadedBody{snapshot: config.NewSnapshot(r.Number, r.BodyHash, set), bytes: body}, nil
}
