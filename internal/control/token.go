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

// token is the secret that all nodes of a fleet share. Only its hash is
// compared, so that the time it takes tells nothing of its length or content.
type token struct {
	header string
	hash   [sha256.Size]byte
}

func newToken(secret string) token {
	return token{header: bearerPrefix + secret, hash: sha256.Sum256([]byte(secret))}
}

// sign adds the token to a request.
func (t token) sign(header http.Header) {
	header.Set(authorizationHeader, t.header)
}

// accepts reports whether a request carries the token.
func (t token) accepts(header http.Header) bool {
	secret, ok := strings.CutPrefix(header.Get(authorizationHeader), bearerPrefix)
	return ok && t.matches([]byte(secret))
}

func (t token) matches(secret []byte) bool {
	hash := sha256.Sum256(secret)
	return subtle.ConstantTimeCompare(hash[:], t.hash[:]) == 1
}
