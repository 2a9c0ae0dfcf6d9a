// Package memstore provides an in-memory objectstore.Store with fault
// injection.
package memstore

import (
	"bytes"
	"context"
	"sync"

	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
)

// Fault is a failure that is injected into an operation.
type Fault int

// Faults that a Store can inject.
const (
	// FaultNone executes the operation normally.
	FaultNone Fault = iota
	// FaultUnavailable rejects the operation without applying it.
	FaultUnavailable
	// FaultAnswerLost applies a Put or Delete and loses its response.
	FaultAnswerLost
	// FaultRequestLost loses a Put or Delete before it is applied. The caller
	// cannot distinguish this from FaultAnswerLost.
	FaultRequestLost
)

// Operation is the kind of operation for which a fault is chosen.
type Operation int

// Operations of a Store.
const (
	OperationPut Operation = iota
	OperationGet
	OperationDelete
)

// Stats counts the operations called on a Store and the faults injected.
type Stats struct {
	Puts          uint64
	Gets          uint64
	Deletes       uint64
	FaultsApplied uint64
}

// Store is an in-memory objectstore.Store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	fault   func(Operation) Fault
	stats   Stats
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty Store that injects no faults.
func New() *Store { return &Store{objects: make(map[string][]byte)} }

// SetFault installs the function that returns the fault of each operation; nil
// removes it. The function is called with the Store locked, so it must not call
// the Store.
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
	return s.mutate(ctx, OperationPut, func() { s.objects[key] = bytes.Clone(body) })
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Deletes++
	return s.mutate(ctx, OperationDelete, func() { delete(s.objects, key) })
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

// mutate executes a Put or Delete, given as apply, with the fault chosen for
// it.
func (s *Store) mutate(ctx context.Context, op Operation, apply func()) error {
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

// nextFault returns the fault for the operation and counts it.
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
