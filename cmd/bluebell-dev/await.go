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
	// startTimeout bounds the wait until all services answer.
	startTimeout = 30 * time.Second
	// pollInterval is the time between two checks.
	pollInterval = 20 * time.Millisecond
)

// awaitReady waits until all nodes are ready and each service has answered a call,
// so that the commands of the welcome text work when it is printed.
func (s *sample) awaitReady(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !s.allReady() || !s.answersCalls(limited) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limited.Done():
			return errors.New("the fleet did not answer a first call; try --log-level info")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (s *sample) allReady() bool {
	return lo.EveryBy(s.readiness, func(r *daemon.Readiness) bool { return r.NotReady() == "" })
}

// answersCalls calls each service as client account kitchen and reports whether
// all answered. The call of the plain service carries a key: agents can't tell
// whether a key made before their start is new, and refuse it.
func (s *sample) answersCalls(ctx context.Context) bool {
	model := fmt.Sprintf(`{"model":%q,"x_tokens":1,"messages":[]}`, modelService)
	return s.call(ctx, "/v1/chat/completions", model, "") &&
		s.call(ctx, fmt.Sprintf("/svc/%s/", plainService), "{}", newKey())
}

// newKey returns an Idempotency-Key, a UUIDv7, which contains the time.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// call makes a call and reports whether it was answered with status 200. key may
// be empty.
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
