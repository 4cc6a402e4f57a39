package apply

import (
	"container/heap"
	"fmt"
	"slices"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	Wait         Kind = "wait"      // nothing to do until UntilMS, or until a new observation or acknowledgement
	BeginStep    Kind = "effect"    // append Event and store Step as waiting, in one transaction
	CompleteStep Kind = "step-over" // store Step as completed
	Fault        Kind = "trouble"   // pause, or revert if Revert is set
	Finish       Kind = "end"       // all steps are completed
)

// Decision is the next change to make durable. Before the next call of Next, the caller must mark it in the machine or update Record.
type Decision struct {
	Kind    Kind
	Step    int // ID, from 1
	Event   fleet.Event
	Reason  string // of a Fault
	Revert  bool   // of a Fault: the rules require that the apply is reverted
	UntilMS int64  // of a Wait; 0: no time is known
}

// Input is the input of a decision.
type Input struct {
	State        fleet.ObservedState
	Acknowledged func(revision int64) bool // reports whether every director has acknowledged the event
	HasObserver  bool                      // whether hosts are observed
}

// Machine is the state machine of one apply. It is not safe for concurrent use.
type Machine struct {
	Record              Record
	Plan                *plan.Plan
	steps               []StepState
	pendingDependencies []int         // by step: number of predecessors that are not completed
	successors          [][]int       // by step
	acknowledgedMS      map[int]int64 // by waiting step: when its event was first found acknowledged
	ready               stepHeap      // steps that may start
	waiting             []int         // in the order of their events
}

// New returns a machine for the stored state of an apply. states may be nil for an apply that starts.
func New(r Record, p *plan.Plan, states []StepState) (*Machine, error) {
	m := &Machine{
		Record:              r,
		Plan:                p,
		steps:               make([]StepState, len(p.Steps)),
		pendingDependencies: make([]int, len(p.Steps)),
		successors:          make([][]int, len(p.Steps)),
		acknowledgedMS:      map[int]int64{},
	}
	if states != nil && len(states) != len(p.Steps) {
		return nil, fmt.Errorf("apply %d: %d step states for %d steps", r.ID, len(states), len(p.Steps))
	}
	copy(m.steps, states)
	m.Record.Steps = len(p.Steps)
	m.countDependencies()
	if err := m.enqueueSteps(); err != nil {
		return nil, err
	}
	return m, nil
}

// countDependencies counts the completed steps and, for each step, the predecessors that are not completed.
func (m *Machine) countDependencies() {
	m.Record.StepsDone = 0
	for i, step := range m.Plan.Steps {
		if m.steps[i].Phase == "" {
			m.steps[i].Phase = Pending
		}
		if m.steps[i].Phase == Completed {
			m.Record.StepsDone++
		}
		for _, dependency := range step.After {
			if m.steps[dependency-1].Phase != Completed {
				m.pendingDependencies[i]++
			}
			m.successors[dependency-1] = append(m.successors[dependency-1], i)
		}
	}
}

// enqueueSteps fills waiting and ready. It returns an error if a step was started before a predecessor was completed.
func (m *Machine) enqueueSteps() error {
	for i, state := range m.steps {
		switch {
		case (state.Phase == Waiting || state.Phase == Completed) && m.pendingDependencies[i] > 0:
			return fmt.Errorf("apply %d: step %d is %s before its predecessors are completed", m.Record.ID, i+1, state.Phase)
		case state.Phase == Waiting:
			m.waiting = append(m.waiting, i)
		case state.Phase == Pending && m.pendingDependencies[i] == 0:
			m.ready = append(m.ready, i)
		}
	}
	slices.SortFunc(m.waiting, func(a, b int) int { return int(m.steps[a].EventNo - m.steps[b].EventNo) })
	heap.Init(&m.ready)
	return nil
}

// Steps returns a copy of the states of all steps, in the plan's order.
func (m *Machine) Steps() []StepState { return slices.Clone(m.steps) }

// Step returns the state of the step with an ID; IDs start from 1.
func (m *Machine) Step(id int) StepState { return m.steps[id-1] }

// Next returns the next decision.
func (m *Machine) Next(in Input) Decision {
	if m.Record.Status.Ended() {
		return Decision{Kind: Wait}
	}
	waits := m.checkWaiting(in)
	isPaused := m.Record.Status == Paused // waiting steps continue, but no step is started
	switch {
	case waits.isWaitOver:
		return Decision{Kind: CompleteStep, Step: waits.over + 1}
	case isPaused:
		return Decision{Kind: Wait, UntilMS: waits.untilMS}
	case waits.isAnyOverdue:
		return m.overdueFault(waits.overdue)
	case len(m.ready) == 0 && len(m.waiting) == 0:
		return Decision{Kind: Finish}
	case len(m.ready) > 0 && len(m.waiting) < max(1, m.Plan.Rules.MaxParallelSteps):
		return m.beginStep(m.ready[0], in)
	}
	return Decision{Kind: Wait, UntilMS: waits.untilMS}
}

// waitingSteps is the result of a check of the waiting steps.
type waitingSteps struct {
	isWaitOver   bool
	over         int // index of the first step whose wait is over; the other fields are not set then
	isAnyOverdue bool
	overdue      int   // index of the first step that has exceeded its timeout
	untilMS      int64 // earliest time at which a wait can be over or overdue; 0: no step is waiting
}

func (m *Machine) checkWaiting(in Input) (out waitingSteps) {
	for _, i := range m.waiting {
		isWaitOver, earliestMS := m.isWaitOver(i, in)
		if isWaitOver {
			return waitingSteps{isWaitOver: true, over: i}
		}
		deadlineMS := max(m.steps[i].EffectMS, m.Record.ResumedMS) + m.Plan.Rules.StepTimeoutMS
		if deadlineMS <= in.State.NowMS && !out.isAnyOverdue {
			out.isAnyOverdue = true
			out.overdue = i
		}
		untilMS := min(earliestMS, max(deadlineMS, in.State.NowMS+1))
		if out.untilMS == 0 || untilMS < out.untilMS {
			out.untilMS = untilMS
		}
	}
	return out
}

// isWaitOver reports whether a step's wait is over, and otherwise returns the earliest time at which it can be.
func (m *Machine) isWaitOver(i int, in Input) (isWaitOver bool, earliestMS int64) {
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

// hostRecheckMS is the time in milliseconds after which a host that is absent, or not observed as up, is checked again.
const hostRecheckMS = 1000

// isWarm reports whether a host has warmed up and is observed as up, and otherwise returns the earliest time at which it can be.
func isWarm(name string, in Input) (isWarm bool, earliestMS int64) {
	nowMS := in.State.NowMS
	host := in.State.Host(name)
	if host == nil {
		return false, nowMS + hostRecheckMS
	}
	if warmMS := in.State.WarmAtMS(host); warmMS > nowMS {
		return false, warmMS
	}
	if in.HasObserver && in.State.Observed[name].Reachability != fleet.Up {
		return false, nowMS + hostRecheckMS
	}
	return true, nowMS
}

// beginStep checks a step's preconditions against the current state. It returns the decision to start the step, or a fault.
func (m *Machine) beginStep(i int, in Input) Decision {
	step := m.Plan.Steps[i]
	switch {
	case step.Host != nil:
		if !isSameHost(in.State.Host(step.Host.Name), step.Before) {
			return m.fault(i, fmt.Sprintf(": the host is %s, not as planned", in.State.ReadHost(step.Host.Name).Brief))
		}
	case step.Location != nil:
		if current := in.State.Location(step.Location.Name); fleet.Sum(current) != fleet.Sum(step.WasAt) {
			return m.fault(i, fmt.Sprintf(": the location is %s, not as planned", in.State.ReadLocation(step.Location.Name).Brief))
		}
	}
	event := step.Event(in.State.Revision+1, in.State.NowMS, m.Record.Who, m.Record.ID)
	violated, err := in.State.Violations(event)
	if err != nil {
		return m.fault(i, ": "+err.Error())
	}
	if len(violated) > 0 {
		return m.fault(i, fmt.Sprintf(": it would violate a constraint: %v", violated[0]))
	}
	return Decision{Kind: BeginStep, Step: i + 1, Event: event}
}

// isSameHost reports whether a host is in the state that a step requires. It ignores AddedMS, which the control plane sets, and Running.
func isSameHost(current, planned *fleet.Host) bool {
	if current == nil || planned == nil {
		return current == planned
	}
	a, b := *current, *planned
	a.AddedMS, b.AddedMS = 0, 0
	a.Running, b.Running = false, false
	return a == b
}

// fault returns the decision that a step can't continue.
func (m *Machine) fault(i int, reason string) Decision {
	return Decision{
		Kind:   Fault,
		Step:   i + 1,
		Revert: m.Plan.Rules.OnFault == fleet.Revert && m.Record.RevertOf == 0,
		Reason: fmt.Sprintf("step %d, %v%s", i+1, m.Plan.Steps[i], reason),
	}
}

// overdueFault returns the decision that a step has exceeded its timeout.
func (m *Machine) overdueFault(i int) Decision {
	timeoutSeconds := m.Plan.Rules.StepTimeoutMS / 1000
	return m.fault(i, fmt.Sprintf(", is not done after %d s: it waits until it is %s", timeoutSeconds, m.Plan.Steps[i].Wait))
}

// MarkStarted records that a step's event is durable. It panics if the step was not the next one to start.
func (m *Machine) MarkStarted(step int, revision, nowMS int64) {
	i := step - 1
	if len(m.ready) == 0 || m.ready[0] != i {
		panic(fmt.Sprintf("apply %d: step %d was started out of order", m.Record.ID, step))
	}
	heap.Pop(&m.ready)
	m.steps[i] = StepState{Phase: Waiting, EventNo: revision, EffectMS: nowMS}
	m.waiting = append(m.waiting, i)
}

// MarkCompleted records that the completion of a step is durable. It panics if the step was not waiting.
func (m *Machine) MarkCompleted(step int, nowMS int64) {
	i := step - 1
	at := slices.Index(m.waiting, i)
	if at < 0 {
		panic(fmt.Sprintf("apply %d: step %d was completed but was not waiting", m.Record.ID, step))
	}
	m.waiting = slices.Delete(m.waiting, at, at+1)
	delete(m.acknowledgedMS, i)
	m.steps[i].Phase = Completed
	m.steps[i].DoneMS = nowMS
	m.Record.StepsDone++
	for _, successor := range m.successors[i] {
		m.pendingDependencies[successor]--
		if m.pendingDependencies[successor] == 0 {
			heap.Push(&m.ready, successor)
		}
	}
}

// stepHeap is a min-heap of step indexes.
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
