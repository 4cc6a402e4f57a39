package sexpr

import "fmt"

// checkBalance returns the first error of a kind that a recursive parser reports poorly: unbalanced parentheses, strings that do not end
// on their line, and nesting that is too deep. It returns nil if there is none.
func checkBalance(name, text string) *FileError {
	b := balanceChecker{file: name, position: position{line: 1}}
	for _, r := range text {
		b.col++
		if e := b.checkRune(r); e != nil {
			return e
		}
	}
	return b.finish()
}

// position is a line and a column of a text.
type position struct{ line, col int }

// balanceChecker holds the state of the check after a prefix of the text.
type balanceChecker struct {
	file string
	position
	open      []position // parentheses that are not closed yet
	inString  bool
	inComment bool
	isEscaped bool // the next character of the string is escaped
}

// checkRune checks the next character of the text.
func (b *balanceChecker) checkRune(r rune) *FileError {
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
			return b.errorAt(b.position, "unmatched closing parenthesis")
		}
		b.open = b.open[:len(b.open)-1]
	}
	return nil
}

func (b *balanceChecker) endLine() *FileError {
	if b.inString {
		return b.errorAt(b.position, "the string does not end on its line")
	}
	b.line++
	b.col = 0
	b.inComment = false
	return nil
}

// openList records an opening parenthesis. One in the first column inside a list is reported as an error of that list: its closing
// parenthesis is missing, since forms inside another are indented.
func (b *balanceChecker) openList() *FileError {
	if b.col == 1 && len(b.open) > 0 {
		return b.errorAt(b.open[0], "this form is not closed before the next one starts on line %d", b.line)
	}
	if len(b.open) == MaxDepth {
		return b.errorAt(b.position, "nested deeper than %d", MaxDepth)
	}
	b.open = append(b.open, b.position)
	return nil
}

// finish checks the state at the end of the text.
func (b *balanceChecker) finish() *FileError {
	if b.inString {
		return b.errorAt(b.position, "the string does not end on its line")
	}
	if len(b.open) > 0 {
		return b.errorAt(b.open[0], "this form is not closed")
	}
	return nil
}

func (b *balanceChecker) errorAt(p position, format string, args ...any) *FileError {
	return &FileError{File: b.file, Line: p.line, Col: p.col, Message: fmt.Sprintf(format, args...)}
}
