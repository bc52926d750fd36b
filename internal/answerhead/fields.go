package answerhead

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// CheckFields checks the names of fields that net/http has parsed. It returns an error that wraps
// ErrInvalid if one has a blank, which is all that the library accepts beyond the protocol.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return errors.WithStack(errBlankInName)
		}
	}
	return nil
}
