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

// maxMissingToPromote is how many entries a learner may lack when it becomes a voter.
const maxMissingToPromote = 100

// Actions of an operator's order.
const (
	actionAdd                = "add"
	actionRemove             = "remove"
	actionReplace            = "replace"
	actionTransferLeadership = "hand-over"
)

// ChangeMembers carries out an operator's order if this replica leads. The error is
// store.ErrNotLeader, store.ErrClosed, replica.ErrBusy, or a *replica.RejectedError.
func (g *Group) ChangeMembers(order api.ReplicaChange) error {
	result := make(chan error, 1)
	if !g.runOnLoop(func() { result <- g.changeMembers(order) }) {
		return store.ErrClosed
	}
	return <-result
}

func (g *Group) changeMembers(order api.ReplicaChange) error {
	if g.driver == nil || !g.isLeader {
		return store.ErrNotLeader
	}
	if order.Action == actionTransferLeadership {
		return g.transferLeadership(order.Name)
	}
	c, err := g.decideChange(order)
	if err != nil || c == nil {
		return err
	}
	return g.proposeChange(*c)
}

// decideChange returns the change of members that an order asks for; nil if it was made before.
func (g *Group) decideChange(order api.ReplicaChange) (*replica.Change, error) {
	view := g.view()
	switch order.Action {
	case actionAdd:
		return view.Add(order.Name, g.joinRequests[order.Name])
	case actionRemove:
		return view.Remove(order.Name, order.AllowLowerTolerance)
	case actionReplace:
		replacement := order.Replacement
		if replacement == "" {
			replacement = order.Name
		}
		return view.Replace(order.Name, replacement, g.joinRequests[replacement])
	}
	return nil, &replica.RejectedError{Reason: fmt.Sprintf("nothing is called %q", order.Action)}
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

// view is what the leader decides on members by.
func (g *Group) view() replica.View {
	return replica.View{Status: g.driver.Status(), Members: g.driver.Members(), Places: g.settings.Places()}
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

// promoteLearner makes a voter of a learner that has caught up.
func (g *Group) promoteLearner() {
	if c := g.view().Promote(maxMissingToPromote); c != nil {
		_ = g.proposeChange(*c) // the leader tries again some ticks later
	}
}

// admit decides on a disk that asks to join, at the leader. reason is why it may not, or empty if
// it will.
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
	if err == nil || errors.Is(err, replica.ErrBusy) { // a busy leader admits the disk when it asks again
		return false, ""
	}
	return false, err.Error()
}

// membersChanged follows an applied change of members.
func (g *Group) membersChanged() {
	members := g.driver.Members()
	for name, disk := range g.joinRequests {
		if m, is := members[disk]; is && !m.Left {
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

// nameOf returns the name of a disk's replica: by the members, or, at a learner that does not know
// them yet, by what the disk's messages say.
func (g *Group) nameOf(disk uint64) string {
	if m, is := g.driver.Members()[disk]; is {
		return m.Name
	}
	return g.senders[disk]
}
