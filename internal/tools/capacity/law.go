package capacity

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// MinPoints is the minimum number of distinct sizes at which a law must have been measured.
const MinPoints = 5

const (
	// roundingTolerance is the relative residual up to which a deviation is attributed to floating-point rounding.
	roundingTolerance = 1e-12
	// storedTolerance is the maximum difference between a stored law and a new fit, relative to the largest value.
	storedTolerance = 1e-6
)

var (
	// ErrTooFewPoints is returned if a law was measured at fewer than MinPoints sizes.
	ErrTooFewPoints = errors.New("too few measured sizes")
	// ErrNotFitted is returned if a stored law differs from the least-squares fit of its points.
	ErrNotFitted = errors.New("constant, slope or residual does not match the points")
	// ErrNoSource is returned if a law lacks the command or the time of its measurement.
	ErrNoSource = errors.New("source command or time is missing")
)

// Point is one measured value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Source describes how the points of a law were measured.
type Source struct {
	Command string    `json:"command"`
	At      time.Time `json:"at"`
	Machine string    `json:"machine"` // cores and load average during the measurement
}

// Law is the linear model y = Constant + Slope*x, fitted to its points by least squares.
type Law struct {
	Name     string  `json:"name"`
	About    string  `json:"about"`
	XUnit    string  `json:"x_unit"`
	Unit     Unit    `json:"unit"`
	Constant float64 `json:"constant"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // maximum vertical distance of a point from the line, in Unit
	Points   []Point `json:"points"`
	Source   Source  `json:"source"`
}

// NewLaw fits a law to points. It returns ErrTooFewPoints if there are fewer than MinPoints distinct sizes.
func NewLaw(name, about, xUnit string, unit Unit, points []Point, source Source) (Law, error) {
	law := Law{
		Name:   name,
		About:  about,
		XUnit:  xUnit,
		Unit:   unit,
		Points: points,
		Source: source,
	}
	fitted, err := fitLine(points)
	if err != nil {
		return law, fmt.Errorf("law %s: %w", name, err)
	}
	law.Constant = fitted.constant
	law.Slope = fitted.slope
	law.Residual = fitted.residual
	return law, nil
}

// At returns the value of the law at x.
func (l Law) At(x float64) float64 { return l.Constant + l.Slope*x }

// Range returns the smallest and the largest size at which the law was measured.
func (l Law) Range() (smallest, largest float64) {
	smallest = math.Inf(1)
	for _, p := range l.Points {
		smallest = min(smallest, p.X)
		largest = max(largest, p.X)
	}
	return smallest, largest
}

// ResidualShare returns the residual as a fraction of the largest measured value.
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

// check verifies that the law matches the fit of its points and has a source. It returns an error that wraps ErrTooFewPoints,
// ErrNotFitted or ErrNoSource.
func (l Law) check() error {
	fitted, err := fitLine(l.Points)
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

// line is a line fitted to points, with the maximum vertical distance of a point from it.
type line struct {
	constant float64
	slope    float64
	residual float64
}

// fitLine returns the least-squares line through points. It returns ErrTooFewPoints if there are fewer than MinPoints distinct sizes.
func fitLine(points []Point) (line, error) {
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
