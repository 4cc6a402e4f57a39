package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/olekukonko/tablewriter"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/operatorconfig"
)

type copiesCmd struct {
	Show     copiesShowCmd    `cmd:"" default:"withargs" help:"Show the group as its copies know it. Ends with 1 if no copy leads."`
	Wait     copiesWaitCmd    `cmd:"" help:"Wait until all copies but the spares vote and are there. Ends with 1 if they do not come."`
	Add      copiesAddCmd     `cmd:"" help:"Let in a disk that waits, beside those that are there."`
	Remove   copiesRemoveCmd  `cmd:"" help:"Take a copy out of the group."`
	Replace  copiesReplaceCmd `cmd:"" help:"Have a disk that waits take the place of a copy: of the same name, or of another."`
	HandOver copiesHandCmd    `cmd:"" help:"Have another copy lead."`
	Recover  copiesRecoverCmd `cmd:"" help:"After the majority is lost for good: make one copy, which is stopped, the first of a new group."`
}

type copiesShowCmd struct {
	boardAt
	output
}

// known is what one copy answered.
type known struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	*api.GroupStatus
}

func (c copiesShowCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var all []known
	var leader *api.GroupStatus
	client.EachReplica(func(address string, k api.GroupStatus, err error) {
		one := known{Address: address}
		if err != nil {
			one.Error = err.Error()
		} else if one.GroupStatus = &k; k.IsLeader {
			leader = &k
		}
		all = append(all, one)
	})
	if c.Output == "json" {
		err = writeJSON(s.out, all)
	} else {
		err = showCopies(s, all, leader)
	}
	if err == nil && leader == nil {
		err = &exit{exitFailed, "no copy leads, of those that were asked"}
	}
	return err
}

func showCopies(s streams, all []known, leader *api.GroupStatus) error {
	for _, k := range all {
		switch {
		case k.GroupStatus == nil:
			fmt.Fprintf(s.out, "%s: no answer: %s\n", k.Address, k.Error)
		case k.Reason != "":
			fmt.Fprintf(s.out, "%s: copy %s is %s: %s\n", k.Address, k.Name, k.Phase, k.Reason)
		default:
			fmt.Fprintf(s.out, "%s: copy %s is %s, term %d, event %d, taken over up to %d\n", k.Address, k.Name, k.Phase, k.Term, k.Revision, k.Applied)
		}
	}
	if leader == nil {
		return nil
	}
	fmt.Fprintf(s.out, "copy %s leads; the group bears the loss of %d\n", leader.Name, leader.ToleratedFailures)
	t := tablewriter.NewWriter(s.out)
	t.Header("copy", "machine", "site", "disk", "votes", "alive", "behind", "told", "lease")
	for _, m := range leader.Replicas {
		votes := "yes"
		if !m.IsVoter {
			votes = "learns"
		}
		if m.Replaces != "" {
			votes += ", for " + m.Replaces
		}
		alive := "yes"
		if !m.Alive {
			alive = "not for " + (time.Duration(m.SilentMS) * time.Millisecond).Round(100*time.Millisecond).String()
		}
		if err := t.Append(m.Name, m.Machine, m.Site, m.Disk, votes, alive, fmt.Sprint(m.Behind), fmt.Sprint(m.Acknowledged), fmt.Sprintf("%d ms", m.LeaseMS)); err != nil {
			return err
		}
	}
	if err := t.Render(); err != nil {
		return err
	}
	for _, w := range leader.Waiting {
		fmt.Fprintf(s.out, "copy %s waits to be let in\n", w)
	}
	return nil
}

type copiesWaitCmd struct {
	boardAt
	output
	For time.Duration `default:"1m" help:"For how long."`
}

func (c copiesWaitCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	said := ""
	for end := time.Now().Add(c.For); ; time.Sleep(100 * time.Millisecond) {
		var leader *api.GroupStatus
		client.EachReplica(func(_ string, k api.GroupStatus, err error) {
			if err == nil && k.IsLeader {
				leader = &k
			}
		})
		now := "no copy leads"
		if leader != nil {
			votes, there := 0, 0
			for _, m := range leader.Replicas {
				if m.IsVoter {
					votes++
				}
				if m.IsVoter && m.Alive && m.Behind == 0 {
					there++
				}
			}
			now = fmt.Sprintf("%d of %d copies vote, %d of them are there", votes, leader.Configured, there)
			if votes >= leader.Configured && there == votes && !leader.Joint {
				if c.Output == "json" {
					return writeJSON(s.out, leader)
				}
				_, err := fmt.Fprintf(s.out, "%d copies vote, all are there\n", votes)
				return err
			}
		}
		if now != said {
			fmt.Fprintln(s.err, now)
			said = now
		}
		if time.Now().After(end) {
			return &exit{exitFailed, "the group is not whole: " + now}
		}
	}
}

// order has the leader change the group and shows what it says.
func order(at boardAt, how output, s streams, o api.ReplicaChange, done string) error {
	client, err := at.client()
	if err != nil {
		return err
	}
	k, err := client.ChangeReplicas(o)
	if err != nil {
		return err
	}
	if how.Output == "json" {
		return writeJSON(s.out, k)
	}
	_, err = fmt.Fprintln(s.out, done)
	return err
}

type copiesAddCmd struct {
	boardAt
	output
	Name string `arg:"" help:"The copy, as the leader's file lists it."`
}

func (c copiesAddCmd) Run(s streams) error {
	return order(c.boardAt, c.output, s, api.ReplicaChange{Action: "add", Name: c.Name}, "copy "+c.Name+" is let in; it votes once it has caught up")
}

type copiesRemoveCmd struct {
	boardAt
	output
	Name  string `arg:"" help:"The copy."`
	Fewer bool   `help:"Accept that the group bears the loss of fewer copies afterwards."`
}

func (c copiesRemoveCmd) Run(s streams) error {
	return order(c.boardAt, c.output, s, api.ReplicaChange{Action: "remove", Name: c.Name, AllowLowerTolerance: c.Fewer}, "copy "+c.Name+" is being taken out")
}

type copiesReplaceCmd struct {
	boardAt
	output
	Name string `arg:"" help:"The copy whose disk is given up."`
	By   string `help:"The copy whose disk takes its place; by default a new disk of the same name."`
}

func (c copiesReplaceCmd) Run(s streams) error {
	return order(c.boardAt, c.output, s, api.ReplicaChange{Action: "replace", Name: c.Name, Replacement: c.By}, "the new disk is let in; it takes the place of copy "+c.Name+" once it has caught up")
}

type copiesHandCmd struct {
	boardAt
	output
	Name string `arg:"" optional:"" help:"The copy that is to lead; by default the one that is furthest."`
}

func (c copiesHandCmd) Run(s streams) error {
	return order(c.boardAt, c.output, s, api.ReplicaChange{Action: "hand-over", Name: c.Name}, "the lead is being handed over")
}

type copiesRecoverCmd struct {
	output
	Config string `arg:"" type:"path" help:"The program's file of the copy, whose process is stopped."`
	Yes    bool   `help:"Do it. Without this it says what may be lost and changes nothing."`
}

func (c copiesRecoverCmd) Run(s streams) error {
	set, faults := operatorconfig.ReadProgram(c.Config, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	if set.ControlPlane.Replicas.Self == "" {
		return errors.New(c.Config + ": the file lists no copies")
	}
	r, err := replicas.Recover(set.ControlPlane, c.Yes)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, r)
	}
	fmt.Fprintf(s.out, "copy %s has the history up to event %d, of %s (index %d of term %d in the log", r.Replica, r.Revision, time.UnixMilli(r.LastEventMS).UTC().Format(time.RFC3339), r.Applied, r.Term)
	if r.Undecided > 0 {
		fmt.Fprintf(s.out, "; %d entries after it are not known to be accepted and are dropped", r.Undecided)
	}
	fmt.Fprintln(s.out, ")")
	fmt.Fprintln(s.out, "What other copies have accepted beyond that is lost, and so is what was accepted while this copy was away. Look at each\ncopy that can still be read, and take the one with the highest index.")
	if !c.Yes {
		return &exit{exitFailed, "nothing was changed; --yes does it"}
	}
	_, err = fmt.Fprintf(s.out, "it is the first of a new group. Start it as usual; start the others with --new-disk, once they are there\n")
	return err
}
