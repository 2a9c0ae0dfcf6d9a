package config

// capacity is how many requests a group of pools can hold at once.
type capacity struct {
	pools map[string]bool
	holds int
	// unsure is set when an object in the way has a finding of its own, so
	// that the sum means nothing.
	unsure bool
}

func newCapacity() *capacity { return &capacity{pools: make(map[string]bool)} }

func (c *checker) addPools(sum *capacity, names []string) {
	for _, name := range names {
		if sum.pools[name] {
			continue
		}
		sum.pools[name] = true
		e, ok := c.sound(KindPool, name)
		if !ok {
			sum.unsure = true
			continue
		}
		p := e.value.(*Pool)
		sum.holds += p.MaxHosts * max(p.SequencesPerHost, 1)
	}
}

// addRoute adds the pools of a Route and of its fallbacks.
func (c *checker) addRoute(sum *capacity, name string) {
	for seen := 0; name != "" && seen <= len(c.byKind[KindRoute]); seen++ {
		e, ok := c.sound(KindRoute, name)
		if !ok {
			sum.unsure = true
			return
		}
		r := e.value.(*Route)
		c.addPools(sum, r.Pools)
		name = r.Fallback
	}
}

func (c *checker) addService(sum *capacity, name string) {
	e, ok := c.sound(KindService, name)
	if !ok {
		sum.unsure = true
		return
	}
	c.addPools(sum, e.value.(*Service).Pools)
}

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

// accountCapacity compares an account's limit with what its pools can hold.
// Pools of engines and pools of services are disjoint.
func (c *checker) accountCapacity(e *entry, a *ClientAccount) {
	if len(e.failed) > 0 {
		return
	}
	routes, services := c.routesCapacity(a.Routes), c.servicesCapacity(a.Services)
	if routes.unsure || services.unsure {
		return
	}
	if holds := routes.holds + services.holds; a.MaxInFlight > holds {
		c.fail(e, "max_in_flight", RuleUnmeetableLimit, "max_in_flight %d is above the %d requests that all its pools can hold", a.MaxInFlight, holds)
	}
}

// entryRoutes requires that a request for a model finds one Route: among the
// Routes of a model that no other of its Routes falls back to, at most one is
// deferred and at most one is not.
func (c *checker) entryRoutes() {
	fallbacks := c.sameModelFallbacks()
	type place struct {
		model    string
		deferred bool
	}
	first := make(map[place]*entry)
	for _, e := range c.entries {
		r, ok := e.value.(*Route)
		if !ok || r.Model == "" || fallbacks[r.Name] || c.byKind[KindRoute][r.Name] != e {
			continue
		}
		at := place{r.Model, r.Deferred}
		if other, taken := first[at]; taken {
			c.fail(e, "model", RuleDuplicateName, "%q is routed by %s already; make one the fallback of the other", r.Model, other.label())
			continue
		}
		first[at] = e
	}
}

// sameModelFallbacks returns the Routes that another Route of the same model
// falls back to.
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
