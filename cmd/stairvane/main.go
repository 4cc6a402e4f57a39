// Command stairvane is a director when it is called without arguments, as the platform does. With arguments it becomes
// stairvane-fleet, the program beside it that holds the sub-commands; see there.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"stairvane.org/stairvane/internal/logging"
)

func main() {
	err := logging.Setup()
	switch {
	case err != nil:
	case len(os.Args) == 1 || len(os.Args) == 2 && os.Args[1] == "director":
		err = runDirector()
	default:
		err = runFleet()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stairvane:", err)
		os.Exit(1)
	}
}

// runFleet becomes the program of the sub-commands. It returns only if that can't be started.
func runFleet() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(self), "stairvane-fleet")
	err = syscall.Exec(program, append([]string{"stairvane"}, os.Args[1:]...), os.Environ())
	return fmt.Errorf("the sub-commands are in %s: %w", program, err)
}
