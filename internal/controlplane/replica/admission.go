package replica

import (
	"slices"
	"time"
)

// Admit decides on a disk that asks to join under a name. Without an operator's order a disk is
// admitted only if its name never had another one, or if it is a standby and a replica was silent
// for replaceAfter; 0 forbids that. silence is how long nothing came from each other disk. A nil
// change without an error means that the disk is a member already. An error is a *RejectedError.
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
	p := v.place(name)
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
	return joinAsLearner(*p, disk, 0), nil
}

// admitStandby lets a standby replace the voter that was silent for longest, if that is long
// enough.
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
	return v.replace(p, disk, lost)
}

// Add decides on an operator's order that a waiting disk joins beside the present members. disk is
// 0 if none waits under the name. An error is a *RejectedError.
func (v View) Add(name string, disk uint64) (*Change, error) {
	p := v.place(name)
	switch {
	case p == nil:
		return nil, rejectf("the leader's file lists no copy %s", name)
	case v.Disk(name) != 0:
		return nil, rejectf("copy %s is in the group already; a new disk takes its place with: stairvane copies replace %s", name, name)
	case disk == 0:
		return nil, rejectf("no disk waits to be let in as copy %s: start it there first", name)
	}
	if err := v.rejectRemoved(disk); err != nil {
		return nil, err
	}
	for _, m := range v.Members {
		if !m.Left && m.Machine == p.Machine {
			return nil, rejectf("copy %s is on machine %s as copy %s is", p.Name, p.Machine, m.Name)
		}
	}
	return joinAsLearner(*p, disk, 0), nil
}

// Replace decides on an operator's order that a waiting disk takes the place of a replica. disk is
// 0 if none waits under the name of the replacement. A nil change without an error means that it
// was ordered before. An error is a *RejectedError.
func (v View) Replace(name, replacement string, disk uint64) (*Change, error) {
	old := v.Disk(name)
	if old == 0 {
		return nil, rejectf("the group has no copy %s", name)
	}
	p := v.place(replacement)
	if p == nil {
		return nil, rejectf("the leader's file lists no copy %s", replacement)
	}
	if disk == 0 {
		return nil, rejectf("no disk waits to be let in as copy %s: start it there first", replacement)
	}
	if other := v.Disk(replacement); other != 0 && other != old {
		return nil, rejectf("copy %s is in the group already", replacement)
	}
	return v.replace(*p, disk, old)
}

// replace lets a disk join as a learner which takes the old one's place once it is promoted; nil if
// it joined already. Its machine must differ from those of all other members.
func (v View) replace(p ConfiguredReplica, disk, old uint64) (*Change, error) {
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
		case m.Name == p.Name && slices.Contains(v.Learners, d): // an earlier replacement, which was lost before it was promoted
			steps = append(steps, Step{Kind: RemoveMember, Disk: d})
		case m.Machine == p.Machine:
			return nil, rejectf("copy %s is on machine %s as copy %s is", p.Name, p.Machine, m.Name)
		}
	}
	replaced := old
	if !slices.Contains(v.Voters, old) { // a learner does not count for the majority: it is removed at once
		steps = append(steps, Step{Kind: RemoveMember, Disk: old})
		replaced = 0
	}
	join := joinAsLearner(p, disk, replaced)
	return &Change{append(steps, join.Steps...)}, nil
}

func joinAsLearner(p ConfiguredReplica, disk, replaces uint64) *Change {
	member := Member{Name: p.Name, Machine: p.Machine, Site: p.Site, Replaces: replaces}
	return &Change{[]Step{{Kind: AddLearner, Disk: disk, Member: member}}}
}
