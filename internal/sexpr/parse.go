package sexpr

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Limits of a text. The parser is recursive, so the depth is limited to protect the stack; operators' files are never nested deeply.
const (
	MaxBytes = 32 << 20
	MaxDepth = 64

	maxSyntaxErrors = 20
)

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

// Parse parses a text; name is the file name in positions and errors. After a syntax error it continues at the next line with an opening
// parenthesis in the first column, so that it reports all errors at once, up to maxSyntaxErrors. The tree does not contain the forms with
// errors; it is empty if no other text is left or maxSyntaxErrors is reached.
func Parse(name, text string) (*File, FileErrors) {
	if len(text) > MaxBytes {
		return &File{}, FileErrors{{File: name, Line: 1, Col: 1, Message: fmt.Sprintf("file is longer than %d bytes", MaxBytes)}}
	}
	var found FileErrors
	for {
		file, syntaxError := parse(name, text)
		if syntaxError == nil {
			return file, found
		}
		found = append(found, *syntaxError)
		rest, remains := blankForm(text, syntaxError.Line)
		if !remains || len(found) == maxSyntaxErrors {
			return &File{}, found
		}
		text = rest
	}
}

// parse returns the tree of a text, or its first error.
func parse(name, text string) (*File, *FileError) {
	if e := checkBalance(name, text); e != nil {
		return nil, e
	}
	file, err := grammar.ParseString(name, text)
	if err == nil {
		return file, nil
	}
	e := &FileError{File: name, Line: 1, Col: 1, Message: err.Error()}
	var at participle.Error
	if errors.As(err, &at) {
		e.Line = at.Position().Line
		e.Col = at.Position().Column
		e.Message = at.Message()
	}
	return nil, e
}

// blankForm replaces the top-level form that contains a line by empty lines, so that the positions of the other forms do not change.
// remains reports whether there is text left to parse.
func blankForm(text string, line int) (rest string, remains bool) {
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
	rest = strings.Join(lines, "")
	return rest, rest != text && strings.TrimSpace(rest) != ""
}
