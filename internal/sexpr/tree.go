package sexpr

import (
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"
)

// File is the tree of a whole text.
type File struct {
	Items []*Node `parser:"@@*"`
}

// Node is a list, an atom, a string or a comment. Exactly one of the four fields is set.
type Node struct {
	Pos     lexer.Position
	Comment *string `parser:"  @Comment"`
	String  *string `parser:"| @String"` // including the quotes
	Atom    *string `parser:"| @Atom"`
	List    *List   `parser:"| @@"`
}

// List holds the nodes between two parentheses, including comments.
type List struct {
	Items []*Node      `parser:"'(' @@*"`
	Close *parenthesis `parser:"@@"`
}

// parenthesis is a closing parenthesis with its position.
type parenthesis struct {
	Pos   lexer.Position
	Token string `parser:"@')'"`
}

// lastLine returns the number of the line on which a node ends. Only lists can span several lines.
func (n *Node) lastLine() int {
	if n.List != nil {
		return n.List.Close.Pos.Line
	}
	return n.Pos.Line
}

// Text returns the value of an atom or a string. ok is false for lists, comments and strings with an invalid escape sequence.
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

// Elements returns the items of a list without the comments, or nil if the node is not a list.
func (n *Node) Elements() []*Node {
	if n.List == nil {
		return nil
	}
	elements := make([]*Node, 0, len(n.List.Items))
	for _, item := range n.List.Items {
		if item.Comment == nil {
			elements = append(elements, item)
		}
	}
	return elements
}

// Head returns the first element of a list if it is an atom, which is then the name of the form; otherwise it returns "".
func (n *Node) Head() string {
	elements := n.Elements()
	if len(elements) == 0 || elements[0].Atom == nil {
		return ""
	}
	return *elements[0].Atom
}
