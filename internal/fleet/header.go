package fleet

import "strings"

// HopByHop tells whether an HTTP header concerns one connection only, so that
// neither router nor agent may pass it on. The two headers that every client
// library writes by itself, Content-Length and Host, count as such. Upper and
// lower case are the same.
func HopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host":
		return true
	}
	return false
}
