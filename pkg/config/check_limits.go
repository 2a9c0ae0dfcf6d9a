package config

// capacity is the number of requests that a group of pools can run at once.
type capacity struct {
	// pools holds the names of the pools that are counted already.
	pools       map[string]bool
	maxRequests int
	// incomplete is set when an object that the sum depends on is missing or
	// has a finding of its own, so that the sum cannot be used.
	incomplete bool
}

func newCapacity() *capacity { return &capacity{pools: make(map[string]bool)} }

// addPools adds the named pools to sum, each once.
func (c *checker) addPools(sum *capacity, names []string) {
	for _, name := range names {
		if sum.pools[name] {
			continue
		}
		sum.pools[name] = true
		e, ok := c.validEntry(KindPool, name)
		if !ok {
			sum.incomplete = true
			continue
		}
		p := e.value.(*Pool)
		sum.maxRequests += p.MaxHosts * max(p.SequencesPerHost, 1)
	}
}

// addRoute adds the pools of a Route and of its fallbacks. The number of steps
// is bounded, because fallbacks may form a cycle.
func (c *checker) addRoute(sum *capacity, name string) {
	for seen := 0; name != "" && seen <= len(c.byKind[KindRoute]); seen++ {
		e, ok := c.validEntry(KindRoute, name)
		if !ok {
			sum.incomplete = true
			return
		}
		r := e.value.(*Route)
		c.addPools(sum, r.Pools)
		name = r.Fallback
	}
}

func (c *checker) addService(sum *capacity, name string) {
	e, ok := c.validEntry(KindService, name)
	if !ok {
		sum.incomplete = true
		return
	}
	c.addPools(sum, e.value.(*Service).Pools)
}

// routesCapacity returns the capacity of the named Routes, or of all Routes if
// names is empty.
func (c *checker) routesCapacity(names []string) *capacity {
	if len(names) == 0 {
		if c.allRoutes == nil {
			c.allRoutes = newCapacity()
			for name := range c.byKind[KindRoute] {
				c.addRoute(c.allRoutes, name)
			}
		}
		return c.allRoutes
	}
	sum := newCapacity()
	for _, name := range names {
		c.addRoute(sum, name)
	}
	return sum
}

// servicesCapacity returns the capacity of the named Services, or of all
// Services if names is empty.
func (c *checker) servicesCapacity(names []string) *capacity {
	if len(names) == 0 {
		if c.allServices == nil {
			c.allServices = newCapacity()
			for name := range c.byKind[KindService] {
				c.addService(c.allServices, name)
			}
		}
		return c.allServices
	}
	sum := newCapacity()
	for _, name := range names {
		c.addService(sum, name)
	}
	return sum
}

// checkAccountCapacity requires that an account's max_in_flight does not exceed
// the capacity of its pools. The capacities of Routes and Services can be added,
// because no pool belongs to both engines and services.
func (c *checker) checkAccountCapacity(e *entry, a *ClientAccount) {
	if len(e.failedFields) > 0 {
		return
	}
	routes, services := c.routesCapacity(a.Routes), c.servicesCapacity(a.Services)
	if routes.incomplete || services.incomplete {
		return
	}
	if maxRequests := routes.maxRequests + services.maxRequests; a.MaxInFlight > maxRequests {
		c.addFinding(e, "max_in_flight", RuleUnmeetableLimit, "max_in_flight %d is above the %d requests that all its pools can hold", a.MaxInFlight, maxRequests)
	}
}

// checkEntryRoutes requires that the entry Route of a request is unambiguous.
// Among the Routes of a model that are not the fallback of another Route of that
// model, at most one may be deferred and at most one may not.
func (c *checker) checkEntryRoutes() {
	fallbacks := c.sameModelFallbacks()
	type routeSlot struct {
		model    string
		deferred bool
	}
	first := make(map[routeSlot]*entry)
	for _, e := range c.entries {
		r, ok := e.value.(*Route)
		if !ok || r.Model == "" || fallbacks[r.Name] || c.byKind[KindRoute][r.Name] != e {
			continue
		}
		slot := routeSlot{r.Model, r.Deferred}
		if other, taken := first[slot]; taken {
			c.addFinding(e, "model", RuleDuplicateName, "%q is routed by %s already; make one the fallback of the other", r.Model, other.label())
			continue
		}
		first[slot] = e
	}
}

// sameModelFallbacks returns the names of the Routes that are the fallback of
// another Route of the same model.
func (c *checker) sameModelFallbacks() map[string]bool {
	fallbacks := make(map[string]bool)
	for _, e := range c.byKind[KindRoute] {
		r := e.value.(*Route)
		if target, ok := c.byKind[KindRoute][r.Fallback]; ok && target.value.(*Route).Model == r.Model {
			fallbacks[r.Fallback] = true
		}
	}
	return fallbacks
}
