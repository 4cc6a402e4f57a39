package replicas

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// maxMissingToPromote is the maximum number of entries that a learner may lack to be promoted to a
// voter.
const maxMissingToPromote = 100

// Values of api.ReplicaChange.Action.
const (
	actionAdd                = "add"
	actionRemove             = "remove"
	actionReplace            = "replace"
	actionTransferLeadership = "hand-over"
)

// ChangeMembers starts the membership change or leadership transfer that an operator requests. It
// must be called at the leader. It returns store.ErrNotLeader, store.ErrClosed, replica.ErrBusy, or
// a *replica.RejectedError.
func (g *Group) ChangeMembers(change api.ReplicaChange) error {
	result := make(chan error, 1)
	if !g.runOnLoop(func() { result <- g.changeMembers(change) }) {
		return store.ErrClosed
	}
	return <-result
}

func (g *Group) changeMembers(change api.ReplicaChange) error {
	if g.driver == nil || !g.isLeader {
		return store.ErrNotLeader
	}
	if change.Action == actionTransferLeadership {
		return g.transferLeadership(change.Name)
	}
	c, err := g.resolveChange(change)
	if err != nil || c == nil {
		return err
	}
	return g.proposeChange(*c)
}

// resolveChange returns the membership change for an operator's request. It returns nil if the
// change is already made.
func (g *Group) resolveChange(change api.ReplicaChange) (*replica.Change, error) {
	view := g.view()
	switch change.Action {
	case actionAdd:
		return view.Add(change.Name, g.joinRequests[change.Name])
	case actionRemove:
		return view.Remove(change.Name, change.AllowLowerTolerance)
	case actionReplace:
		replacement := change.Replacement
		if replacement == "" {
			replacement = change.Name
		}
		return view.Replace(change.Name, replacement, g.joinRequests[replacement])
	}
	return nil, &replica.RejectedError{Reason: fmt.Sprintf("unknown action %q", change.Action)}
}

func (g *Group) transferLeadership(name string) error {
	to, err := g.view().Successor(name)
	if err != nil {
		return err
	}
	slog.Info("replica.leadership_transfer_started", "to", g.driver.Members()[to].Name)
	g.driver.TransferLeadership(to)
	return nil
}

// view returns the state on which the leader bases decisions on membership.
func (g *Group) view() replica.View {
	return replica.View{Status: g.driver.Status(), Members: g.driver.Members(), Configured: g.settings.Configured()}
}

func (g *Group) proposeChange(c replica.Change) error {
	if err := g.driver.ProposeChange(c); err != nil {
		return err
	}
	slog.Info("replica.change_proposed", "change", describeChange(c))
	return nil
}

func describeChange(c replica.Change) string {
	verbs := map[replica.StepKind]string{replica.AddLearner: "learns", replica.AddVoter: "votes", replica.RemoveMember: "leaves"}
	steps := make([]string, len(c.Steps))
	for i, step := range c.Steps {
		steps[i] = fmt.Sprintf("%s disk %x %s", verbs[step.Kind], step.Disk, step.Member.Name)
	}
	return strings.Join(steps, ", ")
}

// promoteLearner proposes to promote a learner that has caught up to a voter.
func (g *Group) promoteLearner() {
	if c := g.view().Promote(maxMissingToPromote); c != nil {
		_ = g.proposeChange(*c) // the leader retries after ticksPerPromotion
	}
}

// admit handles, at the leader, the request of a disk to join the group. isMember reports whether it
// is a member already. reason is why the disk may not join; it is empty if its admission is proposed
// or will be.
func (g *Group) admit(name string, disk uint64) (isMember bool, reason string) {
	silence := map[uint64]time.Duration{}
	for other := range g.driver.Members() {
		silence[other] = g.contacts.Silence(other)
	}
	c, err := g.view().Admit(name, disk, silence, g.settings.ReplaceAfter)
	if err == nil && c == nil {
		return true, ""
	}
	if g.joinRequests[name] != disk {
		g.joinRequests[name] = disk
		g.publish()
	}
	if err == nil {
		err = g.proposeChange(*c)
	}
	if err == nil || errors.Is(err, replica.ErrBusy) { // a busy leader admits the disk at its next hello
		return false, ""
	}
	return false, err.Error()
}

// membersChanged removes admitted disks from the join requests and logs the members after an applied
// membership change.
func (g *Group) membersChanged() {
	members := g.driver.Members()
	for name, disk := range g.joinRequests {
		if m, ok := members[disk]; ok && !m.Left {
			delete(g.joinRequests, name)
		}
	}
	names := []string{}
	for _, m := range members {
		if !m.Left {
			names = append(names, m.Name)
		}
	}
	slog.Info("replica.members_changed", "replicas", names)
}

// replicaName returns the name of a disk's replica. A learner that does not know the members yet
// uses the name that the disk's messages carry.
func (g *Group) replicaName(disk uint64) string {
	if m, ok := g.driver.Members()[disk]; ok {
		return m.Name
	}
	return g.senderNames[disk]
}
