// Package routing chooses the BackendServer that runs a request.
//
// Router is the core. It combines what this daemon knows exactly (its own
// outstanding work per server) with what it learns late (load reports, cache
// events) and scores a few candidates: the likely holders of the prompt's
// prefix, the prefix's owner on a consistent-hashing ring, and servers sampled
// from this daemon's subset. The cost of a choice does not grow with the number
// of servers. Router does no I/O and is not safe for concurrent use; Balancer
// is the driver that locks it, logs each decision and counts metrics.
package routing
