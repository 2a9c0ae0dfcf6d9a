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
	// maxAttempts bounds the attempts of one step of a publish.
	maxAttempts = 6
	// defaultRetryWait is the wait after the first attempt. It doubles after
	// each further one.
	defaultRetryWait = 50 * time.Millisecond
	// maxHistory is the largest number of revisions that History returns.
	maxHistory = 1000
)

// PublisherOptions are the settings of a Publisher.
type PublisherOptions struct {
	Table   table.Store
	Objects objectstore.Store
	Clock   clock.Clock
	// RetryWait is the wait before the second attempt of a step. It doubles
	// before each further one.
	RetryWait time.Duration
	// OnPublished, if set, is called after each publish. A daemon uses it to
	// pass the revision to its Follower, which announces it to the peers.
	OnPublished func(Record)
}

// Publisher publishes configurations. It is safe for concurrent use.
type Publisher struct{ options PublisherOptions }

// NewPublisher returns a Publisher with defaults for unset options.
func NewPublisher(options PublisherOptions) *Publisher {
	if options.Clock == nil {
		options.Clock = clock.RealClock{}
	}
	if options.RetryWait <= 0 {
		options.RetryWait = defaultRetryWait
	}
	return &Publisher{options: options}
}

// Request is a request to publish a configuration.
type Request struct {
	Set *config.Set
	// BaseRevision is the revision that the set was checked against and is to
	// replace; 0 if nothing has been published.
	BaseRevision uint64
	// Publisher identifies who publishes, for the history.
	Publisher string
	// PublishID makes a request idempotent: if it has already been published,
	// its Record is returned. If it is empty, a new ID is generated.
	PublishID string
}

// Publish checks a set and publishes it as the revision after its base revision.
// It returns config.InvalidError, ConflictError or UndeterminedError; any other
// error means that this call published nothing.
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
		Publisher: req.Publisher, PublishedAt: p.options.Clock.Now().UTC(), Objects: req.Set.Len()}
	update := &headUpdate{Publisher: p, record: record, ambiguous: resent}
	if done, err := update.checkHead(ctx); err != nil {
		return Record{}, err
	} else if done {
		return update.record, nil
	}
	if err := p.storeBody(ctx, record.BodyHash, body); err != nil {
		return Record{}, err
	}
	return update.apply(ctx)
}

// storeBody stores a body under its hash. It can be repeated safely, because the
// same key always holds the same body.
func (p *Publisher) storeBody(ctx context.Context, hash string, body []byte) error {
	var err error
	for attempt := range maxAttempts {
		if err = p.options.Objects.Put(ctx, bodyKey(hash), body); err == nil {
			return nil
		}
		if !p.waitBeforeRetry(ctx, attempt) {
			break
		}
	}
	return errors.Annotatef(err, "store configuration body %s", hash)
}

// waitBeforeRetry waits before the next attempt. It returns false if ctx ends
// first.
func (p *Publisher) waitBeforeRetry(ctx context.Context, attempt int) bool {
	timer := p.options.Clock.NewTimer(p.options.RetryWait << attempt)
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
	record, _, err := readHead(ctx, p.options.Table)
	if err == nil && record.Revision == 0 {
		return Record{}, &UnknownRevisionError{}
	}
	return record, err
}

// Get returns the record and the body of a revision; 0 selects the newest one.
func (p *Publisher) Get(ctx context.Context, revision uint64) (Record, []byte, error) {
	record, err := p.record(ctx, revision)
	if err != nil {
		return Record{}, nil, err
	}
	body, err := p.options.Objects.Get(ctx, bodyKey(record.BodyHash))
	if err != nil {
		return Record{}, nil, errors.Trace(err)
	}
	if got := config.HashBody(body); got != record.BodyHash {
		return Record{}, nil, &config.BodyHashError{Want: record.BodyHash, Got: got}
	}
	return record, body, nil
}

// record returns the record of a revision; 0 selects the newest one.
func (p *Publisher) record(ctx context.Context, revision uint64) (Record, error) {
	if revision == 0 {
		return p.Head(ctx)
	}
	item, err := p.options.Table.Get(ctx, historyKey(revision))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, &UnknownRevisionError{Revision: revision}
	}
	if err != nil {
		return Record{}, errors.Trace(err)
	}
	return decodeRecord(item)
}

// History returns up to limit of the newest revisions, newest first.
func (p *Publisher) History(ctx context.Context, limit int) ([]Record, error) {
	items, err := p.options.Table.Query(ctx, historyPartition, "", min(max(limit, 1), maxHistory))
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

// readHead reads the head row and its version. Both are zero before the first
// publish.
func readHead(ctx context.Context, store table.Store) (Record, table.Version, error) {
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
