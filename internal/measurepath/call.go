// Package measurepath measures the path of plain calls through running
// processes: a router, an agent and a stand-in backend server. The figures hold
// for the machine as it is, so what else it does belongs beside them.
package measurepath

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Target is where the calls go and what they carry.
type Target struct {
	URL    string
	APIKey string
	WorkMs int // work of one call at the stand-in backend server
}

// call makes one call and returns its time until the end of the answer. It
// fails unless the answer's status is 200.
func (t Target) call(ctx context.Context, client *http.Client) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL, strings.NewReader("{}"))
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	request.Header.Set("Authorization", "Bearer "+t.APIKey)
	request.Header.Set("X-Work-Ms", strconv.Itoa(t.WorkMs))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer response.Body.Close()
	// A body that is not read to its end costs the connection.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, errors.Wrap(err, "answer")
	}
	took := time.Since(began)
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s answered with status %d", t.URL, response.StatusCode)
	}
	return took, nil
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
