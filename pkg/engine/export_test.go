package engine

import "context"

// Exchange lets the tests send a request with any method.
func Exchange(c *HTTPClient, method, address, path string, body any) error {
	return c.exchange(context.Background(), c.shared, method, address, path, body, nil)
}
