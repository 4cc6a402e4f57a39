// Package watch decides from the beats of cores which of them are stalled. It is pure: beats are counters that the cores
// raise, time comes in as an argument.
package stalls

import "time"

// Watch looks at some cores.
type Watch struct {
	after time.Duration
	seen  []int64
	since []time.Duration
	bad   []bool
}

// New makes a watch of cores that count as stalled when they have not beaten for a time.
func New(cores int, after time.Duration) *Watch {
	return &Watch{after: after, seen: make([]int64, cores), since: make([]time.Duration, cores), bad: make([]bool, cores)}
}

// Look takes in the beats at a moment, and tells which cores have stalled or come back since the last look.
func (w *Watch) Look(beats []int64, now time.Duration) (stalled, back []int) {
	for i, b := range beats {
		if b != w.seen[i] || w.since[i] == 0 {
			w.seen[i], w.since[i] = b, now
			if w.bad[i] {
				w.bad[i] = false
				back = append(back, i)
			}
			continue
		}
		if !w.bad[i] && now-w.since[i] >= w.after {
			w.bad[i] = true
			stalled = append(stalled, i)
		}
	}
	return stalled, back
}

// Well tells whether no core is stalled.
func (w *Watch) Well() bool {
	for _, b := range w.bad {
		if b {
			return false
		}
	}
	return true
}
