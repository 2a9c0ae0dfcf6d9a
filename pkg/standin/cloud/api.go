package cloud

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

var _ cloud.API = (*Cloud)(nil)

// limitRetryAfter is what a caller over the rate limit is told to wait.
const limitRetryAfter = time.Second

// admit applies the rate limit. The caller holds the lock.
func (c *Cloud) admit(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return &cloud.UnavailableError{Cause: err}
	}
	if !c.limiter.AllowN(c.o.Clock.Now(), 1) {
		c.ledger.RateLimited++
		return &cloud.RateLimitedError{RetryAfter: limitRetryAfter}
	}
	return nil
}

// Start implements cloud.API.
func (c *Cloud) Start(ctx context.Context, req cloud.StartRequest) (cloud.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admit(ctx); err != nil {
		return cloud.Host{}, err
	}
	h, err := c.start(req)
	if err != nil {
		return cloud.Host{}, err
	}
	if c.answerLost() {
		return cloud.Host{}, &cloud.AmbiguousError{}
	}
	return h, nil
}

// Stop implements cloud.API.
func (c *Cloud) Stop(ctx context.Context, hostID string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admit(ctx); err != nil {
		return err
	}
	c.settle()
	if _, ok := c.hosts[hostID]; !ok {
		return &cloud.NotFoundError{HostID: hostID}
	}
	c.remove(hostID)
	c.ledger.Stops++
	if c.answerLost() {
		return &cloud.AmbiguousError{}
	}
	return nil
}

// List implements cloud.API.
func (c *Cloud) List(ctx context.Context) ([]cloud.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admit(ctx); err != nil {
		return nil, err
	}
	c.settle()
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
	if err := c.admit(ctx); err != nil {
		return nil, err
	}
	c.settle()
	var notices []cloud.Notice
	for _, id := range c.sortedIDs() {
		if h := c.hosts[id]; !h.reclaimAt.IsZero() {
			notices = append(notices, cloud.Notice{HostID: id, ReclaimAt: h.reclaimAt})
		}
	}
	return notices, nil
}
