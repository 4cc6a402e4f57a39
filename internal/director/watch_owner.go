package director

import "sync"

// watchOwner records which cores of a group run, and which of them watches the event stream for all. That core ends last: the
// others would serve on without purges and drains. If it fails, another one takes over. It is safe for concurrent use.
type watchOwner struct {
	mu      sync.Mutex
	owner   int    // index of the core that watches
	running []bool // by core
}

func newWatchOwner(cores int) *watchOwner {
	o := &watchOwner{running: make([]bool, cores)}
	for i := range o.running {
		o.running[i] = true
	}
	return o
}

// current returns the index of the core that watches the event stream.
func (o *watchOwner) current() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner
}

// isRunning reports whether a core has not ended.
func (o *watchOwner) isRunning(core int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[core]
}

// mayStop reports whether a core that has nothing left to do may stop. A core that may is recorded as ended.
func (o *watchOwner) mayStop(core int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if core == o.owner && o.anotherRuns(core) {
		return false
	}
	o.running[core] = false
	return true
}

// end records that a core has ended. If it was the one that watches, and others still run, end makes one of them its successor.
func (o *watchOwner) end(core int) (successor int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[core] = false
	if core != o.owner {
		return 0, false
	}
	for i, runs := range o.running {
		if runs {
			o.owner = i
			return i, true
		}
	}
	return 0, false
}

func (o *watchOwner) anotherRuns(core int) bool {
	for i, runs := range o.running {
		if runs && i != core {
			return true
		}
	}
	return false
}
