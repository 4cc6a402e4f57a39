package capacity

import (
	"math"
	"slices"
)

// sameSizeTolerance is by which share two sizes may differ and still count as the same.
const sameSizeTolerance = 0.01

// formula is how a figure is worked out.
type formula struct {
	name      string
	unit      Unit
	budget    func(Size, Design) float64 // nil where there is none
	mechanism string
	working   string
	value     func(*calculation) float64
}

// evaluate works out the figure with a calculation that no other formula has used.
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

// calculation reads laws for one formula and records which.
type calculation struct {
	Size
	Design
	laws        Laws
	rows        []Row
	terms       []Term
	missing     []string
	collapsedAt int // directors; 0 if no run collapsed
}

// valueAt is a law's value at x; 0 if there is no such law.
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

// slope is what one more costs by a law; 0 if there is no such law.
func (c *calculation) slope(name string) float64 {
	law, isKnown := c.laws[name]
	if !isKnown {
		c.missing = append(c.missing, name)
		return 0
	}
	c.terms = append(c.terms, Term{Law: name, Slope: true, Y: law.Slope})
	return law.Slope
}

// isSameSize tells whether a measured size is the wanted one.
func isSameSize(measured, wanted float64) bool {
	return math.Abs(measured-wanted) <= sameSizeTolerance*wanted
}

// atDirectors reads a law at the number of all directors.
func atDirectors(law string) func(*calculation) float64 {
	return func(c *calculation) float64 { return c.valueAt(law, c.directors()) }
}

// timesCaches is a law's slope for each of all caches.
func timesCaches(law string) func(*calculation) float64 {
	return func(c *calculation) float64 { return c.slope(law) * float64(c.Caches) }
}

// loopBudget is the processor time of one loop, or of the work under one lock.
func loopBudget(_ Size, d Design) float64 { return d.LoopCores }

// purgeBudget is the time within which a purge must be done everywhere, in seconds.
func purgeBudget(s Size, _ Design) float64 { return s.PurgeWithin.Seconds() }
