package sexpr

import (
	"strings"
	"unicode/utf8"
)

const (
	lineWidth = 100
	indentBy  = 2
)

// Format writes a tree in the one form: comments stay where they were, a list that stood on one line stays there if it
// fits, others are broken with two more spaces a level, and a blank line between forms is kept as one.
func Format(f *File) string {
	w := &writer{}
	w.items(f.Items, 0, nil)
	if w.b.Len() == 0 {
		return ""
	}
	return w.b.String() + "\n"
}

type writer struct{ b strings.Builder }

// items writes nodes one a line; a comment that stood behind its neighbour stays behind it.
func (w *writer) items(items []*Node, indent int, before *Node) {
	for i, n := range items {
		prev := before
		if i > 0 {
			prev = items[i-1]
		}
		switch {
		case prev == nil:
		case n.Comment != nil && n.Pos.Line == prev.lastLine() && prev.Comment == nil:
			w.b.WriteString("  " + comment(n))
			continue
		default:
			w.b.WriteByte('\n')
			if n.Pos.Line > prev.lastLine()+1 {
				w.b.WriteByte('\n')
			}
			w.b.WriteString(strings.Repeat(" ", indent))
		}
		w.node(n, indent)
	}
}

func (w *writer) node(n *Node, indent int) {
	switch {
	case n.Comment != nil:
		w.b.WriteString(comment(n))
	case n.List == nil:
		w.b.WriteString(flat(n))
	case fits(n, indent):
		w.b.WriteString(flat(n))
	default:
		w.list(n, indent)
	}
}

func (w *writer) list(n *Node, indent int) {
	items := n.List.Items
	w.b.WriteByte('(')
	first := 0
	for first < len(items) && items[first].List == nil && items[first].Comment == nil {
		if first > 0 {
			w.b.WriteByte(' ')
		}
		w.b.WriteString(flat(items[first]))
		first++
	}
	var before *Node
	if first > 0 {
		before = items[first-1]
	}
	w.items(items[first:], indent+indentBy, before)
	if last := items[len(items)-1]; last.Comment != nil {
		w.b.WriteString("\n" + strings.Repeat(" ", indent))
	}
	w.b.WriteByte(')')
}

func comment(n *Node) string { return strings.TrimRight(*n.Comment, " \t\r\v\f") }

// fits tells whether a list goes on one line: it has no comments, is short enough, and was written so or has no lists
// inside.
func fits(n *Node, indent int) bool {
	if len(n.List.Items) == 0 {
		return true
	}
	nested := false
	for _, i := range n.List.Items {
		nested = nested || i.List != nil
	}
	return !commented(n) && (!nested || n.Pos.Line == n.lastLine()) && indent+utf8.RuneCountInString(flat(n)) <= lineWidth
}

func commented(n *Node) bool {
	if n.List == nil {
		return n.Comment != nil
	}
	for _, i := range n.List.Items {
		if commented(i) {
			return true
		}
	}
	return false
}

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
