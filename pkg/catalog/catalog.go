// Package catalog holds the routes, services and client accounts of one
// configuration version in the form that serving needs: immutable, indexed by
// host and path prefix and by API key.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindOnce requests may run at most once.
	KindOnce
	// KindStream requests are answered by a stream of events; they run at most
	// once unless their route is resumable.
	KindStream
)

// String returns the name of the kind in logs.
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

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route tells how requests of a host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between events of a timely stream.
	EventGapTarget time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts bounds the BackendServers that one request is sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another BackendServer.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// ServiceFor returns the service that a request goes to; point is spread evenly
// over 0 to 1, and the same point gives the same service.
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

// Scaling bounds the number of BackendServers of a service in a zone.
type Scaling struct {
	Min, Max int
	// SpotPrice is the price of a reclaimable server relative to an on-demand
	// one; 0 means that there are none.
	SpotPrice  float64
	ZonePrices map[string]float64
}

// Service is a group of equal BackendServers.
type Service struct {
	Name           string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil where the number of servers is not ours to order.
	Scaling *Scaling
}

// ClientAccount is a customer with its API keys and its usage limit.
type ClientAccount struct {
	Name    string
	APIKeys []string
	// Priority replaces the route's priority if it is set.
	Priority *int
	// CountsTokens says that Rate and Burst are in tokens, not in requests.
	CountsTokens bool
	// DefaultRequestCost is the cost of a request that states no tokens.
	DefaultRequestCost float64
	// Rate is the limit per second over all daemons; 0 means none.
	Rate  float64
	Burst float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one configuration version.
type Catalog struct {
	Version int64
	// Source is the encoded form that peers are given.
	Source   []byte
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service
	Accounts []*ClientAccount

	byHost map[string][]*Route
	byKey  map[string]*ClientAccount
}

// Index prepares the look-ups; it is called once, before the catalog is shared.
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

// Route returns the route with the longest prefix of path on host, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the holder of an API key, or nil.
func (c *Catalog) Account(key string) *ClientAccount { return c.byKey[key] }

// RequiresKeys reports whether requests carry API keys at all.
func (c *Catalog) RequiresKeys() bool { return len(c.Accounts) > 0 }
