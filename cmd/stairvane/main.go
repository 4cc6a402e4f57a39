// Command stairvane is one director on sockets. LB_CONFIG, LB_LISTEN and LB_NAME tell it what it is; SIGTERM lets it
// answer what it has and leave; SIGUSR1 prints its counters.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"stairvane.org/stairvane/internal/config"
	"stairvane.org/stairvane/internal/program"
)

// The live heap is small, so the collector may run seldom; the limit keeps that within the machine's memory, of which
// the rest is for stacks, sockets and the program itself.
const (
	collectPercent = 400
	heapShare      = 0.55
)

func main() {
	log.SetFlags(log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "stairvane:", err)
		os.Exit(1)
	}
}

func run() error {
	c, err := config.Load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core at most, and one loop
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(c.MemoryMB) * (1 << 20)))
	p, err := program.New(c)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				p.Post(p.PrintCounts)
			} else {
				p.Post(p.Leave)
			}
		}
	}()
	return p.Run()
}
