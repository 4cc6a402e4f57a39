package capacity

import (
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
	file, err := os.Open(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if measured, err = Read(file); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return measured, string(text)
}

// The page's tables are what the file of laws gives.
func TestPageIsWhatTheLawsGive(t *testing.T) {
	measured, page := load(t)
	want, err := Rewrite(page, Operators(), Current(), measured)
	if err != nil {
		t.Fatal(err)
	}
	if page != want {
		t.Errorf("docs/CAPACITY.md is not what its laws give: run stairvane capacity --write docs/CAPACITY.md")
	}
}

// A figure rests on laws that are there, each with its points and source, or it says which are missing, or that it comes from
// constants alone. Read has refused laws with fewer than five sizes, without a source, or with other slopes than their points give.
func TestNoFigureLacksItsPoints(t *testing.T) {
	measured, _ := load(t)
	read := map[string]bool{}
	for _, f := range Table(Operators(), Current(), measured) {
		if len(f.Terms) == 0 && len(f.Missing) == 0 && f.CollapsedAt == 0 && !strings.Contains(f.Mechanism, "no measurement") && f.Unit != Machines {
			t.Errorf("%s, %s rests on nothing", f.Role, f.Name)
		}
		for _, term := range f.Terms {
			read[term.Law] = true
			if at := slices.IndexFunc(measured.Rows, func(r Row) bool { return r.File == term.Row && float64(r.Directors) == term.X }); term.Law == "" && at < 0 {
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
		if !read[name] {
			t.Errorf("no figure reads the law %s", name)
		}
	}
}

func TestRewriteRefusesOtherMarkers(t *testing.T) {
	measured, page := load(t)
	for name, changed := range map[string]string{
		"a part twice": page + "<!-- capacity: size -->\n<!-- capacity end -->",
		"unknown":      page + "<!-- capacity: nothing -->\n<!-- capacity end -->",
		"not closed":   page + "<!-- capacity: size -->\n",
		"none":         "no part",
	} {
		if _, err := Rewrite(changed, Operators(), Current(), measured); !errors.Is(err, ErrMarkers) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
