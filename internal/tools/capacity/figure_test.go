package capacity

import (
	"math"
	"testing"
)

func expectedSizeWith(directors int) Size {
	size := ExpectedSize()
	size.Directors = directors
	return size
}

// directorCoresFigure returns the figure that reads the law of directorCoresLaw.
func directorCoresFigure(t *testing.T, directors int, laws Laws, rows ...Row) Figure {
	t.Helper()
	for _, f := range Figures(expectedSizeWith(directors), CurrentDesign(), Measured{Laws: laws, Rows: rows}) {
		if f.Name == "processor time of control, whole process, without relays, no cold cache" {
			return f
		}
	}
	t.Fatal("figure not found")
	return Figure{}
}

// directorCoresLaw returns a law of 0.0001 cores per director, measured from 100 to 500 directors.
func directorCoresLaw(t *testing.T) Laws {
	t.Helper()
	name := "process.director.cores.without_relays"
	points := []Point{{100, 0.01}, {200, 0.02}, {300, 0.03}, {400, 0.04}, {500, 0.05}}
	return Laws{name: newTestLaw(t, name, Cores, points)}
}

// TestVerdictByLaw checks verdicts that come from a law, and that a term beyond the measured sizes of its law is marked.
func TestVerdictByLaw(t *testing.T) {
	laws := directorCoresLaw(t)
	f := directorCoresFigure(t, 250, laws)
	if f.Verdict != WithinBudget || f.Terms[0].Beyond != 0 {
		t.Errorf("250 directors: %+v", f)
	}
	if f.Terms[0].Measured != 0 {
		t.Errorf("250 directors have a measured value, but were not measured: %+v", f)
	}
	f = directorCoresFigure(t, 1000, laws)
	if f.Verdict != OverBudget || f.Terms[0].Beyond != 2 || math.Abs(f.BudgetRatio()-0.1/0.039) > 1e-9 {
		t.Errorf("1,000 directors: %+v", f)
	}
	if f := directorCoresFigure(t, 301, laws); f.Terms[0].Measured != 0.03 {
		t.Errorf("301 directors do not use the value measured at 300: %+v", f)
	}
	f = directorCoresFigure(t, 1000, Laws{})
	if f.Verdict != NotMeasured || f.Value != 0 || len(overBudget([]Figure{f})) != 0 {
		t.Errorf("without a law: %+v", f)
	}
}

// TestVerdictAfterCollapse guards against a verdict that relies on a law at a size at which a scale run has collapsed.
func TestVerdictAfterCollapse(t *testing.T) {
	laws := directorCoresLaw(t)
	collapsed := Row{Directors: 600, Collapsed: []string{"directors lost their leases"}}
	f := directorCoresFigure(t, 1000, laws, collapsed)
	if f.Verdict != Collapsed || f.CollapsedAt != 600 || f.BudgetRatio() != 0 {
		t.Errorf("1,000 directors, where 600 collapsed: %+v", f)
	}
	if f := directorCoresFigure(t, 1000, laws, collapsed, Row{Directors: 1002}); f.Verdict != OverBudget {
		t.Errorf("1,000 directors, where 1,002 did not collapse: %+v", f)
	}
	if f := directorCoresFigure(t, 1000, laws, Row{Directors: 900}, collapsed); f.Verdict != Collapsed {
		t.Errorf("1,000 directors, where 600 collapsed and 900 did not: %+v", f)
	}
	withRelays := collapsed
	withRelays.Relays = 9
	withColdCaches := collapsed
	withColdCaches.ColdCaches = 8
	withFault := collapsed
	withFault.Fault = "kill-leader"
	if f := directorCoresFigure(t, 1000, laws, withRelays, withColdCaches, withFault); f.Verdict != OverBudget {
		t.Errorf("where 600 with relays, with cold caches or with a fault collapsed: %+v", f)
	}
	if f := directorCoresFigure(t, 250, laws, collapsed); f.Verdict != WithinBudget {
		t.Errorf("250 directors, where 600 collapsed: %+v", f)
	}
}

// TestVerdictByRow checks that without a law, the value that a scale run measured at the same size is used.
func TestVerdictByRow(t *testing.T) {
	row := Row{File: "run.json", Replicas: 3, Directors: 1002, DirectorCores: 0.02}
	f := directorCoresFigure(t, 1000, Laws{}, row)
	if f.Verdict != WithinBudget || f.Value != 0.02 || f.Terms[0].Row != "run.json" {
		t.Errorf("1,000 directors as measured at 1,002, without a law: %+v", f)
	}
	if f := directorCoresFigure(t, 250, Laws{}, row); f.Verdict != NotMeasured {
		t.Errorf("250 directors, where 1,002 were measured, without a law: %+v", f)
	}
}
