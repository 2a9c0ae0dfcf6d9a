package publish

import (
	"context"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// headUpdate is one publish: it sets the head row to a new record by
// compare-and-set.
type headUpdate struct {
	*Publisher
	record Record
	// headVersion is the version of the head row that the update requires.
	headVersion table.Version
	// ambiguous is set when an answer was lost, either here or by a caller that
	// sends its publish ID again. The update may have been applied then, which
	// only a read can determine.
	ambiguous bool
}

// checkHead compares the head with the base revision. It returns done if this
// publish ID has already been published.
func (u *headUpdate) checkHead(ctx context.Context) (done bool, err error) {
	head, version, err := readHead(ctx, u.options.Table)
	if err != nil {
		return false, err
	}
	u.headVersion = version
	if head.Revision == u.record.Revision-1 {
		return false, nil
	}
	_, err = u.resolveConditionFailed(ctx)
	return err == nil, err
}

// apply writes the update and resolves lost answers by reading the history. Every
// attempt has the same conditions and the same publish ID, so at most one of them
// is applied.
func (u *headUpdate) apply(ctx context.Context) (Record, error) {
	writes, err := u.writes()
	if err != nil {
		return Record{}, err
	}
	answerLost := false
	for attempt := range maxAttempts {
		err = u.options.Table.Transact(ctx, writes)
		var conditionFailed *table.ConditionFailedError
		var ambiguousErr *table.AmbiguousError
		switch {
		case err == nil:
			return u.succeed()
		case errors.As(err, &conditionFailed):
			return u.resolveConditionFailed(ctx)
		case errors.As(err, &ambiguousErr):
			u.ambiguous, answerLost = true, true
		case !answerLost:
			return Record{}, errors.Annotate(err, "move the configuration head")
		}
		if !u.waitBeforeRetry(ctx, attempt) {
			break
		}
		if known, ok := u.readBack(ctx); ok {
			return u.resolveByPublishID(known)
		}
	}
	return Record{}, u.undeterminedError(err)
}

// writes returns the transaction: the head row on the condition of its version,
// and the new history row on the condition that it does not exist.
func (u *headUpdate) writes() ([]table.Write, error) {
	value, err := encodeRecord(u.record)
	if err != nil {
		return nil, err
	}
	return []table.Write{
		{Key: headKey, Version: u.headVersion, Value: value},
		{Key: historyKey(u.record.Revision), Value: value},
	}, nil
}

// succeed calls OnPublished and returns the record.
func (u *headUpdate) succeed() (Record, error) {
	if u.options.OnPublished != nil {
		u.options.OnPublished(u.record)
	}
	return u.record, nil
}

// readBack reads the history row of the revision that the update creates. A
// missing row does not prove that the update failed, because a lost request may
// still arrive.
func (u *headUpdate) readBack(ctx context.Context) (Record, bool) {
	record, err := u.Publisher.record(ctx, u.record.Revision)
	return record, err == nil
}

// resolveByPublishID determines by the publish ID of the history row whether this
// update or another publisher created the revision.
func (u *headUpdate) resolveByPublishID(known Record) (Record, error) {
	if known.PublishID == u.record.PublishID {
		u.record = known
		return u.succeed()
	}
	return Record{}, &ConflictError{BaseRevision: u.record.Revision - 1, Winner: known}
}

// resolveConditionFailed determines why the condition of the update does not hold:
// an earlier attempt of this publish was applied, or another publisher created the
// revision first.
func (u *headUpdate) resolveConditionFailed(ctx context.Context) (Record, error) {
	for attempt := range maxAttempts {
		known, err := u.Publisher.record(ctx, u.record.Revision)
		var missing *UnknownRevisionError
		switch {
		case err == nil:
			return u.resolveByPublishID(known)
		case errors.As(err, &missing):
			return Record{}, u.conflictWithHead(ctx)
		}
		if !u.waitBeforeRetry(ctx, attempt) {
			break
		}
	}
	if u.ambiguous {
		return Record{}, u.undeterminedError(nil)
	}
	return Record{}, &ConflictError{BaseRevision: u.record.Revision - 1}
}

// conflictWithHead returns the error for a base revision that does not exist.
func (u *headUpdate) conflictWithHead(ctx context.Context) error {
	head, _, err := readHead(ctx, u.options.Table)
	if err != nil {
		head = Record{}
	}
	return &ConflictError{BaseRevision: u.record.Revision - 1, Winner: head}
}

// undeterminedError returns the error for an update that may have been applied.
func (u *headUpdate) undeterminedError(cause error) error {
	if cause == nil {
		cause = &table.UnavailableError{Reason: "the history cannot be read"}
	}
	return &UndeterminedError{PublishID: u.record.PublishID, Revision: u.record.Revision, Cause: cause}
}
