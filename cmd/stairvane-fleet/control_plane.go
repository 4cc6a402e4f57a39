package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"stairvane.org/stairvane/internal/controlplane"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// controlPlaneCmd runs a control plane server, which may be a replica of a group.
type controlPlaneCmd struct {
	Config      string `arg:"" type:"path" help:"The program's file, as deploy/stairvane.scm."`
	AcceptOlder bool   `help:"Open a store one of whose two heads can't be read; its last change may be lost."`
	Found       bool   `xor:"begin" help:"Begin a group of replicas with this store, which may hold the event log of a control plane that was alone."`
	NewDisk     bool   `xor:"begin" help:"Put the store aside and begin as a new disk, which waits to be admitted."`
}

// Run serves until the process receives SIGTERM or SIGINT.
func (c controlPlaneCmd) Run() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	settings, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	if !settings.ControlPlane.Listen.IsValid() {
		return fmt.Errorf("%s: (board ...) is missing", c.Config)
	}
	options := controlplane.Options{AcceptOlder: c.AcceptOlder, FoundGroup: c.Found, NewDisk: c.NewDisk}
	server, err := controlplane.New(settings.ControlPlane, options)
	if err != nil {
		return err
	}
	go func() {
		<-signals
		server.Stop()
	}()
	return server.Run()
}
