package sexpr

import (
	"fmt"
	"strings"
)

// FileError is an error in a file, with its position.
type FileError struct {
	File      string `json:"file"`
	Line, Col int    // both start at 1; columns count characters
	Key       string `json:"key,omitempty"` // path of the form that it concerns, such as location.cache.share
	Message   string `json:"message"`
	Hint      string `json:"hint,omitempty"` // a suggested replacement
}

func (e FileError) Error() string {
	s := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Col)
	if e.Key != "" {
		s += e.Key + ": "
	}
	s += e.Message
	if e.Hint != "" {
		s += "; did you mean " + e.Hint + "?"
	}
	return s
}

// FileErrors is the list of all errors in files, ordered by position. Its Error method returns one line per error.
type FileErrors []FileError

func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}
