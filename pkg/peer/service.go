// Package peer carries messages between daemons: net/rpc with a deadline on
// every call and connection, bounded queues and optional mutual TLS, and the
// driver of the membership core.
package peer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// The methods of the service.
const (
	serviceName     = "Peer"
	methodHeartbeat = "Peer.Heartbeat"
	methodAnnounce  = "Peer.Announce"
	methodHandOver  = "Peer.HandOver"
	methodFetch     = "Peer.Fetch"
	methodPing      = "Peer.Ping"
)

// PayloadHandler answers an opaque payload. An error of type *RemoteError
// reaches the caller as it is; any other arrives with CodeFailed.
type PayloadHandler func(ctx context.Context, payload []byte) ([]byte, error)

// Handlers answer the calls of peers. They run on several goroutines at once
// and must return when their context ends. A nil handler is answered with
// CodeNoHandler.
type Handlers struct {
	Heartbeat func(*membership.Message) *membership.Message
	Announce  func(*membership.Message)
	HandOver  PayloadHandler
	Fetch     PayloadHandler
}

// PayloadArgs is the request of HandOver and Fetch. net/rpc requires exported types.
type PayloadArgs struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	// TimeoutMillis is how long the caller waits.
	TimeoutMillis int64 `cbor:"2,keyasint"`
}

// PayloadReply is the answer of HandOver and Fetch.
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

// Empty is the request or answer of calls without content.
type Empty struct{}

// service has the exported methods that net/rpc requires.
type service struct {
	handlers   Handlers
	ctx        context.Context
	maxHandler time.Duration
}

// Heartbeat answers a peer's heartbeat.
func (s *service) Heartbeat(args *membership.Message, reply *membership.Message) error {
	if s.handlers.Heartbeat == nil {
		return &RemoteError{Code: CodeNoHandler, Detail: methodHeartbeat}
	}
	if answer := s.handlers.Heartbeat(args); answer != nil {
		*reply = *answer
	}
	return nil
}

// Announce takes urgent news.
func (s *service) Announce(args *membership.Message, _ *Empty) error {
	if s.handlers.Announce == nil {
		return &RemoteError{Code: CodeNoHandler, Detail: methodAnnounce}
	}
	s.handlers.Announce(args)
	return nil
}

// HandOver takes a stream.
func (s *service) HandOver(args *PayloadArgs, reply *PayloadReply) error {
	s.run(s.handlers.HandOver, methodHandOver, args, reply)
	return nil
}

// Fetch returns a stream.
func (s *service) Fetch(args *PayloadArgs, reply *PayloadReply) error {
	s.run(s.handlers.Fetch, methodFetch, args, reply)
	return nil
}

// Ping answers that the connection works.
func (s *service) Ping(_ *Empty, _ *Empty) error { return nil }

func (s *service) run(h PayloadHandler, method string, args *PayloadArgs, reply *PayloadReply) {
	if h == nil {
		reply.Code, reply.Detail = CodeNoHandler, method
		return
	}
	timeout := min(time.Duration(args.TimeoutMillis)*time.Millisecond, s.maxHandler)
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	payload, err := h(ctx, args.Payload)
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
