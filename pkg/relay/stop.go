package relay

import "net/http"

// responseWriter makes responses close their connections while the daemon is stopping, so that
// callers reconnect to another one.
type responseWriter struct {
	http.ResponseWriter
	handler *Handler
}

// WriteHeader sends the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if header := w.Header(); w.handler.closing.Load() && header.Get("Connection") != "close" {
		// The server closes the connection only if this is the first value.
		header["Connection"] = append([]string{"close"}, header["Connection"]...)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
