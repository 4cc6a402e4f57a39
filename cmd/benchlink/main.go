// Command benchlink hosts instances of the decision module on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"stairvane.org/stairvane/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
