package cloud

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

var _ cloud.API = (*Cloud)(nil)

// limitRetryAfter is the Retry-After value for callers that exceed the rate limit.
const limitRetryAfter = time.Second

// checkRateLimit returns an error if the request exceeds the rate limit or its
// context is done. The caller holds c.mu.
func (c *Cloud) checkRateLimit(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return &cloud.UnavailableError{Cause: err}
	}
	if !c.limiter.AllowN(c.options.Clock.Now(), 1) {
		c.ledger.RateLimited++
		return &cloud.RateLimitedError{RetryAfter: limitRetryAfter}
	}
	return nil
}

// Start implements cloud.API.
func (c *Cloud) Start(ctx context.Context, req cloud.StartRequest) (cloud.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkRateLimit(ctx); err != nil {
		return cloud.Host{}, err
	}
	h, err := c.start(req)
	if err != nil {
		return cloud.Host{}, err
	}
	if c.takeLostAnswer() {
		return cloud.Host{}, &cloud.AmbiguousError{}
	}
	return h, nil
}

// Stop implements cloud.API.
func (c *Cloud) Stop(ctx context.Context, hostID string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkRateLimit(ctx); err != nil {
		return err
	}
	c.updateHosts()
	if _, ok := c.hosts[hostID]; !ok {
		return &cloud.NotFoundError{HostID: hostID}
	}
	c.remove(hostID)
	c.ledger.Stops++
	if c.takeLostAnswer() {
		return &cloud.AmbiguousError{}
	}
	return nil
}

// List implements cloud.API.
func (c *Cloud) List(ctx context.Context) ([]cloud.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkRateLimit(ctx); err != nil {
		return nil, err
	}
	c.updateHosts()
	hosts := make([]cloud.Host, 0, len(c.hosts))
	for _, id := range c.sortedIDs() {
		hosts = append(hosts, c.hosts[id].Host)
	}
	return hosts, nil
}

// Notices implements cloud.API.
func (c *Cloud) Notices(ctx context.Context) ([]cloud.Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkRateLimit(ctx); err != nil {
		return nil, err
	}
	c.updateHosts()
	var notices []cloud.Notice
	for _, id := range c.sortedIDs() {
		if h := c.hosts[id]; !h.reclaimAt.IsZero() {
			notices = append(notices, cloud.Notice{HostID: id, ReclaimAt: h.reclaimAt})
		}
	}
	return notices, nil
}
