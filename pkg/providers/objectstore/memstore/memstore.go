// Package memstore is an in-memory objectstore.Store with injectable faults.
package memstore

import (
	"bytes"
	"context"
	"sync"

	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
)

// Fault is a failure that an operation suffers.
type Fault int

// The faults that a Store can inject.
const (
	// FaultNone lets the operation through.
	FaultNone Fault = iota
	// FaultUnavailable rejects the operation without applying it.
	FaultUnavailable
	// FaultAnswerLost applies a Put or Delete and loses its answer.
	FaultAnswerLost
	// FaultRequestLost loses a Put or Delete before it is applied; the caller
	// cannot tell this from FaultAnswerLost.
	FaultRequestLost
)

// Operation names the kind of request that a fault function decides on.
type Operation int

// The operations of a Store.
const (
	OperationPut Operation = iota
	OperationGet
	OperationDelete
)

// Stats counts the operations that reached the store.
type Stats struct {
	Puts          uint64
	Gets          uint64
	Deletes       uint64
	FaultsApplied uint64
}

// Store is an objectstore.Store in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	fault   func(Operation) Fault
	stats   Stats
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store { return &Store{objects: make(map[string][]byte)} }

// SetFault installs the function that decides the fault of each operation; nil
// removes it. The function is called with the store locked.
func (s *Store) SetFault(fault func(Operation) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Stats returns the operation counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Puts++
	return s.change(ctx, OperationPut, func() { s.objects[key] = bytes.Clone(body) })
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Deletes++
	return s.change(ctx, OperationDelete, func() { delete(s.objects, key) })
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Gets++
	if ctx.Err() != nil {
		return nil, &objectstore.UnavailableError{Reason: ctx.Err().Error()}
	}
	if s.nextFault(OperationGet) != FaultNone {
		return nil, &objectstore.UnavailableError{Reason: "injected outage"}
	}
	body, ok := s.objects[key]
	if !ok {
		return nil, &objectstore.NotFoundError{Key: key}
	}
	return bytes.Clone(body), nil
}

func (s *Store) change(ctx context.Context, op Operation, apply func()) error {
	if ctx.Err() != nil {
		return &objectstore.UnavailableError{Reason: ctx.Err().Error()}
	}
	switch s.nextFault(op) {
	case FaultUnavailable:
		return &objectstore.UnavailableError{Reason: "injected outage"}
	case FaultRequestLost:
		return &objectstore.AmbiguousError{Reason: "injected loss"}
	case FaultAnswerLost:
		apply()
		return &objectstore.AmbiguousError{Reason: "injected loss"}
	}
	apply()
	return nil
}

func (s *Store) nextFault(op Operation) Fault {
	if s.fault == nil {
		return FaultNone
	}
	fault := s.fault(op)
	if fault != FaultNone {
		s.stats.FaultsApplied++
	}
	return fault
}
