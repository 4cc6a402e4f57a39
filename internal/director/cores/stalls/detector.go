// Package stalls detects cores of a process whose loops are stalled, based on counters that the loops increment. It has no
// side effects: the counters and the time are passed as arguments.
package stalls

import (
	"slices"
	"time"
)

// Detector monitors the heartbeats of cores. It is not safe for concurrent use.
type Detector struct {
	timeout time.Duration
	cores   []coreState
}

type coreState struct {
	heartbeats int64
	changedAt  time.Duration // when heartbeats last changed; 0: never observed
	stalled    bool
}

// New returns a Detector. A core counts as stalled when its heartbeats have not changed for the timeout.
func New(cores int, timeout time.Duration) *Detector {
	return &Detector{timeout: timeout, cores: make([]coreState, cores)}
}

// Check records the heartbeats of all cores and returns the cores that stalled or recovered since the last check. now must be
// greater than 0.
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
