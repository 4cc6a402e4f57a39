package apply

// Status is the status of an apply.
type Status string

// Statuses. An apply that is running or paused holds the lease; in the other statuses it has ended.
const (
	Running   Status = "running"
	Paused    Status = "paused"
	Done      Status = "done"
	Cancelled Status = "cancelled"
	Reverted  Status = "reverted" // after a fault; another apply undoes its changes
)

// Ended reports whether the status is final.
func (s Status) Ended() bool { return s != Running && s != Paused }

// Record is the stored state of an apply, apart from its plan and its steps. Times are in milliseconds since the Unix epoch. Epoch is the
// fencing token: a transaction with an older one is rejected.
type Record struct {
	ID         int64  `json:"id"`
	PlanSum    string `json:"plan_sum"`
	Who        string `json:"who"`
	StartedMS  int64  `json:"started_ms"`
	EndedMS    int64  `json:"ended_ms,omitempty"`
	ResumedMS  int64  `json:"resumed_ms,omitempty"` // when the timeouts of waiting steps were restarted
	Status     Status `json:"status"`
	Reason     string `json:"reason,omitempty"` // for a pause, a cancel or a revert
	Epoch      int64  `json:"epoch"`
	RevertOf   int64  `json:"revert_of,omitempty"`   // the apply that this one reverts
	RevertedBy int64  `json:"reverted_by,omitempty"` // the apply that reverts this one
	Steps      int    `json:"steps"`
	StepsDone  int    `json:"steps_done"`
}

// Phase is the phase of a step.
type Phase string

// Phases.
const (
	Pending   Phase = "pending"
	Waiting   Phase = "waiting" // its event is in the event log
	Completed Phase = "done"
)

// StepState is the progress of a step. Times are in milliseconds since the Unix epoch.
type StepState struct {
	Phase    Phase `json:"phase"`
	EventNo  int64 `json:"event_no,omitempty"`  // revision of its event
	EffectMS int64 `json:"effect_ms,omitempty"` // when its event was appended
	DoneMS   int64 `json:"done_ms,omitempty"`
}
