package catalogcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
)

// Fleet counts the servers of each service that accept requests, where they are known.
type Fleet map[string]int

// Check returns the mistakes in a configuration. The fleet is nil if the servers are not known.
func Check(c *catalog.Catalog, fleet Fleet) []Finding {
	var f findings
	if c.Version <= 0 {
		f.add(SeverityError, "version", fmt.Sprintf("%d is not positive", c.Version), "state a version above the one in force")
	}
	f.checkRoutes(c)
	f.checkServices(c, fleet)
	f.checkAccounts(c)
	f.checkRanks(c)
	f.checkLimits(c)
	return f.sorted()
}

func routeName(r *catalog.Route) string { return "route " + r.Name }

func (f *findings) checkRoutes(c *catalog.Catalog) {
	names, places := make(map[string]bool), make(map[string]string)
	for _, r := range c.Routes {
		where, place := routeName(r), r.Host+r.PathPrefix
		if names[r.Name] {
			f.add(SeverityError, where, "the name is used twice", "rename one of the routes")
		}
		names[r.Name] = true
		if other, taken := places[place]; taken {
			f.add(SeverityError, where, fmt.Sprintf("%s has the same host and prefix, so that one of them never matches", other), "remove one of them")
		}
		places[place] = where
		if r.Host == "" {
			f.add(SeverityError, where, "has no host and never matches", "state its host")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			f.add(SeverityError, where, fmt.Sprintf("prefix %q does not begin and end with a slash", r.PathPrefix), "add the slash")
		}
		f.checkSplit(c, r)
		f.checkTimes(r)
		if hidden := redundant(c, r); hidden != nil {
			f.add(SeverityWarning, where, fmt.Sprintf("has no effect: %s (prefix %s) would do the same", routeName(hidden), hidden.PathPrefix), "remove it")
		}
	}
}

// checkSplit checks the services of a route.
func (f *findings) checkSplit(c *catalog.Catalog, r *catalog.Route) {
	total := 0
	for _, s := range r.Split {
		if _, known := c.Services[s.Service]; !known {
			f.add(SeverityError, routeName(r), fmt.Sprintf("leads to service %q, which does not exist", s.Service), "add the service or correct the name")
		}
		switch {
		case s.Weight < 0:
			f.add(SeverityError, routeName(r), fmt.Sprintf("service %s has the negative weight %d", s.Service, s.Weight), "state a weight of 0 or more")
		case s.Weight == 0:
			f.add(SeverityWarning, routeName(r), fmt.Sprintf("service %s has the weight 0 and gets no requests", s.Service), "remove it from the split")
		}
		total += max(s.Weight, 0)
	}
	if total == 0 {
		f.add(SeverityError, routeName(r), "leads to no service", "state a service with a positive weight")
	}
}

// checkTimes checks the times of a route and settings that its kind does not have.
func (f *findings) checkTimes(r *catalog.Route) {
	where := routeName(r)
	if r.Timeout <= 0 {
		f.add(SeverityError, where, fmt.Sprintf("timeout %v is not positive", r.Timeout), "state how long requests may wait")
	}
	if r.LatencyTarget < 0 || r.EventGapTarget < 0 {
		f.add(SeverityError, where, fmt.Sprintf("latency target %v or target for pauses %v is negative", r.LatencyTarget, r.EventGapTarget), "state 0 for no target")
	}
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		f.add(SeverityWarning, where, fmt.Sprintf("latency target %v is above the timeout %v", r.LatencyTarget, r.Timeout), "lower the target or raise the timeout")
	}
	if r.Timeout > 0 && r.EventGapTarget > r.Timeout {
		f.add(SeverityWarning, where, fmt.Sprintf("target for pauses %v is above the timeout %v", r.EventGapTarget, r.Timeout), "lower the target or raise the timeout")
	}
	if r.Kind != catalog.KindStream && (r.EventGapTarget > 0 || r.Resumable) {
		f.add(SeverityWarning, where, "states pauses or resumption, which only streams have", "remove them")
	}
}

// redundant returns the route that would take the requests of a route and do the same with
// them, or nil.
func redundant(c *catalog.Catalog, r *catalog.Route) *catalog.Route {
	var next *catalog.Route
	for _, o := range c.Routes {
		if o.Host == r.Host && len(o.PathPrefix) < len(r.PathPrefix) && strings.HasPrefix(r.PathPrefix, o.PathPrefix) &&
			(next == nil || len(o.PathPrefix) > len(next.PathPrefix)) {
			next = o
		}
	}
	if next == nil || !sameResult(next, r) {
		return nil
	}
	return next
}

// sameResult reports whether two routes treat requests alike.
func sameResult(a, b *catalog.Route) bool {
	return a.Kind == b.Kind && a.Timeout == b.Timeout && a.LatencyTarget == b.LatencyTarget && a.EventGapTarget == b.EventGapTarget &&
		a.Priority == b.Priority && slices.Equal(a.Split, b.Split) && a.MaxAttempts == b.MaxAttempts && a.Public == b.Public && a.Resumable == b.Resumable
}

func (f *findings) checkServices(c *catalog.Catalog, fleet Fleet) {
	for name, s := range c.Services {
		where := "service " + name
		used := false
		for _, r := range c.Routes {
			if !r.Allows(name) {
				continue
			}
			used = true
			if n := fleet[name]; fleet != nil && n > 0 && r.MaxAttempts > max(n, orderable(s.Scaling)) {
				f.add(SeverityWarning, routeName(r), fmt.Sprintf("allows %s, but service %s has %s", count(r.MaxAttempts, "attempt"), name, count(n, "server")), "lower the attempts or add servers")
			}
		}
		if !used {
			f.add(SeverityWarning, where, "no route leads to it", "remove it or add a route")
		}
		if used && fleet != nil && fleet[name] == 0 && orderable(s.Scaling) == 0 {
			f.add(SeverityWarning, where, "has no servers that accept requests", "start servers before its routes are sent")
		}
		if e := s.Engine; e != nil && (e.Slots <= 0 || e.KVCapacityTokens <= 0) {
			f.add(SeverityError, where, fmt.Sprintf("engine has %d slots and a KV cache of %d tokens", e.Slots, e.KVCapacityTokens), "state both")
		}
		if s.MaxConnections < 0 {
			f.add(SeverityError, where, fmt.Sprintf("%d connections per server is negative", s.MaxConnections), "state how many a server accepts")
		}
		f.checkScaling(where, s.Scaling)
	}
}

// orderable returns how many servers of a service monsooncrank may order in all zones.
func orderable(s *catalog.Scaling) int {
	if s == nil {
		return 0
	}
	return max(s.Max, 0) * len(s.ZonePrices)
}

func (f *findings) checkScaling(where string, s *catalog.Scaling) {
	if s == nil {
		return
	}
	if s.Min > s.Max {
		f.add(SeverityError, where, fmt.Sprintf("scaling minimum %d is above the maximum %d", s.Min, s.Max), "raise the maximum or lower the minimum")
	}
	if s.Max <= 0 {
		f.add(SeverityError, where, "scaling allows no servers", "raise the maximum")
	}
	if s.Min < 0 {
		f.add(SeverityError, where, fmt.Sprintf("scaling minimum %d is negative", s.Min), "state 0 or more")
	}
	if s.SpotPrice < 0 {
		f.add(SeverityError, where, fmt.Sprintf("price %g of reclaimable servers is negative", s.SpotPrice), "state 0 for no reclaimable servers")
	}
	for zone, price := range s.ZonePrices {
		if price < 0 {
			f.add(SeverityError, where, fmt.Sprintf("price %g of zone %s is negative", price, zone), "state its price")
		}
	}
	if len(s.ZonePrices) == 0 {
		f.add(SeverityWarning, where, "scaling states no zones, so that no servers are ordered", "state the price of each zone")
	}
	if s.SpotPrice >= 1 {
		f.add(SeverityWarning, where, fmt.Sprintf("reclaimable servers cost %.2f of the price of others", s.SpotPrice), "check the price: they are preferred only if they are cheaper")
	}
}

func (f *findings) checkAccounts(c *catalog.Catalog) {
	names, holders := make(map[string]bool), make(map[string]string)
	allPublic := !slices.ContainsFunc(c.Routes, func(r *catalog.Route) bool { return !r.Public })
	for _, a := range c.Accounts {
		where := "account " + a.Name
		if names[a.Name] {
			f.add(SeverityError, where, "the name is used twice", "join the two accounts")
		}
		names[a.Name] = true
		for i, key := range a.APIKeys {
			switch holder, held := holders[key]; {
			case key == "":
				f.add(SeverityError, where, "has an empty key", "remove it")
			case held:
				f.add(SeverityError, where, fmt.Sprintf("key %d is also held by %s", i+1, holder), "remove it from one of them")
			default:
				holders[key] = where
			}
		}
		if len(a.APIKeys) == 0 {
			f.add(SeverityWarning, where, "has no keys, so that nobody can use it", "add a key or remove the account")
		}
		if allPublic {
			f.add(SeverityWarning, where, "no route requires a key", "make a route private or remove the accounts")
		}
		f.checkUsageLimit(where, a)
	}
}

func (f *findings) checkUsageLimit(where string, a *catalog.ClientAccount) {
	switch {
	case a.Rate < 0 || a.Burst < 0:
		f.add(SeverityError, where, fmt.Sprintf("usage limit of %g a second with a burst of %g is negative", a.Rate, a.Burst), "state 0 for no limit")
	case a.Rate > 0 && a.Burst < a.DefaultRequestCost:
		f.add(SeverityWarning, where, fmt.Sprintf("burst of %g is less than one request, which costs %g", a.Burst, a.DefaultRequestCost), "raise the burst")
	case a.Rate == 0 && a.Burst > 0:
		f.add(SeverityWarning, where, "states a burst without a rate, which is no limit", "state the rate")
	}
}

// lowestRank is the rank of the least urgent requests; the daemon raises or lowers ranks that
// are out of range. A rank is accountPriorityWeight times the priority of the account, if it
// states one, plus that of the route.
const (
	lowestRank            = 9
	accountPriorityWeight = 3
)

// checkRanks checks the ranks of requests by the priorities of routes and accounts.
func (f *findings) checkRanks(c *catalog.Catalog) {
	const advice = "lower or raise the priorities, so that ranks are told apart"
	for _, r := range c.Routes {
		if r.Priority < 0 || r.Priority > lowestRank {
			f.add(SeverityWarning, routeName(r), fmt.Sprintf("priority %d is not from 0 to %d", r.Priority, lowestRank), advice)
		}
	}
	for _, a := range c.Accounts {
		if a.Priority == nil {
			continue
		}
		for _, r := range c.Routes {
			rank := accountPriorityWeight**a.Priority + r.Priority
			if !r.Public && (rank < 0 || rank > lowestRank) {
				f.add(SeverityWarning, "account "+a.Name, fmt.Sprintf("rank %d on %s (%d x its priority %d + priority %d of the route) is not from 0 to %d",
					rank, routeName(r), accountPriorityWeight, *a.Priority, r.Priority, lowestRank), advice)
				break
			}
		}
	}
}

func (f *findings) checkLimits(c *catalog.Catalog) {
	l := c.Limits
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 {
		f.add(SeverityError, "limits", "a size is negative", "state 0 for the default")
	}
}
