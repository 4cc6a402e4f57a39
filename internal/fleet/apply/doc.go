// Package apply carries out plans as a state machine without I/O. In a loop, the caller asks the machine for the next decision, makes it
// durable and marks it in the machine:
//
//	d := m.Next(input)
//	switch d.Kind {
//	case apply.BeginStep:    // append d.Event and store the step as Waiting, in one transaction; then m.MarkStarted
//	case apply.CompleteStep: // store the step as Completed; then m.MarkCompleted
//	case apply.Fault:        // pause, or revert
//	case apply.Finish:       // store the status Done
//	case apply.Wait:         // ask again at d.UntilMS, or after a new observation or acknowledgement
//	}
//
// The complete state of an apply is its Record, its plan and the states of its steps. A machine that is created from them continues where
// its predecessor stopped, so that an apply survives the end of the process that carries it out. At most one apply is running or paused
// at a time: it holds the lease, and its Record.Epoch is the fencing token.
package apply
