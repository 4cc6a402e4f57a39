package capacity

import (
	"cmp"
	"slices"
)

// Unit is the unit of the value of a Figure or a Law.
type Unit string

// Units of figures and laws. Prefixes of bytes are decimal: 1 MB is 1,000,000 B.
const (
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	Cores          Unit = "cores"
	Seconds        Unit = "s"
	Machines       Unit = "machines"
	Share          Unit = "share"
)

// Role is the part of a deployment that incurs a cost.
type Role string

// Roles of a deployment. Failures stands for the costs of failures in any role.
const (
	Director Role = "director"
	Relay    Role = "relay"
	Replica  Role = "replica"
	Leader   Role = "leader"
	Operator Role = "operator"
	Failures Role = "failures"
)

// Verdict indicates whether a figure is within its budget.
type Verdict string

// Verdicts of figures.
const (
	WithinBudget Verdict = "kept"
	OverBudget   Verdict = "broken" // the value exceeds the budget
	NotMeasured  Verdict = "not measured"
	// Collapsed means that a scale run collapsed at this size or a smaller one, so that the law does not apply.
	Collapsed Verdict = "collapsed"
	NoBudget  Verdict = "-"
)

// Term is one input of a figure: the value of a law at X, or its slope. If there is no law, it is a value from a row of a scale run.
type Term struct {
	Law    string  `json:"law,omitempty"`
	Row    string  `json:"row,omitempty"` // file of the scale run
	X      float64 `json:"x,omitempty"`
	Slope  bool    `json:"slope,omitempty"`
	Y      float64 `json:"y"`
	Beyond float64 `json:"beyond,omitempty"` // ratio of X to the largest measured size, if greater than 1
	Below  bool    `json:"below,omitempty"`  // X is less than the smallest measured size
	// Measured is the value that was measured at X itself, in Unit; 0 if there is none.
	Measured float64 `json:"measured,omitempty"`
	Unit     Unit    `json:"unit,omitempty"`
}

// Figure is one cost of one role.
type Figure struct {
	Role      Role     `json:"role"`
	Name      string   `json:"name"`
	Unit      Unit     `json:"unit"`
	Value     float64  `json:"value"`            // 0 if it is not measured
	Budget    float64  `json:"budget,omitempty"` // 0 if there is none
	Verdict   Verdict  `json:"verdict"`
	Working   string   `json:"working"` // how the value is computed from the terms
	Terms     []Term   `json:"terms,omitempty"`
	Missing   []string `json:"missing,omitempty"` // names of laws that the formula reads and that do not exist
	Mechanism string   `json:"mechanism"`
	// CollapsedAt is the smallest number of directors at which a run collapsed; 0 if the size has fewer directors or no run collapsed.
	CollapsedAt int `json:"collapsed_at,omitempty"`
}

// BudgetRatio returns the ratio of the value to its budget, or 0 if there is no budget or no value.
func (f Figure) BudgetRatio() float64 {
	if f.Budget == 0 || f.Verdict == NotMeasured || f.Verdict == Collapsed {
		return 0
	}
	return f.Value / f.Budget
}

// roleFormulas holds the formulas of one role.
type roleFormulas struct {
	role     Role
	formulas []formula
}

// formulasByRole lists all formulas in the order in which figures are displayed.
var formulasByRole = []roleFormulas{
	{Director, directorFormulas},
	{Relay, relayFormulas},
	{Replica, replicaFormulas},
	{Leader, leaderFormulas},
	{Operator, operatorFormulas},
	{Failures, failureFormulas},
}

// Figures evaluates all formulas and returns the figures, grouped by role.
func Figures(size Size, design Design, measured Measured) []Figure {
	var figures []Figure
	for _, group := range formulasByRole {
		for _, f := range group.formulas {
			c := &calculation{
				Size:   size,
				Design: design,
				laws:   measured.Laws,
				rows:   measured.Rows,
			}
			figures = append(figures, f.evaluate(group.role, c))
		}
	}
	return figures
}

// overBudget returns the figures that exceed their budgets, in descending order of their ratios.
func overBudget(figures []Figure) []Figure {
	over := withVerdict(figures, OverBudget)
	slices.SortStableFunc(over, func(a, b Figure) int { return cmp.Compare(b.BudgetRatio(), a.BudgetRatio()) })
	return over
}

func withVerdict(figures []Figure, verdict Verdict) []Figure {
	var selected []Figure
	for _, f := range figures {
		if f.Verdict == verdict {
			selected = append(selected, f)
		}
	}
	return selected
}
