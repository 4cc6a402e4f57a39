package sexpr

import (
	"strings"
	"testing"
)

// Guards against a parser that stops at the first error or drops valid forms: all errors of a text are reported, each at its own
// position, and the tree contains the forms without errors.
func TestAllSyntaxErrorsAreReported(t *testing.T) {
	f, errors := Parse("x", "(a 1)\n(b (c)\n(d \"open)\n(e 2))\n(f 3)\n")
	var at []int
	for _, x := range errors {
		at = append(at, x.Line)
	}
	if len(at) != 3 || at[0] != 2 || at[1] != 3 || at[2] != 4 {
		t.Errorf("%v", errors)
	}
	if len(f.Items) != 2 || f.Items[1].Head() != "f" || f.Items[1].Pos.Line != 5 {
		t.Errorf("%d items", len(f.Items))
	}
	if _, errors = Parse("x", strings.Repeat("(", 1<<20)); len(errors) != 1 || !strings.Contains(errors[0].Message, "deeper") {
		t.Errorf("%.200v", errors)
	}
}
