package answerhead

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// CheckFields checks field names that net/http has parsed. It returns an error that wraps ErrInvalid
// if one has a space; the library refuses other invalid names by itself.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return errors.WithStack(errWhitespaceInName)
		}
	}
	return nil
}
