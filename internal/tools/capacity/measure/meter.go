package measure

import (
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

const (
	rounds       = 5
	minRoundTime = 20 * time.Millisecond // processor time
)

// processorTime returns the user and system time that the process has used so far.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(err) // getrusage(RUSAGE_SELF) does not fail on Linux
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// timePerOperation returns the processor time of one operation, in seconds. It is the minimum over several rounds, each of which
// repeats the operation for at least minRoundTime. The argument n of the operation increases by one with each call.
func timePerOperation(operation func(n int)) float64 {
	n := 0
	return minOfRounds(func() float64 {
		runtime.GC()
		start := processorTime()
		first := n
		var elapsed time.Duration
		for elapsed < minRoundTime {
			batch := 1 + (n-first)/4 // batches grow, because reading the clock takes time as well
			for range batch {
				operation(n)
				n++
			}
			elapsed = processorTime() - start
		}
		return elapsed.Seconds() / float64(n-first)
	})
}

// timeOfSingleOperation returns the minimum processor time, in seconds, of an operation that takes long enough to be measured by
// itself. prepare runs before each operation and is not counted; it may be nil.
func timeOfSingleOperation(prepare, operation func()) float64 {
	return minOfRounds(func() float64 {
		if prepare != nil {
			prepare()
		}
		runtime.GC()
		start := processorTime()
		operation()
		return (processorTime() - start).Seconds()
	})
}

func minOfRounds(round func() float64) float64 {
	least := math.Inf(1)
	for range rounds {
		least = min(least, round())
	}
	return least
}

// retainedHeap returns how many bytes of heap the value that build returns keeps in use.
func retainedHeap(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	for range 2 { // the second collection frees the memory that finalizers released during the first
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
