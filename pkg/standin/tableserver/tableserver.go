// Package tableserver simulates the table service for tests. It serves the part of
// the DynamoDB API that the client uses from an in-memory table with injectable
// faults.
package tableserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

const (
	headerTarget = "X-Amz-Target"
	targetPrefix = "DynamoDB_20120810."
	contentType  = "application/x-amz-json-1.0"
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
)

// Server serves a memtable.Store through the DynamoDB API.
type Server struct {
	Table *memtable.Store
	http  *fasthttp.Server
	// delay is the delay of every answer in nanoseconds.
	delay atomic.Int64
}

// NewServer returns a Server with an empty table.
func NewServer() *Server {
	s := &Server{Table: memtable.New()}
	s.http = &fasthttp.Server{
		Handler:         s.handle,
		CloseOnShutdown: true,
		IdleTimeout:     time.Minute,
	}
	return s
}

// Serve accepts connections on listener until Close.
func (s *Server) Serve(listener net.Listener) error { return errors.Trace(s.http.Serve(listener)) }

// Close stops the server.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return errors.Trace(s.http.ShutdownWithContext(ctx))
}

// SetDelay delays every answer by d.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// attribute is the wire form of an attribute value: a string, a number or bytes.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

type attributes map[string]attribute

type getInput struct{ Key attributes }

type getOutput struct {
	Item attributes `json:"Item,omitempty"`
}

type queryInput struct {
	ExpressionAttributeValues attributes
	Limit                     int
}

type queryOutput struct {
	Items []attributes
	Count int
}

type writeInput struct {
	Item                      attributes
	Key                       attributes
	ConditionExpression       string
	ExpressionAttributeValues attributes
}

type transactInput struct {
	TransactItems []struct {
		Put    *writeInput
		Delete *writeInput
	}
}

type cancellationReason struct{ Code string }

type errorOutput struct {
	Type                string `json:"__type"`
	Message             string `json:"message"`
	CancellationReasons []cancellationReason
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if delay := time.Duration(s.delay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	switch strings.TrimPrefix(string(ctx.Request.Header.Peek(headerTarget)), targetPrefix) {
	case "GetItem":
		s.get(ctx)
	case "Query":
		s.query(ctx)
	case "TransactWriteItems":
		s.transact(ctx)
	default:
		fail(ctx, "UnknownOperationException", "operation not served")
	}
}

func (s *Server) get(ctx *fasthttp.RequestCtx) {
	var in getInput
	if !parse(ctx, &in) {
		return
	}
	item, err := s.Table.Get(context.Background(), in.Key.key())
	var notFound *table.NotFoundError
	switch {
	case err == nil:
		reply(ctx, getOutput{Item: encode(item)})
	case errors.As(err, &notFound):
		reply(ctx, getOutput{})
	default:
		failTable(ctx, err)
	}
}

func (s *Server) query(ctx *fasthttp.RequestCtx) {
	var in queryInput
	if !parse(ctx, &in) {
		return
	}
	values := in.ExpressionAttributeValues
	items, err := s.Table.Query(context.Background(), values[":pk"].text(), values[":sk"].text(), in.Limit)
	if err != nil {
		failTable(ctx, err)
		return
	}
	out := queryOutput{Items: make([]attributes, 0, len(items)), Count: len(items)}
	for _, item := range items {
		out.Items = append(out.Items, encode(item))
	}
	reply(ctx, out)
}

func (s *Server) transact(ctx *fasthttp.RequestCtx) {
	var in transactInput
	if !parse(ctx, &in) {
		return
	}
	writes := make([]table.Write, 0, len(in.TransactItems))
	for _, item := range in.TransactItems {
		if item.Put != nil {
			writes = append(writes, table.Write{
				Key: item.Put.Item.key(), Version: table.Version(item.Put.version()), Value: item.Put.Item["value"].B,
			})
			continue
		}
		writes = append(writes, table.Write{Key: item.Delete.Key.key(), Version: table.Version(item.Delete.version()), Delete: true})
	}
	if err := s.Table.Transact(context.Background(), writes); err != nil {
		failTransaction(ctx, err, len(writes))
		return
	}
	reply(ctx, struct{}{})
}

// failTransaction answers with the failed conditions of a transaction.
func failTransaction(ctx *fasthttp.RequestCtx, err error, writes int) {
	var condition *table.ConditionFailedError
	if !errors.As(err, &condition) {
		failTable(ctx, err)
		return
	}
	reasons := make([]cancellationReason, writes)
	for i := range reasons {
		reasons[i].Code = "None"
		if condition.Failed(i) {
			reasons[i].Code = "ConditionalCheckFailed"
		}
	}
	write(ctx, http.StatusBadRequest, errorOutput{
		Type: errorPrefix + "TransactionCanceledException", Message: err.Error(), CancellationReasons: reasons,
	})
}

// failTable answers with an error of the table. If the outcome is ambiguous, it
// closes the connection without an answer.
func failTable(ctx *fasthttp.RequestCtx, err error) {
	var ambiguous *table.AmbiguousError
	if errors.As(err, &ambiguous) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	fail(ctx, "ThrottlingException", err.Error())
}

// parse decodes the request body. If that fails, it answers with an error and
// returns false.
func parse(ctx *fasthttp.RequestCtx, in any) bool {
	if err := json.Unmarshal(ctx.PostBody(), in); err != nil {
		fail(ctx, "SerializationException", err.Error())
		return false
	}
	return true
}

func reply(ctx *fasthttp.RequestCtx, out any) { write(ctx, http.StatusOK, out) }

func fail(ctx *fasthttp.RequestCtx, name, message string) {
	write(ctx, http.StatusBadRequest, errorOutput{Type: errorPrefix + name, Message: message})
}

func write(ctx *fasthttp.RequestCtx, status int, out any) {
	body, err := json.Marshal(out)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(body)
}

func (a attributes) key() table.Key {
	return table.Key{Partition: a["pk"].text(), Sort: a["sk"].text()}
}

func (a attribute) text() string {
	if a.S == nil {
		return ""
	}
	return *a.S
}

// version returns the version that the condition expects. It is 0 if the item must
// not exist.
func (w *writeInput) version() uint64 {
	expected := w.ExpressionAttributeValues[":version"].N
	if expected == nil {
		return 0
	}
	parsed, err := strconv.ParseUint(*expected, 10, 64)
	if err != nil {
		return 0
	}
	return parsed
}

func encode(item table.Item) attributes {
	version := strconv.FormatUint(uint64(item.Version), 10)
	return attributes{
		"pk":      {S: &item.Key.Partition},
		"sk":      {S: &item.Key.Sort},
		"version": {N: &version},
		"value":   {B: item.Value},
	}
}
