package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"stairvane.org/stairvane/internal/controlplane"
	"stairvane.org/stairvane/internal/operatorconfig"
)

type boardCmd struct {
	Config      string `arg:"" type:"path" help:"The program's file, as deploy/stairvane.scm."`
	AcceptOlder bool   `help:"Open a store one of whose two heads can't be read; its last change may be lost."`
	Found       bool   `xor:"begin" help:"Begin a group of copies with this store, which may hold the history of a board that was alone."`
	NewDisk     bool   `xor:"begin" help:"Put the store aside and begin as a new disk, which waits to be let in."`
}

// Run serves until SIGTERM or SIGINT.
func (c boardCmd) Run() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	set, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	if !set.ControlPlane.Listen.IsValid() {
		return fmt.Errorf("%s: (board ...) is missing", c.Config)
	}
	b, err := controlplane.New(set.ControlPlane, controlplane.Options{AcceptOlder: c.AcceptOlder, Found: c.Found, NewDisk: c.NewDisk})
	if err != nil {
		return err
	}
	go func() {
		<-signals
		b.Stop()
	}()
	return b.Run()
}
