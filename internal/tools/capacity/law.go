package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// MinPoints is how many sizes a law must have been measured at.
const MinPoints = 5

// rounding is what of a residual comes from floating point alone, as a share.
const rounding = 1e-12

// ErrPoints tells that a law rests on too few sizes.
var ErrPoints = errors.New("too few measured sizes")

// ErrStale tells that a law does not say what its points give.
var ErrStale = errors.New("constant, slope or residual are not those of the points")

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

// NewLaw fits a law to points. It returns ErrPoints where there are fewer than MinPoints sizes.
func NewLaw(name, about, xUnit string, unit Unit, points []Point, source Source) (Law, error) {
	l := Law{Name: name, About: about, XUnit: xUnit, Unit: unit, Points: points, Source: source}
	constant, slope, residual, err := fit(points)
	if err != nil {
		return l, fmt.Errorf("law %s: %w", name, err)
	}
	l.Constant, l.Slope, l.Residual = constant, slope, residual
	return l, nil
}

// fit is the line of least squares through points, and the largest distance of one from it.
func fit(points []Point) (constant, slope, residual float64, err error) {
	sizes := map[float64]bool{}
	var meanX, meanY float64
	for _, p := range points {
		sizes[p.X] = true
		meanX += p.X / float64(len(points))
		meanY += p.Y / float64(len(points))
	}
	if len(sizes) < MinPoints {
		return 0, 0, 0, fmt.Errorf("%w: %d of %d", ErrPoints, len(sizes), MinPoints)
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	slope = covariance / variance
	constant = meanY - slope*meanX
	for _, p := range points {
		residual = max(residual, math.Abs(p.Y-constant-slope*p.X))
	}
	if residual < rounding*(math.Abs(meanY)+math.Abs(slope*meanX)) {
		residual = 0
	}
	return constant, slope, residual, nil
}

// At is the law's value at x.
func (l Law) At(x float64) float64 { return l.Constant + l.Slope*x }

// Range is the smallest and the largest size at which the law was measured.
func (l Law) Range() (smallest, largest float64) {
	smallest = math.Inf(1)
	for _, p := range l.Points {
		smallest, largest = min(smallest, p.X), max(largest, p.X)
	}
	return smallest, largest
}

// ResidualShare is the largest residual as a share of the largest measured value.
func (l Law) ResidualShare() float64 {
	most := 0.0
	for _, p := range l.Points {
		most = max(most, math.Abs(p.Y))
	}
	if most == 0 {
		return 0
	}
	return l.Residual / most
}

// check tells whether the law says what its points give.
func (l Law) check() error {
	constant, slope, residual, err := fit(l.Points)
	if err != nil {
		return fmt.Errorf("law %s: %w", l.Name, err)
	}
	_, largest := l.Range()
	tolerance := 1e-6 * (math.Abs(constant) + math.Abs(slope)*largest + residual)
	off := math.Abs(constant-l.Constant) + math.Abs(slope-l.Slope)*largest + math.Abs(residual-l.Residual)
	if off > tolerance {
		return fmt.Errorf("law %s: %w", l.Name, ErrStale)
	}
	if l.Source.Command == "" || l.Source.At.IsZero() {
		return fmt.Errorf("law %s: it has no source", l.Name)
	}
	return nil
}

// Laws are laws by their names.
type Laws map[string]Law

// Measured is all that was measured.
type Measured struct {
	Laws Laws
	Rows []Row // of scale runs, run after run
}

// document is the file that laws and rows are kept in.
type document struct {
	Laws []Law `json:"laws"`
	Rows []Row `json:"rows,omitempty"`
}

// Read reads laws and rows, and refuses laws that do not say what their points give.
func Read(r io.Reader) (Measured, error) {
	return read(r, func(l Law) (Law, error) { return l, l.check() })
}

// ReadPoints reads laws in the same form of which only names, units, points and sources count, and fits them.
func ReadPoints(r io.Reader) (Measured, error) {
	return read(r, func(l Law) (Law, error) {
		fitted, err := NewLaw(l.Name, l.About, l.XUnit, l.Unit, l.Points, l.Source)
		if err != nil {
			return fitted, err
		}
		return fitted, fitted.check()
	})
}

func read(r io.Reader, accept func(Law) (Law, error)) (Measured, error) {
	var d document
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Measured{}, fmt.Errorf("capacity: %w", err)
	}
	laws := Laws{}
	for _, l := range d.Laws {
		if _, again := laws[l.Name]; again || l.Name == "" {
			return Measured{}, fmt.Errorf("capacity: the law %q is there twice, or has no name", l.Name)
		}
		accepted, err := accept(l)
		if err != nil {
			return Measured{}, fmt.Errorf("capacity: %w", err)
		}
		laws[l.Name] = accepted
	}
	return Measured{Laws: laws, Rows: d.Rows}, nil
}

// Write writes laws in the order of their names, and rows.
func (m Measured) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(document{Laws: m.Laws.Sorted(), Rows: m.Rows})
}

// AddRows takes the rows of a scale run in, in place of those of the same file, and fits the laws of all rows of its layout anew.
func (m *Measured) AddRows(rows []Row) {
	if len(rows) == 0 {
		return
	}
	m.Rows = slices.DeleteFunc(slices.Clone(m.Rows), func(r Row) bool { return r.File == rows[0].File })
	m.Rows = append(m.Rows, rows...)
	slices.SortStableFunc(m.Rows, func(a, b Row) int { return cmp.Compare(a.File, b.File) })
	same := slices.DeleteFunc(slices.Clone(m.Rows), func(r Row) bool {
		return r.Replicas != rows[0].Replicas || r.Relays != rows[0].Relays || r.ColdCaches != rows[0].ColdCaches
	})
	maps.Copy(m.Laws, ProcessLaws(same))
}

// Sorted are the laws in the order of their names.
func (laws Laws) Sorted() []Law {
	all := make([]Law, 0, len(laws))
	for _, l := range laws {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Law) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
