package capacity

import (
	"cmp"
	"slices"
)

// Unit is the unit of a figure's or a law's value.
type Unit string

// Units of figures and laws. Bytes are decimal: 1 MB is 1,000,000 B.
const (
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	Cores          Unit = "cores"
	Seconds        Unit = "s"
	Machines       Unit = "machines"
	Share          Unit = "share"
)

// Role is the part of a deployment that bears a cost.
type Role string

// Roles of a deployment, and what failures cost.
const (
	Director Role = "director"
	Relay    Role = "relay"
	Replica  Role = "replica"
	Leader   Role = "leader"
	Operator Role = "operator"
	Failures Role = "failures"
)

// Verdict tells whether a figure is within its budget.
type Verdict string

// Verdicts.
const (
	WithinBudget Verdict = "kept"
	OverBudget   Verdict = "broken" // over its budget
	NotMeasured  Verdict = "not measured"
	// Collapsed means that a scale run collapsed at this size or a smaller one, so that the value of a law does not count.
	Collapsed Verdict = "collapsed"
	NoBudget  Verdict = "-"
)

// Term is one input of a figure: a law's value at X, or its slope. Where there is no law, it is the value of a row of a scale run.
type Term struct {
	Law    string  `json:"law,omitempty"`
	Row    string  `json:"row,omitempty"` // the run's file
	X      float64 `json:"x,omitempty"`
	Slope  bool    `json:"slope,omitempty"`
	Y      float64 `json:"y"`
	Beyond float64 `json:"beyond,omitempty"` // X over the largest measured size, where that is more than 1
	Below  bool    `json:"below,omitempty"`  // X is under the smallest measured size
	// Measured is what was measured at X itself, in the law's unit; 0 if nothing was.
	Measured float64 `json:"measured,omitempty"`
	Unit     Unit    `json:"unit,omitempty"`
}

// Figure is what one thing costs one role.
type Figure struct {
	Role      Role     `json:"role"`
	Name      string   `json:"name"`
	Unit      Unit     `json:"unit"`
	Value     float64  `json:"value"`            // 0 where it is not measured
	Budget    float64  `json:"budget,omitempty"` // 0 where there is none
	Verdict   Verdict  `json:"verdict"`
	Working   string   `json:"working"` // how the value comes from the terms
	Terms     []Term   `json:"terms,omitempty"`
	Missing   []string `json:"missing,omitempty"` // names of laws that the formula reads and that are not known
	Mechanism string   `json:"mechanism"`
	// CollapsedAt is the fewest directors at which a run collapsed, if the size has as many.
	CollapsedAt int `json:"collapsed_at,omitempty"`
}

// BudgetRatio is the value over its budget; 0 where there is no budget or no value.
func (f Figure) BudgetRatio() float64 {
	if f.Budget == 0 || f.Verdict == NotMeasured || f.Verdict == Collapsed {
		return 0
	}
	return f.Value / f.Budget
}

// roleFormulas are the formulas of one role.
type roleFormulas struct {
	role     Role
	formulas []formula
}

// formulasByRole are all formulas, in the order in which figures are shown.
var formulasByRole = []roleFormulas{
	{Director, directorFormulas},
	{Relay, relayFormulas},
	{Replica, replicaFormulas},
	{Leader, leaderFormulas},
	{Operator, operatorFormulas},
	{Failures, failureFormulas},
}

// Figures works out all figures, role by role.
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

// overBudget are the figures over their budgets, the one with the highest ratio first.
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
