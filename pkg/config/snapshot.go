package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
)

// NewSnapshot returns a Snapshot of a set and builds its lookup index.
func NewSnapshot(revision uint64, bodyHash string, set *Set) *Snapshot {
	return &Snapshot{Revision: revision, BodyHash: bodyHash, Set: set, index: newIndex(set)}
}

// index maps the names and keys in requests to objects.
type index struct {
	// keysByPrefix groups the accounts' key hashes by their first two bytes, so
	// that a lookup compares only a few hashes, each in constant time.
	keysByPrefix map[uint16][]accountKey
	accounts     map[string]*ClientAccount
	models       map[string]*Model
	adapters     map[string]*Adapter
	pools        map[string]*Pool
	servers      map[string]*BackendServer
	services     map[string]*Service
	calls        map[callKey]*Call
	routes       map[string]*Route
	targets      map[string]*LatencyTarget
	// routeByModel and deferredRouteByModel hold the entry Route of each model
	// for immediate and for deferred requests.
	routeByModel         map[string]*Route
	deferredRouteByModel map[string]*Route
}

type accountKey struct {
	hash    [keyHashBytes]byte
	account *ClientAccount
}

type callKey struct{ service, call string }

func newIndex(s *Set) *index {
	x := &index{
		keysByPrefix: make(map[uint16][]accountKey), accounts: make(map[string]*ClientAccount, len(s.ClientAccounts)),
		models: make(map[string]*Model, len(s.Models)), adapters: make(map[string]*Adapter, len(s.Adapters)),
		pools: make(map[string]*Pool, len(s.Pools)), servers: make(map[string]*BackendServer, len(s.BackendServers)),
		services: make(map[string]*Service, len(s.Services)), calls: make(map[callKey]*Call),
		routes: make(map[string]*Route, len(s.Routes)), targets: make(map[string]*LatencyTarget, len(s.LatencyTargets)),
		routeByModel: make(map[string]*Route, len(s.Routes)), deferredRouteByModel: make(map[string]*Route),
	}
	s.each(func(_ Kind, name string, value any) { x.add(name, value) })
	x.addEntryRoutes(s.Routes)
	return x
}

func (x *index) add(name string, value any) {
	switch v := value.(type) {
	case *Model:
		x.models[name] = v
	case *Adapter:
		x.adapters[name] = v
	case *Pool:
		x.pools[name] = v
	case *BackendServer:
		x.servers[name] = v
	case *Service:
		x.services[name] = v
		for i := range v.Calls {
			x.calls[callKey{name, v.Calls[i].Name}] = &v.Calls[i]
		}
	case *ClientAccount:
		x.accounts[name] = v
		x.addKeys(v)
	case *Route:
		x.routes[name] = v
	case *LatencyTarget:
		x.targets[name] = v
	}
}

func (x *index) addKeys(a *ClientAccount) {
	for _, text := range a.KeyHashes {
		if hash, ok := decodeKeyHash(text); ok {
			prefix := binary.BigEndian.Uint16(hash[:])
			x.keysByPrefix[prefix] = append(x.keysByPrefix[prefix], accountKey{hash, a})
		}
	}
}

// addEntryRoutes indexes the Routes that are not the fallback of another Route of
// the same model.
func (x *index) addEntryRoutes(routes []Route) {
	fallbacks := make(map[string]bool)
	for i := range routes {
		if target, ok := x.routes[routes[i].Fallback]; ok && target.Model == routes[i].Model {
			fallbacks[target.Name] = true
		}
	}
	for i := range routes {
		r := &routes[i]
		entryRoutes := x.routeByModel
		if r.Deferred {
			entryRoutes = x.deferredRouteByModel
		}
		if _, taken := entryRoutes[r.Model]; !taken && !fallbacks[r.Name] {
			entryRoutes[r.Model] = r
		}
	}
}

// lookup returns the index. A Snapshot that was not created by NewSnapshot has
// no index, so a new one is built on every call.
func (s *Snapshot) lookup() *index {
	if s.index != nil {
		return s.index
	}
	return newIndex(s.Set)
}

// AccountByKey returns the account that owns an API key.
func (s *Snapshot) AccountByKey(key string) (*ClientAccount, bool) {
	return s.AccountByKeyHash(sha256.Sum256([]byte(key)))
}

// AccountByKeyHash returns the account that owns the API key with this SHA-256
// hash. Each comparison takes constant time. The choice of the group to search
// depends only on the hash, so its timing reveals nothing about the key.
func (s *Snapshot) AccountByKeyHash(hash [sha256.Size]byte) (*ClientAccount, bool) {
	var found *ClientAccount
	for _, k := range s.lookup().keysByPrefix[binary.BigEndian.Uint16(hash[:])] {
		if subtle.ConstantTimeCompare(k.hash[:], hash[:]) == 1 {
			found = k.account
		}
	}
	return found, found != nil
}

// Account returns a ClientAccount by name.
func (s *Snapshot) Account(name string) (*ClientAccount, bool) {
	a, ok := s.lookup().accounts[name]
	return a, ok
}

// Model returns a Model by name.
func (s *Snapshot) Model(name string) (*Model, bool) {
	m, ok := s.lookup().models[name]
	return m, ok
}

// BaseModel returns the Model that a chain of Adapters is based on, or the named
// Model itself.
func (s *Snapshot) BaseModel(name string) (*Model, bool) {
	x := s.lookup()
	for range len(x.adapters) + 1 {
		a, ok := x.adapters[name]
		if !ok {
			break
		}
		name = a.Model
	}
	m, ok := x.models[name]
	return m, ok
}

// Pool returns a Pool by name.
func (s *Snapshot) Pool(name string) (*Pool, bool) {
	p, ok := s.lookup().pools[name]
	return p, ok
}

// LatencyTarget returns a LatencyTarget by name.
func (s *Snapshot) LatencyTarget(name string) (*LatencyTarget, bool) {
	t, ok := s.lookup().targets[name]
	return t, ok
}

// Service returns a Service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.lookup().services[name]
	return v, ok
}

// Call returns a call by the names of its Service and of the call.
func (s *Snapshot) Call(service, call string) (*Call, bool) {
	c, ok := s.lookup().calls[callKey{service, call}]
	return c, ok
}

// Route returns a Route by name.
func (s *Snapshot) Route(name string) (*Route, bool) {
	r, ok := s.lookup().routes[name]
	return r, ok
}

// RouteByModel returns the entry Route for requests for a Model or Adapter. It
// returns a deferred Route only if the model has no other.
func (s *Snapshot) RouteByModel(model string) (*Route, bool) {
	x := s.lookup()
	if r, ok := x.routeByModel[model]; ok {
		return r, true
	}
	r, ok := x.deferredRouteByModel[model]
	return r, ok
}

// DeferredRouteByModel returns the entry Route for deferred requests: the
// deferred Route if there is one, else the Route that RouteByModel returns.
func (s *Snapshot) DeferredRouteByModel(model string) (*Route, bool) {
	if r, ok := s.lookup().deferredRouteByModel[model]; ok {
		return r, true
	}
	return s.RouteByModel(model)
}

// ChecksFencing reports whether a BackendServer of a Pool rejects an order with
// an outdated fencing number. The server's own setting overrides the Pool's.
func (s *Snapshot) ChecksFencing(server, pool string) bool {
	x := s.lookup()
	if b, ok := x.servers[server]; ok {
		return b.ChecksFencing
	}
	p, ok := x.pools[pool]
	return ok && p.ChecksFencing
}

// MayUseRoute reports whether an account may use a Route.
func (a *ClientAccount) MayUseRoute(name string) bool { return allows(a.Routes, name) }

// MayUseService reports whether an account may use a Service.
func (a *ClientAccount) MayUseService(name string) bool { return allows(a.Services, name) }

// allows reports whether name is in names; an empty list allows every name.
func allows(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
