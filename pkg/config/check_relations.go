package config

// relations checks an object against those that it names. It runs once all
// objects are checked by themselves and leaves out what has a finding already,
// so that one mistake is not reported again at every object that refers to it.
func (c *checker) relations(e *entry) {
	switch v := e.value.(type) {
	case *Service:
		c.servicePools(e, v)
	case *Route:
		c.served(e, v)
		c.routeTimeout(e, v)
	}
}

// sound returns the named object if it exists and has no finding.
func (c *checker) sound(kind Kind, name string) (*entry, bool) {
	e, ok := c.byKind[kind][name]
	return e, ok && len(e.failed) == 0
}

func (c *checker) servicePools(e *entry, s *Service) {
	for i, name := range s.Pools {
		if pool, ok := c.sound(KindPool, name); ok && len(pool.value.(*Pool).Models) > 0 {
			c.fail(e, item("pools", i), RuleBadValue, "Pool %q runs engines and no plain service", name)
		}
	}
}

// served requires that each pool serves the Route's model itself or, for an
// Adapter, a model under it. An engine loads Adapters beside their Model.
func (c *checker) served(e *entry, r *Route) {
	names, ok := c.modelChain(r.Model)
	if !ok {
		return
	}
	for i, name := range r.Pools {
		if pool, ok := c.sound(KindPool, name); ok && !servesAny(pool.value.(*Pool), names) {
			c.fail(e, item("pools", i), RuleModelNotServed, "Pool %q does not serve %q", name, r.Model)
		}
	}
}

// modelChain returns the names from a Model or Adapter down to the Model. It is
// not ok for a chain that is broken or has a cycle, which is reported already.
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

func (c *checker) routeTimeout(e *entry, r *Route) {
	target, ok := c.sound(KindLatencyTarget, r.LatencyTarget)
	if !ok {
		return
	}
	first := target.value.(*LatencyTarget).FirstTokenSeconds
	if r.DefaultTimeoutSeconds < first {
		c.fail(e, "default_timeout_seconds", RuleUnmeetableLimit,
			"default timeout of %v s is below the first token of %v s in LatencyTarget %q", r.DefaultTimeoutSeconds, first, target.name)
	}
}
