package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
)

const (
	// startTimeout bounds the wait for the first answers.
	startTimeout = 30 * time.Second
	// startPoll is the time between two looks.
	startPoll = 20 * time.Millisecond
)

// await waits until all nodes are ready and each service has answered a call,
// so that the lines that are printed work at once.
func (s *sample) await(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !s.allReady() || !s.answers(limited) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limited.Done():
			return errors.New("the fleet did not answer a first call; try --log-level info")
		case <-time.After(startPoll):
		}
	}
	return nil
}

func (s *sample) allReady() bool {
	return lo.EveryBy(s.ready, func(r *daemon.Readiness) bool { return r.NotReady() == "" })
}

// answers makes a call of each service as client account kitchen. The plain
// one carries a key: agents that have just started can't tell about keys that
// were made up to then, and refuse them.
func (s *sample) answers(ctx context.Context) bool {
	model := fmt.Sprintf(`{"model":%q,"x_tokens":1,"messages":[]}`, modelService)
	return s.call(ctx, "/v1/chat/completions", model, "") &&
		s.call(ctx, fmt.Sprintf("/svc/%s/", plainService), "{}", newKey())
}

// newKey returns an Idempotency-Key that tells when it was made.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// call reports whether a call was answered. key may be empty.
func (s *sample) call(ctx context.Context, path, body, key string) bool {
	url := fmt.Sprintf("http://%s%s", s.welcome.Callers, path)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+kitchenKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
