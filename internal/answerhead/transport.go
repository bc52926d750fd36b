package answerhead

import (
	"net/http"

	"github.com/pkg/errors"
)

// RequireValid returns a transport that fails responses whose head is not valid, with an error that
// wraps ErrInvalid.
func RequireValid(next http.RoundTripper) http.RoundTripper { return validTransport{next: next} }

type validTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t validTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close() // the response is not used
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes those of the transport below, as http.Client asks for it.
func (t validTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// checkResponse returns why the final head of a response is not valid, or nil. The transport handles
// interim responses.
func checkResponse(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrInvalid, "status code %03d", response.StatusCode)
	}
	return CheckFields(response.Header)
}
