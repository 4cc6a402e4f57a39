package main

import (
	"errors"
	"os"
	"time"

	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// replicasRecoverCmd founds a new group from one replica.
type replicasRecoverCmd struct {
	outputFlags
	Config string `arg:"" type:"path" help:"The program's file of the replica, whose process is stopped."`
	Yes    bool   `help:"Do it. Without this it says what may be lost and changes nothing."`
}

const lostByRecovery = "Changes that other replicas accepted after that are lost, as are those accepted while this replica was down. " +
	"Check each\nreplica that can still be read, and use the one with the highest index."

// Run shows what may be lost and, with --yes, founds the group.
func (c replicasRecoverCmd) Run(s streams) error {
	settings, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	if settings.ControlPlane.Replicas.Self == "" {
		return errors.New(c.Config + ": the file has no (copies ...)")
	}
	r, err := replicas.Recover(settings.ControlPlane, c.Yes)
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, r)
	}
	s.printf("replica %s has the event log up to event %d, of %s (index %d of term %d in the consensus log",
		r.Replica, r.Revision, time.UnixMilli(r.LastEventMS).UTC().Format(time.RFC3339), r.Applied, r.Term)
	if r.Undecided > 0 {
		s.printf("; %d entries after it are not known to be committed and are dropped", r.Undecided)
	}
	s.println(")")
	s.println(lostByRecovery)
	if !c.Yes {
		return &exitError{exitFailed, "nothing was changed; use --yes to found the group"}
	}
	s.println("it is the first replica of a new group. Start it as usual; start the others with --new-disk once they are available")
	return nil
}
