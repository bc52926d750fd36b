package fleet

import (
	"net/http"
	"strings"
)

// IsHopByHop tells whether an HTTP header concerns one connection only, so that
// neither router nor agent may pass it on. The two headers that every client
// library writes by itself, Content-Length and Host, count as such. Upper and
// lower case are the same.
func IsHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host":
		return true
	}
	return false
}

// EndToEndHeaders returns the headers that are passed on. Their values are shared with
// the given ones.
func EndToEndHeaders(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		if !IsHopByHop(name) {
			passed[name] = values
		}
	}
	return passed
}
