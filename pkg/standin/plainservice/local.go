package plainservice

import (
	"context"
	"fmt"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// FaultNotSent makes a LocalClient behave as if it could not connect to the server.
const FaultNotSent Fault = "not_sent"

// LocalClient is a service.Client that executes calls directly on a ledger, without
// connections. Experiments and tests with many cases use it.
type LocalClient struct {
	Ledger *Ledger
	// Fault returns the fault of each call; nil means no faults. Since no time
	// passes, silent calls fail at once like broken connections and slow calls
	// are not delayed.
	Fault func(Call) Fault
}

var _ service.Client = (*LocalClient)(nil)

// Call implements service.Client.
func (l *LocalClient) Call(_ context.Context, address string, req *service.Request) (*api.CallAnswer, error) {
	call := Call{AttemptID: req.AttemptID, Key: req.IdempotencyKey, Path: req.Path, Body: req.Body}
	fault := FaultNone
	if l.Fault != nil {
		fault = l.Fault(call)
	}
	cause := &FaultError{Fault: fault}
	switch fault {
	case FaultNotSent:
		return nil, &service.NotSentError{Address: address, Cause: cause}
	case FaultRefuseLeaving:
		return nil, &service.RefusedError{Address: address, Reason: string(fault), Leaving: true}
	case FaultCrashBefore, FaultCloseBefore, FaultSilentBefore:
		return nil, &service.BrokenError{Address: address, Silent: fault == FaultSilentBefore, Cause: cause}
	}
	run, ok := l.Ledger.record(Run{
		AttemptID: call.AttemptID, Key: call.Key, Path: call.Path, Object: objectOf(call.Body), Answer: answerTo(call),
	}, false)
	if !ok {
		return nil, &service.RefusedError{Address: address, Reason: "barred"}
	}
	if fault != FaultNone && fault != FaultSlow {
		return nil, &service.BrokenError{Address: address, Silent: fault == FaultSilentAfter, Cause: cause}
	}
	return &run.Answer, nil
}

// Lookup implements service.Client.
func (l *LocalClient) Lookup(_ context.Context, address, _ string, attemptID, key string) (*api.CallAnswer, error) {
	run, ok := l.Ledger.find(attemptID, key, false)
	if !ok {
		return nil, &service.AttemptNotFoundError{Address: address, AttemptID: attemptID}
	}
	return &run.Answer, nil
}

// FaultError is the cause of an injected failure.
type FaultError struct{ Fault Fault }

func (e *FaultError) Error() string { return fmt.Sprintf("injected fault %s", e.Fault) }
