package sexpr

import (
	"fmt"
	"strings"
)

// FileError is one thing that is wrong in a file, and where.
type FileError struct {
	File      string `json:"file"`
	Line, Col int    // from 1 on; columns count characters
	Key       string `json:"key,omitempty"` // the form that it is about, as in location.cache.share
	Message   string `json:"message"`
	Hint      string `json:"hint,omitempty"` // what may have been meant
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

// FileErrors are all errors of a file, in the order of their places. As an error it has a line for each.
type FileErrors []FileError

func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}
