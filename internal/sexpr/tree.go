package sexpr

import (
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"
)

// File is a complete text.
type File struct {
	Items []*Node `parser:"@@*"`
}

// Node is a list, an atom, a string or a comment. Exactly one of the four is set.
type Node struct {
	Pos     lexer.Position
	Comment *string `parser:"  @Comment"`
	String  *string `parser:"| @String"` // with its quotes
	Atom    *string `parser:"| @Atom"`
	List    *List   `parser:"| @@"`
}

// List is what stands between two parentheses, with the comments.
type List struct {
	Items []*Node      `parser:"'(' @@*"`
	Close *parenthesis `parser:"@@"`
}

// parenthesis is the place of a closing parenthesis.
type parenthesis struct {
	Pos   lexer.Position
	Token string `parser:"@')'"`
}

// lastLine is the line on which a node ends. Only a list has more than one.
func (n *Node) lastLine() int {
	if n.List != nil {
		return n.List.Close.Pos.Line
	}
	return n.Pos.Line
}

// Text is the value of an atom or a string. ok is false for lists and comments, and for a string with an invalid escape.
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

// Words are the items of a list without the comments; nil for a node that is no list.
func (n *Node) Words() []*Node {
	if n.List == nil {
		return nil
	}
	words := make([]*Node, 0, len(n.List.Items))
	for _, item := range n.List.Items {
		if item.Comment == nil {
			words = append(words, item)
		}
	}
	return words
}

// Head is the atom that a list begins with, which names a form; empty if there is none.
func (n *Node) Head() string {
	words := n.Words()
	if len(words) == 0 || words[0].Atom == nil {
		return ""
	}
	return *words[0].Atom
}
