package inifile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	Section string // empty when the fault is not in a section
	Key     string // empty when the fault is that of a whole section
	Message string // what is wrong and what is allowed
}

// String returns the mistake as one line.
func (m Problem) String() string {
	switch {
	case m.Section == "" && m.Key == "":
		return m.Message
	case m.Key == "":
		return fmt.Sprintf("[%s]: %s", m.Section, m.Message)
	default:
		return fmt.Sprintf("[%s] %s: %s", m.Section, m.Key, m.Message)
	}
}

// Error lists all mistakes of a file.
type Error struct {
	File     string
	Problems []Problem
}

// Error implements error with one line per mistake.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, mistake := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s", e.File, mistake))
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by configurations with rules that concern several
// keys. Validate is called after all keys have been bound.
type Validator interface {
	Validate() []Problem
}
