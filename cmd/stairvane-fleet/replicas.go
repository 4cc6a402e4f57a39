package main

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
)

// replicasCmd shows and changes the replicas of the control plane.
type replicasCmd struct {
	Show     replicasShowCmd     `cmd:"" default:"withargs" help:"Show the group as its replicas know it. Ends with 1 if no replica leads."`
	Wait     replicasWaitCmd     `cmd:"" help:"Wait until all replicas but the standbys vote and are there. Ends with 1 if they do not come."`
	Add      replicasAddCmd      `cmd:"" help:"Admit a disk that waits, beside those that are there."`
	Remove   replicasRemoveCmd   `cmd:"" help:"Remove a replica from the group."`
	Replace  replicasReplaceCmd  `cmd:"" help:"Have a disk that waits take the place of a replica: of the same name, or of another."`
	HandOver replicasHandOverCmd `cmd:"" help:"Transfer the leadership to another replica."`
	Recover  replicasRecoverCmd  `cmd:"" help:"After the majority is lost for good: make one replica, which is stopped, the first of a new group."`
}

// replicasShowCmd shows the group.
type replicasShowCmd struct {
	controlPlaneFlags
	outputFlags
}

// replicaAnswer is the answer of one replica, or the error of the request.
type replicaAnswer struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	*api.GroupStatus
}

// Run requests the status of every replica, and shows it with the leader's view of the group.
func (c replicasShowCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var answers []replicaAnswer
	var leader *api.GroupStatus
	client.EachReplica(func(address string, status api.GroupStatus, err error) {
		answer := replicaAnswer{Address: address}
		if err != nil {
			answer.Error = err.Error()
		} else {
			answer.GroupStatus = &status
		}
		if err == nil && status.IsLeader {
			leader = &status
		}
		answers = append(answers, answer)
	})
	if c.json() {
		err = writeJSON(s.out, answers)
	} else {
		err = showGroup(s, answers, leader)
	}
	if err == nil && leader == nil {
		err = &exitError{exitFailed, "no leader among the replicas that answered"}
	}
	return err
}

func showGroup(s streams, answers []replicaAnswer, leader *api.GroupStatus) error {
	for _, a := range answers {
		switch {
		case a.GroupStatus == nil:
			s.printf("%s: no answer: %s\n", a.Address, a.Error)
		case a.Reason != "":
			s.printf("%s: replica %s is %s: %s\n", a.Address, a.Name, a.Phase, a.Reason)
		default:
			s.printf("%s: replica %s is %s, term %d, event %d, applied up to %d\n",
				a.Address, a.Name, a.Phase, a.Term, a.Revision, a.Applied)
		}
	}
	if leader == nil {
		return nil
	}
	s.printf("replica %s is the leader; the group tolerates the loss of %d\n", leader.Name, leader.ToleratedFailures)
	var rows [][]string
	for _, r := range leader.Replicas {
		rows = append(rows, replicaRow(r))
	}
	if err := writeTable(s, rows, "copy", "machine", "site", "disk", "votes", "alive", "behind", "told", "lease"); err != nil {
		return err
	}
	for _, name := range leader.Waiting {
		s.printf("replica %s waits to be admitted\n", name)
	}
	return nil
}

func replicaRow(r api.ReplicaStatus) []string {
	votes := "yes"
	if !r.IsVoter {
		votes = "learns"
	}
	if r.Replaces != "" {
		votes += ", for " + r.Replaces
	}
	alive := "yes"
	if !r.Alive {
		alive = "silent for " + (time.Duration(r.SilentMS) * time.Millisecond).Round(100*time.Millisecond).String()
	}
	return []string{
		r.Name, r.Machine, r.Site, r.Disk, votes, alive, fmt.Sprint(r.Behind), fmt.Sprint(r.Acknowledged), fmt.Sprintf("%d ms", r.LeaseMS),
	}
}

// replicasWaitCmd waits until the group is complete.
type replicasWaitCmd struct {
	controlPlaneFlags
	outputFlags
	For time.Duration `default:"1m" help:"For how long."`
}

// Run waits until all configured replicas vote and have all log entries.
func (c replicasWaitCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	lastMessage := ""
	for deadline := time.Now().Add(c.For); ; time.Sleep(pollInterval) {
		leader := findLeader(client)
		voters, current := countVoters(leader)
		if leader != nil && voters >= leader.Configured && current == voters && !leader.Joint {
			if c.json() {
				return writeJSON(s.out, leader)
			}
			s.printf("%d replicas vote, all are up to date\n", voters)
			return nil
		}
		message := "there is no leader"
		if leader != nil {
			message = fmt.Sprintf("%d of %d replicas vote, %d of them are up to date", voters, leader.Configured, current)
		}
		if message != lastMessage {
			s.stderrf("%s\n", message)
			lastMessage = message
		}
		if time.Now().After(deadline) {
			return &exitError{exitFailed, "the group is not complete: " + message}
		}
	}
}

// findLeader requests the status of all replicas and returns that of the leader, or nil if there is none.
func findLeader(client *api.Client) (leader *api.GroupStatus) {
	client.EachReplica(func(_ string, status api.GroupStatus, err error) {
		if err == nil && status.IsLeader {
			leader = &status
		}
	})
	return leader
}

// countVoters returns the number of replicas that vote, and the number of these that are alive and have all log entries.
func countVoters(leader *api.GroupStatus) (voters, current int) {
	if leader == nil {
		return 0, 0
	}
	for _, r := range leader.Replicas {
		if !r.IsVoter {
			continue
		}
		voters++
		if r.Alive && r.Behind == 0 {
			current++
		}
	}
	return voters, current
}

// replicaChangeFlags holds the flags of the commands that change the group.
type replicaChangeFlags struct {
	controlPlaneFlags
	outputFlags
}

// change requests a change of the group from the leader, and prints the message done once the leader has accepted it.
func (c replicaChangeFlags) change(s streams, change api.ReplicaChange, done string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.ChangeReplicas(change)
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, status)
	}
	s.println(done)
	return nil
}

type replicasAddCmd struct {
	replicaChangeFlags
	Name string `arg:"" help:"The replica, as the leader's file lists it."`
}

// Run admits a waiting disk.
func (c replicasAddCmd) Run(s streams) error {
	return c.change(s, api.ReplicaChange{Action: "add", Name: c.Name}, "replica "+c.Name+" is admitted; it will vote once it has caught up")
}

type replicasRemoveCmd struct {
	replicaChangeFlags
	Name  string `arg:"" help:"The replica."`
	Fewer bool   `help:"Accept that the group tolerates the loss of fewer replicas afterwards."`
}

// Run removes a replica.
func (c replicasRemoveCmd) Run(s streams) error {
	change := api.ReplicaChange{Action: "remove", Name: c.Name, AllowLowerTolerance: c.Fewer}
	return c.change(s, change, "replica "+c.Name+" is being removed")
}

type replicasReplaceCmd struct {
	replicaChangeFlags
	Name        string `arg:"" help:"The replica whose disk is given up."`
	Replacement string `name:"by" help:"The replica whose disk takes its place; by default a new disk of the same name."`
}

// Run replaces a replica's disk.
func (c replicasReplaceCmd) Run(s streams) error {
	change := api.ReplicaChange{Action: "replace", Name: c.Name, Replacement: c.Replacement}
	return c.change(s, change, "the new disk is admitted; it will replace replica "+c.Name+" once it has caught up")
}

type replicasHandOverCmd struct {
	replicaChangeFlags
	Name string `arg:"" optional:"" help:"The replica that is to lead; by default the one that is furthest."`
}

// Run starts a transfer of the leadership.
func (c replicasHandOverCmd) Run(s streams) error {
	return c.change(s, api.ReplicaChange{Action: "hand-over", Name: c.Name}, "the leadership is being transferred")
}
