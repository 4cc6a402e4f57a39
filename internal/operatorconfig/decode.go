package operatorconfig

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"

	"stairvane.org/stairvane/internal/sexpr"
)

// decoder reads forms and collects errors.
type decoder struct{ errors sexpr.FileErrors }

// formReader reads one form. args are what follows its first word, and key names the form in errors.
type formReader func(form *sexpr.Node, args []*sexpr.Node, key string)

// report adds an error at a node.
func (d *decoder) report(n *sexpr.Node, key, format string, args ...any) {
	d.errors = append(d.errors, sexpr.FileError{
		File:    n.Pos.Filename,
		Line:    n.Pos.Line,
		Col:     n.Pos.Column,
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

// reportUnknown adds an error for a word, with the nearest of the known words if one is near.
func (d *decoder) reportUnknown(n *sexpr.Node, key, what, word string, known []string) {
	d.report(n, key, "unknown %s %q", what, word)
	nearest := ""
	least := max(2, len(word)/3) + 1
	for _, candidate := range known {
		if distance := levenshtein.ComputeDistance(word, candidate); distance < least {
			nearest = candidate
			least = distance
		}
	}
	if nearest != "" {
		d.errors[len(d.errors)-1].Hint = strconv.Quote(nearest)
	}
}

// form is a form that may stand in a place.
type form struct {
	name string
	many bool // it may be given more than once
	need bool // it must be given
	read formReader
}

// forms reads the forms of a place, each by its first word. Missing ones are reported at owner, unless that is nil; prefix names the
// place in keys.
func (d *decoder) forms(owner *sexpr.Node, prefix string, items []*sexpr.Node, known []form) {
	first := map[string]*sexpr.Node{}
	place := strings.TrimSuffix(prefix, ".")
	for _, n := range items {
		name := n.Head()
		if name == "" {
			d.report(n, place, "a form in parentheses is wanted here, as in (%s ...)", known[0].name)
			continue
		}
		i := slices.IndexFunc(known, func(f form) bool { return f.name == name })
		if i < 0 {
			d.reportUnknown(n, place, "word", name, formNames(known))
			continue
		}
		if earlier := first[name]; earlier != nil && !known[i].many {
			d.report(n, prefix+name, "given twice; first on line %d", earlier.Pos.Line)
			continue
		}
		first[name] = n
		known[i].read(n, n.Words()[1:], prefix+name)
	}
	for _, f := range known {
		if f.need && first[f.name] == nil && owner != nil {
			d.report(owner, prefix+f.name, "missing")
		}
	}
}

func formNames(forms []form) []string {
	names := make([]string, len(forms))
	for i := range forms {
		names[i] = forms[i].name
	}
	return names
}

// group reads a form whose arguments are forms.
func (d *decoder) group(known ...form) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) { d.forms(n, key+".", args, known) }
}

// withoutComments are the nodes that are no comments.
func withoutComments(items []*sexpr.Node) []*sexpr.Node {
	return slices.DeleteFunc(slices.Clone(items), func(n *sexpr.Node) bool { return n.Comment != nil })
}

// startOf is a node at the start of a file, for errors that have no other place.
func startOf(file string) *sexpr.Node {
	n := &sexpr.Node{}
	n.Pos.Filename = file
	n.Pos.Line = 1
	n.Pos.Column = 1
	return n
}
