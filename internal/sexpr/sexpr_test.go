package sexpr

import (
	"strings"
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

func TestFormatKeepsCommentsAndIsStable(t *testing.T) {
	f, faults := Parse("x", sample)
	if len(faults) > 0 {
		t.Fatal(faults)
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

// All faults of a text are told at once, each at its own place, and what is whole is still read.
func TestAllFaultsAtOnce(t *testing.T) {
	f, faults := Parse("x", "(a 1)\n(b (c)\n(d \"open)\n(e 2))\n(f 3)\n")
	var at []int
	for _, x := range faults {
		at = append(at, x.Line)
	}
	if len(at) != 3 || at[0] != 2 || at[1] != 3 || at[2] != 4 {
		t.Errorf("%v", faults)
	}
	if len(f.Items) != 2 || f.Items[1].Head() != "f" || f.Items[1].Pos.Line != 5 {
		t.Errorf("%d items", len(f.Items))
	}
	if _, faults = Parse("x", strings.Repeat("(", 1<<20)); len(faults) != 1 || !strings.Contains(faults[0].Message, "deeper") {
		t.Errorf("%.200v", faults)
	}
}

func FuzzFormat(f *testing.F) {
	f.Add(sample)
	f.Add("(a ;x\n) ;y\n;z\n\n\n\"s\\\"\"(((b)))")
	f.Fuzz(func(t *testing.T, text string) {
		tree, faults := Parse("x", text)
		if len(faults) > 0 {
			return
		}
		once := Format(tree)
		again, faults := Parse("x", once)
		if len(faults) > 0 {
			t.Fatalf("%q became %q: %v", text, once, faults)
		}
		if twice := Format(again); twice != once {
			t.Fatalf("not stable: %q, %q, %q", text, once, twice)
		}
		if a, b := shape(tree.Items), shape(again.Items); a != b {
			t.Fatalf("changed: %q, %q", a, b)
		}
	})
}

func shape(items []*Node) string {
	s := ""
	for _, n := range items {
		switch {
		case n.List != nil:
			s += "(" + shape(n.List.Items) + ")"
		case n.Comment != nil:
			s += comment(n) + "\n"
		default:
			s += flat(n) + " "
		}
	}
	return s
}
