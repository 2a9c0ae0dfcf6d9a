// Package catalog holds the routes, services and client accounts of one
// configuration version in the form used for serving: immutable, and indexed by
// host and path prefix and by API key.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind determines how the requests of a route are answered and whether they may
// run more than once.
type Kind int

// Kinds of requests.
const (
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent Kind = iota + 1
	// KindOnce is for requests that may run at most once.
	KindOnce
	// KindStream is for requests answered by a stream of events. They run at most
	// once unless their route is resumable.
	KindStream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindOnce:
		return "once"
	case KindStream:
		return "stream"
	default:
		return fmt.Sprintf("kind-%d", int(k))
	}
}

// Share is the relative weight of a service in the traffic split of a route.
type Share struct {
	Service string
	Weight  int
}

// Route defines how requests for a host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a request waits for its answer.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the response, or to the first
	// event of a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the time between two events of a stream; a
	// stream with a longer gap does not count as timely.
	EventGapTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	Split    []Share
	// MaxAttempts is the maximum number of BackendServers that one request is sent
	// to.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Resumable is set if a stream may be continued by another BackendServer.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Allows reports whether requests of the route may be sent to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// ServiceFor returns the service that a request is sent to, according to the
// weights in Split. The parameter point is uniformly distributed in [0, 1); the
// same point always yields the same service.
func (r *Route) ServiceFor(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots            int
	KVCapacityTokens int
}

// Scaling holds the limits for the number of BackendServers of a service in an
// AvailabilityZone, and the prices.
type Scaling struct {
	Min, Max int
	// SpotPrice is the price of a reclaimable server relative to that of an
	// on-demand server; 0 means that there are no reclaimable servers.
	SpotPrice  float64
	ZonePrices map[string]float64
}

// Service is a group of identical BackendServers.
type Service struct {
	Name           string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if monsooncrank does not order the servers of the service.
	Scaling *Scaling
}

// ClientAccount is a customer with its API keys and its usage limit.
type ClientAccount struct {
	Name    string
	APIKeys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// CountsTokens is set if Rate and Burst are in tokens instead of requests.
	CountsTokens bool
	// DefaultRequestCost is the cost of a request that does not state its number
	// of tokens, and of every request if CountsTokens is not set.
	DefaultRequestCost float64
	// Rate is the limit per second, summed over all daemons; 0 means no limit.
	Rate  float64
	Burst float64
}

// Limits restricts the size and the timing of client requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one configuration version.
type Catalog struct {
	Version int64
	// Source is the encoded configuration as it is sent to peers.
	Source   []byte
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service
	Accounts []*ClientAccount

	byHost map[string][]*Route
	byKey  map[string]*ClientAccount
}

// Index builds the lookup tables. It must be called once, before the catalog is
// shared.
func (c *Catalog) Index() {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	c.byKey = make(map[string]*ClientAccount)
	for _, a := range c.Accounts {
		for _, key := range a.APIKeys {
			c.byKey[key] = a
		}
	}
}

// Route returns the route of the host with the longest prefix of path, or nil if
// none matches.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that owns an API key, or nil if there is none.
func (c *Catalog) Account(key string) *ClientAccount { return c.byKey[key] }

// RequiresKeys reports whether the configuration has client accounts, so that
// requests to routes that are not public need API keys.
func (c *Catalog) RequiresKeys() bool { return len(c.Accounts) > 0 }
