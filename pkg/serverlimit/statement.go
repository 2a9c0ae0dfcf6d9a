// Package serverlimit keeps BackendServers that have stated a request limit from
// getting more requests than that from all daemons together, and brittle ones from having
// to turn away more requests than they bear. It does no I/O.
package serverlimit

// Statement is what an answer of a server says about its request limit. The zero
// value states none.
type Statement struct {
	Limited bool
	// PerSecond is the number of requests per second that the server accepts from all
	// daemons together.
	PerSecond float64
	// Brittle is set if the server falls over when it has to turn away more than MaxRefusals
	// requests in a second.
	Brittle     bool
	MaxRefusals float64
	// Unreadable is set if the answer has a limit or a number of refusals that is not a number of requests. It
	// says nothing.
	Unreadable bool
}
