package daemon

import (
	"net/http"
	"sort"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// notReadyRetryAfter is the Retry-After time sent to callers while this daemon has
// no confirmed configuration, and when the store is unavailable.
const notReadyRetryAfter = time.Second

// Configuration provides the configuration in force. Current returns an error as
// long as no configuration is confirmed.
type Configuration interface {
	Current() (*config.Snapshot, error)
}

// catalog looks up accounts, routes and services in the configuration in force.
type catalog struct{ configuration Configuration }

// Authenticate implements gateway.Catalog.
func (c *catalog) Authenticate(apiKey string) (string, uint64, error) {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return "", 0, api.NewNotRunProblem(api.ProblemNotReady, http.StatusServiceUnavailable,
			"no configuration is confirmed: "+err.Error()).WithRetryAfter(notReadyRetryAfter)
	}
	account, ok := snapshot.AccountByKey(apiKey)
	if !ok {
		return "", 0, api.NewNotRunProblem(api.ProblemUnauthorized, http.StatusUnauthorized, "the API key is not known")
	}
	return account.Name, snapshot.Revision, nil
}

// ChatTimeout implements gateway.Catalog.
func (c *catalog) ChatTimeout(model string, deferred bool) (time.Duration, bool) {
	route, ok := c.route(model, deferred)
	if !ok {
		return 0, false
	}
	return seconds(route.DefaultTimeoutSeconds), true
}

// CallTimeout implements gateway.Catalog.
func (c *catalog) CallTimeout(service, call string) (time.Duration, bool) {
	callConfig, _, ok := c.Call(service, call)
	return seconds(callConfig.TimeoutSeconds), ok
}

// Models implements gateway.Catalog.
func (c *catalog) Models(account string) []string {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return nil
	}
	clientAccount, ok := snapshot.Account(account)
	if !ok {
		return nil
	}
	names := make(map[string]struct{})
	for _, route := range snapshot.Set.Routes {
		if clientAccount.MayUseRoute(route.Name) {
			names[route.Model] = struct{}{}
		}
	}
	models := make([]string, 0, len(names))
	for name := range names {
		models = append(models, name)
	}
	sort.Strings(models)
	return models
}

// Call implements oncecall.Configuration.
func (c *catalog) Call(service, call string) (config.Call, []string, bool) {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return config.Call{}, nil, false
	}
	callConfig, ok := snapshot.Call(service, call)
	if !ok {
		return config.Call{}, nil, false
	}
	serviceConfig, ok := snapshot.Service(service)
	if !ok {
		return config.Call{}, nil, false
	}
	return *callConfig, serviceConfig.Pools, true
}

func (c *catalog) route(model string, deferred bool) (*config.Route, bool) {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return nil, false
	}
	if deferred {
		return snapshot.DeferredRouteByModel(model)
	}
	return snapshot.RouteByModel(model)
}

// streamRoute implements streaming.Options.Route.
func (c *catalog) streamRoute(model string, deferred bool) (streaming.Route, bool) {
	route, ok := c.route(model, deferred)
	if !ok {
		return streaming.Route{}, false
	}
	return streaming.Route{
		Name:     route.Name,
		Pools:    route.Pools,
		Priority: route.Priority,
		Timeout:  seconds(route.DefaultTimeoutSeconds),
	}, true
}

// firstTokenTarget returns the target time to first token of a Route that sheds
// load by its latency target, and false for other Routes. Requests that would
// miss the target are refused.
func (c *catalog) firstTokenTarget(name string) (time.Duration, bool) {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return 0, false
	}
	route, ok := snapshot.Route(name)
	if !ok || !route.ShedByTarget {
		return 0, false
	}
	target, ok := snapshot.LatencyTarget(route.LatencyTarget)
	if !ok {
		return 0, false
	}
	return seconds(target.FirstTokenSeconds), true
}

// authorizeChat returns a problem if the account may not use the Route of the
// model.
func (c *catalog) authorizeChat(account, model string, deferred bool) error {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return api.NewNotRunProblem(api.ProblemNotReady, http.StatusServiceUnavailable, err.Error()).WithRetryAfter(notReadyRetryAfter)
	}
	route, ok := c.route(model, deferred)
	clientAccount, known := snapshot.Account(account)
	if !ok || !known || !clientAccount.MayUseRoute(route.Name) {
		return api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "the account has no route to model "+model)
	}
	return nil
}

// authorizeCall returns a problem if the account may not use the Service.
func (c *catalog) authorizeCall(account, service string) error {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return api.NewNotRunProblem(api.ProblemNotReady, http.StatusServiceUnavailable, err.Error()).WithRetryAfter(notReadyRetryAfter)
	}
	clientAccount, known := snapshot.Account(account)
	if !known || !clientAccount.MayUseService(service) {
		return api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "the account may not use service "+service)
	}
	return nil
}
