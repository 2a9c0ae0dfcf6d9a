package publish

import (
	"context"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// move moves the head row to one record.
type move struct {
	*Publisher
	record Record
	// headVersion is the version of the head row that the move depends on.
	headVersion uint64
	// ambiguous is set once an answer was lost, here or at a caller that sends
	// its publish ID again; the move may then have been applied until a read
	// tells.
	ambiguous bool
}

// checkHead compares the head with the revision that the set was checked
// against. It is done when this publish ID has been published already.
func (m *move) checkHead(ctx context.Context) (done bool, err error) {
	head, version, err := readHead(ctx, m.o.Table)
	if err != nil {
		return false, err
	}
	m.headVersion = version
	if head.Revision == m.record.Revision-1 {
		return false, nil
	}
	_, err = m.lost(ctx)
	return err == nil, err
}

// run applies the move and settles lost answers. Every try has the same
// conditions and the same publish ID, so that at most one of them applies.
func (m *move) run(ctx context.Context) (Record, error) {
	writes, err := m.writes()
	if err != nil {
		return Record{}, err
	}
	lostBefore := false
	for attempt := range maxAttempts {
		err = m.o.Table.Transact(ctx, writes)
		var failed *table.ConditionFailedError
		var lost *table.AmbiguousError
		switch {
		case err == nil:
			return m.published()
		case errors.As(err, &failed):
			return m.lost(ctx)
		case errors.As(err, &lost):
			m.ambiguous, lostBefore = true, true
		case !lostBefore:
			return Record{}, errors.Annotate(err, "move the configuration head")
		}
		if !m.wait(ctx, attempt) {
			break
		}
		if known, ok := m.readBack(ctx); ok {
			return m.judge(known)
		}
	}
	return Record{}, m.undetermined(err)
}

func (m *move) writes() ([]table.Write, error) {
	value, err := encodeRecord(m.record)
	if err != nil {
		return nil, err
	}
	return []table.Write{
		{Key: headKey, Version: m.headVersion, Value: value},
		{Key: historyKey(m.record.Revision), Value: value},
	}, nil
}

func (m *move) published() (Record, error) {
	if m.o.OnPublished != nil {
		m.o.OnPublished(m.record)
	}
	return m.record, nil
}

// readBack returns the history row of the revision that the move would create.
// A missing row proves nothing: a lost request may still arrive.
func (m *move) readBack(ctx context.Context) (Record, bool) {
	record, err := m.Publisher.record(ctx, m.record.Revision)
	return record, err == nil
}

// judge decides by the publish ID who created the revision.
func (m *move) judge(known Record) (Record, error) {
	if known.PublishID == m.record.PublishID {
		m.record = known
		return m.published()
	}
	return Record{}, &ConflictError{BaseRevision: m.record.Revision - 1, Winner: known}
}

// lost settles a move whose condition does not hold: an earlier try of its own
// was applied, or another publisher has won.
func (m *move) lost(ctx context.Context) (Record, error) {
	for attempt := range maxAttempts {
		known, err := m.Publisher.record(ctx, m.record.Revision)
		var missing *UnknownRevisionError
		switch {
		case err == nil:
			return m.judge(known)
		case errors.As(err, &missing):
			return Record{}, m.conflictWithHead(ctx)
		}
		if !m.wait(ctx, attempt) {
			break
		}
	}
	if m.ambiguous {
		return Record{}, m.undetermined(nil)
	}
	return Record{}, &ConflictError{BaseRevision: m.record.Revision - 1}
}

// conflictWithHead reports a set that was checked against a revision which does
// not exist.
func (m *move) conflictWithHead(ctx context.Context) error {
	head, _, err := readHead(ctx, m.o.Table)
	if err != nil {
		head = Record{}
	}
	return &ConflictError{BaseRevision: m.record.Revision - 1, Winner: head}
}

func (m *move) undetermined(cause error) error {
	if cause == nil {
		cause = &table.UnavailableError{Reason: "the history cannot be read"}
	}
	return &UndeterminedError{PublishID: m.record.PublishID, Revision: m.record.Revision, Cause: cause}
}
