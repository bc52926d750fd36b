package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// call describes a call of the model service.
type call struct {
	tokens     int
	prompt     string
	stream     bool
	idempotent bool
	crash      bool   // whether it crashes the backend server that runs it
	key        string // Idempotency-Key, or empty
	deadline   string // in seconds, or empty
}

// answer is what a caller received.
type answer struct {
	status  int
	outcome fleet.Outcome
	request string // the header Bluebell-Request
	id      string // the request's id at the engine
	text    string
	ended   bool  // whether a stream's last event arrived
	err     error // of the connection
}

// checkComplete returns an error unless the answer is the complete one to the call.
func (a answer) checkComplete(c call) error {
	if a.err != nil {
		return a.err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d, outcome %s", a.status, a.outcome)
	}
	if c.stream && !a.ended {
		return fmt.Errorf("the stream has no end")
	}
	return engine.CheckText(a.id, a.text, c.tokens)
}

// startCall makes a call in the background. The channel receives its answer.
func startCall(router node, c call) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- makeCall(router, c) }()
	return done
}

func makeCall(router node, c call) answer {
	body := fmt.Sprintf(`{"model":%q,"x_tokens":%d,"stream":%t,"x_crash":%t,"prompt":%q}`,
		service, c.tokens, c.stream, c.crash, c.prompt)
	url := fmt.Sprintf("http://%s/v1/completions", router.data)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Close = true
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Bluebell-Idempotent", fmt.Sprint(c.idempotent))
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	if c.deadline != "" {
		request.Header.Set("Bluebell-Deadline", c.deadline)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{
		status:  response.StatusCode,
		outcome: fleet.Outcome(response.Header.Get("Bluebell-Outcome")),
		request: response.Header.Get("Bluebell-Request"),
	}
	if c.stream {
		a.readStream(response.Body)
	} else {
		a.readCompletion(response.Body)
	}
	return a
}

// completion has the fields of an answer or of a stream's chunk that the tests
// read.
type completion struct {
	ID      string `json:"id"`
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
}

func (a *answer) readCompletion(body io.Reader) {
	var c completion
	data, err := io.ReadAll(body)
	if err != nil {
		a.err = err
		return
	}
	if a.status != http.StatusOK {
		return
	}
	if a.err = json.Unmarshal(data, &c); a.err != nil {
		return
	}
	a.id = c.ID
	for _, choice := range c.Choices {
		a.text += choice.Message.Content
	}
}

func (a *answer) readStream(body io.Reader) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			a.ended = true
			continue
		}
		var c completion
		if err := json.Unmarshal([]byte(event), &c); err != nil {
			a.err = err
			break
		}
		a.id = c.ID
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	a.text = text.String()
	if a.err == nil {
		a.err = lines.Err()
	}
}
