package sexpr

import (
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	maxLineWidth = 100 // characters
	indentWidth  = 2   // characters a level
)

// Format writes a tree in the canonical form. Comments stay where they were. A list that stood on one line stays there if it fits; others
// are broken, and indented by two spaces a level. Blank lines between forms become one.
func Format(f *File) string {
	w := &writer{}
	w.items(f.Items, 0, nil)
	if w.text.Len() == 0 {
		return ""
	}
	return w.text.String() + "\n"
}

type writer struct{ text strings.Builder }

// items writes nodes, one a line. before is the node in front of them; nil: none. A comment that followed a node on its line still does.
func (w *writer) items(items []*Node, indent int, before *Node) {
	for i, n := range items {
		previous := before
		if i > 0 {
			previous = items[i-1]
		}
		switch {
		case previous == nil:
		case n.Comment != nil && n.Pos.Line == previous.lastLine() && previous.Comment == nil:
			w.text.WriteString("  " + comment(n))
			continue
		default:
			w.text.WriteByte('\n')
			if n.Pos.Line > previous.lastLine()+1 {
				w.text.WriteByte('\n')
			}
			w.text.WriteString(strings.Repeat(" ", indent))
		}
		w.node(n, indent)
	}
}

func (w *writer) node(n *Node, indent int) {
	switch {
	case n.Comment != nil:
		w.text.WriteString(comment(n))
	case n.List == nil:
		w.text.WriteString(flat(n))
	case fits(n, indent):
		w.text.WriteString(flat(n))
	default:
		w.list(n, indent)
	}
}

// list writes a list on several lines. The atoms and strings that it begins with are on the first line.
func (w *writer) list(n *Node, indent int) {
	items := n.List.Items
	w.text.WriteByte('(')
	first := 0
	for first < len(items) && items[first].List == nil && items[first].Comment == nil {
		if first > 0 {
			w.text.WriteByte(' ')
		}
		w.text.WriteString(flat(items[first]))
		first++
	}
	var before *Node
	if first > 0 {
		before = items[first-1]
	}
	w.items(items[first:], indent+indentWidth, before)
	if last := items[len(items)-1]; last.Comment != nil {
		w.text.WriteString("\n" + strings.Repeat(" ", indent))
	}
	w.text.WriteByte(')')
}

// comment is the text of a comment.
func comment(n *Node) string { return strings.TrimRight(*n.Comment, " \t\r\v\f") }

// fits tells whether a list goes on one line: it has no comments and is short enough, and was on one line or has no lists inside.
func fits(n *Node, indent int) bool {
	if len(n.List.Items) == 0 {
		return true
	}
	isNested := slices.ContainsFunc(n.List.Items, func(item *Node) bool { return item.List != nil })
	mayBeFlat := !isNested || n.Pos.Line == n.lastLine()
	return mayBeFlat && !hasComment(n) && indent+utf8.RuneCountInString(flat(n)) <= maxLineWidth
}

// hasComment tells whether a node is a comment or has one inside.
func hasComment(n *Node) bool {
	if n.List == nil {
		return n.Comment != nil
	}
	return slices.ContainsFunc(n.List.Items, hasComment)
}

// flat is a node on one line.
func flat(n *Node) string {
	switch {
	case n.Atom != nil:
		return *n.Atom
	case n.String != nil:
		return *n.String
	}
	parts := make([]string, len(n.List.Items))
	for i, item := range n.List.Items {
		parts[i] = flat(item)
	}
	return "(" + strings.Join(parts, " ") + ")"
}
