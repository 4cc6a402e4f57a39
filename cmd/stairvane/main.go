// Command stairvane runs a director when it is called without arguments, as the platform does, or with the single argument
// director. With any other arguments it executes stairvane-fleet, the program in the same directory that implements the
// sub-commands.
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

// runFleet replaces the process with stairvane-fleet. It returns only if that program cannot be executed.
func runFleet() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this executable: %w", err)
	}
	program := filepath.Join(filepath.Dir(self), "stairvane-fleet")
	arguments := append([]string{"stairvane"}, os.Args[1:]...)
	err = syscall.Exec(program, arguments, os.Environ())
	return fmt.Errorf("execute %s, which implements the sub-commands: %w", program, err)
}
