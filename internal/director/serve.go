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

// The live heap is small, so the garbage collector may run rarely. The limit keeps the heap within the memory of the
// machine; the remainder is reserved for stacks, socket buffers and the program itself.
const (
	gcPercent = 400
	heapShare = 0.55
)

// Serve runs a director until its shutdown is complete. It is configured by LB_CONFIG, LB_LISTEN and LB_NAME, and by the
// operator's settings. SIGTERM and SIGINT start the graceful shutdown, SIGHUP reloads LB_CONFIG, SIGUSR1 logs the counters.
func Serve(operator config.OperatorSettings) error {
	// Register for signals first: the default action of SIGHUP would terminate the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	c, err := config.Load()
	if err != nil {
		return err
	}
	c.ControlPlanes = operator.ControlPlanes
	c.Membership = operator.Membership
	c.Claims = operator.Claims
	setRuntimeLimits(operator.Cores, c.MemoryMB)
	g, err := NewGroup(c, operator.Cores)
	if err != nil {
		return err
	}
	go g.handleSignals(signals)
	return g.Run()
}

func setRuntimeLimits(cores, memoryMB int) {
	procs := 1
	if cores > 1 {
		procs = cores + 1 // the stall check must run while all loops are busy
	}
	runtime.GOMAXPROCS(procs)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(memoryMB) * (1 << 20)))
}

// handleSignals handles the signals of Serve. It runs until the process exits.
func (g *Group) handleSignals(signals <-chan os.Signal) {
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			g.LogCounters()
		case syscall.SIGHUP:
			// The file is read outside the loop. If it is malformed, the running configuration stays in force.
			if c, err := config.Load(); err != nil {
				slog.Error("reload.rejected", "err", err)
			} else {
				g.Reload(c)
			}
		default:
			g.Shutdown()
		}
	}
}
