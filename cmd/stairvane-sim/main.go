// Command stairvane-sim hosts the decision module for the simulator. It implements the simulator's
// protocol on standard input and output. If it cannot process the input, it writes one line to
// standard error and exits with status 1.
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
