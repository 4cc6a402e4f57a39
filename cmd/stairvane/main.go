// Command stairvane is a director when it is called without arguments, as the platform does. With arguments it becomes
// stairvane-fleet, the program beside it that has the sub-commands.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"stairvane.org/stairvane/internal/logging"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "stairvane:", err)
		os.Exit(1)
	}
}

func run() error {
	if err := logging.Setup(); err != nil {
		return err
	}
	if len(os.Args) == 1 || len(os.Args) == 2 && os.Args[1] == "director" {
		return runDirector()
	}
	return runFleet()
}

// runFleet becomes the program of the sub-commands. It returns only if that program cannot be started.
func runFleet() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the own program: %w", err)
	}
	program := filepath.Join(filepath.Dir(self), "stairvane-fleet")
	arguments := append([]string{"stairvane"}, os.Args[1:]...)
	err = syscall.Exec(program, arguments, os.Environ())
	return fmt.Errorf("the sub-commands are in %s: %w", program, err)
}
