// Package measure finds the points of the laws that the package capacity reads: it runs the program's own code, in one process and
// without sockets between directors and the control plane, at several sizes, and notes processor time, heap and bytes.
//
// Times are of the whole process (user and system, the collector's with them) for each operation, and the least of several rounds,
// for others may use the machine. Heap is what is in use after a collection, with the thing and without it.
package measure

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/tools/capacity"
)

// Measure is one law to be measured: At gives the value at a size.
type Measure struct {
	Name  string
	About string
	XUnit string
	Unit  capacity.Unit
	Sizes []int
	At    func(size int) (float64, error)
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
	var all []Measure
	for _, group := range [][]Measure{directorMeasures(), decisionMeasures(), wireMeasures(), replicaMeasures(), relayMeasures(), leaderMeasures(), operatorMeasures()} {
		all = append(all, group...)
	}
	return all
}

const (
	rounds       = 5
	minRoundTime = 20 * time.Millisecond // of processor time, at least
)

// processorTime is what the process has used so far, user and system.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(err) // no Linux lacks it
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// timeOf is the processor time of one operation in seconds: the least of several rounds, each of as many operations as fill it.
// The operation is given a number that rises from call to call.
func timeOf(operation func(n int)) float64 {
	n := 0
	least := 0.0
	for round := range rounds {
		runtime.GC()
		begin := processorTime()
		first := n
		var took time.Duration
		for took < minRoundTime {
			for range 1 + (n-first)/4 { // seldom, for the clock costs something too
				operation(n)
				n++
			}
			took = processorTime() - begin
		}
		each := took.Seconds() / float64(n-first)
		if round == 0 || each < least {
			least = each
		}
	}
	return least
}

// timeOnce is the least processor time of an operation in seconds that takes long by itself; prepare runs before each, outside of
// the time.
func timeOnce(prepare func(), operation func()) float64 {
	least := 0.0
	for round := range rounds {
		if prepare != nil {
			prepare()
		}
		runtime.GC()
		begin := processorTime()
		operation()
		took := (processorTime() - begin).Seconds()
		if round == 0 || took < least {
			least = took
		}
	}
	return least
}

// heapOf is how many bytes of heap a thing holds.
func heapOf(build func() any) float64 {
	before := heapInUse()
	thing := build()
	after := heapInUse()
	runtime.KeepAlive(thing)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	for range 2 { // what the first run of finalizers lets go, the second collects
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
