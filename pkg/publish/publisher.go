package publish

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
)

const (
	// maxAttempts bounds the tries of one step of a publish.
	maxAttempts = 6
	// defaultRetryWait is the wait after the first try; it doubles with each.
	defaultRetryWait = 50 * time.Millisecond
	// maxHistory bounds one page of the history.
	maxHistory = 1000
)

// PublisherOptions are the settings of a Publisher.
type PublisherOptions struct {
	Table   table.Store
	Objects objectstore.Store
	Clock   clock.Clock
	// RetryWait is the wait before the second try of a step.
	RetryWait time.Duration
	// OnPublished is called after each publish, if set; a daemon gives its
	// Follower the news here, which announces it to the peers.
	OnPublished func(Record)
}

// Publisher publishes configurations. It is safe for concurrent use.
type Publisher struct{ o PublisherOptions }

// NewPublisher returns a Publisher.
func NewPublisher(o PublisherOptions) *Publisher {
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.RetryWait <= 0 {
		o.RetryWait = defaultRetryWait
	}
	return &Publisher{o: o}
}

// Request asks to publish a set.
type Request struct {
	Set *config.Set
	// Against is the revision that the set was checked against; 0 if nothing
	// has been published.
	BaseRevision uint64
	// Publisher is who publishes, for the history.
	Publisher string
	// PublishID makes a repeated request harmless: one that was published
	// already is answered with its Record. Empty means a new one.
	PublishID string
}

// Publish checks a set and publishes it as the revision after the one it was
// checked against. It returns config.InvalidError, ConflictError or
// UndeterminedError; any other error means that this call published nothing.
func (p *Publisher) Publish(ctx context.Context, req Request) (Record, error) {
	if err := config.Check(req.Set); err != nil {
		return Record{}, err
	}
	body, err := config.Canonical(req.Set)
	if err != nil {
		return Record{}, errors.Trace(err)
	}
	resent := req.PublishID != ""
	if !resent {
		req.PublishID = uuid.NewString()
	}
	record := Record{Revision: req.BaseRevision + 1, BodyHash: config.HashBody(body), PublishID: req.PublishID,
		Publisher: req.Publisher, PublishedAt: p.o.Clock.Now().UTC(), Objects: req.Set.Len()}
	m := &move{Publisher: p, record: record, ambiguous: resent}
	if done, err := m.checkHead(ctx); err != nil {
		return Record{}, err
	} else if done {
		return m.record, nil
	}
	if err := p.storeBody(ctx, record.BodyHash, body); err != nil {
		return Record{}, err
	}
	return m.run(ctx)
}

// storeBody stores a body under its hash, which makes repeating it harmless.
func (p *Publisher) storeBody(ctx context.Context, hash string, body []byte) error {
	var err error
	for attempt := range maxAttempts {
		if err = p.o.Objects.Put(ctx, bodyKey(hash), body); err == nil {
			return nil
		}
		if !p.wait(ctx, attempt) {
			break
		}
	}
	return errors.Annotatef(err, "store configuration body %s", hash)
}

// wait waits before the next try; it returns false when ctx ends first.
func (p *Publisher) wait(ctx context.Context, attempt int) bool {
	timer := p.o.Clock.NewTimer(p.o.RetryWait << attempt)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// Head returns the newest revision, or UnknownRevisionError.
func (p *Publisher) Head(ctx context.Context) (Record, error) {
	record, _, err := readHead(ctx, p.o.Table)
	if err == nil && record.Revision == 0 {
		return Record{}, &UnknownRevisionError{}
	}
	return record, err
}

// Get returns a revision and its body; revision 0 stands for the newest.
func (p *Publisher) Get(ctx context.Context, revision uint64) (Record, []byte, error) {
	record, err := p.record(ctx, revision)
	if err != nil {
		return Record{}, nil, err
	}
	body, err := p.o.Objects.Get(ctx, bodyKey(record.BodyHash))
	if err != nil {
		return Record{}, nil, errors.Trace(err)
	}
	if got := config.HashBody(body); got != record.BodyHash {
		return Record{}, nil, &config.BodyHashError{Want: record.BodyHash, Got: got}
	}
	return record, body, nil
}

func (p *Publisher) record(ctx context.Context, revision uint64) (Record, error) {
	if revision == 0 {
		return p.Head(ctx)
	}
	item, err := p.o.Table.Get(ctx, historyKey(revision))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, &UnknownRevisionError{Revision: revision}
	}
	if err != nil {
		return Record{}, errors.Trace(err)
	}
	return decodeRecord(item)
}

// History returns the newest revisions, newest first.
func (p *Publisher) History(ctx context.Context, limit int) ([]Record, error) {
	items, err := p.o.Table.Query(ctx, historyPartition, "", min(max(limit, 1), maxHistory))
	if err != nil {
		return nil, errors.Trace(err)
	}
	records := make([]Record, 0, len(items))
	for _, item := range items {
		r, err := decodeRecord(item)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// readHead returns the head row and its version; both are zero before the first
// publish.
func readHead(ctx context.Context, store table.Store) (Record, uint64, error) {
	item, err := store.Get(ctx, headKey)
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, errors.Trace(err)
	}
	record, err := decodeRecord(item)
	return record, item.Version, err
}

func encodeRecord(r Record) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Trace(err)
}
