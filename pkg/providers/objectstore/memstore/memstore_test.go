package memstore

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
)

// Guards against a fault that returns the wrong error type: whether a write was
// applied must match what the error type promises to the caller.
func TestFaultErrorsMatchStoredState(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := New()
	fault := FaultNone
	s.SetFault(func(Operation) Fault { return fault })
	stored := func() bool {
		fault = FaultNone
		_, err := s.Get(ctx, "k")
		return err == nil
	}
	for _, c := range []struct {
		fault   Fault
		want    any
		applied bool
	}{{FaultUnavailable, &objectstore.UnavailableError{}, false}, {FaultRequestLost, &objectstore.AmbiguousError{}, false}, {FaultAnswerLost, &objectstore.AmbiguousError{}, true}} {
		fault = c.fault
		g.Expect(s.Put(ctx, "k", []byte("v"))).To(BeAssignableToTypeOf(c.want))
		g.Expect(stored()).To(Equal(c.applied))
		g.Expect(s.Put(ctx, "k", []byte("v"))).To(Succeed())
		fault = c.fault
		g.Expect(s.Delete(ctx, "k")).To(BeAssignableToTypeOf(c.want))
		g.Expect(stored()).To(Equal(!c.applied))
		g.Expect(s.Delete(ctx, "k")).To(Succeed())
	}
	_, err := s.Get(ctx, "k")
	g.Expect(err).To(MatchError(&objectstore.NotFoundError{Key: "k"}))
	cancelledCtx, cancel := context.WithCancel(ctx)
	cancel()
	g.Expect(s.Put(cancelledCtx, "k", nil)).To(BeAssignableToTypeOf(&objectstore.UnavailableError{}))
}
