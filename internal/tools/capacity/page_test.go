package capacity

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
)

const (
	slopesFile = root + "docs/design/capacity-slopes.json"
	pageFile   = root + "docs/CAPACITY.md"
)

func load(t *testing.T) (measured Measured, page string) {
	t.Helper()
	laws, err := os.ReadFile(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	if measured, err = Read(bytes.NewReader(laws)); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return measured, string(text)
}

// Guards against a page that was not generated again after a measurement or a change of a formula.
func TestPageIsWhatTheLawsGive(t *testing.T) {
	measured, page := load(t)
	want, err := Rewrite(page, ExpectedSize(), CurrentDesign(), measured)
	if err != nil {
		t.Fatal(err)
	}
	if page != want {
		t.Errorf("docs/CAPACITY.md is not what its laws give: run stairvane capacity --write docs/CAPACITY.md")
	}
}

// A figure comes from laws that are there, or it says which are missing, or that it comes from constants alone. Read has rejected
// laws with fewer than five sizes, without a source, or with other slopes than their points give.
func TestNoFigureLacksItsPoints(t *testing.T) {
	measured, _ := load(t)
	readLaws := map[string]bool{}
	for _, f := range Figures(ExpectedSize(), CurrentDesign(), measured) {
		isOfConstants := strings.Contains(f.Mechanism, "no measurement") || f.Unit == Machines
		if len(f.Terms) == 0 && len(f.Missing) == 0 && f.CollapsedAt == 0 && !isOfConstants {
			t.Errorf("%s, %s rests on nothing", f.Role, f.Name)
		}
		for _, term := range f.Terms {
			readLaws[term.Law] = true
			if term.Law == "" && !hasRow(measured, term) {
				t.Errorf("%s, %s rests on a row that is not there: %+v", f.Role, f.Name, term)
			}
		}
		for _, name := range f.Missing {
			if !strings.HasPrefix(name, "process.") {
				t.Errorf("%s, %s: the law %s is not there", f.Role, f.Name, name)
			}
		}
	}
	for name := range measured.Laws {
		if !readLaws[name] {
			t.Errorf("no figure reads the law %s", name)
		}
	}
}

func hasRow(measured Measured, term Term) bool {
	return slices.ContainsFunc(measured.Rows, func(r Row) bool {
		return r.File == term.Row && float64(r.Directors) == term.X
	})
}

func TestRewriteRejectsOtherMarkers(t *testing.T) {
	measured, page := load(t)
	for name, changed := range map[string]string{
		"a part twice": page + "<!-- capacity: size -->\n<!-- capacity end -->",
		"unknown":      page + "<!-- capacity: nothing -->\n<!-- capacity end -->",
		"not closed":   page + "<!-- capacity: size -->\n",
		"none":         "no part",
	} {
		if _, err := Rewrite(changed, ExpectedSize(), CurrentDesign(), measured); !errors.Is(err, ErrMarkers) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
