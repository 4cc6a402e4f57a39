// Command stairvane-fleet holds the sub-commands of stairvane: the control plane that keeps the fleet's state, the relay, the tools
// that plan and apply changes, and the views of what the control plane knows. It is a program of its own so that the director, which
// needs none of their libraries, is not made larger by them; stairvane runs it for whatever it is called with.
package main

import (
	"fmt"
	"os"

	"stairvane.org/stairvane/internal/logging"
)

// Exit statuses, which are part of what the commands promise.
const (
	exitDone    = 0
	exitFailed  = 1 // also a plan that no order of steps allows, and a command line that can't be read
	exitChanges = 2 // plan: there is something to change
	exitStale   = 3 // apply: the plan is stale
	exitBusy    = 4 // apply: another apply is under way
	exitDamaged = 5 // the plan file is damaged, or of a newer version
	exitStopped = 6 // apply: paused, cancelled or reverted before its end
)

func main() {
	if err := logging.Setup(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "stairvane:", err) // nothing else can be reported where standard error fails
		os.Exit(exitFailed)
	}
	os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
}
