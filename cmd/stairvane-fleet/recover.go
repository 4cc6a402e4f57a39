package main

import (
	"errors"
	"os"
	"time"

	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// replicasRecoverCmd begins a new group from one replica.
type replicasRecoverCmd struct {
	outputFlags
	Config string `arg:"" type:"path" help:"The program's file of the replica, whose process is stopped."`
	Yes    bool   `help:"Do it. Without this it says what may be lost and changes nothing."`
}

const lostByRecovery = "What other copies have accepted beyond that is lost, and so is what was accepted while this copy was away. " +
	"Look at each\ncopy that can still be read, and take the one with the highest index."

// Run says what may be lost, and with --yes begins the group.
func (c replicasRecoverCmd) Run(s streams) error {
	settings, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	if settings.ControlPlane.Replicas.Self == "" {
		return errors.New(c.Config + ": the file lists no copies")
	}
	r, err := replicas.Recover(settings.ControlPlane, c.Yes)
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, r)
	}
	s.printf("copy %s has the history up to event %d, of %s (index %d of term %d in the log",
		r.Replica, r.Revision, time.UnixMilli(r.LastEventMS).UTC().Format(time.RFC3339), r.Applied, r.Term)
	if r.Undecided > 0 {
		s.printf("; %d entries after it are not known to be accepted and are dropped", r.Undecided)
	}
	s.println(")")
	s.println(lostByRecovery)
	if !c.Yes {
		return &exitError{exitFailed, "nothing was changed; --yes does it"}
	}
	s.println("it is the first of a new group. Start it as usual; start the others with --new-disk, once they are there")
	return nil
}
