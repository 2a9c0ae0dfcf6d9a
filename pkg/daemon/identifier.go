package daemon

import (
	"strings"

	"github.com/google/uuid"
)

// requestIDSeparator stands between the daemon's name and the unique part.
const requestIDSeparator = "."

// newRequestID returns a unique request ID that names the daemon, so that any
// other daemon knows whom to ask for the request.
func newRequestID(daemon string) string {
	return daemon + requestIDSeparator + uuid.NewString()
}

// ownerOf returns the name of the daemon that accepted a request.
func ownerOf(requestID string) string {
	owner, _, _ := strings.Cut(requestID, requestIDSeparator)
	return owner
}
