package apply

import (
	"container/heap"
	"fmt"
	"slices"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// Kind of a decision.
type Kind string

// Kinds of decisions.
const (
	Wait         Kind = "wait"      // nothing to do before UntilMS, or until something is observed or acknowledged
	BeginStep    Kind = "effect"    // append Event and store Step as waiting, in one transaction
	CompleteStep Kind = "step-over" // store Step as completed
	Fault        Kind = "trouble"   // pause, or revert if Revert is set
	Finish       Kind = "end"       // all steps are completed
)

// Decision is what is to be made durable next. The machine must be marked, or its Record set, before it is asked again.
type Decision struct {
	Kind    Kind
	Step    int // ID, from 1 on
	Event   fleet.Event
	Reason  string // of a fault
	Revert  bool   // of a fault: the rules want the apply to be reverted
	UntilMS int64  // of a wait; 0: no time is known
}

// Input is what a decision rests on.
type Input struct {
	State        fleet.ObservedState
	Acknowledged func(revision int64) bool // every director has the event
	HasObserver  bool                      // hosts are observed
}

// Machine is one apply. It is not safe for concurrent use.
type Machine struct {
	Record         Record
	Plan           *plan.Plan
	steps          []StepState
	openNeeds      []int         // by step: predecessors that are not completed
	successors     [][]int       // by step
	acknowledgedMS map[int]int64 // by waiting step: when its event was first seen acknowledged
	ready          stepHeap      // steps that may begin
	waiting        []int         // in the order of their events
}

// New makes a machine from what is durable. states may be nil for an apply that begins.
func New(r Record, p *plan.Plan, states []StepState) (*Machine, error) {
	m := &Machine{
		Record:         r,
		Plan:           p,
		steps:          make([]StepState, len(p.Steps)),
		openNeeds:      make([]int, len(p.Steps)),
		successors:     make([][]int, len(p.Steps)),
		acknowledgedMS: map[int]int64{},
	}
	if states != nil && len(states) != len(p.Steps) {
		return nil, fmt.Errorf("apply %d: %d states of %d steps", r.ID, len(states), len(p.Steps))
	}
	copy(m.steps, states)
	m.Record.Steps = len(p.Steps)
	m.countNeeds()
	if err := m.queueSteps(); err != nil {
		return nil, err
	}
	return m, nil
}

// countNeeds counts the steps that are completed, and for each step those that it still needs.
func (m *Machine) countNeeds() {
	m.Record.StepsDone = 0
	for i, step := range m.Plan.Steps {
		if m.steps[i].Phase == "" {
			m.steps[i].Phase = Pending
		}
		if m.steps[i].Phase == Completed {
			m.Record.StepsDone++
		}
		for _, need := range step.After {
			if m.steps[need-1].Phase != Completed {
				m.openNeeds[i]++
			}
			m.successors[need-1] = append(m.successors[need-1], i)
		}
	}
}

// queueSteps finds the steps that wait and those that may begin.
func (m *Machine) queueSteps() error {
	for i, state := range m.steps {
		switch {
		case (state.Phase == Waiting || state.Phase == Completed) && m.openNeeds[i] > 0:
			return fmt.Errorf("apply %d: step %d is %s before those that it comes after", m.Record.ID, i+1, state.Phase)
		case state.Phase == Waiting:
			m.waiting = append(m.waiting, i)
		case state.Phase == Pending && m.openNeeds[i] == 0:
			m.ready = append(m.ready, i)
		}
	}
	slices.SortFunc(m.waiting, func(a, b int) int { return int(m.steps[a].EventNo - m.steps[b].EventNo) })
	heap.Init(&m.ready)
	return nil
}

// Steps are the states of all steps, in the plan's order. The slice is the caller's.
func (m *Machine) Steps() []StepState { return slices.Clone(m.steps) }

// Step is the state of one step, by its ID from 1 on.
func (m *Machine) Step(id int) StepState { return m.steps[id-1] }

// Next decides what comes next.
func (m *Machine) Next(in Input) Decision {
	if m.Record.Status.Ended() {
		return Decision{Kind: Wait}
	}
	waits := m.checkWaiting(in)
	isPaused := m.Record.Status == Paused // what was begun goes on, and nothing is begun
	switch {
	case waits.isOver:
		return Decision{Kind: CompleteStep, Step: waits.over + 1}
	case isPaused:
		return Decision{Kind: Wait, UntilMS: waits.untilMS}
	case waits.isOverdue:
		return m.overdueFault(waits.overdue)
	case len(m.ready) == 0 && len(m.waiting) == 0:
		return Decision{Kind: Finish}
	case len(m.ready) > 0 && len(m.waiting) < max(1, m.Plan.Rules.MaxParallelSteps):
		return m.begin(m.ready[0], in)
	}
	return Decision{Kind: Wait, UntilMS: waits.untilMS}
}

// waitingSteps is what has become of the steps that wait.
type waitingSteps struct {
	isOver    bool
	over      int // the first step whose wait is over; the rest is not filled in then
	isOverdue bool
	overdue   int   // the first step that has waited too long
	untilMS   int64 // when a wait may be over, or overdue, at the earliest; 0: nothing waits
}

func (m *Machine) checkWaiting(in Input) (out waitingSteps) {
	for _, i := range m.waiting {
		isOver, earliestMS := m.isOver(i, in)
		if isOver {
			return waitingSteps{isOver: true, over: i}
		}
		deadlineMS := max(m.steps[i].EffectMS, m.Record.ResumedMS) + m.Plan.Rules.StepTimeoutMS
		if deadlineMS <= in.State.NowMS && !out.isOverdue {
			out.isOverdue = true
			out.overdue = i
		}
		untilMS := min(earliestMS, max(deadlineMS, in.State.NowMS+1))
		if out.untilMS == 0 || untilMS < out.untilMS {
			out.untilMS = untilMS
		}
	}
	return out
}

// isOver tells whether a step's wait is over, and otherwise the earliest time at which it can be.
func (m *Machine) isOver(i int, in Input) (isOver bool, earliestMS int64) {
	step, nowMS := m.Plan.Steps[i], in.State.NowMS
	notifiedMS := m.steps[i].EffectMS + m.Plan.Rules.NotifiedWithinMS
	acknowledgedMS, isAcknowledged := m.acknowledgedMS[i]
	if !isAcknowledged {
		if nowMS < notifiedMS && !in.Acknowledged(m.steps[i].EventNo) {
			return false, notifiedMS
		}
		acknowledgedMS = nowMS
		m.acknowledgedMS[i] = nowMS
	}
	switch step.Wait {
	case plan.Drained:
		settledMS := acknowledgedMS + m.Plan.Rules.DrainSettleMS
		return nowMS >= settledMS, settledMS
	case plan.Warm:
		return isWarm(step.Host.Name, in)
	}
	return true, nowMS
}

// absentRetryMS is after how long a host that is not there, or not seen up, is looked for again.
const absentRetryMS = 1000

// isWarm tells whether a host has warmed up and is seen up, and otherwise the earliest time at which it can be.
func isWarm(name string, in Input) (isWarm bool, earliestMS int64) {
	nowMS := in.State.NowMS
	host := in.State.Host(name)
	if host == nil {
		return false, nowMS + absentRetryMS
	}
	if warmMS := in.State.WarmAtMS(host); warmMS > nowMS {
		return false, warmMS
	}
	if in.HasObserver && in.State.Observed[name].Sight != fleet.Up {
		return false, nowMS + absentRetryMS
	}
	return true, nowMS
}

// begin checks a step's precondition against the state as it is now.
func (m *Machine) begin(i int, in Input) Decision {
	step := m.Plan.Steps[i]
	switch {
	case step.Host != nil:
		if !isSameHost(in.State.Host(step.Host.Name), step.Before) {
			return m.fault(i, fmt.Sprintf(": the box is %s, not as planned", in.State.ReadHost(step.Host.Name).Brief))
		}
	case step.Location != nil:
		if is := in.State.Location(step.Location.Name); fleet.Sum(is) != fleet.Sum(step.WasAt) {
			return m.fault(i, fmt.Sprintf(": the location is %s, not as planned", in.State.ReadLocation(step.Location.Name).Brief))
		}
	}
	event := step.Event(in.State.Revision+1, in.State.NowMS, m.Record.Who, m.Record.ID)
	broken, err := in.State.Violations(event)
	if err != nil {
		return m.fault(i, ": "+err.Error())
	}
	if len(broken) > 0 {
		return m.fault(i, fmt.Sprintf(": it would break a constraint: %v", broken[0]))
	}
	return Decision{Kind: BeginStep, Step: i + 1, Event: event}
}

// isSameHost compares a host with what a step begins from. The time of its birth is not compared: the control plane sets it.
func isSameHost(is, want *fleet.Host) bool {
	if is == nil || want == nil {
		return is == want
	}
	a, b := *is, *want
	a.BornMS, b.BornMS = 0, 0
	a.Running, b.Running = false, false
	return a == b
}

// fault is the decision that a step can't go on.
func (m *Machine) fault(i int, reason string) Decision {
	return Decision{
		Kind:   Fault,
		Step:   i + 1,
		Revert: m.Plan.Rules.OnFault == fleet.Revert && m.Record.RevertOf == 0,
		Reason: fmt.Sprintf("step %d, %v%s", i+1, m.Plan.Steps[i], reason),
	}
}

// overdueFault is the decision that a step has waited too long.
func (m *Machine) overdueFault(i int) Decision {
	timeoutSeconds := m.Plan.Rules.StepTimeoutMS / 1000
	return m.fault(i, fmt.Sprintf(", is not done after %d s: it waits until it is %s", timeoutSeconds, m.Plan.Steps[i].Wait))
}

// MarkBegun records that a step's event is durable. It panics if the step was not the next to begin.
func (m *Machine) MarkBegun(step int, revision, nowMS int64) {
	i := step - 1
	if len(m.ready) == 0 || m.ready[0] != i {
		panic(fmt.Sprintf("apply %d: step %d was begun out of order", m.Record.ID, step))
	}
	heap.Pop(&m.ready)
	m.steps[i] = StepState{Phase: Waiting, EventNo: revision, EffectMS: nowMS}
	m.waiting = append(m.waiting, i)
}

// MarkCompleted records that the end of a step's wait is durable. It panics if the step did not wait.
func (m *Machine) MarkCompleted(step int, nowMS int64) {
	i := step - 1
	at := slices.Index(m.waiting, i)
	if at < 0 {
		panic(fmt.Sprintf("apply %d: step %d was finished and did not wait", m.Record.ID, step))
	}
	m.waiting = slices.Delete(m.waiting, at, at+1)
	delete(m.acknowledgedMS, i)
	m.steps[i].Phase = Completed
	m.steps[i].DoneMS = nowMS
	m.Record.StepsDone++
	for _, successor := range m.successors[i] {
		m.openNeeds[successor]--
		if m.openNeeds[successor] == 0 {
			heap.Push(&m.ready, successor)
		}
	}
}

// stepHeap gives the least step first.
type stepHeap []int

func (h stepHeap) Len() int           { return len(h) }
func (h stepHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h stepHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *stepHeap) Push(x any)        { *h = append(*h, x.(int)) }
func (h *stepHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
