package streamversion

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
)

// A stream of which no record is left began at one of the services to which the routes that match its
// request have led since it may have begun. Routes are kept like the versions of a further service: in
// the history that daemons tell one another, and in the store. A route is kept as the key of its host
// and path prefix and as its split; that no route had this key, as one that leads nowhere.

// routesOfStreams is the name under which routes are kept. Names of services have no spaces.
const routesOfStreams = "routes of streams"

const (
	// noRoute is the split of a key that no route has.
	noRoute = "-"
	// maxRoutes is the number of routes up to which each is kept by itself. More are kept as one under
	// allRoutes, which changes whenever one of them does.
	maxRoutes = 256
	allRoutes = "all"
)

// isService reports whether versions are kept under a name, not routes or ages.
func isService(name string) bool { return name != agesOfStreams && name != routesOfStreams }

// Route is a route for streams that callers may take up.
type Route struct {
	Host, PathPrefix string
	Split            []catalog.Share
}

// keyOfRoute returns the key under which a route of a host and a path prefix is kept.
func keyOfRoute(host, prefix string) string {
	return strconv.FormatUint(xxhash.Sum64String(host+"\x00"+prefix)>>16, 36)
}

// encodeSplit returns the services of a split and their weights as text.
func encodeSplit(split []catalog.Share) string {
	var text strings.Builder
	for _, share := range split {
		if share.Weight > 0 {
			text.WriteString(url.QueryEscape(share.Service) + ":" + strconv.Itoa(share.Weight) + ",")
		}
	}
	return text.String()
}

// decodeSplit returns the split of a text. It is empty if the text cannot be read.
func decodeSplit(text string) []catalog.Share {
	var split []catalog.Share
	for part := range strings.SplitSeq(strings.TrimSuffix(text, ","), ",") {
		name, weight, _ := strings.Cut(part, ":")
		service, err := url.QueryUnescape(name)
		n, errWeight := strconv.Atoi(weight)
		if err != nil || errWeight != nil {
			return nil
		}
		split = append(split, catalog.Share{Service: service, Weight: n})
	}
	return split
}

// routeUse returns the use of a route, or of the absence of one.
func (h *history) routeUse(key, split string) *versionUse {
	return h.use(Origin{Service: routesOfStreams, Version: key + " " + split})
}

// SetRoutes records the routes in force.
func (c *Core) SetRoutes(now time.Time, list []Route) {
	h, routes := c.versions, make(map[string]string, len(list))
	digest := xxhash.New()
	for _, r := range list {
		key, split := keyOfRoute(r.Host, r.PathPrefix), encodeSplit(r.Split)
		routes[key] = split
		// Writing to a hash cannot fail.
		_, _ = digest.WriteString(key + " " + split + "\n")
	}
	h.table = strconv.FormatUint(digest.Sum64(), 36)
	if len(routes) > maxRoutes {
		routes = map[string]string{allRoutes: h.table}
	}
	first := h.routesSince.IsZero()
	if first {
		h.routesSince = now
	}
	if first || !maps.Equal(routes, h.routes) {
		h.configuredAt = now
	}
	for key, split := range h.routes {
		if routes[key] != split {
			use := h.routeUse(key, split)
			use.servers, use.endedAt, use.leftAt = 0, now.Add(configurationLag), now
		}
	}
	for key, split := range routes {
		before, known := h.routes[key]
		if known && before == split {
			continue
		}
		if !known && !first {
			h.routeUse(key, noRoute).endedAt = now.Add(configurationLag)
		}
		use := h.routeUse(key, split)
		use.joined(now, c.StreamAge(now))
		use.servers = 1
	}
	h.routes = routes
	h.forget(now, routesOfStreams, c.StreamAge(now))
}

// routesKnown reports whether this daemon knows all routes that were in force within the age of
// streams. A daemon that was told no routes sends all streams of a request to one service.
func (h *history) routesKnown(now time.Time, age time.Duration) bool {
	return h.routesSince.IsZero() || now.Sub(h.routesSince) >= age
}

// routesUnchanged reports whether the routes that lead to a service have been the same for as long as
// streams may be taken up.
func (h *history) routesUnchanged(now time.Time, service string, age time.Duration) bool {
	if !h.routesKnown(now, age) {
		return false
	}
	for text, use := range h.services[routesOfStreams] {
		if use.servers > 0 || !use.mayBeInUse(now, age) {
			continue
		}
		key, split, _ := strings.Cut(text, " ")
		if split == noRoute {
			split = h.routes[key]
		}
		if key == allRoutes || strings.Contains(","+split, ","+url.QueryEscape(service)+":") {
			return false
		}
	}
	return true
}

// servicesOf returns the services to which the routes that match the request of a stream have led
// within the age of streams, and false if they are not known.
func (h *history) servicesOf(now time.Time, s *Stream, age time.Duration) ([]string, bool) {
	if h.routesSince.IsZero() {
		return []string{s.Service}, true
	}
	earlier := make(map[string][]string)
	for text, use := range h.services[routesOfStreams] {
		if key, split, _ := strings.Cut(text, " "); use.servers == 0 && use.mayBeInUse(now, age) {
			earlier[key] = append(earlier[key], split)
		}
	}
	services := []string{s.Service}
	if len(earlier[allRoutes]) > 0 || !h.routesKnown(now, age) {
		return services, false
	}
	if h.routes[allRoutes] != "" {
		// One table of many routes. Others that were in force before are kept one by one.
		return services, len(earlier) == 0
	}
	add := func(split string) bool {
		service := (&catalog.Route{Split: decodeSplit(split)}).ServiceFor(s.Point)
		if service != "" && !slices.Contains(services, service) {
			services = append(services, service)
		}
		return service != ""
	}
	// The longest prefix goes first. A shorter one matters only if no route has had the longer one for
	// a while.
	for n := len(s.Path); n >= 0; n-- {
		key := keyOfRoute(s.Host, s.Path[:n])
		split, inForce := h.routes[key]
		if inForce && !add(split) {
			return services, false
		}
		wasAbsent := !inForce
		for _, split := range earlier[key] {
			if split == noRoute {
				wasAbsent = true
			} else if !add(split) {
				return services, false
			}
		}
		if !wasAbsent {
			break
		}
	}
	return services, true
}

// noteNewRoutes records that the routes in force that a complete row lacks were absent until now, as far
// as those know that have written it. A daemon that adds them to the row adds that as well.
func (h *history) noteNewRoutes(at time.Time, row Row) {
	if !row.Complete {
		return
	}
	for key, split := range h.routes {
		if !row.Versions.Contains(routesOfStreams, key+" "+split) {
			h.claim(routesOfStreams, h.routeUse(key, noRoute), at, true)
		}
	}
}

// mergeStoredRoutes adds what a complete row says of routes. A row of a build that keeps no routes says
// nothing, nor does one that was read before the routes in force were known.
func (h *history) mergeStoredRoutes(readAt time.Time, row Row, age time.Duration) {
	if !row.Complete || len(row.Versions[routesOfStreams]) == 0 || h.routesSince.IsZero() || h.routesSince.After(readAt) {
		return
	}
	h.noteNewRoutes(readAt, row)
	if since := readAt.Add(-age); since.Before(h.routesSince) {
		h.routesSince = since
	}
}

// mergeTable adds that another daemon has known all routes since a time, if it has the same ones in
// force. Those that it has seen end are among the uses that it has told.
func (h *history) mergeTable(now, askedAt time.Time, other *History) {
	if other.Table == "" || other.Table != h.table || askedAt.Before(h.routesSince) {
		return
	}
	if since := now.Add(-time.Duration(other.RoutesMillis) * time.Millisecond); since.Before(h.routesSince) {
		h.routesSince = since
	}
}
