package sexpr

import (
	"testing"
)

const sample = `; the north
(location west   ; main depot
   (floor 6)

   ; boxes
   (cache c-1 (at "10.1.0.9:9090") (share 4)) ; oldest
   (cache c-2
     (at 10.1.0.10:9090)
     (share 4)))
(sources  a
 b)
`

// Guards against a formatter that moves comments or breaks lists that fit on a line.
func TestFormatKeepsComments(t *testing.T) {
	f, errors := Parse("x", sample)
	if len(errors) > 0 {
		t.Fatal(errors)
	}
	got := Format(f)
	want := `; the north
(location west  ; main depot
  (floor 6)

  ; boxes
  (cache c-1 (at "10.1.0.9:9090") (share 4))  ; oldest
  (cache c-2
    (at 10.1.0.10:9090)
    (share 4)))
(sources a b)
`
	if got != want {
		t.Errorf("got:\n%s", got)
	}
}

// Checks that formatting preserves the tree and is idempotent.
func FuzzFormat(f *testing.F) {
	f.Add(sample)
	f.Add("(a ;x\n) ;y\n;z\n\n\n\"s\\\"\"(((b)))")
	f.Fuzz(func(t *testing.T, text string) {
		tree, errors := Parse("x", text)
		if len(errors) > 0 {
			return
		}
		once := Format(tree)
		again, errors := Parse("x", once)
		if len(errors) > 0 {
			t.Fatalf("%q became %q: %v", text, once, errors)
		}
		if twice := Format(again); twice != once {
			t.Fatalf("not stable: %q, %q, %q", text, once, twice)
		}
		if a, b := shape(tree.Items), shape(again.Items); a != b {
			t.Fatalf("changed: %q, %q", a, b)
		}
	})
}

// shape returns a representation of a tree without positions.
func shape(items []*Node) string {
	s := ""
	for _, n := range items {
		switch {
		case n.List != nil:
			s += "(" + shape(n.List.Items) + ")"
		case n.Comment != nil:
			s += commentText(n) + "\n"
		default:
			s += singleLine(n) + " "
		}
	}
	return s
}
