package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// partition is the table partition that holds the entries.
	partition = "quarantine"
	// pageSize is the maximum number of rows in one read of the table.
	pageSize = 100
	// maxWriteConflicts is the maximum number of attempts to write an entry if the
	// write conflicts with those of other daemons.
	maxWriteConflicts = 5
	// reloadInterval is the time between two reads of the table, and
	// isolatedReloadInterval that of a daemon which receives nothing from others.
	reloadInterval         = 30 * time.Second
	isolatedReloadInterval = 2 * time.Second
	// retryInterval is the pause after a failed read or write of the table.
	retryInterval = time.Second
	// storeTimeout is the timeout of one call to the table.
	storeTimeout = 2 * time.Second
)

// requestSave makes the loop write the unsaved entries.
func (m *Manager) requestSave() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run loads the table at the start and periodically, and writes unsaved entries.
func (m *Manager) run() {
	ticker := m.options.Clock.NewTicker(retryInterval)
	defer ticker.Stop()
	loadedAt, epoch := time.Time{}, m.options.Store.Epoch()
	for {
		// A store that has returned from an older copy may lack entries, or parts of them.
		newest := m.options.Store.Epoch()
		if newest != epoch || m.loadDue(loadedAt) {
			if err := m.load(newest != epoch); err != nil {
				m.options.OnError(err)
			} else {
				loadedAt, epoch = m.options.Clock.Now(), newest
			}
			m.mu.Lock()
			m.core.Expire(m.options.Clock.Now())
			m.mu.Unlock()
		}
		m.saveAll()
		select {
		case <-m.wake:
		case <-ticker.C():
		case <-m.ctx.Done():
			return
		}
	}
}

// loadDue reports whether the table must be read. A daemon that receives nothing
// from others learns of their entries from the table only.
func (m *Manager) loadDue(loadedAt time.Time) bool {
	age := m.options.Clock.Since(loadedAt)
	return loadedAt.IsZero() || age >= reloadInterval || age >= isolatedReloadInterval && m.options.Isolated()
}

// load reads all entries from the table and merges them. Entries that a daemon
// needs after a restart and that the table lacks are marked as unsaved: the daemon
// that was to write them may have ended. If all is set, those that the table has are
// marked, too.
func (m *Manager) load(all bool) error {
	loaded := make(map[Fingerprint]struct{})
	for after := ""; ; {
		ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
		items, err := m.options.Store.Query(ctx, partition, after, pageSize)
		cancel()
		if err != nil {
			return err
		}
		for _, item := range items {
			after = item.Key.Sort
			loaded[Fingerprint(item.Key.Sort)] = struct{}{}
			m.mergeItem(item)
		}
		if len(items) < pageSize {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.saved = loaded
	for fingerprint, e := range m.core.entries {
		if _, ok := loaded[fingerprint]; (!ok || all) && m.core.isDecisive(e) {
			m.unsaved[fingerprint] = struct{}{}
		}
	}
	return nil
}

func (m *Manager) mergeItem(item table.Item) {
	var entry Entry
	if err := json.Unmarshal(item.Value, &entry); err != nil {
		m.options.OnError(&MalformedEntryError{Key: item.Key.Sort, Cause: err})
		return
	}
	m.merge(string(SourceStore), SourceStore, []Entry{entry})
}

// saveAll writes the unsaved entries. Those that cannot be written stay unsaved.
func (m *Manager) saveAll() {
	m.mu.Lock()
	fingerprints := make([]Fingerprint, 0, len(m.unsaved))
	for f := range m.unsaved {
		fingerprints = append(fingerprints, f)
	}
	m.mu.Unlock()
	for _, f := range fingerprints {
		if err := m.save(m.ctx, f); err != nil {
			m.options.OnError(err)
			return
		}
	}
}

// save merges an entry with its row in the table and writes it back. It retries on
// conflicts, because other daemons may write the same row.
func (m *Manager) save(ctx context.Context, fingerprint Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := table.Key{Partition: partition, Sort: string(fingerprint)}
	var err error
	for range maxWriteConflicts {
		var item table.Item
		item, err = m.options.Store.Get(ctx, key)
		var missing *table.NotFoundError
		switch {
		case err == nil:
			m.mergeItem(item)
		case errors.As(err, &missing):
			item.Version = m.options.Store.Epoch().At(0)
		default:
			return err
		}
		m.mu.Lock()
		delete(m.unsaved, fingerprint)
		entry, known := m.core.Entry(fingerprint)
		m.mu.Unlock()
		if !known {
			return nil
		}
		var value []byte
		if value, err = json.Marshal(entry); err != nil {
			return err
		}
		if bytes.Equal(value, item.Value) {
			// Another daemon has written it.
			m.mu.Lock()
			m.saved[fingerprint] = struct{}{}
			m.mu.Unlock()
			return nil
		}
		err = m.options.Store.Transact(ctx, []table.Write{{Key: key, Version: item.Version, Value: value}})
		if err == nil {
			m.mu.Lock()
			m.saved[fingerprint] = struct{}{}
			m.mu.Unlock()
			return nil
		}
		m.mu.Lock()
		m.unsaved[fingerprint] = struct{}{}
		m.mu.Unlock()
	}
	return err
}

// MalformedEntryError reports an entry in the table that cannot be decoded.
type MalformedEntryError struct {
	Key   string
	Cause error
}

func (e *MalformedEntryError) Error() string {
	return "malformed quarantine entry " + e.Key + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedEntryError) Unwrap() error { return e.Cause }
