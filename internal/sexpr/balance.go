package sexpr

import "fmt"

// checkBalance finds errors that a recursive parser reports badly: parentheses that do not match, strings that do not end on their line,
// and nesting that is too deep.
func checkBalance(name, text string) *FileError {
	b := balance{file: name, place: place{line: 1}}
	for _, r := range text {
		b.col++
		if e := b.read(r); e != nil {
			return e
		}
	}
	return b.end()
}

// place is a position in a text.
type place struct{ line, col int }

// balance is the state of the check after a part of the text.
type balance struct {
	file string
	place
	open      []place // parentheses that are not closed
	inString  bool
	inComment bool
	isEscaped bool // the next character of a string
}

func (b *balance) read(r rune) *FileError {
	switch {
	case r == '\n':
		return b.endLine()
	case b.inComment:
	case b.isEscaped:
		b.isEscaped = false
	case b.inString:
		b.isEscaped = r == '\\'
		b.inString = r != '"'
	case r == '"':
		b.inString = true
	case r == ';':
		b.inComment = true
	case r == '(':
		return b.openList()
	case r == ')':
		if len(b.open) == 0 {
			return b.errorAt(b.place, "this ) closes nothing")
		}
		b.open = b.open[:len(b.open)-1]
	}
	return nil
}

func (b *balance) endLine() *FileError {
	if b.inString {
		return b.errorAt(b.place, "the string does not end on its line")
	}
	b.line++
	b.col = 0
	b.inComment = false
	return nil
}

// openList opens a list. Where one opens in the first column inside another, the other was not closed.
func (b *balance) openList() *FileError {
	if b.col == 1 && len(b.open) > 0 {
		return b.errorAt(b.open[0], "this form is not closed before the next one begins on line %d", b.line)
	}
	if len(b.open) == MaxDepth {
		return b.errorAt(b.place, "nested deeper than %d", MaxDepth)
	}
	b.open = append(b.open, b.place)
	return nil
}

func (b *balance) end() *FileError {
	if b.inString {
		return b.errorAt(b.place, "the string does not end on its line")
	}
	if len(b.open) > 0 {
		return b.errorAt(b.open[0], "this form is not closed")
	}
	return nil
}

func (b *balance) errorAt(p place, format string, args ...any) *FileError {
	return &FileError{File: b.file, Line: p.line, Col: p.col, Message: fmt.Sprintf(format, args...)}
}
