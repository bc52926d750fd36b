package inifile

import (
	"fmt"
	"strings"
)

// Mistake is one fault of a file.
type Mistake struct {
	Section string // empty when the fault is not in a section
	Key     string // empty when the fault is that of a whole section
	Problem string // what is wrong and what is allowed
}

// String returns the mistake as one line.
func (m Mistake) String() string {
	switch {
	case m.Section == "" && m.Key == "":
		return m.Problem
	case m.Key == "":
		return fmt.Sprintf("[%s]: %s", m.Section, m.Problem)
	default:
		return fmt.Sprintf("[%s] %s: %s", m.Section, m.Key, m.Problem)
	}
}

// Error lists all mistakes of a file.
type Error struct {
	File     string
	Mistakes []Mistake
}

// Error implements error with one line per mistake.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, mistake := range e.Mistakes {
		lines = append(lines, fmt.Sprintf("%s: %s", e.File, mistake))
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by configurations with rules that concern several
// keys. Validate is called after all keys have been bound.
type Validator interface {
	Validate() []Mistake
}
