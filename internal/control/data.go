package control

import "bytes"

// DataToken guards the data path between routers and agents with the fleet's
// token. Whoever reaches an agent's data port could otherwise run requests in
// the name of any client account. Without a secret, as in tests within one
// process, everything is accepted.
type DataToken struct {
	token token
	open  bool
}

// NewDataToken returns the guard for the secret that all nodes share.
func NewDataToken(secret string) DataToken {
	return DataToken{token: newToken(secret), open: secret == ""}
}

// Header returns the name and the value of the header that carries the token.
func (t DataToken) Header() (name, value string) { return authorizationHeader, t.token.header }

// Accepts tells whether the value of that header carries the token.
func (t DataToken) Accepts(value []byte) bool {
	if t.open {
		return true
	}
	secret, ok := bytes.CutPrefix(value, []byte(bearerPrefix))
	return ok && t.token.matches(secret)
}
