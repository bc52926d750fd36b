package settings

import (
	"fmt"
	"strings"
)

// Mistake is a validation error in a tree or an edit.
type Mistake struct {
	Path    Path    `json:"path"`
	Key     KeyName `json:"key,omitempty"`
	Value   string  `json:"value,omitempty"`
	Problem string  `json:"problem"`
	Allowed string  `json:"allowed,omitempty"`
}

// String returns the path, key, value, problem and allowed values in one line.
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

// ValidationError lists all mistakes in a tree or an edit.
type ValidationError struct {
	Mistakes []Mistake
}

// Error implements error, with one mistake per line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, mistake := range e.Mistakes {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns the mistakes as an error, or nil if there are none.
func asError(mistakes []Mistake) error {
	if len(mistakes) == 0 {
		return nil
	}
	return &ValidationError{Mistakes: mistakes}
}
