package main

import (
	"log/slog"
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

// runDirector is one director on sockets. LB_CONFIG, LB_LISTEN and LB_NAME tell it what it is; SIGTERM lets it answer
// what it has and leave; SIGHUP has it read LB_CONFIG anew; SIGUSR1 prints its counters.
func runDirector() error {
	// Signals are caught before anything else: the default of SIGHUP would end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
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
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				p.Post(p.PrintCounts)
			case syscall.SIGHUP:
				reload(p)
			default:
				p.Post(p.Leave)
			}
		}
	}()
	return p.Run()
}

// reload reads the configuration off the loop. A faulty file leaves the running one in force.
func reload(p *program.Program) {
	c, err := config.Load()
	if err != nil {
		slog.Error("reload.refused", "err", err)
		return
	}
	p.Post(func() { p.Reload(c) })
}
