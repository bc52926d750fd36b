// Package backendconn sends requests to backend servers over persistent HTTP/1.1
// connections and reports exactly how far a failed request got.
//
// The transport of net/http is not used because it sends a request again by itself when a
// persistent connection turns out to be closed. A request that is not idempotent could then
// run twice.
package backendconn
