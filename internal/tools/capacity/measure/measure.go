// Package measure finds the points of the laws that the package capacity reads. It runs the program's own code at several sizes, in
// one process and without sockets between directors and the control plane, and records processor time, heap and bytes.
//
// A time is the processor time of the process for each operation, user and system, with the garbage collector's. It is the least of
// several rounds, because other processes may use the machine. A heap is what is in use after a collection, with a value and
// without it. TestMeasureSlopes runs all measures, by command alone.
package measure

import (
	"fmt"
	"slices"

	"stairvane.org/stairvane/internal/tools/capacity"
)

// Measure is one law to be measured.
type Measure struct {
	Name  string // of the law
	About string // what the value is
	XUnit string // unit of a size
	Unit  capacity.Unit
	Sizes []int
	At    func(size int) (float64, error) // the value at a size
}

// Law measures at all sizes and fits the law.
func (m Measure) Law(source capacity.Source) (capacity.Law, error) {
	var points []capacity.Point
	for _, size := range m.Sizes {
		y, err := m.At(size)
		if err != nil {
			return capacity.Law{}, fmt.Errorf("measure %s at %d: %w", m.Name, size, err)
		}
		points = append(points, capacity.Point{X: float64(size), Y: y})
	}
	return capacity.NewLaw(m.Name, m.About, m.XUnit, m.Unit, points, source)
}

// All are all measures.
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
