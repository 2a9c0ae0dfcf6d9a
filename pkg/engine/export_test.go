package engine

import "context"

// Exchange exports exchange, so that tests can send requests with any method.
func Exchange(c *HTTPClient, method, address, path string, body any) error {
	return c.exchange(context.Background(), c.pooled, method, address, path, body, nil)
}
