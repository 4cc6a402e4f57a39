// Package stalls detects the cores of a process whose loops are stalled, from counters that the loops raise. It is pure:
// the counters and the time are arguments.
package stalls

import (
	"slices"
	"time"
)

// Detector observes the heartbeats of some cores. It belongs to one goroutine.
type Detector struct {
	timeout time.Duration
	cores   []coreState
}

type coreState struct {
	heartbeats int64
	changedAt  time.Duration // when heartbeats changed; 0: it was never observed
	stalled    bool
}

// New makes a Detector. A core counts as stalled when its heartbeats have not changed for the timeout.
func New(cores int, timeout time.Duration) *Detector {
	return &Detector{timeout: timeout, cores: make([]coreState, cores)}
}

// Check takes in the heartbeats of all cores at a time after 0, and returns the cores that stalled or recovered since the
// last check.
func (d *Detector) Check(heartbeats []int64, now time.Duration) (stalled, recovered []int) {
	for i := range d.cores {
		c := &d.cores[i]
		if heartbeats[i] != c.heartbeats || c.changedAt == 0 {
			c.heartbeats = heartbeats[i]
			c.changedAt = now
			if c.stalled {
				c.stalled = false
				recovered = append(recovered, i)
			}
			continue
		}
		if !c.stalled && now-c.changedAt >= d.timeout {
			c.stalled = true
			stalled = append(stalled, i)
		}
	}
	return stalled, recovered
}

// Healthy reports whether no core is stalled.
func (d *Detector) Healthy() bool {
	return !slices.ContainsFunc(d.cores, func(c coreState) bool { return c.stalled })
}
