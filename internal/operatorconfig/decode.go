package operatorconfig

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"

	"stairvane.org/stairvane/internal/sexpr"
)

// decoder reads forms and collects their errors.
type decoder struct{ errors sexpr.FileErrors }

// formReader reads one form. args are the elements after the name of the form, and key identifies the form in errors.
type formReader func(form *sexpr.Node, args []*sexpr.Node, key string)

// report appends an error at the position of a node.
func (d *decoder) report(n *sexpr.Node, key, format string, args ...any) {
	d.errors = append(d.errors, sexpr.FileError{
		File:    n.Pos.Filename,
		Line:    n.Pos.Line,
		Col:     n.Pos.Column,
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

// reportUnknown appends an error for an unknown word. The error suggests the known word with the smallest edit distance, if one is close.
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

// form describes a form that is allowed in a context.
type form struct {
	name       string
	repeatable bool
	required   bool
	read       formReader
}

// forms reads a list of forms, each with the reader of the known form of the same name. It reports missing required forms at owner, unless
// owner is nil. prefix is prepended to the keys of the forms.
func (d *decoder) forms(owner *sexpr.Node, prefix string, items []*sexpr.Node, known []form) {
	first := map[string]*sexpr.Node{}
	parentKey := strings.TrimSuffix(prefix, ".")
	for _, n := range items {
		name := n.Head()
		if name == "" {
			d.report(n, parentKey, "expected a form in parentheses, such as (%s ...)", known[0].name)
			continue
		}
		i := slices.IndexFunc(known, func(f form) bool { return f.name == name })
		if i < 0 {
			d.reportUnknown(n, parentKey, "word", name, formNames(known))
			continue
		}
		if earlier := first[name]; earlier != nil && !known[i].repeatable {
			d.report(n, prefix+name, "given twice; first on line %d", earlier.Pos.Line)
			continue
		}
		first[name] = n
		known[i].read(n, n.Elements()[1:], prefix+name)
	}
	for _, f := range known {
		if f.required && first[f.name] == nil && owner != nil {
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

// group returns a reader of a form whose arguments are forms.
func (d *decoder) group(known ...form) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) { d.forms(n, key+".", args, known) }
}

// withoutComments returns the nodes that are not comments.
func withoutComments(items []*sexpr.Node) []*sexpr.Node {
	return slices.DeleteFunc(slices.Clone(items), func(n *sexpr.Node) bool { return n.Comment != nil })
}

// fileStart returns a node at the start of a file, for errors that have no other position.
func fileStart(file string) *sexpr.Node {
	n := &sexpr.Node{}
	n.Pos.Filename = file
	n.Pos.Line = 1
	n.Pos.Column = 1
	return n
}
