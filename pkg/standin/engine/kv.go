package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// kvCache describes an exported KV cache: its attempt, its size and the number of
// context tokens that it covers.
type kvCache struct {
	Attempt string `json:"attempt"`
	Bytes   int64  `json:"bytes"`
	Tokens  int    `json:"tokens"`
}

// importTimeout limits the transfer of one KV cache.
const importTimeout = 30 * time.Second

// serveExport exports the KV cache of an attempt whose prefill has ended.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body engine.AttemptBody
	if !readJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[body.Attempt]
	if s == nil || s.prefill > 0 || s.entry == nil {
		writeJSON(w, http.StatusNotFound, engine.ErrorBody{Error: "attempt has no KV cache"})
		return
	}
	tokens := s.contextTokens + s.nextOffset - s.firstOffset
	cache := kvCache{Attempt: s.attempt, Bytes: int64(tokens) * e.opts.KVBytesPerToken, Tokens: tokens}
	handle := e.opts.Name + "/" + s.attempt
	e.exports[handle] = cache
	writeJSON(w, http.StatusOK, engine.KVExport{Handle: handle, Bytes: cache.Bytes, Tokens: cache.Tokens})
}

// serveFetch simulates the transfer of an exported KV cache. It waits for as long
// as the transfer would take and sends the description of the cache only.
func (e *Engine) serveFetch(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	cache, ok := e.exports[r.URL.Query().Get("handle")]
	e.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, engine.ErrorBody{Error: "no such export"})
		return
	}
	e.transferMu.Lock()
	defer e.transferMu.Unlock()
	if rate := e.opts.TransferBytesPerSecond; rate > 0 {
		seconds := float64(cache.Bytes) / float64(rate)
		if !e.sleep(time.Duration(seconds * float64(time.Second))) {
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(w, http.StatusOK, cache)
}

// serveImport fetches a KV cache from its source engine.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body engine.ImportBody
	if !readJSON(w, r, &body) {
		return
	}
	cache, err := fetchCache(r.Context(), body.Source, body.Handle)
	if err != nil {
		writeJSON(w, http.StatusBadGateway, engine.ErrorBody{Error: err.Error()})
		return
	}
	e.mu.Lock()
	e.imports[body.Handle] = cache
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// FetchFailedError reports that the source engine refused to send a KV cache.
type FetchFailedError struct {
	Source string
	Status int
}

func (e *FetchFailedError) Error() string {
	return "KV cache not fetched from " + e.Source + ": " + http.StatusText(e.Status)
}

// fetchCache fetches an exported KV cache from the engine at source.
func fetchCache(ctx context.Context, source, handle string) (kvCache, error) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	var cache kvCache
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source+engine.FetchPath(handle), nil)
	if err != nil {
		return cache, errors.Trace(err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return cache, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return cache, &FetchFailedError{Source: source, Status: response.StatusCode}
	}
	return cache, errors.Trace(json.NewDecoder(response.Body).Decode(&cache))
}
