package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// token is the secret that all nodes of a fleet share. Only hashes are compared,
// so that the time of a comparison reveals neither its length nor its content.
type token struct {
	header string
	hash   [sha256.Size]byte
}

func newToken(secret string) token {
	return token{header: bearerPrefix + secret, hash: sha256.Sum256([]byte(secret))}
}

// addTo adds the token to a request's header.
func (t token) addTo(header http.Header) {
	header.Set(authorizationHeader, t.header)
}

// accepts reports whether a request's header carries the token.
func (t token) accepts(header http.Header) bool {
	secret, ok := strings.CutPrefix(header.Get(authorizationHeader), bearerPrefix)
	return ok && t.matches([]byte(secret))
}

func (t token) matches(secret []byte) bool {
	hash := sha256.Sum256(secret)
	return subtle.ConstantTimeCompare(hash[:], t.hash[:]) == 1
}
