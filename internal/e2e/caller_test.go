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

// call is one call of the model service.
type call struct {
	tokens     int
	prompt     string
	stream     bool
	idempotent bool
	crash      bool   // it crashes the backend server that runs it
	key        string // Idempotency-Key, or none
	deadline   string // seconds, or none
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome fleet.Outcome
	request string // header Bluebell-Request
	id      string // the id under which the engine ran it
	text    string
	done    bool  // a stream's last event came
	err     error // of the connection
}

// whole returns an error unless the answer is that of the whole call.
func (a answer) whole(c call) error {
	if a.err != nil {
		return a.err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d, outcome %s", a.status, a.outcome)
	}
	if c.stream && !a.done {
		return fmt.Errorf("the stream has no end")
	}
	return engine.CheckText(a.id, a.text, c.tokens)
}

// startCall makes a call in the background.
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
		a.readWhole(response.Body)
	}
	return a
}

// completion is the part of an answer or of a chunk that the tests read.
type completion struct {
	ID      string `json:"id"`
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
}

func (a *answer) readWhole(body io.Reader) {
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
			a.done = true
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
