// Package sexpr reads S-expressions into trees that know their positions and their comments, and writes them back in one
// form. It knows no word of any file's vocabulary and does no I/O.
package sexpr

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Limits of a text. A nesting that no operator writes would only use up the stack of a recursive reader.
const (
	MaxBytes  = 32 << 20
	MaxDepth  = 64
	maxFaults = 20 // of syntax, in one text
)

// Node is a list, an atom, a string or a comment. Exactly one of the four is set.
type Node struct {
	Pos     lexer.Position
	Comment *string `parser:"  @Comment"`
	String  *string `parser:"| @String"`
	Atom    *string `parser:"| @Atom"`
	List    *List   `parser:"| @@"`
}

// List is what stands between two parentheses, comments included.
type List struct {
	Items []*Node `parser:"'(' @@*"`
	Close *mark   `parser:"@@"`
}

// mark is the place of a closing parenthesis.
type mark struct {
	Pos   lexer.Position
	Token string `parser:"@')'"`
}

// File is a whole text.
type File struct {
	Items []*Node `parser:"@@*"`
}

// Fault is one thing wrong with a text, and where. Lines and columns count from 1; columns count characters.
type Fault struct {
	File      string `json:"file"`
	Line, Col int
	Key       string `json:"key,omitempty"` // the form at fault, as in location.cache.share
	Message   string `json:"message"`
	Hint      string `json:"hint,omitempty"` // what may have been meant
}

func (f Fault) Error() string {
	s := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Col)
	if f.Key != "" {
		s += f.Key + ": "
	}
	s += f.Message
	if f.Hint != "" {
		s += "; did you mean " + f.Hint + "?"
	}
	return s
}

// Faults are all that is wrong, in the order of their places.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

var (
	tokens = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Paren", Pattern: `[()]`},
		{Name: "Atom", Pattern: `[^\s()";]+`},
		{Name: "space", Pattern: `\s+`},
	})
	grammar = participle.MustBuild[File](participle.Lexer(tokens))
)

// Parse reads a text. On faults of syntax it goes on at the next line that opens a form in the first column, so that all
// of them are told at once; the tree then lacks the faulty forms.
func Parse(name, text string) (*File, Faults) {
	if len(text) > MaxBytes {
		return &File{}, Faults{{File: name, Line: 1, Col: 1, Message: fmt.Sprintf("longer than %d bytes", MaxBytes)}}
	}
	var faults Faults
	for {
		file, fault := parse(name, text)
		if fault == nil {
			return file, faults
		}
		faults = append(faults, *fault)
		rest, found := blank(text, fault.Line)
		if !found || len(faults) == maxFaults {
			return &File{}, faults
		}
		text = rest
	}
}

func parse(name, text string) (*File, *Fault) {
	if f := balance(name, text); f != nil {
		return nil, f
	}
	file, err := grammar.ParseString(name, text)
	if err == nil {
		return file, nil
	}
	f := &Fault{File: name, Line: 1, Col: 1, Message: err.Error()}
	if at, ok := err.(participle.Error); ok {
		f.Line, f.Col, f.Message = at.Position().Line, at.Position().Column, at.Message()
	}
	return nil, f
}

// balance finds what a reader by recursion tells badly: parentheses that do not match, strings that do not end on their
// line, and nesting that is too deep. Where a form opens in the first column inside another, the other was not closed.
func balance(name, text string) *Fault {
	type open struct{ line, col int }
	var stack []open
	line, col := 1, 0
	fault := func(l, c int, format string, args ...any) *Fault {
		return &Fault{File: name, Line: l, Col: c, Message: fmt.Sprintf(format, args...)}
	}
	inString, inComment, escaped := false, false, false
	for _, r := range text {
		col++
		switch {
		case r == '\n':
			if inString {
				return fault(line, col, "the string does not end on its line")
			}
			line, col, inComment = line+1, 0, false
		case inComment:
		case escaped:
			escaped = false
		case inString:
			escaped, inString = r == '\\', r != '"'
		case r == '"':
			inString = true
		case r == ';':
			inComment = true
		case r == '(':
			if col == 1 && len(stack) > 0 {
				return fault(stack[0].line, stack[0].col, "this form is not closed before the next one begins on line %d", line)
			}
			if len(stack) == MaxDepth {
				return fault(line, col, "nested deeper than %d", MaxDepth)
			}
			stack = append(stack, open{line, col})
		case r == ')':
			if len(stack) == 0 {
				return fault(line, col, "this ) closes nothing")
			}
			stack = stack[:len(stack)-1]
		}
	}
	if inString {
		return fault(line, col, "the string does not end on its line")
	}
	if len(stack) > 0 {
		return fault(stack[0].line, stack[0].col, "this form is not closed")
	}
	return nil
}

// blank takes out the top-level form that holds a line, keeping the places of all others.
func blank(text string, line int) (string, bool) {
	lines := strings.SplitAfter(text, "\n")
	from := min(max(line, 1), len(lines)) - 1
	for from > 0 && !strings.HasPrefix(lines[from], "(") {
		from--
	}
	to := max(from+1, line)
	for to < len(lines) && !strings.HasPrefix(lines[to], "(") {
		to++
	}
	for i := from; i < to; i++ {
		if strings.HasSuffix(lines[i], "\n") {
			lines[i] = "\n"
		} else {
			lines[i] = ""
		}
	}
	rest := strings.Join(lines, "")
	return rest, rest != text && strings.TrimSpace(rest) != ""
}

// lastLine is the line on which a node ends; only lists take more than one.
func (n *Node) lastLine() int {
	if n.List != nil {
		return n.List.Close.Pos.Line
	}
	return n.Pos.Line
}

// Text is what an atom or a string says; ok is false for lists and comments, and for a string with a faulty escape.
func (n *Node) Text() (text string, ok bool) {
	switch {
	case n.Atom != nil:
		return *n.Atom, true
	case n.String != nil:
		s, err := strconv.Unquote(*n.String)
		return s, err == nil
	}
	return "", false
}

// Words are the items of a list that are no comments; nil for what is no list.
func (n *Node) Words() []*Node {
	if n.List == nil {
		return nil
	}
	words := make([]*Node, 0, len(n.List.Items))
	for _, i := range n.List.Items {
		if i.Comment == nil {
			words = append(words, i)
		}
	}
	return words
}

// Head is the first word of a list: the form's name. Empty where there is none.
func (n *Node) Head() string {
	for _, i := range n.Words() {
		if i.Atom != nil {
			return *i.Atom
		}
		break
	}
	return ""
}
