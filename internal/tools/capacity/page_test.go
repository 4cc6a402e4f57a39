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
	slopesFile = repositoryRoot + "docs/design/capacity-slopes.json"
	pageFile   = repositoryRoot + "docs/CAPACITY.md"
)

func loadLawsAndPage(t *testing.T) (measured Measured, page string) {
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

// TestPageMatchesLaws guards against a page that was not regenerated after a measurement or a change to a formula.
func TestPageMatchesLaws(t *testing.T) {
	measured, page := loadLawsAndPage(t)
	want, err := Rewrite(page, ExpectedSize(), CurrentDesign(), measured)
	if err != nil {
		t.Fatal(err)
	}
	if page != want {
		t.Errorf("docs/CAPACITY.md does not match the stored laws: run stairvane capacity --write docs/CAPACITY.md")
	}
}

// TestEveryFigureHasLawsOrConstants checks that each figure reads existing laws or rows, names the laws that are missing, or is
// marked as computed from constants alone. Read has already rejected laws with fewer than five sizes, without a source, or with
// slopes that do not match their points.
func TestEveryFigureHasLawsOrConstants(t *testing.T) {
	measured, _ := loadLawsAndPage(t)
	readLaws := map[string]bool{}
	for _, f := range Figures(ExpectedSize(), CurrentDesign(), measured) {
		usesConstantsOnly := strings.Contains(f.Mechanism, "no measurement") || f.Unit == Machines
		if len(f.Terms) == 0 && len(f.Missing) == 0 && f.CollapsedAt == 0 && !usesConstantsOnly {
			t.Errorf("%s, %s has no law, row or constant as input", f.Role, f.Name)
		}
		for _, term := range f.Terms {
			readLaws[term.Law] = true
			if term.Law == "" && !hasRow(measured, term) {
				t.Errorf("%s, %s reads a row that does not exist: %+v", f.Role, f.Name, term)
			}
		}
		for _, name := range f.Missing {
			if !strings.HasPrefix(name, "process.") {
				t.Errorf("%s, %s: the law %s does not exist", f.Role, f.Name, name)
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
	measured, page := loadLawsAndPage(t)
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
