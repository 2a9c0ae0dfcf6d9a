package daemon

import (
	"strings"

	"github.com/google/uuid"
)

// requestIDSeparator separates the daemon's name from the unique part of a
// request ID.
const requestIDSeparator = "."

// newRequestID returns a unique request ID that starts with the daemon's name, so
// that other daemons can find the daemon that accepted the request.
func newRequestID(daemon string) string {
	return daemon + requestIDSeparator + uuid.NewString()
}

// ownerOf returns the name of the daemon that accepted the request with this ID.
func ownerOf(requestID string) string {
	owner, _, _ := strings.Cut(requestID, requestIDSeparator)
	return owner
}
