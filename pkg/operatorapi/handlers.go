package operatorapi

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// notImplementedError reports a request for a feature whose dependency in
// Options is nil.
type notImplementedError struct{ feature string }

func (e *notImplementedError) Error() string { return e.feature + " is not served by this daemon" }

// ready responds to the readiness probe: 503 with the reason if the daemon is not
// ready.
func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if s.o.Ready != nil {
		if err := s.o.Ready(); err != nil {
			writeText(ctx, fasthttp.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
	}
	writeText(ctx, fasthttp.StatusOK, "ready\n")
}

// publish publishes the configuration file in the request body. The query
// parameter "against" is the revision that the file is based on.
func (s *Server) publish(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Configuration == nil {
		return &notImplementedError{"the configuration"}
	}
	args := req.QueryArgs()
	baseRevision, err := uintParameter(args, "against", "")
	if err != nil {
		return err
	}
	body, err := s.readBody(ctx, req)
	if err != nil {
		return err
	}
	set, err := config.Parse(config.File{Name: "body", Body: body})
	if err != nil {
		return errors.Trace(err)
	}
	record, err := s.o.Configuration.Publish(ctx, publish.Request{Set: set, BaseRevision: baseRevision,
		Publisher: string(args.Peek("publisher")), PublishID: string(args.Peek("publish_id"))})
	if err != nil {
		klog.InfoS("configuration not published", "against", baseRevision, "remote", req.RemoteAddr().String(), "reason", err.Error())
		return err
	}
	klog.InfoS("configuration published", "revision", record.Revision, "bodyHash", record.BodyHash,
		"publisher", record.Publisher, "remote", req.RemoteAddr().String())
	return writeJSON(req, fasthttp.StatusCreated, PublishResponse{Record: record})
}

// getConfiguration returns the body of a revision, which can be published again
// without changes. Revision 0, the default, is the newest.
func (s *Server) getConfiguration(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Configuration == nil {
		return &notImplementedError{"the configuration"}
	}
	revision, err := uintParameter(req.QueryArgs(), "revision", "0")
	if err != nil {
		return err
	}
	record, body, err := s.o.Configuration.Get(ctx, revision)
	if err != nil {
		return err
	}
	req.Response.Header.Set(headerRevision, strconv.FormatUint(record.Revision, 10))
	req.Response.Header.Set(headerBodyHash, record.BodyHash)
	req.SetContentType(contentJSON)
	req.SetBody(body)
	return nil
}

// history lists the newest revisions, up to the query parameter "limit".
func (s *Server) history(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Configuration == nil {
		return &notImplementedError{"the configuration"}
	}
	limit, err := uintParameter(req.QueryArgs(), "limit", strconv.Itoa(defaultHistoryLimit))
	if err != nil {
		return err
	}
	records, err := s.o.Configuration.History(ctx, int(min(limit, 1<<20)))
	if err != nil {
		return err
	}
	return writeJSON(req, fasthttp.StatusOK, HistoryResponse{Revisions: records})
}

func (s *Server) status(_ context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Status == nil {
		return &notImplementedError{"the status"}
	}
	return writeJSON(req, fasthttp.StatusOK, s.o.Status())
}

// decisions returns the decisions recorded for the request ID in the path.
func (s *Server) decisions(_ context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Decisions == nil {
		return &notImplementedError{"the history of decisions"}
	}
	id := strings.TrimSuffix(strings.TrimPrefix(string(req.Path()), requestsPrefix), decisionsSuffix)
	found := s.o.Decisions.Explain(id)
	if len(found) == 0 {
		return notFound("this daemon keeps no decision for request " + id)
	}
	return writeJSON(req, fasthttp.StatusOK, DecisionsResponse{RequestID: id, Decisions: found})
}

// drain starts the drain of the daemon and responds without waiting for its
// end.
func (s *Server) drain(_ context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Drainer == nil {
		return &notImplementedError{"drain"}
	}
	klog.InfoS("drain requested", "remote", req.RemoteAddr().String())
	s.o.Drainer.Drain()
	return writeJSON(req, fasthttp.StatusAccepted, DrainResponse{Draining: true})
}

func (s *Server) listQuarantine(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Quarantine == nil {
		return &notImplementedError{"the quarantine"}
	}
	entries, err := s.o.Quarantine.List(ctx)
	if err != nil {
		return err
	}
	if entries == nil {
		entries = []QuarantineEntry{}
	}
	return writeJSON(req, fasthttp.StatusOK, QuarantineResponse{Entries: entries})
}

// releaseQuarantine releases the entry whose fingerprint is in the path.
func (s *Server) releaseQuarantine(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Quarantine == nil {
		return &notImplementedError{"the quarantine"}
	}
	fingerprint := strings.TrimPrefix(string(req.Path()), quarantinePath+"/")
	if err := s.o.Quarantine.Release(ctx, fingerprint); err != nil {
		return err
	}
	klog.InfoS("quarantine entry released", "fingerprint", fingerprint, "remote", req.RemoteAddr().String())
	req.SetStatusCode(fasthttp.StatusNoContent)
	return nil
}

// uintParameter parses an unsigned integer from the query. The parameter is
// required if fallback is empty.
func uintParameter(args *fasthttp.Args, name, fallback string) (uint64, error) {
	value := string(args.Peek(name))
	if value == "" {
		value = fallback
	}
	if value == "" {
		return 0, &BadRequestError{Reason: "query parameter \"" + name + "\" is missing"}
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, &BadRequestError{Reason: "query parameter \"" + name + "\" must be a whole number"}
	}
	return n, nil
}

// writeJSON writes value as a JSON response with the given status code.
func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(append(body, '\n'))
	return nil
}

func writeText(ctx *fasthttp.RequestCtx, status int, body string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentText)
	ctx.SetBodyString(body)
}
