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

// notImplementedError reports an endpoint without its dependency.
type notImplementedError struct{ what string }

func (e *notImplementedError) Error() string { return e.what + " is not served by this daemon" }

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if s.o.Ready != nil {
		if err := s.o.Ready(); err != nil {
			text(ctx, fasthttp.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
	}
	text(ctx, fasthttp.StatusOK, "ready\n")
}

// publish takes an objects file in the body and the revision that it was
// checked against in the query.
func (s *Server) publish(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Configuration == nil {
		return &notImplementedError{"the configuration"}
	}
	args := req.QueryArgs()
	against, err := number(args, "against", "")
	if err != nil {
		return err
	}
	set, err := config.Parse(config.File{Name: "body", Body: req.PostBody()})
	if err != nil {
		return errors.Trace(err)
	}
	record, err := s.o.Configuration.Publish(ctx, publish.Request{Set: set, BaseRevision: against,
		Publisher: string(args.Peek("publisher")), PublishID: string(args.Peek("publish_id"))})
	if err != nil {
		klog.InfoS("configuration not published", "against", against, "remote", req.RemoteAddr().String(), "reason", err.Error())
		return err
	}
	klog.InfoS("configuration published", "revision", record.Revision, "bodyHash", record.BodyHash,
		"publisher", record.Publisher, "remote", req.RemoteAddr().String())
	return answer(req, fasthttp.StatusCreated, PublishResponse{Record: record})
}

// getConfiguration answers with the body of a revision, which can be published
// again as it is.
func (s *Server) getConfiguration(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Configuration == nil {
		return &notImplementedError{"the configuration"}
	}
	revision, err := number(req.QueryArgs(), "revision", "0")
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

func (s *Server) history(ctx context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Configuration == nil {
		return &notImplementedError{"the configuration"}
	}
	limit, err := number(req.QueryArgs(), "limit", strconv.Itoa(defaultHistory))
	if err != nil {
		return err
	}
	records, err := s.o.Configuration.History(ctx, int(min(limit, 1<<20)))
	if err != nil {
		return err
	}
	return answer(req, fasthttp.StatusOK, HistoryResponse{Revisions: records})
}

func (s *Server) status(_ context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Status == nil {
		return &notImplementedError{"the status"}
	}
	return answer(req, fasthttp.StatusOK, s.o.Status())
}

func (s *Server) decisions(_ context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Decisions == nil {
		return &notImplementedError{"the history of decisions"}
	}
	id := strings.TrimSuffix(strings.TrimPrefix(string(req.Path()), requestsPrefix), decisionsSuffix)
	found := s.o.Decisions.Explain(id)
	if len(found) == 0 {
		return notFound("this daemon keeps no decision for request " + id)
	}
	return answer(req, fasthttp.StatusOK, DecisionsResponse{RequestID: id, Decisions: found})
}

func (s *Server) drain(_ context.Context, req *fasthttp.RequestCtx) error {
	if s.o.Drainer == nil {
		return &notImplementedError{"drain"}
	}
	klog.InfoS("drain ordered", "remote", req.RemoteAddr().String())
	s.o.Drainer.Drain()
	return answer(req, fasthttp.StatusAccepted, DrainResponse{Draining: true})
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
	return answer(req, fasthttp.StatusOK, QuarantineResponse{Entries: entries})
}

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

// number reads an unsigned number from the query. Without a fallback it is
// required.
func number(args *fasthttp.Args, name, fallback string) (uint64, error) {
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

func answer(ctx *fasthttp.RequestCtx, status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(append(body, '\n'))
	return nil
}

func text(ctx *fasthttp.RequestCtx, status int, body string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentText)
	ctx.SetBodyString(body)
}
