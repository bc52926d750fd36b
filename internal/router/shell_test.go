package router

import (
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

func keyHash(key string) settings.KeyHash { return sha256.Sum256([]byte(key)) }

const (
	wholeCall  = `{"model":"lm","messages":[]}`
	streamCall = `{"model":"lm","stream":true,"messages":[]}`
)

// client gives up on calls that are never answered.
var client = &http.Client{Timeout: patience}

// answerOf is what a caller gets.
type answerOf struct {
	status  int
	outcome string
	header  http.Header
	body    string
	err     error // while the body was read
}

func ask(t *testing.T, method, url, body string, headers ...string) answerOf {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return answerOf{response.StatusCode, response.Header.Get(headerOutcome), response.Header, string(read), err}
}

func echo(request *rpc.RunRequest, frames *frameWriter) {
	frames.accepted(1)
	frames.head(200)
	frames.data("data: a\n\n")
	frames.data("data: " + request.Path + "\n\n")
	frames.end()
}

func TestAnswers(t *testing.T) {
	model, plain := startAgent(t, testModel), startAgent(t, testPlain)
	model.run, plain.run = echo, echo
	base := startRouter(t, nil, model, plain)
	for _, test := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		outcome, contains        string
	}{
		{"whole", "POST", "/v1/chat/completions", wholeCall, nil, 200, "completed", "data: /v1/chat/completions\n\n"},
		{"stream", "POST", "/v1/completions", streamCall, nil, 200, "unknown", ": bluebell-outcome completed\n\n"},
		{"plain", "PUT", "/svc/app/x/y?z=1", "b", nil, 200, "completed", "data: /x/y?z=1\n\n"},
		{"plain root", "DELETE", "/svc/app", "", nil, 200, "completed", "data: /\n\n"},
		{"unknown model", "POST", "/v1/completions", `{"model":"other"}`, nil, 404, "not-run", `"code":"model_not_found"`},
		{"no model", "POST", "/v1/completions", `{}`, nil, 400, "not-run", `"code":"missing_model"`},
		{"bad JSON", "POST", "/v1/completions", `{"model`, nil, 400, "not-run", `"code":"invalid_json"`},
		{"unknown service", "GET", "/svc/none/", "", nil, 404, "not-run", `"code":"service_not_found"`},
		{"unknown path", "GET", "/v2", "", nil, 404, "not-run", `"type":"invalid_request_error"`},
		{"unknown key", "GET", "/svc/app/", "", []string{"Authorization", "Bearer x"}, 401, "not-run", `"code":"invalid_api_key"`},
		{"no key", "GET", "/svc/app/", "", []string{"Authorization", "Basic x"}, 401, "not-run", `"code":"missing_api_key"`},
		{"deadline", "GET", "/svc/app/", "", []string{headerDeadline, "soon"}, 400, "not-run", `"code":"invalid_deadline"`},
		{"idempotent", "GET", "/svc/app/", "", []string{headerIdempotent, "yes"}, 400, "not-run", `"code":"invalid_idempotent"`},
		{"too large", "POST", "/svc/app/", strings.Repeat("x", 1<<16+1), nil, 413, "not-run", `"code":"request_too_large"`},
		{"large from a stranger", "POST", "/svc/app/", strings.Repeat("x", 1<<14), []string{"Authorization", "Bearer x"}, 401, "not-run", `"code":"invalid_api_key"`},
		{"packed", "POST", "/svc/app/", "\x1f\x8b not gzip", []string{"Content-Encoding", "gzip"}, 200, "completed", "data: a"},
		{"much too large", "POST", "/svc/app/", strings.Repeat("x", 1<<18), nil, 413, "not-run", `"error"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ask(t, test.method, base+test.path, test.body, test.headers...)
			if got.status != test.status || got.outcome != test.outcome || !strings.Contains(got.body, test.contains) || got.err != nil {
				t.Errorf("got %+v", got)
			}
			if len(got.header.Get(headerRequest)) != 36 {
				t.Errorf("no request id in %v", got.header)
			}
		})
	}
}
