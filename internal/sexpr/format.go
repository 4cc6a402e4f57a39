package sexpr

import (
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	maxLineWidth = 100 // characters
	indentWidth  = 2   // characters per level
)

// Format returns the text of a tree in the canonical format. It preserves the positions of comments between nodes. A list that was on one
// line stays on one line if it fits; other lists are broken over several lines and indented by two spaces per level. Consecutive blank
// lines between forms are merged into one.
func Format(f *File) string {
	w := &formatter{}
	w.items(f.Items, 0, nil)
	if w.text.Len() == 0 {
		return ""
	}
	return w.text.String() + "\n"
}

type formatter struct{ text strings.Builder }

// items writes nodes, one per line. before is the node that precedes them, or nil. A comment stays on the line of the node that it
// followed on the same line.
func (w *formatter) items(items []*Node, indent int, before *Node) {
	for i, n := range items {
		previous := before
		if i > 0 {
			previous = items[i-1]
		}
		switch {
		case previous == nil:
		case n.Comment != nil && n.Pos.Line == previous.lastLine() && previous.Comment == nil:
			w.text.WriteString("  " + commentText(n))
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

func (w *formatter) node(n *Node, indent int) {
	switch {
	case n.Comment != nil:
		w.text.WriteString(commentText(n))
	case n.List == nil:
		w.text.WriteString(singleLine(n))
	case fitsOnLine(n, indent):
		w.text.WriteString(singleLine(n))
	default:
		w.list(n, indent)
	}
}

// list writes a list on several lines. Its leading atoms and strings stay on the first line.
func (w *formatter) list(n *Node, indent int) {
	items := n.List.Items
	w.text.WriteByte('(')
	first := 0
	for first < len(items) && items[first].List == nil && items[first].Comment == nil {
		if first > 0 {
			w.text.WriteByte(' ')
		}
		w.text.WriteString(singleLine(items[first]))
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

// commentText returns the text of a comment without trailing white space.
func commentText(n *Node) string { return strings.TrimRight(*n.Comment, " \t\r\v\f") }

// fitsOnLine reports whether a list is written on one line: it contains no comments, is short enough, and either was on one line or
// contains no lists.
func fitsOnLine(n *Node, indent int) bool {
	if len(n.List.Items) == 0 {
		return true
	}
	isNested := slices.ContainsFunc(n.List.Items, func(item *Node) bool { return item.List != nil })
	mayBeFlat := !isNested || n.Pos.Line == n.lastLine()
	return mayBeFlat && !hasComment(n) && indent+utf8.RuneCountInString(singleLine(n)) <= maxLineWidth
}

// hasComment reports whether a node is or contains a comment.
func hasComment(n *Node) bool {
	if n.List == nil {
		return n.Comment != nil
	}
	return slices.ContainsFunc(n.List.Items, hasComment)
}

// singleLine returns the text of a node, which contains no comments, on one line.
func singleLine(n *Node) string {
	switch {
	case n.Atom != nil:
		return *n.Atom
	case n.String != nil:
		return *n.String
	}
	parts := make([]string, len(n.List.Items))
	for i, item := range n.List.Items {
		parts[i] = singleLine(item)
	}
	return "(" + strings.Join(parts, " ") + ")"
}
