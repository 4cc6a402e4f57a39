package replica

import (
	"slices"
	"time"
)

// Admit decides whether a disk may join the group under a replica name without an operator's order.
// It may if no other disk ever had the name, or if the name is that of a standby and a voter has
// been silent for at least replaceAfter; a replaceAfter of 0 disables replacement by standbys.
// silence is the time since the last message from each other disk. A nil change with a nil error
// means that the disk is already a member. A non-nil error is a *RejectedError.
func (v View) Admit(name string, disk uint64, silence map[uint64]time.Duration, replaceAfter time.Duration) (*Change, error) {
	if err := v.rejectRemoved(disk); err != nil {
		return nil, err
	}
	if m, isMember := v.Members[disk]; isMember {
		if m.Name != name {
			return nil, rejectf("disk %x is copy %s of this group, not %s", disk, m.Name, name)
		}
		return nil, nil
	}
	p := v.configuredReplica(name)
	if p == nil {
		return nil, rejectf("the leader's file lists no copy %s", name)
	}
	if old := v.Disk(name); old != 0 {
		return nil, rejectf("copy %s had disk %x: a machine that comes back with another disk is let in by hand, "+
			"with: stairvane copies replace %s", name, old, name)
	}
	if p.IsStandby {
		return v.admitStandby(*p, disk, silence, replaceAfter)
	}
	for d, m := range v.Members {
		if m.Name == name {
			return nil, rejectf("copy %s had disk %x, which was taken out: another one is let in by hand, with: stairvane copies add %s",
				name, d, name)
		}
	}
	return addLearnerChange(*p, disk, 0), nil
}

// admitStandby returns the change by which a standby replaces the voter that has been silent for
// longest, if that voter has been silent for at least replaceAfter.
func (v View) admitStandby(
	p ConfiguredReplica, disk uint64, silence map[uint64]time.Duration, replaceAfter time.Duration,
) (*Change, error) {
	if replaceAfter <= 0 {
		return nil, rejectf("copy %s is a spare: it is let in by hand, with: stairvane copies replace NAME --by %s", p.Name, p.Name)
	}
	for _, m := range v.Members {
		if m.Replaces != 0 && !m.Left {
			return nil, rejectf("copy %s is a spare, and %s is taking a place already", p.Name, m.Name)
		}
	}
	var lost uint64
	for _, d := range v.Voters {
		if d != v.Status.Disk && silence[d] >= replaceAfter && (lost == 0 || silence[d] > silence[lost]) {
			lost = d
		}
	}
	if lost == 0 {
		return nil, rejectf("copy %s is a spare, and no copy is gone for %d ms", p.Name, replaceAfter.Milliseconds())
	}
	return v.replaceMember(p, disk, lost)
}

// Add returns the change for an operator's order to add a waiting disk to the group. disk is 0 if no
// disk waits to join under the name. A non-nil error is a *RejectedError.
func (v View) Add(name string, disk uint64) (*Change, error) {
	p := v.configuredReplica(name)
	switch {
	case p == nil:
		return nil, rejectf("the leader's configuration lists no replica %s", name)
	case v.Disk(name) != 0:
		return nil, rejectf("replica %s is in the group already; to replace its disk: stairvane copies replace %s", name, name)
	case disk == 0:
		return nil, rejectf("no disk waits to join as replica %s: start it there first", name)
	}
	if err := v.rejectRemoved(disk); err != nil {
		return nil, err
	}
	for _, m := range v.Members {
		if !m.Left && m.Machine == p.Machine {
			return nil, rejectf("replica %s is on machine %s, where replica %s runs already", p.Name, p.Machine, m.Name)
		}
	}
	return addLearnerChange(*p, disk, 0), nil
}

// Replace returns the change for an operator's order to replace a replica with a waiting disk. disk
// is 0 if no disk waits to join under the name of the replacement. A nil change with a nil error
// means that the replacement was ordered before. A non-nil error is a *RejectedError.
func (v View) Replace(name, replacement string, disk uint64) (*Change, error) {
	old := v.Disk(name)
	if old == 0 {
		return nil, rejectf("the group has no replica %s", name)
	}
	p := v.configuredReplica(replacement)
	if p == nil {
		return nil, rejectf("the leader's configuration lists no replica %s", replacement)
	}
	if disk == 0 {
		return nil, rejectf("no disk waits to join as replica %s: start it there first", replacement)
	}
	if other := v.Disk(replacement); other != 0 && other != old {
		return nil, rejectf("replica %s is in the group already", replacement)
	}
	return v.replaceMember(*p, disk, old)
}

// replaceMember returns the change that adds a disk as a learner, which replaces the old disk when
// it is promoted; nil if the disk is already a member. Its machine must differ from the machines of
// all other members.
func (v View) replaceMember(p ConfiguredReplica, disk, old uint64) (*Change, error) {
	if err := v.rejectRemoved(disk); err != nil {
		return nil, err
	}
	if _, isMember := v.Members[disk]; isMember {
		return nil, nil
	}
	var steps []Step
	for d, m := range v.Members {
		switch {
		case d == old || m.Left:
		case m.Name == p.Name && slices.Contains(v.Learners, d): // an earlier replacement that was lost before its promotion
			steps = append(steps, Step{Kind: RemoveMember, Disk: d})
		case m.Machine == p.Machine:
			return nil, rejectf("copy %s is on machine %s as copy %s is", p.Name, p.Machine, m.Name)
		}
	}
	replaced := old
	if !slices.Contains(v.Voters, old) { // a learner does not count towards the majority, so it is removed at once
		steps = append(steps, Step{Kind: RemoveMember, Disk: old})
		replaced = 0
	}
	join := addLearnerChange(p, disk, replaced)
	return &Change{append(steps, join.Steps...)}, nil
}

func addLearnerChange(p ConfiguredReplica, disk, replaces uint64) *Change {
	member := Member{Name: p.Name, Machine: p.Machine, Site: p.Site, Replaces: replaces}
	return &Change{[]Step{{Kind: AddLearner, Disk: disk, Member: member}}}
}
