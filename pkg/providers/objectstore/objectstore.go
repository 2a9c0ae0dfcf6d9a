// Package objectstore defines the interface of the platform's object store and
// its error types.
package objectstore

import "context"

// Store is an object store. Implementations never retry a request.
type Store interface {
	// Put stores body under key and replaces an existing object. It returns
	// UnavailableError if nothing was stored and AmbiguousError if the body
	// may have been stored.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the body stored under key, or NotFoundError if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes key. Removing a key that does not exist succeeds.
	Delete(ctx context.Context, key string) error
}

// NotFoundError reports that no object exists under a key.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return "object " + e.Key + " not found" }

// UnavailableError reports a request that the object store did not apply.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "object store unavailable: " + e.Reason }

// AmbiguousError reports a request whose response was lost, so that it may have
// been applied.
type AmbiguousError struct{ Reason string }

func (e *AmbiguousError) Error() string { return "object store answer lost: " + e.Reason }
