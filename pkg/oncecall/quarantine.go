package oncecall

import (
	"context"
	"errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/service"
)

// callQuarantine reports the attempts of calls to the quarantine of requests that
// crash servers. Without a manager it does nothing.
type callQuarantine struct{ manager *quarantine.Manager }

func fingerprint(call *api.CallRequest) quarantine.Fingerprint {
	return quarantine.FingerprintOf(call.ClientAccount+"\x00"+call.Service+"/"+call.Call, call.Body)
}

// refuses reports whether a call must not be sent to a server.
func (q callQuarantine) refuses(ctx context.Context, call *api.CallRequest) bool {
	return q.manager != nil && q.manager.Check(ctx, fingerprint(call)) == quarantine.VerdictRefuse
}

// started records the start of an attempt.
func (q callQuarantine) started(call *api.CallRequest, attemptID string, server *membership.BackendServer) {
	if q.manager != nil {
		q.manager.Started(quarantine.Attempt{ID: attemptID, Request: call.ID, Fingerprint: fingerprint(call),
			Server: server.RunID(), Address: server.Address})
	}
}

// ended records the result of an attempt.
func (q callQuarantine) ended(ctx context.Context, call *api.CallRequest, attemptID string, err error) {
	var notSent *service.NotSentError
	var refused *service.RefusedError
	switch {
	case q.manager == nil:
	case err == nil:
		q.manager.Resolved(attemptID, true)
		q.manager.Succeeded(fingerprint(call))
	case errors.As(err, &notSent), errors.As(err, &refused):
		q.manager.Resolved(attemptID, false)
	case ctx.Err() != nil:
		// The caller has gone or the server was silent until the timeout.
		q.manager.Abandoned(attemptID, 0)
	default:
		q.manager.Broken(ctx, attemptID, 0)
	}
}
