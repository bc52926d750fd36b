// Package backendconn carries requests to backend servers over kept HTTP/1.1
// connections and tells precisely how far a failed one got.
//
// The transport of net/http is not used because it sends a request again by
// itself when a kept connection turns out to be closed. A request that is not
// idempotent could then run twice.
package backendconn
