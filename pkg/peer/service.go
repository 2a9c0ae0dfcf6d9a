// Package peer implements the communication between daemons. It uses net/rpc
// with CBOR frames, deadlines on every call and connection, bounded queues and
// optional mutual TLS. It also contains Gossip, which runs the membership core
// over these connections.
package peer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// Names of the RPC service and its methods on the wire.
const (
	serviceName     = "Peer"
	methodHeartbeat = "Peer.Heartbeat"
	methodAnnounce  = "Peer.Announce"
	methodHandOver  = "Peer.HandOver"
	methodFetch     = "Peer.Fetch"
	methodStreams   = "Peer.Streams"
	methodGrant     = "Peer.Grant"
	methodPing      = "Peer.Ping"
)

// PayloadHandler handles an opaque payload and returns the payload of the reply.
// An error of type *RemoteError is passed to the caller unchanged; any other
// error is passed on as a RemoteError with CodeFailed.
type PayloadHandler func(ctx context.Context, payload []byte) ([]byte, error)

// Handlers handle the calls of peers. They are called concurrently and must
// return when their context ends. A call whose handler is nil fails with
// CodeNoHandler.
type Handlers struct {
	Heartbeat func(*membership.Message) *membership.Message
	Announce  func(*membership.Message)
	HandOver  PayloadHandler
	Fetch     PayloadHandler
	Streams   PayloadHandler
	Grant     PayloadHandler
}

// PayloadArgs is the request of HandOver, Fetch, Streams and Grant. It is exported because
// net/rpc requires exported types.
type PayloadArgs struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	// TimeoutMillis is how long the caller waits for the reply.
	TimeoutMillis int64 `cbor:"2,keyasint"`
}

// PayloadReply is the reply of HandOver, Fetch, Streams and Grant. A non-empty Code reports an
// error.
type PayloadReply struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	Code    string `cbor:"2,keyasint,omitempty"`
	Detail  string `cbor:"3,keyasint,omitempty"`
}

func (r *PayloadReply) result() ([]byte, error) {
	if r.Code != "" {
		return nil, &RemoteError{Code: r.Code, Detail: r.Detail}
	}
	return r.Payload, nil
}

// Empty is the request or reply of calls without content.
type Empty struct{}

// service implements the RPC service. net/rpc finds its exported methods by
// reflection.
type service struct {
	handlers       Handlers
	ctx            context.Context
	handlerTimeout time.Duration
}

// Heartbeat passes a heartbeat to its handler.
func (s *service) Heartbeat(args *membership.Message, reply *membership.Message) error {
	if s.handlers.Heartbeat == nil {
		return &RemoteError{Code: CodeNoHandler, Detail: methodHeartbeat}
	}
	if answer := s.handlers.Heartbeat(args); answer != nil {
		*reply = *answer
	}
	return nil
}

// Announce passes an urgent membership message to its handler.
func (s *service) Announce(args *membership.Message, _ *Empty) error {
	if s.handlers.Announce == nil {
		return &RemoteError{Code: CodeNoHandler, Detail: methodAnnounce}
	}
	s.handlers.Announce(args)
	return nil
}

// HandOver receives a stream from a peer.
func (s *service) HandOver(args *PayloadArgs, reply *PayloadReply) error {
	s.runPayloadHandler(s.handlers.HandOver, methodHandOver, args, reply)
	return nil
}

// Fetch returns a stream to a peer.
func (s *service) Fetch(args *PayloadArgs, reply *PayloadReply) error {
	s.runPayloadHandler(s.handlers.Fetch, methodFetch, args, reply)
	return nil
}

// Streams stores or returns records of streams.
func (s *service) Streams(args *PayloadArgs, reply *PayloadReply) error {
	s.runPayloadHandler(s.handlers.Streams, methodStreams, args, reply)
	return nil
}

// Grant charges a request to the usage limit of its account.
func (s *service) Grant(args *PayloadArgs, reply *PayloadReply) error {
	s.runPayloadHandler(s.handlers.Grant, methodGrant, args, reply)
	return nil
}

// Ping returns an empty reply, which shows that the connection works.
func (s *service) Ping(_ *Empty, _ *Empty) error { return nil }

// runPayloadHandler calls a handler with a deadline and stores its result or
// error in reply.
func (s *service) runPayloadHandler(handler PayloadHandler, method string, args *PayloadArgs, reply *PayloadReply) {
	if handler == nil {
		reply.Code, reply.Detail = CodeNoHandler, method
		return
	}
	timeout := min(time.Duration(args.TimeoutMillis)*time.Millisecond, s.handlerTimeout)
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	payload, err := handler(ctx, args.Payload)
	if err == nil {
		reply.Payload = payload
		return
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		reply.Code, reply.Detail = remote.Code, remote.Detail
		return
	}
	reply.Code, reply.Detail = CodeFailed, err.Error()
}
