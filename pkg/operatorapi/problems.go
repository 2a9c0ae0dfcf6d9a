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

// retryAfterSeconds is when a caller may come back after an outage of the
// platform's store.
const retryAfterSeconds = "5"

func notFound(detail string) *Problem {
	return &Problem{Type: ProblemNotFound, Title: "Not found", Status: fasthttp.StatusNotFound, Detail: detail}
}

// problemOf maps a typed failure to what the operator is told.
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

func requestProblem(err error) *Problem {
	var problem *Problem
	var bad *BadRequestError
	var missing *notImplementedError
	var revision *publish.UnknownRevisionError
	var fingerprint *UnknownFingerprintError
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &bad):
		return &Problem{Type: ProblemBadRequest, Title: "Bad request", Status: fasthttp.StatusBadRequest, Detail: bad.Reason}
	case errors.As(err, &missing):
		return &Problem{Type: ProblemNotImplemented, Title: "Not implemented", Status: fasthttp.StatusNotImplemented, Detail: missing.Error()}
	case errors.As(err, &revision):
		return notFound(revision.Error())
	case errors.As(err, &fingerprint):
		return notFound(fingerprint.Error())
	}
	return nil
}

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

// isUnavailable includes a lost answer: where it could matter, the publisher
// has settled it or reports UndeterminedError.
func isUnavailable(err error) bool {
	var tableDown *table.UnavailableError
	var tableLost *table.AmbiguousError
	var objectsDown *objectstore.UnavailableError
	var objectsLost *objectstore.AmbiguousError
	return errors.As(err, &tableDown) || errors.As(err, &tableLost) || errors.As(err, &objectsDown) || errors.As(err, &objectsLost)
}

func writeProblem(ctx *fasthttp.RequestCtx, p *Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		klog.ErrorS(err, "problem not encoded")
	}
	if p.Status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(contentProblem)
	ctx.SetBody(append(body, '\n'))
}
