// Package measure measures the points of the laws that the package capacity evaluates. It runs the production code at several sizes,
// in one process and without sockets between directors and the control plane, and records processor time, heap and bytes.
//
// A time is the user and system time of the process per operation, including the garbage collector. It is the minimum of several
// rounds, because other processes may use the machine. A heap size is the difference between the heap in use after a collection with
// and without a value. TestMeasureSlopes runs all measures, but only if STAIRVANE_MEASURE is set.
package measure

import (
	"fmt"
	"slices"

	"stairvane.org/stairvane/internal/tools/capacity"
)

// Measure describes how to measure one law.
type Measure struct {
	Name    string // name of the law
	About   string // description of the value
	XUnit   string // unit of a size
	Unit    capacity.Unit
	Sizes   []int
	ValueAt func(size int) (float64, error) // measures the value at a size
}

// Law measures the value at all sizes and fits a law to the points.
func (m Measure) Law(source capacity.Source) (capacity.Law, error) {
	var points []capacity.Point
	for _, size := range m.Sizes {
		y, err := m.ValueAt(size)
		if err != nil {
			return capacity.Law{}, fmt.Errorf("measure %s at %d: %w", m.Name, size, err)
		}
		points = append(points, capacity.Point{X: float64(size), Y: y})
	}
	return capacity.NewLaw(m.Name, m.About, m.XUnit, m.Unit, points, source)
}

// All returns all measures.
func All() []Measure {
	return slices.Concat(
		directorMeasures,
		decisionMeasures,
		wireMeasures,
		replicaMeasures,
		relayMeasures,
		leaderMeasures,
		operatorMeasures,
	)
}
