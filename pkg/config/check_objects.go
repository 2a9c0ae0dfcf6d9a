package config

import (
	"encoding/hex"
	"strings"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

const (
	// keyHashBytes is the length of a SHA-256 hash in bytes.
	keyHashBytes = 32
	// maxCount bounds the hosts of a pool and the sequences of a host, so that
	// sums over all pools fit in an int.
	maxCount = 1_000_000
	// maxSeconds bounds durations to a week, which also fits in a
	// time.Duration.
	maxSeconds = 7 * 24 * 3600
	// maxRate bounds weights, prices and rates, so that their sums stay finite.
	maxRate = 1e9
)

// checkObject checks the fields of one object and the names that it refers to.
func (c *checker) checkObject(e *entry) {
	switch v := e.value.(type) {
	case *Model:
		c.require(v.ContextTokens > 0, e, "context_tokens", "must be above 0")
		c.require(v.WeightsBytes > 0, e, "weights_bytes", "must be above 0")
	case *Adapter:
		c.checkReference(e, "model", KindModel, v.Model)
	case *Pool:
		c.checkPool(e, v)
	case *BackendServer:
		c.checkReference(e, "pool", KindPool, v.Pool)
	case *Service:
		c.checkService(e, v)
	case *ClientAccount:
		c.checkAccount(e, v)
	case *Route:
		c.checkRoute(e, v)
	case *LatencyTarget:
		c.checkLatencyTarget(e, v)
	}
}

// positiveUpTo reports whether v is above 0 and at most limit.
func positiveUpTo(v, limit float64) bool { return v > 0 && v <= limit }

func (c *checker) checkPool(e *entry, p *Pool) {
	c.require(p.AvailabilityZone != "", e, "availability_zone", "is missing")
	c.require(p.MachineClass != "", e, "machine_class", "is missing")
	purchase := membership.Purchase(p.Purchase)
	c.require(purchase == membership.PurchaseReclaimable || purchase == membership.PurchaseOnDemand, e, "purchase",
		"must be %q or %q", membership.PurchaseReclaimable, membership.PurchaseOnDemand)
	c.require(p.PricePerHour == 0 || positiveUpTo(p.PricePerHour, maxRate), e, "price_per_hour", "must be from 0 to %v", maxRate)
	c.require(p.MaxHosts > 0 && p.MaxHosts <= maxCount, e, "max_hosts", "must be from 1 to %d", maxCount)
	c.checkReferences(e, "models", KindModel, p.Models)
	if len(p.Models) > 0 {
		c.require(p.SequencesPerHost > 0 && p.SequencesPerHost <= maxCount, e, "sequences_per_host",
			"must be from 1 to %d for a pool of engines", maxCount)
		return
	}
	c.require(p.SequencesPerHost >= 0 && p.SequencesPerHost <= maxCount, e, "sequences_per_host", "must be from 0 to %d", maxCount)
}

func (c *checker) checkService(e *entry, s *Service) {
	c.require(len(s.Pools) > 0, e, "pools", "must name a Pool")
	c.checkReferences(e, "pools", KindPool, s.Pools)
	c.require(len(s.Calls) > 0, e, "calls", "must hold a call")
	seen := make(map[string]bool, len(s.Calls))
	for i := range s.Calls {
		call := &s.Calls[i]
		prefix := itemPath("calls", i) + "."
		c.checkCall(e, prefix, call)
		if seen[call.Name] {
			c.addFinding(e, prefix+"name", RuleDuplicateName, "call %q is declared twice", call.Name)
		}
		seen[call.Name] = true
	}
}

func (c *checker) checkCall(e *entry, prefix string, call *Call) {
	c.require(namePattern.MatchString(call.Name), e, prefix+"name", "must match %s", namePattern)
	c.require(strings.HasPrefix(call.Path, "/"), e, prefix+"path", "must start with /")
	c.require(call.Mode == CallRepeatable || call.Mode == CallOnceOnly, e, prefix+"mode",
		"must be %q or %q", CallRepeatable, CallOnceOnly)
	c.require(positiveUpTo(call.TimeoutSeconds, maxSeconds), e, prefix+"timeout_seconds", "must be above 0 and at most %d", maxSeconds)
	c.require(call.LookupPath == "" || strings.HasPrefix(call.LookupPath, "/"), e, prefix+"lookup_path", "must start with /")
	c.require(!call.RequiresKey || call.Mode != CallRepeatable, e, prefix+"requires_key", "applies to once-only calls")
}

func (c *checker) checkAccount(e *entry, a *ClientAccount) {
	c.require(len(a.KeyHashes) > 0, e, "key_hashes", "must hold a hash")
	for i, hash := range a.KeyHashes {
		if _, ok := decodeKeyHash(hash); !ok {
			c.addFinding(e, itemPath("key_hashes", i), RuleBadKeyHash,
				"key hash %d is no SHA-256 in %d lower-case hexadecimal digits", i, 2*keyHashBytes)
		}
	}
	c.require(positiveUpTo(a.Weight, maxRate), e, "weight", "must be above 0 and at most %v", maxRate)
	c.require(a.MaxInFlight > 0, e, "max_in_flight", "must be above 0")
	c.require(positiveUpTo(a.RequestsPerSecond, maxRate), e, "requests_per_second", "must be above 0 and at most %v", maxRate)
	c.checkReferences(e, "routes", KindRoute, a.Routes)
	c.checkReferences(e, "services", KindService, a.Services)
}

// decodeKeyHash decodes a key hash from hexadecimal. It accepts lower case only,
// so that each hash has exactly one spelling.
func decodeKeyHash(s string) ([keyHashBytes]byte, bool) {
	var hash [keyHashBytes]byte
	if len(s) != 2*keyHashBytes || strings.ToLower(s) != s {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(s))
	return hash, err == nil
}

// checkKeyHashes reports a key hash that is listed by two accounts, or twice by
// one account.
func (c *checker) checkKeyHashes() {
	owners := make(map[string]*entry)
	for _, e := range c.entries {
		a, ok := e.value.(*ClientAccount)
		if !ok {
			continue
		}
		for i, hash := range a.KeyHashes {
			if owner, taken := owners[hash]; taken {
				c.addFinding(e, itemPath("key_hashes", i), RuleBadKeyHash, "key hash %d belongs to %s already", i, owner.label())
				continue
			}
			owners[hash] = e
		}
	}
}

func (c *checker) checkLatencyTarget(e *entry, t *LatencyTarget) {
	c.require(positiveUpTo(t.FirstTokenSeconds, maxSeconds), e, "first_token_seconds", "must be above 0 and at most %d", maxSeconds)
	c.require(positiveUpTo(t.BetweenTokensSeconds, maxSeconds), e, "between_tokens_seconds", "must be above 0 and at most %d", maxSeconds)
	c.require(t.Share > 0 && t.Share <= 1, e, "share", "must be above 0 and at most 1")
}

func (c *checker) checkRoute(e *entry, r *Route) {
	c.checkReference(e, "model", KindModel, r.Model)
	c.require(len(r.Pools) > 0, e, "pools", "must name a Pool")
	c.checkReferences(e, "pools", KindPool, r.Pools)
	c.require(r.Priority >= 0, e, "priority", "must not be negative")
	c.require(positiveUpTo(r.DefaultTimeoutSeconds, maxSeconds), e, "default_timeout_seconds", "must be above 0 and at most %d", maxSeconds)
	if r.LatencyTarget != "" {
		c.checkReference(e, "latency_target", KindLatencyTarget, r.LatencyTarget)
	}
	c.require(!r.ShedByTarget || r.LatencyTarget != "", e, "shed_by_target", "needs a latency_target")
	if r.Fallback != "" {
		c.checkReference(e, "fallback", KindRoute, r.Fallback)
	}
}
