package agent

import (
	"bytes"
	"encoding/json"
)

// usageTail is the part at the end of an answer in which the usage is sought.
const usageTail = 4 << 10

// usage is what a model engine reports at the end of an answer.
type usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

var usageField = []byte(`"usage":`)

// findUsage finds the last usage object in the end of an answer. It reports
// false when there is none, as in an answer that broke off.
func findUsage(tail []byte) (usage, bool) {
	at := bytes.LastIndex(tail, usageField)
	if at < 0 {
		return usage{}, false
	}
	var found *usage
	decoder := json.NewDecoder(bytes.NewReader(tail[at+len(usageField):]))
	if err := decoder.Decode(&found); err != nil || found == nil {
		return usage{}, false
	}
	return *found, true
}

// eventCounter counts the events of a server-sent event stream in pieces of
// any size.
type eventCounter struct {
	events  uint64
	newline bool // the last byte was the end of a line
}

func (c *eventCounter) write(p []byte) {
	for _, b := range p {
		if b == '\r' {
			continue
		}
		if b == '\n' && c.newline {
			c.events++
			c.newline = false
			continue
		}
		c.newline = b == '\n'
	}
}
