package plan

// change is a step that has not been assigned to a wave yet.
type change struct {
	Step
	key                 string    // of the host or location that it changes
	dependencies        []*change // changes that must be done before it may start
	dependents          []*change // changes that depend on it
	pendingDependencies int       // number of dependencies that are not done
	done                bool
	priority            int  // changes with a lower value are tried first
	addedByPlan         bool // set on a raise whose host is added by this plan
}

// Priorities of changes, in the order in which they are tried: changes that add capacity before those that remove it, and changes on
// which others depend before those on which none does.
const (
	priorityLocate = iota
	priorityRaise
	priorityAdd
	priorityWiden
	priorityRemove
	priorityNarrow
	priorityUnblock // a drain on which an add depends
	priorityLower
	priorityDrain
	priorityForget
	priorityCount
)

// shareReduction returns the amount by which a change reduces the serving share. Among changes of one kind the one with the smallest
// reduction is tried first: if it does not fit, none of the others does.
func (c *change) shareReduction() float64 {
	switch c.Kind {
	case Drain:
		return c.Before.Serving
	case Lower:
		return c.Before.Serving - c.Host.Serving
	}
	return 0
}

// raiseAfter returns the change that raises a host to its full share after it was added with a part of it and has warmed up.
func raiseAfter(add *change) *change {
	before, after := *add.Host, *add.Host
	after.Serving = after.Share
	c := &change{
		Step:        Step{Kind: Raise, Wait: Notified, Before: &before, Host: &after},
		priority:    priorityRaise,
		addedByPlan: true,
	}
	c.key = c.Target()
	return c
}

// queue holds the changes whose dependencies are done, by priority and, within a priority, in the order in which they became ready.
type queue struct {
	ready     [priorityCount][]*change
	remaining int // number of changes that are not done, whether ready or not
}

func newQueue(changes []*change) *queue {
	q := &queue{remaining: len(changes)}
	for _, c := range changes {
		c.pendingDependencies = len(c.dependencies)
		for _, dependency := range c.dependencies {
			dependency.dependents = append(dependency.dependents, c)
		}
		if c.pendingDependencies == 0 {
			q.push(c)
		}
	}
	return q
}

func (q *queue) push(c *change) { q.ready[c.priority] = append(q.ready[c.priority], c) }

// complete marks a change as done. Changes that have no other pending dependency become ready.
func (q *queue) complete(c *change) {
	c.done = true
	q.remaining--
	for _, dependent := range c.dependents {
		dependent.pendingDependencies--
		if dependent.pendingDependencies == 0 {
			q.push(dependent)
		}
	}
}

// readyChanges yields the ready changes in order. It removes changes that are done from the heads of the queues.
func (q *queue) readyChanges(yield func(*change) bool) {
	for i := range q.ready {
		for len(q.ready[i]) > 0 && q.ready[i][0].done {
			q.ready[i] = q.ready[i][1:]
		}
		for _, c := range q.ready[i] {
			if !c.done && !yield(c) {
				return
			}
		}
	}
}
