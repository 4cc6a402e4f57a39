package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Unit is what a figure or a law's value is counted in.
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

// Role is who has a cost.
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

// Roles are all roles in the order in which they are shown.
var Roles = []Role{Director, Relay, Replica, Leader, Operator, Failures}

// Verdict tells whether a figure keeps its budget.
type Verdict string

// Verdicts.
const (
	Kept        Verdict = "kept"
	Broken      Verdict = "broken"
	NotMeasured Verdict = "not measured"
	// Collapsed: a run of processes collapsed at this size or a smaller one, so that what a law says of it does not count.
	Collapsed Verdict = "collapsed"
	NoBudget  Verdict = "-"
)

// Term is a law as a figure reads it: its value at X, or its slope for one more. Where there is no law, it is a row of a scale run.
type Term struct {
	Law    string  `json:"law,omitempty"`
	Row    string  `json:"row,omitempty"` // the run's file
	X      float64 `json:"x,omitempty"`
	Slope  bool    `json:"slope,omitempty"`
	Y      float64 `json:"y"`
	Beyond float64 `json:"beyond,omitempty"` // X over the largest measured size, where that is more than 1
	Below  bool    `json:"below,omitempty"`  // X is under the smallest measured size
	// Measured is what was measured at X itself, where it was, in the law's unit.
	Measured float64 `json:"measured,omitempty"`
	Unit     Unit    `json:"unit,omitempty"`
}

// Figure is what one thing costs one role.
type Figure struct {
	Role      Role     `json:"role"`
	Name      string   `json:"name"`
	Unit      Unit     `json:"unit"`
	Value     float64  `json:"value"` // 0 where it is not measured
	Budget    float64  `json:"budget,omitempty"`
	Verdict   Verdict  `json:"verdict"`
	Working   string   `json:"working"` // how the value comes from the terms
	Terms     []Term   `json:"terms,omitempty"`
	Missing   []string `json:"missing,omitempty"` // laws that are not there
	Mechanism string   `json:"mechanism"`
	// CollapsedAt is the fewest directors at which a run collapsed, if the size has as many.
	CollapsedAt int `json:"collapsed_at,omitempty"`
}

// Times is the value over its budget; 0 where there is no budget or no value.
func (f Figure) Times() float64 {
	if f.Budget == 0 || f.Verdict == NotMeasured || f.Verdict == Collapsed {
		return 0
	}
	return f.Value / f.Budget
}

// formula is how a figure is worked out. A budget of nil is none. A value that reads no law comes from constants of the size and
// the design alone.
type formula struct {
	role      Role
	name      string
	unit      Unit
	budget    func(Size, Design) float64
	mechanism string
	working   string
	value     func(*calculation) float64
}

// sameSize is how far a measured size may be from the one that is asked for, as a share, to be the same.
const sameSize = 0.01

// calculation reads laws for one figure and notes which.
type calculation struct {
	Size
	Design
	laws        Laws
	rows        []Row
	terms       []Term
	missing     []string
	collapsedAt int
}

// at is a law's value at x.
func (c *calculation) at(name string, x float64) float64 {
	law, known := c.laws[name]
	if !known {
		c.missing = append(c.missing, name)
		return 0
	}
	smallest, largest := law.Range()
	term := Term{Law: name, X: x, Y: law.At(x), Below: x < smallest, Unit: law.Unit}
	for _, p := range law.Points {
		if math.Abs(p.X-x) <= sameSize*x {
			term.Measured = p.Y
		}
	}
	if x > largest {
		term.Beyond = x / largest
	}
	c.terms = append(c.terms, term)
	return term.Y
}

// each is what one more costs by a law.
func (c *calculation) each(name string) float64 {
	law, known := c.laws[name]
	if !known {
		c.missing = append(c.missing, name)
		return 0
	}
	c.terms = append(c.terms, Term{Law: name, Slope: true, Y: law.Slope})
	return law.Slope
}

// Table works all figures out.
func Table(size Size, design Design, measured Measured) []Figure {
	var figures []Figure
	for _, group := range [][]formula{directorFormulas, relayFormulas, replicaFormulas, leaderFormulas, operatorFormulas, failureFormulas} {
		for _, f := range group {
			figures = append(figures, f.figure(size, design, measured))
		}
	}
	return figures
}

func (f formula) figure(size Size, design Design, measured Measured) Figure {
	c := &calculation{Size: size, Design: design, laws: measured.Laws, rows: measured.Rows}
	out := Figure{Role: f.role, Name: f.name, Unit: f.unit, Working: f.working, Mechanism: f.mechanism, Verdict: NoBudget}
	out.Value = f.value(c)
	out.Terms, out.Missing = c.terms, slices.Compact(slices.Sorted(slices.Values(c.missing)))
	if f.budget != nil {
		out.Budget = f.budget(size, design)
	}
	switch {
	case c.collapsedAt > 0:
		out.Missing, out.Verdict, out.CollapsedAt = nil, Collapsed, c.collapsedAt
	case len(out.Missing) > 0:
		out.Value, out.Verdict = 0, NotMeasured
	case f.budget == nil:
	case out.Value > out.Budget:
		out.Verdict = Broken
	default:
		out.Verdict = Kept
	}
	return out
}

// BrokenFirst are the figures that break their budgets, the one that is furthest over first.
func BrokenFirst(figures []Figure) []Figure {
	var broken []Figure
	for _, f := range figures {
		if f.Verdict == Broken {
			broken = append(broken, f)
		}
	}
	slices.SortStableFunc(broken, func(a, b Figure) int { return cmp.Compare(b.Times(), a.Times()) })
	return broken
}

// Unmeasured are the figures for which laws are missing.
func Unmeasured(figures []Figure) []Figure {
	var out []Figure
	for _, f := range figures {
		if f.Verdict == NotMeasured {
			out = append(out, f)
		}
	}
	return out
}
