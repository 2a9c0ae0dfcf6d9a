package quarantine

import "k8s.io/utils/lru"

// maxDistinguished limits the number of requests whose queries are told apart. The
// one that was asked for longest ago is dropped first.
const maxDistinguished = 4096

// Recognition decides which requests are the same one sent again. A caller that sends
// a request again may change its query, such as a page number or a nonce, so requests
// that differ in their query only are the same. That must not make all queries of a
// resource suspect because of one: once a request with any query has completed, those
// with different queries are different requests. Recognition does no I/O and is safe
// for concurrent use.
type Recognition struct{ distinguished *lru.Cache }

// NewRecognition returns an empty Recognition.
func NewRecognition() *Recognition { return &Recognition{distinguished: lru.New(maxDistinguished)} }

// Fingerprint returns the fingerprint under which the crashes of a request with a query
// are counted: general, which leaves out the query, or exact, which holds it.
func (r *Recognition) Fingerprint(general, exact Fingerprint) Fingerprint {
	if _, completed := r.distinguished.Get(general); completed {
		return exact
	}
	return general
}

// Completed records that a request with a query has completed.
func (r *Recognition) Completed(general Fingerprint) { r.distinguished.Add(general, struct{}{}) }
