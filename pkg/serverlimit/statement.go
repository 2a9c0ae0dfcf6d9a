// Package serverlimit keeps BackendServers that have stated a request limit from
// getting more requests than that from all daemons together. It does no I/O.
package serverlimit

// Statement is what an answer of a server says about its request limit. The zero
// value states none.
type Statement struct {
	Limited bool
	// PerSecond is the number of requests per second that the server accepts from all
	// daemons together.
	PerSecond float64
	// Unreadable is set if the answer has a limit that is not a number of requests. It
	// says nothing.
	Unreadable bool
}
