// Package apply carries plans out, as a state machine without I/O: it is asked for the next decision, and told what has
// been made durable. Its whole state is a record and the states of its steps; a machine that is built anew from them
// goes on where the old one was.
package apply

import (
	"container/heap"
	"fmt"
	"slices"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// Status of an apply.
type Status string

// Statuses. Running and paused ones hold the lease; the others have ended.
const (
	Running   Status = "running"
	Paused    Status = "paused"
	Done      Status = "done"
	Cancelled Status = "cancelled"
	Reverted  Status = "reverted" // in trouble; another apply plans back
)

// Ended tells whether nothing more will happen.
func (s Status) Ended() bool { return s != Running && s != Paused }

// Record is what is kept of an apply beside its plan and its steps. Epoch is the fencing token: a transaction of an
// executor with an older one is refused.
type Record struct {
	ID         int64  `json:"id"`
	PlanSum    string `json:"plan_sum"`
	Who        string `json:"who"`
	StartedMS  int64  `json:"started_ms"`
	EndedMS    int64  `json:"ended_ms,omitempty"`
	ResumedMS  int64  `json:"resumed_ms,omitempty"` // a step that was overdue is given its time anew
	Status     Status `json:"status"`
	Reason     string `json:"reason,omitempty"` // of a pause, a cancel or a revert
	Epoch      int64  `json:"epoch"`
	RevertOf   int64  `json:"revert_of,omitempty"`
	RevertedBy int64  `json:"reverted_by,omitempty"`
	Steps      int    `json:"steps"`
	StepsDone  int    `json:"steps_done"`
}

// Phase of a step.
type Phase string

// Phases.
const (
	Pending   Phase = "pending"
	Waiting   Phase = "waiting" // its event is in the history
	Completed Phase = "done"
)

// StepState is how far a step is.
type StepState struct {
	Phase    Phase `json:"phase"`
	EventNo  int64 `json:"event_no,omitempty"`
	EffectMS int64 `json:"effect_ms,omitempty"`
	DoneMS   int64 `json:"done_ms,omitempty"`
}

// Kind of a decision.
type Kind string

// Kinds of decisions.
const (
	Wait     Kind = "wait"   // nothing to do before UntilMS, or until something is seen or told
	Effect   Kind = "effect" // append Event and mark Step as waiting, in one transaction
	StepOver Kind = "step-over"
	Fault    Kind = "trouble" // pause, or plan back, as the plan's rules say
	End      Kind = "end"
)

// Decision is what is to be made durable next. Nothing is decided twice: the machine must be told by Begun, Finished,
// SetStatus before it is asked again.
type Decision struct {
	Kind    Kind
	Step    int
	Event   fleet.Event
	Reason  string
	Revert  bool // of trouble
	UntilMS int64
}

// Input is the world at the moment of a decision. Told tells whether every director has an event; Looks, whether an
// observer looks at the boxes.
type Input struct {
	State        fleet.ObservedState
	Acknowledged func(no int64) bool
	HasObserver  bool
}

// Machine is one apply.
type Machine struct {
	Record Record
	Plan   *plan.Plan
	steps  []StepState
	opens  []int         // by step: predecessors that are not over
	next   [][]int       // by step: successors
	told   map[int]int64 // by waiting step: when it was first seen told
	ready  intHeap       // steps that may begin
	waits  []int         // steps that wait, in the order of their events
}

// New builds a machine from what is durable. states may be nil for an apply that begins.
func New(r Record, p *plan.Plan, states []StepState) (*Machine, error) {
	m := &Machine{
		Record: r, Plan: p, steps: make([]StepState, len(p.Steps)), opens: make([]int, len(p.Steps)),
		next: make([][]int, len(p.Steps)), told: map[int]int64{},
	}
	if states != nil && len(states) != len(p.Steps) {
		return nil, fmt.Errorf("apply %d: %d states of %d steps", r.ID, len(states), len(p.Steps))
	}
	copy(m.steps, states)
	m.Record.Steps, m.Record.StepsDone = len(p.Steps), 0
	for i, s := range p.Steps {
		if m.steps[i].Phase == "" {
			m.steps[i].Phase = Pending
		}
		if m.steps[i].Phase == Completed {
			m.Record.StepsDone++
		}
		for _, a := range s.After {
			if m.steps[a-1].Phase != Completed {
				m.opens[i]++
			}
			m.next[a-1] = append(m.next[a-1], i)
		}
	}
	for i, s := range m.steps {
		switch {
		case s.Phase == Waiting && m.opens[i] > 0, s.Phase == Completed && m.opens[i] > 0:
			return nil, fmt.Errorf("apply %d: step %d is %s before those that it comes after", r.ID, i+1, s.Phase)
		case s.Phase == Waiting:
			m.waits = append(m.waits, i)
		case s.Phase == Pending && m.opens[i] == 0:
			m.ready = append(m.ready, i)
		}
	}
	slices.SortFunc(m.waits, func(a, b int) int { return int(m.steps[a].EventNo - m.steps[b].EventNo) })
	heap.Init(&m.ready)
	return m, nil
}

// Steps are the states of all steps, in the plan's order. The slice is a copy.
func (m *Machine) Steps() []StepState { return slices.Clone(m.steps) }

// Step is the state of one step; they count from 1.
func (m *Machine) Step(id int) StepState { return m.steps[id-1] }

// UnderWay are the steps that wait, by id.
func (m *Machine) UnderWay() []int {
	ids := make([]int, len(m.waits))
	for i, w := range m.waits {
		ids[i] = w + 1
	}
	return ids
}

// Next decides what comes next.
func (m *Machine) Next(in Input) Decision {
	if m.Record.Status.Ended() {
		return Decision{Kind: Wait}
	}
	until := int64(0)
	var overdue *Decision
	for _, i := range m.waits {
		over, at := m.over(i, in)
		if over {
			return Decision{Kind: StepOver, Step: i + 1}
		}
		late := max(m.steps[i].EffectMS, m.Record.ResumedMS) + m.Plan.Rules.StepTimeoutMS
		if late <= in.State.NowMS && overdue == nil {
			overdue = &Decision{Kind: Fault, Step: i + 1, Revert: m.reverts(), Reason: fmt.Sprintf("step %d, %v, is not done after %d s: it waits until it is %s",
				i+1, m.Plan.Steps[i], m.Plan.Rules.StepTimeoutMS/1000, m.Plan.Steps[i].Wait)}
		}
		at = min(at, max(late, in.State.NowMS+1))
		if until == 0 || at < until {
			until = at
		}
	}
	if m.Record.Status == Paused { // what was begun goes on; nothing is begun
		return Decision{Kind: Wait, UntilMS: until}
	}
	if overdue != nil {
		return *overdue
	}
	if len(m.ready) == 0 && len(m.waits) == 0 {
		return Decision{Kind: End}
	}
	if len(m.ready) > 0 && len(m.waits) < max(1, m.Plan.Rules.MaxParallelSteps) {
		return m.begin(m.ready[0], in)
	}
	return Decision{Kind: Wait, UntilMS: until}
}

// begin checks a step's precondition against the world as it is now.
func (m *Machine) begin(i int, in Input) Decision {
	s := m.Plan.Steps[i]
	trouble := func(format string, args ...any) Decision {
		return Decision{Kind: Fault, Step: i + 1, Revert: m.reverts(), Reason: fmt.Sprintf("step %d, %v: ", i+1, s) + fmt.Sprintf(format, args...)}
	}
	switch {
	case s.Host != nil:
		is := in.State.Host(s.Host.Name)
		if !sameMember(is, s.Before) {
			return trouble("the box is %s, not as planned", in.State.ReadHost(s.Host.Name).Brief)
		}
	case s.Location != nil:
		if is := in.State.Location(s.Location.Name); fleet.Sum(is) != fleet.Sum(s.WasAt) {
			return trouble("the location is %s, not as planned", in.State.ReadLocation(s.Location.Name).Brief)
		}
	}
	e := s.Event(in.State.Revision+1, in.State.NowMS, m.Record.Who, m.Record.ID)
	broken, err := in.State.Admit(e)
	if err != nil {
		return trouble("%v", err)
	}
	if len(broken) > 0 {
		return trouble("it would break a constraint: %v", broken[0])
	}
	return Decision{Kind: Effect, Step: i + 1, Event: e}
}

// sameMember compares a box with what a step begins from. When it was born is the board's to set.
func sameMember(is, want *fleet.Host) bool {
	if is == nil || want == nil {
		return is == want
	}
	a, b := *is, *want
	a.BornMS, b.BornMS = 0, 0
	a.Running, b.Running = false, false
	return a == b
}

// over tells whether a step's wait is over, and otherwise the earliest time at which it can be.
func (m *Machine) over(i int, in Input) (bool, int64) {
	s, st, now := m.Plan.Steps[i], m.steps[i], in.State.NowMS
	bound := st.EffectMS + m.Plan.Rules.NotifiedWithinMS
	toldAt, told := m.told[i]
	if !told {
		if now < bound && !in.Acknowledged(st.EventNo) {
			return false, bound
		}
		toldAt = now
		m.told[i] = now
	}
	switch s.Wait {
	case plan.Drained:
		at := toldAt + m.Plan.Rules.DrainSettleMS
		return now >= at, at
	case plan.Warm:
		box := in.State.Host(s.Host.Name)
		if box == nil {
			return false, now + 1000
		}
		if until := in.State.ColdUntil(box); until > now {
			return false, until
		}
		if in.HasObserver && in.State.Observed[s.Host.Name].Sight != fleet.Up {
			return false, now + 1000
		}
	}
	return true, now
}

func (m *Machine) reverts() bool {
	return m.Plan.Rules.OnFault == fleet.Revert && m.Record.RevertOf == 0
}

// MarkBegun tells that a step's event is durable.
func (m *Machine) MarkBegun(step int, no, nowMS int64) {
	i := step - 1
	if len(m.ready) == 0 || m.ready[0] != i {
		panic(fmt.Sprintf("apply %d: step %d was begun out of turn", m.Record.ID, step))
	}
	heap.Pop(&m.ready)
	m.steps[i] = StepState{Phase: Waiting, EventNo: no, EffectMS: nowMS}
	m.waits = append(m.waits, i)
}

// MarkFinished tells that the end of a step's wait is durable.
func (m *Machine) MarkFinished(step int, nowMS int64) {
	i := step - 1
	at := slices.Index(m.waits, i)
	if at < 0 {
		panic(fmt.Sprintf("apply %d: step %d was finished and did not wait", m.Record.ID, step))
	}
	m.waits = slices.Delete(m.waits, at, at+1)
	delete(m.told, i)
	m.steps[i].Phase, m.steps[i].DoneMS = Completed, nowMS
	m.Record.StepsDone++
	for _, n := range m.next[i] {
		if m.opens[n]--; m.opens[n] == 0 {
			heap.Push(&m.ready, n)
		}
	}
}

// intHeap gives the least step first.
type intHeap []int

func (h intHeap) Len() int           { return len(h) }
func (h intHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h intHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *intHeap) Push(x any)        { *h = append(*h, x.(int)) }
func (h *intHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
