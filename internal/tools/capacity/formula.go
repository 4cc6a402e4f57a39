package capacity

import (
	"math"
	"slices"
)

// sameSizeTolerance is the relative difference up to which two sizes are considered equal.
const sameSizeTolerance = 0.01

// formula describes how a figure is computed.
type formula struct {
	name      string
	unit      Unit
	budget    func(Size, Design) float64 // nil if there is none
	mechanism string
	working   string
	value     func(*calculation) float64
}

// evaluate computes the figure. It requires a new calculation, because the calculation records the terms of one formula.
func (f formula) evaluate(role Role, c *calculation) Figure {
	figure := Figure{
		Role:      role,
		Name:      f.name,
		Unit:      f.unit,
		Value:     f.value(c),
		Working:   f.working,
		Mechanism: f.mechanism,
	}
	figure.Terms = c.terms
	figure.Missing = slices.Compact(slices.Sorted(slices.Values(c.missing)))
	if f.budget != nil {
		figure.Budget = f.budget(c.Size, c.Design)
	}
	switch {
	case c.collapsedAt > 0:
		figure.Verdict = Collapsed
		figure.CollapsedAt = c.collapsedAt
		figure.Missing = nil
	case len(figure.Missing) > 0:
		figure.Verdict = NotMeasured
		figure.Value = 0
	case f.budget == nil:
		figure.Verdict = NoBudget
	case figure.Value > figure.Budget:
		figure.Verdict = OverBudget
	default:
		figure.Verdict = WithinBudget
	}
	return figure
}

// calculation evaluates laws for one formula and records which laws it has read.
type calculation struct {
	Size
	Design
	laws        Laws
	rows        []Row
	terms       []Term
	missing     []string
	collapsedAt int // number of directors; 0 if no run collapsed
}

// valueAt returns the value of the named law at x and records the term. If there is no such law, it records the name as missing and
// returns 0.
func (c *calculation) valueAt(name string, x float64) float64 {
	law, isKnown := c.laws[name]
	if !isKnown {
		c.missing = append(c.missing, name)
		return 0
	}
	smallest, largest := law.Range()
	term := Term{
		Law:   name,
		X:     x,
		Y:     law.At(x),
		Below: x < smallest,
		Unit:  law.Unit,
	}
	for _, p := range law.Points {
		if isSameSize(p.X, x) {
			term.Measured = p.Y
		}
	}
	if x > largest {
		term.Beyond = x / largest
	}
	c.terms = append(c.terms, term)
	return term.Y
}

// slope returns the slope of the named law and records the term. If there is no such law, it records the name as missing and
// returns 0.
func (c *calculation) slope(name string) float64 {
	law, isKnown := c.laws[name]
	if !isKnown {
		c.missing = append(c.missing, name)
		return 0
	}
	c.terms = append(c.terms, Term{Law: name, Slope: true, Y: law.Slope})
	return law.Slope
}

// isSameSize reports whether a measured size equals the wanted one within sameSizeTolerance.
func isSameSize(measured, wanted float64) bool {
	return math.Abs(measured-wanted) <= sameSizeTolerance*wanted
}

// valueAtDirectors returns a function that evaluates a law at the total number of directors.
func valueAtDirectors(law string) func(*calculation) float64 {
	return func(c *calculation) float64 { return c.valueAt(law, c.directorCount()) }
}

// slopeTimesCaches returns a function that multiplies the slope of a law by the number of caches.
func slopeTimesCaches(law string) func(*calculation) float64 {
	return func(c *calculation) float64 { return c.slope(law) * float64(c.Caches) }
}

// loopBudget returns the maximum processor time of one event loop, or of the work under one lock, in cores.
func loopBudget(_ Size, d Design) float64 { return d.LoopCores }

// purgeBudget returns the time within which a purge must be complete on all directors, in seconds.
func purgeBudget(s Size, _ Design) float64 { return s.PurgeWithin.Seconds() }
