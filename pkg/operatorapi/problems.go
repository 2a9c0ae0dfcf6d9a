package operatorapi

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// retryAfterSeconds is the value of the Retry-After header in responses during
// an outage of the platform's store.
const retryAfterSeconds = "5"

func notFound(detail string) *Problem {
	return &Problem{Type: ProblemNotFound, Title: "Not found", Status: fasthttp.StatusNotFound, Detail: detail}
}

// problemOf maps an error to the Problem that is sent to the operator.
func problemOf(err error) *Problem {
	if p := requestProblem(err); p != nil {
		return p
	}
	if p := publishProblem(err); p != nil {
		return p
	}
	if isUnavailable(err) {
		return &Problem{Type: ProblemUnavailable, Title: "The platform's store is unavailable",
			Status: fasthttp.StatusServiceUnavailable, Detail: err.Error()}
	}
	klog.ErrorS(err, "operator request failed")
	return &Problem{Type: ProblemInternal, Title: "Internal error", Status: fasthttp.StatusInternalServerError, Detail: err.Error()}
}

// requestProblem maps errors caused by the request; it returns nil for others.
func requestProblem(err error) *Problem {
	var problem *Problem
	var badRequest *BadRequestError
	var notImplemented *notImplementedError
	var unknownRevision *publish.UnknownRevisionError
	var unknownFingerprint *UnknownFingerprintError
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &badRequest):
		return &Problem{Type: ProblemBadRequest, Title: "Bad request", Status: fasthttp.StatusBadRequest, Detail: badRequest.Reason}
	case errors.As(err, &notImplemented):
		return &Problem{Type: ProblemNotImplemented, Title: "Not implemented", Status: fasthttp.StatusNotImplemented, Detail: notImplemented.Error()}
	case errors.As(err, &unknownRevision):
		return notFound(unknownRevision.Error())
	case errors.As(err, &unknownFingerprint):
		return notFound(unknownFingerprint.Error())
	}
	return nil
}

// publishProblem maps errors of a publish; it returns nil for others.
func publishProblem(err error) *Problem {
	var invalid *config.InvalidError
	var conflict *publish.ConflictError
	var undetermined *publish.UndeterminedError
	switch {
	case errors.As(err, &invalid):
		return &Problem{Type: ProblemConfigurationInvalid, Title: "The configuration does not pass the check",
			Status: fasthttp.StatusUnprocessableEntity, Findings: invalid.Findings}
	case errors.As(err, &conflict):
		p := &Problem{Type: ProblemConflict, Title: "Another publisher was first", Status: fasthttp.StatusConflict, Detail: conflict.Error()}
		if conflict.Winner.Revision > 0 {
			p.Winner = &conflict.Winner
		}
		return p
	case errors.As(err, &undetermined):
		return &Problem{Type: ProblemUndetermined, Title: "It is not known whether the publish took effect",
			Status: fasthttp.StatusGatewayTimeout, Detail: undetermined.Error(), PublishID: undetermined.PublishID}
	}
	return nil
}

// isUnavailable reports whether err is an outage of the platform's store. This
// includes ambiguous errors: if a lost response affects the outcome of a
// publish, the publisher resolves it or returns UndeterminedError instead.
func isUnavailable(err error) bool {
	var tableUnavailable *table.UnavailableError
	var tableAmbiguous *table.AmbiguousError
	var objectsUnavailable *objectstore.UnavailableError
	var objectsAmbiguous *objectstore.AmbiguousError
	return errors.As(err, &tableUnavailable) || errors.As(err, &tableAmbiguous) || errors.As(err, &objectsUnavailable) || errors.As(err, &objectsAmbiguous)
}

func writeProblem(ctx *fasthttp.RequestCtx, p *Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		klog.ErrorS(err, "failed to encode problem response")
	}
	if p.Status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(contentProblem)
	ctx.SetBody(append(body, '\n'))
}
