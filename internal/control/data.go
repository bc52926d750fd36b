package control

import "bytes"

// DataToken authenticates requests on the data path between routers and agents by
// the fleet's token. Without it, anyone who reaches an agent's data port could run
// requests on behalf of any client account. If the secret is empty, as in tests
// within one process, all requests are accepted.
type DataToken struct {
	token     token
	acceptAll bool
}

// NewDataToken returns the DataToken of the secret that all nodes share.
func NewDataToken(secret string) DataToken {
	return DataToken{token: newToken(secret), acceptAll: secret == ""}
}

// Header returns the name and value of the header that carries the token.
func (t DataToken) Header() (name, value string) { return authorizationHeader, t.token.header }

// Accepts reports whether the header value carries the token.
func (t DataToken) Accepts(value []byte) bool {
	if t.acceptAll {
		return true
	}
	secret, ok := bytes.CutPrefix(value, []byte(bearerPrefix))
	return ok && t.token.matches(secret)
}
