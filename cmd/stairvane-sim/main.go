// Command stairvane-sim hosts instances of the decision module on the simulator's wire.
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
