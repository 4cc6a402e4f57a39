// Package apply carries out plans as a state machine without I/O. The caller asks the machine for the next decision, makes it durable and
// marks it in the machine, and asks again:
//
//	d := m.Next(input)
//	switch d.Kind {
//	case apply.Effect:   // append d.Event and store the step as Waiting, in one transaction; then m.MarkBegun
//	case apply.StepOver: // store the step as Completed; then m.MarkFinished
//	case apply.Fault:    // pause, or revert
//	case apply.End:      // store the status Done
//	case apply.Wait:     // ask again at d.UntilMS, or when an observation or an acknowledgement has come
//	}
//
// The complete state of an apply is its Record, its plan and the states of its steps. A machine that is made from them goes on where
// another was, so that an apply survives the death of the process that carries it out. At most one apply runs or is paused at a time:
// it has the lease, and its Record.Epoch is the fencing token.
package apply
