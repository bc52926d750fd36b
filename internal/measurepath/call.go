// Package measurepath measures the path of plain calls through running
// processes: a router, an agent and a stand-in backend server. Results depend on
// the machine and on its other load, which should be reported with them.
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

// Target describes the calls of a measurement.
type Target struct {
	URL    string
	APIKey string
	WorkMs int // work time of a call at the stand-in backend server
}

// call makes a call and returns the time until the end of the answer. It returns
// an error unless the status is 200.
func (t Target) call(ctx context.Context, client *http.Client) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL, strings.NewReader("{}"))
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	request.Header.Set("Authorization", "Bearer "+t.APIKey)
	request.Header.Set("X-Work-Ms", strconv.Itoa(t.WorkMs))
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer response.Body.Close()
	// The connection is reused only if the body is read to its end.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, errors.Wrap(err, "answer")
	}
	elapsed := time.Since(start)
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s answered with status %d", t.URL, response.StatusCode)
	}
	return elapsed, nil
}

// sleep waits for the duration, or returns an error when the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
