// Command stairvane-sim hosts the decision module for the simulator. It speaks the simulator's
// protocol on standard input and output, and exits with 1 and one line on standard error when a
// line cannot be read.
package main

import (
	"fmt"
	"os"

	"stairvane.org/stairvane/internal/protocol/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "stairvane-sim:", err)
		os.Exit(1)
	}
}
