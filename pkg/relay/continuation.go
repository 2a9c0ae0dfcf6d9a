package relay

import (
	"fmt"
	"mime"
	"net/http"
)

// mediaTypeEvents is the media type of streams.
const mediaTypeEvents = "text/event-stream"

// NotAContinuationError reports a response that can't continue a stream of which the caller has events.
type NotAContinuationError struct {
	Status      int
	ContentType string
}

func (e *NotAContinuationError) Error() string {
	return fmt.Sprintf("status %d with content type %q does not continue a stream", e.Status, e.ContentType)
}

// checkContinuation returns an error if the caller has part of a stream and a successful response is not
// another part: it may be a report of a failure with status 200, or have no body at all.
func (x *exchange) checkContinuation(response *http.Response) error {
	if !x.begun {
		return nil
	}
	contentType := response.Header.Get("Content-Type")
	if response.StatusCode == http.StatusOK && (mediaType(contentType) == mediaTypeEvents || contentType == x.w.Header().Get("Content-Type")) {
		return nil
	}
	return &NotAContinuationError{Status: response.StatusCode, ContentType: contentType}
}

// UnnumberedEventError reports bytes without an event ID in a stream whose events have IDs.
type UnnumberedEventError struct{ After string }

func (e *UnnumberedEventError) Error() string { return "event without ID after event " + e.After }

// checkNumbered returns an error if an event has no ID although those before it have: it may be the
// answer to another request, which follows a response that ends with its connection.
func (x *exchange) checkNumbered(e event) error {
	if last := x.resumeEventID(); last != "" && e.id == "" && e.hasFields {
		return &UnnumberedEventError{After: last}
	}
	return nil
}

// sentEvent records that the caller has an event. A comment does not change its place in the stream.
func (x *exchange) sentEvent(e event) {
	if e.id != "" {
		x.lastSentEventID = e.id
	}
	x.eventsSent++
}

// mediaType returns the media type of a content type without its parameters, or an empty one if it can't
// be parsed.
func mediaType(contentType string) string {
	name, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return ""
	}
	return name
}
