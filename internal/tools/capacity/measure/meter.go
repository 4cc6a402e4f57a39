package measure

import (
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

const (
	rounds       = 5
	minRoundTime = 20 * time.Millisecond // of processor time
)

// processorTime is what the process has used so far, user and system.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// timeOf is the processor time of one operation in seconds: the least of several rounds, each of as many operations as fill it.
// The operation is given a number that rises from call to call.
func timeOf(operation func(n int)) float64 {
	n := 0
	return leastOf(func() float64 {
		runtime.GC()
		begin := processorTime()
		first := n
		var took time.Duration
		for took < minRoundTime {
			batch := 1 + (n-first)/4 // grows, because reading the clock costs time too
			for range batch {
				operation(n)
				n++
			}
			took = processorTime() - begin
		}
		return took.Seconds() / float64(n-first)
	})
}

// timeOnce is the least processor time in seconds of an operation that takes long by itself. prepare runs before each operation and
// is not counted; it may be nil.
func timeOnce(prepare, operation func()) float64 {
	return leastOf(func() float64 {
		if prepare != nil {
			prepare()
		}
		runtime.GC()
		begin := processorTime()
		operation()
		return (processorTime() - begin).Seconds()
	})
}

func leastOf(round func() float64) float64 {
	least := math.Inf(1)
	for range rounds {
		least = min(least, round())
	}
	return least
}

// heapOf is how many bytes of heap a value keeps in use.
func heapOf(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	for range 2 { // the second collection frees what finalizers released in the first
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
