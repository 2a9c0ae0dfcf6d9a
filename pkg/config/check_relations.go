package config

// checkRelations checks an object against the objects that it refers to. It runs
// after all objects have been checked on their own and skips objects that have a
// finding, so that one mistake is not reported again for every object that
// refers to it.
func (c *checker) checkRelations(e *entry) {
	switch v := e.value.(type) {
	case *Service:
		c.checkServicePools(e, v)
	case *Route:
		c.checkModelServed(e, v)
		c.checkRouteTimeout(e, v)
	}
}

// validEntry returns the named object if it exists and has no finding.
func (c *checker) validEntry(kind Kind, name string) (*entry, bool) {
	e, ok := c.byKind[kind][name]
	return e, ok && len(e.failedFields) == 0
}

// checkServicePools requires that no pool of a Service runs engines.
func (c *checker) checkServicePools(e *entry, s *Service) {
	for i, name := range s.Pools {
		if pool, ok := c.validEntry(KindPool, name); ok && len(pool.value.(*Pool).Models) > 0 {
			c.addFinding(e, itemPath("pools", i), RuleBadValue, "Pool %q runs engines and no plain service", name)
		}
	}
}

// checkModelServed requires that each pool of a Route serves the Route's model
// or, for an Adapter, any model in the chain that it is based on. An engine loads
// Adapters alongside their Model.
func (c *checker) checkModelServed(e *entry, r *Route) {
	names, ok := c.modelChain(r.Model)
	if !ok {
		return
	}
	for i, name := range r.Pools {
		if pool, ok := c.validEntry(KindPool, name); ok && !servesAny(pool.value.(*Pool), names) {
			c.addFinding(e, itemPath("pools", i), RuleModelNotServed, "Pool %q does not serve %q", name, r.Model)
		}
	}
}

// modelChain returns the names from a Model or Adapter down to its base Model. It
// returns false for a chain that is broken or has a cycle, both of which have
// been reported already.
func (c *checker) modelChain(name string) ([]string, bool) {
	var names []string
	for range len(c.byKind[KindModel]) {
		e, ok := c.byKind[KindModel][name]
		if !ok {
			return nil, false
		}
		names = append(names, name)
		a, ok := e.value.(*Adapter)
		if !ok {
			return names, true
		}
		name = a.Model
	}
	return nil, false
}

// servesAny reports whether a pool serves any of the names.
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

// checkRouteTimeout requires that a Route's default timeout is not shorter than
// the first-token time of its LatencyTarget.
func (c *checker) checkRouteTimeout(e *entry, r *Route) {
	target, ok := c.validEntry(KindLatencyTarget, r.LatencyTarget)
	if !ok {
		return
	}
	first := target.value.(*LatencyTarget).FirstTokenSeconds
	if r.DefaultTimeoutSeconds < first {
		c.addFinding(e, "default_timeout_seconds", RuleUnmeetableLimit,
			"default timeout of %v s is below the first token of %v s in LatencyTarget %q", r.DefaultTimeoutSeconds, first, target.name)
	}
}
