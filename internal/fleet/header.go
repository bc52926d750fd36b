package fleet

import (
	"net/http"
	"strings"
)

// IsHopByHop reports whether an HTTP header applies to a single connection, so that
// neither router nor agent may forward it. Content-Length and Host are included,
// since every client library sets them itself. The name is case-insensitive.
func IsHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host":
		return true
	}
	return false
}

// EndToEndHeaders returns the headers that may be forwarded. The result shares its
// values with header.
func EndToEndHeaders(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !IsHopByHop(name) {
			forwarded[name] = values
		}
	}
	return forwarded
}
