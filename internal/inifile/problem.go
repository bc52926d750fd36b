package inifile

import (
	"fmt"
	"strings"
)

// Problem is one fault in a file.
type Problem struct {
	Section string // empty if the fault isn't in a section
	Key     string // empty if the fault concerns the whole section
	Message string // what is wrong, and what is allowed
}

// String returns the problem as one line.
func (p Problem) String() string {
	switch {
	case p.Section == "" && p.Key == "":
		return p.Message
	case p.Key == "":
		return fmt.Sprintf("[%s]: %s", p.Section, p.Message)
	default:
		return fmt.Sprintf("[%s] %s: %s", p.Section, p.Key, p.Message)
	}
}

// Error lists all problems of a file.
type Error struct {
	File     string
	Problems []Problem
}

// Error implements error with one line per problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s", e.File, problem))
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by configurations with rules that span several keys.
// Validate is called after all keys have been bound.
type Validator interface {
	Validate() []Problem
}
