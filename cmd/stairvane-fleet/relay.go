package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"stairvane.org/stairvane/internal/controlplane/relayserver"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// relayCmd runs a relay.
type relayCmd struct {
	Config string `arg:"" type:"path" help:"The program's file; (relay ...) is read."`
}

// Run serves until the process receives SIGTERM or SIGINT, and then drains its watchers. A second signal stops it at once.
func (c relayCmd) Run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	settings, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	if settings.Relay.Name == "" {
		return fmt.Errorf("%s: (relay ...) is missing", c.Config)
	}
	server, err := relayserver.New(settings.Relay)
	if err != nil {
		return err
	}
	go func() {
		<-signals
		server.Leave()
		<-signals
		server.Stop()
	}()
	return server.Run()
}
