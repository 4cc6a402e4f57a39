// Package stalls detects stalled event loops of a process with several cores by the heartbeat counters that the loops
// increment. The package has no side effects: the counters and the time are passed as arguments.
package stalls

import (
	"slices"
	"time"
)

// Detector detects stalled cores by their heartbeat counters. It is not safe for concurrent use.
type Detector struct {
	timeout time.Duration
	cores   []coreState
}

type coreState struct {
	heartbeats int64
	changedAt  time.Duration // when a change of heartbeats was last observed; 0: not checked yet
	stalled    bool
}

// New returns a Detector for the given number of cores. A core is stalled if its heartbeat counter has not changed for
// timeout.
func New(cores int, timeout time.Duration) *Detector {
	return &Detector{timeout: timeout, cores: make([]coreState, cores)}
}

// Check updates the detector with the heartbeat counters of all cores, and returns the indexes of the cores that have
// stalled or recovered since the previous check. now must be greater than 0.
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
