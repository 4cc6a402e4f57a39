package plan

// change is a step that is not placed yet.
type change struct {
	Step
	key         string    // of the thing that it changes
	needs       []*change // must be done before it may begin
	dependents  []*change // that need it
	openNeeds   int       // needs that are not done
	done        bool
	priority    int  // changes with less are tried first
	addedByPlan bool // of a raise: the host was added by this plan
}

// The order in which changes are tried: those that give capacity go before those that take it, and those that others need before those
// that nothing needs.
const (
	priorityLocate = iota
	priorityRaise
	priorityAdd
	priorityWiden
	priorityRemove
	priorityNarrow
	priorityUnblock // a drain that an add needs
	priorityLower
	priorityDrain
	priorityForget
	priorityCount
)

// takenShare is by how much a change lowers what serves. Among changes of one kind the least is tried first: where it does not fit, no
// later one does.
func (c *change) takenShare() float64 {
	switch c.Kind {
	case Drain:
		return c.Before.Serving
	case Lower:
		return c.Before.Serving - c.Host.Serving
	}
	return 0
}

// raiseAfter is the change that gives a host the rest of its share, after it was added with a part of it and has warmed up.
func raiseAfter(add *change) *change {
	before, after := *add.Host, *add.Host
	after.Serving = after.Share
	c := &change{
		Step:        Step{Kind: Raise, Wait: Notified, Before: &before, Host: &after},
		priority:    priorityRaise,
		addedByPlan: true,
	}
	c.key = c.Thing()
	return c
}

// queue has the changes that need nothing more, by priority and then in the order in which they came.
type queue struct {
	ready [priorityCount][]*change
	left  int // changes that are not done, ready or not
}

func newQueue(changes []*change) *queue {
	q := &queue{left: len(changes)}
	for _, c := range changes {
		c.openNeeds = len(c.needs)
		for _, need := range c.needs {
			need.dependents = append(need.dependents, c)
		}
		if c.openNeeds == 0 {
			q.push(c)
		}
	}
	return q
}

func (q *queue) push(c *change) { q.ready[c.priority] = append(q.ready[c.priority], c) }

// finish marks a change as done. Those that needed nothing else become ready.
func (q *queue) finish(c *change) {
	c.done = true
	q.left--
	for _, dependent := range c.dependents {
		dependent.openNeeds--
		if dependent.openNeeds == 0 {
			q.push(dependent)
		}
	}
}

// all are the ready changes in order.
func (q *queue) all(yield func(*change) bool) {
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
