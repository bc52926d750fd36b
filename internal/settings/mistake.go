package settings

import (
	"fmt"
	"strings"
)

// Mistake is one fault of a tree or of an edit.
type Mistake struct {
	Path    Path    `json:"path"`
	Key     KeyName `json:"key,omitempty"`
	Value   string  `json:"value,omitempty"`
	Problem string  `json:"problem"`
	Allowed string  `json:"allowed,omitempty"`
}

// String names path, key, value, what is wrong and what is allowed.
func (m Mistake) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s]", m.Path)
	if m.Key != "" {
		fmt.Fprintf(&text, " %s", m.Key)
	}
	if m.Value != "" {
		fmt.Fprintf(&text, " = %s", m.Value)
	}
	fmt.Fprintf(&text, ": %s", m.Problem)
	if m.Allowed != "" {
		fmt.Fprintf(&text, " (allowed: %s)", m.Allowed)
	}
	return text.String()
}

// ValidationError lists all mistakes of a tree or of an edit.
type ValidationError struct {
	Mistakes []Mistake
}

// Error implements error with one mistake a line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, mistake := range e.Mistakes {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns the mistakes as an error, or nil when there are none.
func asError(mistakes []Mistake) error {
	if len(mistakes) == 0 {
		return nil
	}
	return &ValidationError{Mistakes: mistakes}
}
