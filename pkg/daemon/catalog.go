package daemon

import (
	"net/http"
	"sort"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// notReadyRetryAfter is when a caller may come back while this daemon has not
// confirmed a configuration.
const notReadyRetryAfter = time.Second

// Configuration returns the snapshot in force, or an error while none is
// confirmed.
type Configuration interface {
	Current() (*config.Snapshot, error)
}

// catalog answers from the configuration in force.
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
	declared, _, ok := c.Call(service, call)
	return seconds(declared.TimeoutSeconds), ok
}

// Models implements gateway.Catalog.
func (c *catalog) Models(account string) []string {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return nil
	}
	owner, ok := snapshot.Account(account)
	if !ok {
		return nil
	}
	names := make(map[string]struct{})
	for _, route := range snapshot.Set.Routes {
		if owner.MayUseRoute(route.Name) {
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
	declared, ok := snapshot.Call(service, call)
	if !ok {
		return config.Call{}, nil, false
	}
	owner, ok := snapshot.Service(service)
	if !ok {
		return config.Call{}, nil, false
	}
	return *declared, owner.Pools, true
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

// firstTokenTarget returns the time to the first token beyond which a Route
// refuses requests; false for none.
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

// mayChat checks that an account may use the Route of a model.
func (c *catalog) mayChat(account, model string, deferred bool) error {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return api.NewNotRunProblem(api.ProblemNotReady, http.StatusServiceUnavailable, err.Error()).WithRetryAfter(notReadyRetryAfter)
	}
	route, ok := c.route(model, deferred)
	owner, known := snapshot.Account(account)
	if !ok || !known || !owner.MayUseRoute(route.Name) {
		return api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "the account has no route to model "+model)
	}
	return nil
}

// mayCall checks that an account may use a Service.
func (c *catalog) mayCall(account, service string) error {
	snapshot, err := c.configuration.Current()
	if err != nil {
		return api.NewNotRunProblem(api.ProblemNotReady, http.StatusServiceUnavailable, err.Error()).WithRetryAfter(notReadyRetryAfter)
	}
	owner, known := snapshot.Account(account)
	if !known || !owner.MayUseService(service) {
		return api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "the account may not use service "+service)
	}
	return nil
}
