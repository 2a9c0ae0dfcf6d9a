// Package objectstore defines the platform's object store and the typed errors
// it reports.
package objectstore

import "context"

// Store is the object store. Implementations do not repeat a request on their
// own.
type Store interface {
	// Put stores body under key and replaces what was there. It returns
	// UnavailableError when nothing was stored and AmbiguousError when the
	// body may have been stored.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the body stored under key, or NotFoundError.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes key. Removing a key that does not exist succeeds.
	Delete(ctx context.Context, key string) error
}

// NotFoundError reports a key that holds no object.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return "object " + e.Key + " not found" }

// UnavailableError reports a request that the object store did not apply.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "object store unavailable: " + e.Reason }

// AmbiguousError reports a request whose answer was lost: it may have been
// applied.
type AmbiguousError struct{ Reason string }

func (e *AmbiguousError) Error() string { return "object store answer lost: " + e.Reason }
