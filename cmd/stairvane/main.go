// Command stairvane is a director when it is called without arguments, as the platform does; its sub-commands are the
// board that keeps the fleet and the tools that plan and apply changes to it.
package main

import (
	"fmt"
	"os"

	"stairvane.org/stairvane/internal/logging"
)

func main() {
	if err := logging.Setup(); err != nil {
		fmt.Fprintln(os.Stderr, "stairvane:", err)
		os.Exit(1)
	}
	if err := runDirector(); err != nil {
		fmt.Fprintln(os.Stderr, "stairvane:", err)
		os.Exit(1)
	}
}
