package catalogcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
)

// Compare returns what a configuration changes against the one in force, by its effect on
// callers.
func Compare(inForce, next *catalog.Catalog) []Finding {
	var f findings
	if next.Version <= inForce.Version {
		f.add(SeverityError, "version", fmt.Sprintf("%d is not above version %d in force and would be ignored", next.Version, inForce.Version), "raise it")
	}
	f.compareRoutes(inForce, next)
	f.compareServices(inForce, next)
	f.compareAccounts(inForce, next)
	differs(&f, "limits", "bytes of headers", inForce.Limits.MaxHeaderBytes, next.Limits.MaxHeaderBytes)
	differs(&f, "limits", "bytes of bodies", inForce.Limits.MaxBodyBytes, next.Limits.MaxBodyBytes)
	differs(&f, "limits", "header timeout", inForce.Limits.HeaderTimeout, next.Limits.HeaderTimeout)
	differs(&f, "limits", "idle timeout", inForce.Limits.IdleTimeout, next.Limits.IdleTimeout)
	return f.sorted()
}

func (f *findings) change(where, what string) { f.add(SeverityChange, where, what, "") }

// differs adds a change if two values differ.
func differs[T comparable](f *findings, where, name string, before, after T) {
	if before != after {
		f.change(where, fmt.Sprintf("%s %v instead of %v", name, after, before))
	}
}

// comparison lists in words what differs between two routes.
type comparison []string

// compared adds a value to a comparison if it differs.
func compared[T comparable](c *comparison, name string, before, after T) {
	if before != after {
		*c = append(*c, fmt.Sprintf("%s %v instead of %v", name, after, before))
	}
}

// requiresKey reports whether requests to a route of a configuration need an API key.
func requiresKey(c *catalog.Catalog, r *catalog.Route) bool { return c.RequiresKeys() && !r.Public }

// requiresKeys reports whether requests to any route need an API key.
func requiresKeys(c *catalog.Catalog) bool {
	return slices.ContainsFunc(c.Routes, func(r *catalog.Route) bool { return requiresKey(c, r) })
}

// routeChanges returns what differs for requests that were served by route b of the
// configuration in force and will be served by route a of the next one.
func routeChanges(inForce, next *catalog.Catalog, b, a *catalog.Route) []string {
	var c comparison
	if !slices.Equal(a.Split, b.Split) {
		c = append(c, fmt.Sprintf("goes to %s instead of %s", splitText(a), splitText(b)))
	}
	compared(&c, "kind", b.Kind, a.Kind)
	compared(&c, "timeout", b.Timeout, a.Timeout)
	compared(&c, "latency target", b.LatencyTarget, a.LatencyTarget)
	compared(&c, "target for pauses", b.EventGapTarget, a.EventGapTarget)
	compared(&c, "priority", b.Priority, a.Priority)
	compared(&c, "attempts", b.MaxAttempts, a.MaxAttempts)
	compared(&c, "resumable", b.Resumable, a.Resumable)
	switch before, after := requiresKey(inForce, b), requiresKey(next, a); {
	case before && !after:
		c = append(c, "no longer requires a key")
	case after && !before:
		c = append(c, "requires a key: callers without one get 401")
	}
	return c
}

// movedText returns what differs for requests that go to another route.
func movedText(inForce, next *catalog.Catalog, b, a *catalog.Route) string {
	changes := routeChanges(inForce, next, b, a)
	if len(changes) == 0 {
		return ", which treats them alike"
	}
	return ": " + strings.Join(changes, ", ")
}

func (f *findings) compareRoutes(inForce, next *catalog.Catalog) {
	before := routesByPlace(inForce)
	after := routesByPlace(next)
	for place, b := range before {
		a, kept := after[place]
		if !kept {
			instead := "answered 404"
			if o := next.Route(b.Host, b.PathPrefix); o != nil {
				instead = fmt.Sprintf("served by %s%s", routeName(o), movedText(inForce, next, b, o))
			}
			f.change(routeName(b), fmt.Sprintf("removed: requests to %s are %s", place, instead))
			continue
		}
		where := routeName(a)
		differs(f, where, "name", b.Name, a.Name)
		for _, change := range routeChanges(inForce, next, b, a) {
			f.change(where, change)
		}
	}
	for place, a := range after {
		if _, known := before[place]; known {
			continue
		}
		what := fmt.Sprintf("added: requests to %s go to %s", place, splitText(a))
		if b := inForce.Route(a.Host, a.PathPrefix); b != nil {
			what = fmt.Sprintf("added: takes requests to %s from %s%s", place, routeName(b), movedText(inForce, next, b, a))
		} else if requiresKey(next, a) {
			what += " and require a key"
		}
		f.change(routeName(a), what)
	}
}

func routesByPlace(c *catalog.Catalog) map[string]*catalog.Route {
	routes := make(map[string]*catalog.Route, len(c.Routes))
	for _, r := range c.Routes {
		if _, taken := routes[r.Host+r.PathPrefix]; !taken {
			routes[r.Host+r.PathPrefix] = r
		}
	}
	return routes
}

// splitText returns the services of a route with their shares.
func splitText(r *catalog.Route) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	parts := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		parts = append(parts, fmt.Sprintf("%s (%.0f %%)", s.Service, 100*float64(max(s.Weight, 0))/float64(max(total, 1))))
	}
	return strings.Join(parts, ", ")
}

func (f *findings) compareServices(inForce, next *catalog.Catalog) {
	for name, b := range inForce.Services {
		where := "service " + name
		a, kept := next.Services[name]
		if !kept {
			f.change(where, "removed")
			continue
		}
		differs(f, where, "connections per server", b.MaxConnections, a.MaxConnections)
		differs(f, where, "engine", engineText(b.Engine), engineText(a.Engine))
		differs(f, where, "scaling", scalingText(b.Scaling), scalingText(a.Scaling))
	}
	for name := range next.Services {
		if _, known := inForce.Services[name]; !known {
			f.change("service "+name, "added")
		}
	}
}

func engineText(e *catalog.Engine) string {
	if e == nil {
		return "none"
	}
	return fmt.Sprintf("%d slots, %d tokens", e.Slots, e.KVCapacityTokens)
}

func scalingText(s *catalog.Scaling) string {
	if s == nil {
		return "none"
	}
	return fmt.Sprintf("%d to %d in a zone, reclaimable at %g, zones %v", s.Min, s.Max, s.SpotPrice, s.ZonePrices)
}

func (f *findings) compareAccounts(inForce, next *catalog.Catalog) {
	switch {
	case requiresKeys(inForce) && !next.RequiresKeys():
		f.change("accounts", "all removed: routes require no key any more and no usage limits apply")
	case requiresKeys(next) && !inForce.RequiresKeys():
		f.change("accounts", "the first ones: callers without a key get 401 at routes that are not public")
	}
	after := make(map[string]*catalog.ClientAccount, len(next.Accounts))
	for _, a := range next.Accounts {
		after[a.Name] = a
	}
	known := make(map[string]bool)
	for _, b := range inForce.Accounts {
		known[b.Name] = true
		where := "account " + b.Name
		a, kept := after[b.Name]
		if !kept {
			f.change(where, "removed")
		}
		f.compareKeys(next, b)
		if !kept {
			continue
		}
		if added := missing(a.APIKeys, b.APIKeys); added > 0 {
			f.change(where, count(added, "key")+" added")
		}
		differs(f, where, "usage limit", limitText(b), limitText(a))
		differs(f, where, "priority", priorityText(b), priorityText(a))
	}
	for _, a := range next.Accounts {
		if !known[a.Name] {
			f.change("account "+a.Name, fmt.Sprintf("added with %s, usage limit %s, priority %s", count(len(a.APIKeys), "key"), limitText(a), priorityText(a)))
		}
	}
}

// compareKeys says what becomes of the keys of an account in force that it does not hold any
// more.
func (f *findings) compareKeys(next *catalog.Catalog, b *catalog.ClientAccount) {
	where, lost := "account "+b.Name, 0
	moved := make(map[string]int)
	for _, key := range b.APIKeys {
		switch holder := next.Account(key); {
		case holder == nil:
			lost++
		case holder.Name != b.Name:
			moved[holder.Name]++
		}
	}
	for holder, n := range moved {
		f.change(where, fmt.Sprintf("callers with %s are now counted for account %s", countOf(n, len(b.APIKeys)), holder))
	}
	if lost == 0 {
		return
	}
	effect := "get 401"
	if !requiresKeys(next) {
		effect = "need none any more"
	}
	f.change(where, fmt.Sprintf("callers with %s %s", countOf(lost, len(b.APIKeys)), effect))
}

// missing counts the keys that others lacks.
func missing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

// count returns a number with a noun, which is in the plural unless the number is 1.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// countOf returns how many of an account's keys something concerns.
func countOf(n, total int) string {
	if n == total {
		return "its " + count(n, "key")
	}
	return fmt.Sprintf("%d of its %s", n, count(total, "key"))
}

func limitText(a *catalog.ClientAccount) string {
	unit := map[bool]string{true: "tokens", false: "requests"}[a.CountsTokens]
	if a.Rate == 0 {
		return "none"
	}
	return fmt.Sprintf("%g %s a second, burst %g", a.Rate, unit, a.Burst)
}

func priorityText(a *catalog.ClientAccount) string {
	if a.Priority == nil {
		return "that of the route"
	}
	return fmt.Sprint(*a.Priority)
}
