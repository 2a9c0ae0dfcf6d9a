// Package routing chooses the BackendServer that runs a request.
//
// Router implements the decision. It combines exact data (this daemon's own
// outstanding attempts per server) with delayed data (load reports and cache
// events) and scores a few candidates: the servers that probably have a prefix
// of the prompt in their cache, the owner of the prefix on a
// consistent-hashing ring, and servers sampled from this daemon's subset. The
// cost of a decision does not grow with the number of servers. Router does no
// I/O and is not safe for concurrent use; Balancer wraps it with a lock,
// records each decision and exports metrics.
package routing
