package capacity

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// MinPoints is at how many sizes a law must have been measured.
const MinPoints = 5

const (
	// roundingTolerance is what of a residual comes from floating point alone, as a share of the values.
	roundingTolerance = 1e-12
	// storedTolerance is by how much a stored law may differ from a new fit, as a share of its largest value.
	storedTolerance = 1e-6
)

var (
	// ErrTooFewPoints tells that a law rests on too few sizes.
	ErrTooFewPoints = errors.New("too few measured sizes")
	// ErrNotFitted tells that a law's line is not the one that its points give.
	ErrNotFitted = errors.New("constant, slope or residual are not those of the points")
	// ErrNoSource tells that a law does not say how it was measured.
	ErrNoSource = errors.New("no source")
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Source is where the points of a law come from.
type Source struct {
	Command string    `json:"command"`
	At      time.Time `json:"at"`
	Machine string    `json:"machine"` // cores and load while it was measured
}

// Law is y = Constant + Slope*x, by least squares over its points.
type Law struct {
	Name     string  `json:"name"`
	About    string  `json:"about"`
	XUnit    string  `json:"x_unit"`
	Unit     Unit    `json:"unit"`
	Constant float64 `json:"constant"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // the largest distance of a point from the line, in Unit
	Points   []Point `json:"points"`
	Source   Source  `json:"source"`
}

// NewLaw fits a law to points. It returns ErrTooFewPoints where there are fewer than MinPoints sizes.
func NewLaw(name, about, xUnit string, unit Unit, points []Point, source Source) (Law, error) {
	law := Law{
		Name:   name,
		About:  about,
		XUnit:  xUnit,
		Unit:   unit,
		Points: points,
		Source: source,
	}
	fitted, err := fit(points)
	if err != nil {
		return law, fmt.Errorf("law %s: %w", name, err)
	}
	law.Constant = fitted.constant
	law.Slope = fitted.slope
	law.Residual = fitted.residual
	return law, nil
}

// At is the law's value at x.
func (l Law) At(x float64) float64 { return l.Constant + l.Slope*x }

// Range is the smallest and the largest size at which the law was measured.
func (l Law) Range() (smallest, largest float64) {
	smallest = math.Inf(1)
	for _, p := range l.Points {
		smallest = min(smallest, p.X)
		largest = max(largest, p.X)
	}
	return smallest, largest
}

// ResidualShare is the largest residual as a share of the largest measured value.
func (l Law) ResidualShare() float64 {
	largest := 0.0
	for _, p := range l.Points {
		largest = max(largest, math.Abs(p.Y))
	}
	if largest == 0 {
		return 0
	}
	return l.Residual / largest
}

// check tells whether the law's line is the one that its points give. Its errors are ErrTooFewPoints, ErrNotFitted and ErrNoSource.
func (l Law) check() error {
	fitted, err := fit(l.Points)
	if err != nil {
		return fmt.Errorf("law %s: %w", l.Name, err)
	}
	_, largest := l.Range()
	tolerance := storedTolerance * (math.Abs(fitted.constant) + math.Abs(fitted.slope)*largest + fitted.residual)
	difference := math.Abs(fitted.constant-l.Constant) +
		math.Abs(fitted.slope-l.Slope)*largest +
		math.Abs(fitted.residual-l.Residual)
	if difference > tolerance {
		return fmt.Errorf("law %s: %w", l.Name, ErrNotFitted)
	}
	if l.Source.Command == "" || l.Source.At.IsZero() {
		return fmt.Errorf("law %s: %w", l.Name, ErrNoSource)
	}
	return nil
}

// line is a line through points, with the largest distance of one of them from it.
type line struct {
	constant float64
	slope    float64
	residual float64
}

// fit is the line of least squares. It returns ErrTooFewPoints where there are fewer than MinPoints sizes.
func fit(points []Point) (line, error) {
	sizes := map[float64]bool{}
	var meanX, meanY float64
	for _, p := range points {
		sizes[p.X] = true
		meanX += p.X / float64(len(points))
		meanY += p.Y / float64(len(points))
	}
	if len(sizes) < MinPoints {
		return line{}, fmt.Errorf("%w: %d of %d", ErrTooFewPoints, len(sizes), MinPoints)
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	slope := covariance / variance
	constant := meanY - slope*meanX
	residual := 0.0
	for _, p := range points {
		residual = max(residual, math.Abs(p.Y-constant-slope*p.X))
	}
	if residual < roundingTolerance*(math.Abs(meanY)+math.Abs(slope*meanX)) {
		residual = 0
	}
	return line{constant: constant, slope: slope, residual: residual}, nil
}
