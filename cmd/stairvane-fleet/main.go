// Command stairvane-fleet implements the sub-commands of stairvane: the control plane, which stores the state of the fleet, the relay, the
// commands that plan and apply changes, and those that show the state of the control plane. It is a separate program so that the director
// binary does not contain their libraries, none of which it needs. stairvane executes it if it is started with arguments.
package main

import (
	"fmt"
	"os"

	"stairvane.org/stairvane/internal/logging"
)

// Exit statuses. They are part of the interface of the commands.
const (
	exitDone    = 0
	exitFailed  = 1 // also if no order of steps keeps the constraints of a plan, or the command line is invalid
	exitChanges = 2 // plan: there are changes to apply
	exitStale   = 3 // apply: the plan is stale
	exitBusy    = 4 // apply: another apply is in progress
	exitDamaged = 5 // the plan file is damaged or has a newer version
	exitStopped = 6 // apply: paused, cancelled or reverted before it was complete
)

func main() {
	if err := logging.Setup(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "stairvane:", err) // if standard error fails, there is no other place to report it
		os.Exit(exitFailed)
	}
	os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
}
