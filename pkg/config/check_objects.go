package config

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

func (c *checker) object(e *entry) {
	switch v := e.value.(type) {
	case *Model:
		c.require(v.ContextTokens > 0, e, "context_tokens", "must be above 0")
		c.require(v.WeightsBytes > 0, e, "weights_bytes", "must be above 0")
	case *Adapter:
		c.reference(e, "model", KindModel, v.Model)
	case *Pool:
		c.pool(e, v)
	case *BackendServer:
		c.reference(e, "pool", KindPool, v.Pool)
	case *Service:
		c.service(e, v)
	case *ClientAccount:
		c.account(e, v)
	case *Route:
		c.route(e, v)
	case *LatencyTarget:
		c.latencyTarget(e, v)
	}
}

// positive excludes infinity, which JSON cannot hold, for sets built in code.
func positive(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

func (c *checker) pool(e *entry, p *Pool) {
	c.require(p.AvailabilityZone != "", e, "availability_zone", "is missing")
	c.require(p.MachineClass != "", e, "machine_class", "is missing")
	purchase := membership.Purchase(p.Purchase)
	c.require(purchase == membership.PurchaseReclaimable || purchase == membership.PurchaseOnDemand, e, "purchase",
		"must be %q or %q", membership.PurchaseReclaimable, membership.PurchaseOnDemand)
	c.require(p.PricePerHour == 0 || positive(p.PricePerHour), e, "price_per_hour", "must not be negative")
	c.require(p.MaxHosts > 0, e, "max_hosts", "must be above 0")
	c.references(e, "models", KindModel, p.Models)
	if len(p.Models) > 0 {
		c.require(p.SequencesPerHost > 0, e, "sequences_per_host", "must be above 0 for a pool of engines")
		return
	}
	c.require(p.SequencesPerHost >= 0, e, "sequences_per_host", "must not be negative")
}

func (c *checker) service(e *entry, s *Service) {
	c.require(len(s.Pools) > 0, e, "pools", "must name a Pool")
	for _, pool := range c.references(e, "pools", KindPool, s.Pools) {
		if p := pool.value.(*Pool); len(p.Models) > 0 {
			c.fail(e, "pools", RuleBadValue, "Pool %q runs engines and no plain service", p.Name)
		}
	}
	c.require(len(s.Calls) > 0, e, "calls", "must hold a call")
	seen := make(map[string]bool, len(s.Calls))
	for i := range s.Calls {
		call := &s.Calls[i]
		prefix := "calls[" + strconv.Itoa(i) + "]."
		c.call(e, prefix, call)
		if seen[call.Name] {
			c.fail(e, prefix+"name", RuleDuplicateName, "call %q is declared twice", call.Name)
		}
		seen[call.Name] = true
	}
}

func (c *checker) call(e *entry, prefix string, call *Call) {
	c.require(namePattern.MatchString(call.Name), e, prefix+"name", "must match %s", namePattern)
	c.require(strings.HasPrefix(call.Path, "/"), e, prefix+"path", "must start with /")
	c.require(call.Mode == CallRepeatable || call.Mode == CallOnceOnly, e, prefix+"mode",
		"must be %q or %q", CallRepeatable, CallOnceOnly)
	c.require(positive(call.TimeoutSeconds), e, prefix+"timeout_seconds", "must be above 0")
	c.require(call.LookupPath == "" || strings.HasPrefix(call.LookupPath, "/"), e, prefix+"lookup_path", "must start with /")
	c.require(!call.RequiresKey || call.Mode != CallRepeatable, e, prefix+"requires_key", "applies to once-only calls")
}

func (c *checker) account(e *entry, a *ClientAccount) {
	c.require(len(a.KeyHashes) > 0, e, "key_hashes", "must hold a hash")
	for i, hash := range a.KeyHashes {
		if _, ok := decodeKeyHash(hash); !ok {
			c.fail(e, "key_hashes["+strconv.Itoa(i)+"]", RuleBadKeyHash,
				"key hash %d is no SHA-256 in %d lower-case hexadecimal digits", i, 2*keyHashBytes)
		}
	}
	c.require(positive(a.Weight), e, "weight", "must be above 0")
	c.require(a.MaxInFlight > 0, e, "max_in_flight", "must be above 0")
	c.require(positive(a.RequestsPerSecond), e, "requests_per_second", "must be above 0")
	c.references(e, "routes", KindRoute, a.Routes)
	c.references(e, "services", KindService, a.Services)
}

// decodeKeyHash accepts lower case only, so that one hash has one spelling.
func decodeKeyHash(s string) ([keyHashBytes]byte, bool) {
	var hash [keyHashBytes]byte
	if len(s) != 2*keyHashBytes || strings.ToLower(s) != s {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(s))
	return hash, err == nil
}

// keyHashes reports a key that two accounts, or one account twice, claim.
func (c *checker) keyHashes() {
	owners := make(map[string]*entry)
	for _, e := range c.entries {
		a, ok := e.value.(*ClientAccount)
		if !ok {
			continue
		}
		for i, hash := range a.KeyHashes {
			if owner, taken := owners[hash]; taken {
				c.fail(e, "key_hashes["+strconv.Itoa(i)+"]", RuleBadKeyHash, "key hash %d belongs to %s already", i, owner.label())
				continue
			}
			owners[hash] = e
		}
	}
}

func (c *checker) latencyTarget(e *entry, t *LatencyTarget) {
	c.require(positive(t.FirstTokenSeconds), e, "first_token_seconds", "must be above 0")
	c.require(positive(t.BetweenTokensSeconds), e, "between_tokens_seconds", "must be above 0")
	c.require(t.Share > 0 && t.Share <= 1, e, "share", "must be above 0 and at most 1")
}

func (c *checker) route(e *entry, r *Route) {
	model := c.reference(e, "model", KindModel, r.Model)
	c.require(len(r.Pools) > 0, e, "pools", "must name a Pool")
	pools := c.references(e, "pools", KindPool, r.Pools)
	if model != nil {
		c.served(e, model, pools)
	}
	c.require(r.Priority >= 0, e, "priority", "must not be negative")
	c.require(positive(r.DefaultTimeoutSeconds), e, "default_timeout_seconds", "must be above 0")
	if r.LatencyTarget != "" {
		c.routeTarget(e, r)
	}
	if r.Fallback != "" {
		c.reference(e, "fallback", KindRoute, r.Fallback)
	}
}

// served requires that each pool serves the model itself or, for an Adapter,
// a model under it. An engine loads Adapters beside their Model. A chain with a
// finding of its own is not judged.
func (c *checker) served(e, model *entry, pools []*entry) {
	names, ok := c.modelChain(model)
	if !ok {
		return
	}
	for _, pool := range pools {
		p := pool.value.(*Pool)
		if len(pool.failed) > 0 || servesAny(p, names) {
			continue
		}
		c.fail(e, "pools", RuleModelNotServed, "Pool %q does not serve %q", p.Name, model.name)
	}
}

// modelChain returns the names from a Model or Adapter down to the Model.
func (c *checker) modelChain(model *entry) ([]string, bool) {
	var names []string
	for e := model; e != nil && len(names) <= len(c.byKind[KindModel]); {
		names = append(names, e.name)
		a, ok := e.value.(*Adapter)
		if !ok {
			return names, true
		}
		e = c.byKind[KindModel][a.Model]
	}
	return nil, false
}

func servesAny(p *Pool, names []string) bool {
	for _, served := range p.Models {
		for _, name := range names {
			if served == name {
				return true
			}
		}
	}
	return false
}

func (c *checker) routeTarget(e *entry, r *Route) {
	target := c.reference(e, "latency_target", KindLatencyTarget, r.LatencyTarget)
	if target == nil {
		return
	}
	first := target.value.(*LatencyTarget).FirstTokenSeconds
	if r.DefaultTimeoutSeconds < first {
		c.fail(e, "default_timeout_seconds", RuleUnmeetableLimit,
			"default timeout of %v s is below the first token of %v s in LatencyTarget %q", r.DefaultTimeoutSeconds, first, target.name)
	}
}
