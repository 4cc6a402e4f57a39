package director

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"stairvane.org/stairvane/internal/director/config"
)

// The live heap is small, so the collector may run seldom; the limit keeps that within the machine's memory, of which
// the rest is for stacks, sockets and the program itself.
const (
	collectPercent = 400
	heapShare      = 0.55
)

// Serve is the life of a director process on some cores: LB_CONFIG, LB_LISTEN and LB_NAME tell it what it is; SIGTERM
// lets it answer what it has and leave; SIGHUP has it read LB_CONFIG anew; SIGUSR1 prints its counters.
func Serve(beyond config.OperatorSettings) error {
	cores := beyond.Cores
	// Signals are caught before anything else: the default of SIGHUP would end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	c, err := config.Load()
	if err != nil {
		return err
	}
	c.ControlPlanes, c.Membership, c.Claims = beyond.ControlPlanes, beyond.Membership, beyond.Claims
	procs := 1 // one loop
	if cores > 1 {
		procs = cores + 1 // the watch must run while all loops are busy
	}
	runtime.GOMAXPROCS(procs)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(c.MemoryMB) * (1 << 20)))
	g, err := NewGroup(c, cores)
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				g.PrintCounts()
			case syscall.SIGHUP:
				// Read off the loop. A faulty file leaves the running one in force.
				if c, err := config.Load(); err != nil {
					slog.Error("reload.refused", "err", err)
				} else {
					g.Reload(c)
				}
			default:
				g.Leave()
			}
		}
	}()
	return g.Run()
}
