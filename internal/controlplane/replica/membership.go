package replica

import (
	"fmt"
	"slices"
)

// Member is a replica of the group. A name may pass from one disk to another; a disk is a member
// once.
type Member struct {
	Name     string `cbor:"Name"`
	Machine  string `cbor:"Machine"`
	Site     string `cbor:"Site"`
	Replaces uint64 `cbor:"Replaces,omitempty"` // the disk whose place it takes once it has caught up; 0: none
	Left     bool   `cbor:"Left,omitempty"`     // it was removed
}

// StepKind is what becomes of a disk in a change of members.
type StepKind int

// A disk joins as a learner, is promoted to a voter, and may be removed.
const (
	AddLearner StepKind = iota
	AddVoter
	RemoveMember
)

// Step is one disk's part in a change of members.
type Step struct {
	Kind   StepKind
	Disk   uint64
	Member Member // unused by RemoveMember
}

// Change is a change of members. All its steps become valid together.
type Change struct{ Steps []Step }

// RejectedError tells an operator or a disk why a change of members is not made.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return e.Reason }

func rejectf(format string, args ...any) error { return &RejectedError{fmt.Sprintf(format, args...)} }

// View is what the leader decides on members by.
type View struct {
	Status
	Members map[uint64]Member
	Places  []ConfiguredReplica // of the operator's file
}

func (v View) place(name string) *ConfiguredReplica {
	for i := range v.Places {
		if v.Places[i].Name == name {
			return &v.Places[i]
		}
	}
	return nil
}

// Disk returns the disk that has a name, a voter before a learner; 0 if there is none.
func (v View) Disk(name string) (disk uint64) {
	for d, m := range v.Members {
		if m.Name == name && !m.Left && (disk == 0 || slices.Contains(v.Voters, d)) {
			disk = d
		}
	}
	return disk
}

func (v View) isAlive(disk uint64) bool { return disk == v.Status.Disk || v.Progress[disk].IsActive }

// rejectRemoved rejects a disk that was removed. That is final: replicas that are behind have
// answered the disk so too.
func (v View) rejectRemoved(disk uint64) error {
	if m := v.Members[disk]; m.Left {
		return rejectf("disk %x was taken out of the group: start copy %s with --new-disk, and have that let in", disk, m.Name)
	}
	return nil
}

// Promote returns the change that makes a voter of a learner which lacks at most so many entries;
// nil if there is none. The disk that it replaces is removed in the same change, so that the group
// never tolerates fewer failures than before.
func (v View) Promote(maxMissing uint64) *Change {
	if v.IsJoint {
		return nil
	}
	for _, disk := range slices.Sorted(slices.Values(v.Learners)) {
		if !v.hasCaughtUp(disk, maxMissing) {
			continue
		}
		member := v.Members[disk]
		replaced := member.Replaces
		if replaced == v.Status.Disk && slices.Contains(v.Voters, replaced) {
			continue // a leader transfers its leadership before it is removed
		}
		var steps []Step
		if replaced != 0 && slices.Contains(v.Voters, replaced) {
			steps = append(steps, Step{Kind: RemoveMember, Disk: replaced})
		}
		member.Replaces = 0
		return &Change{append(steps, Step{Kind: AddVoter, Disk: disk, Member: member})}
	}
	return nil
}

func (v View) hasCaughtUp(learner uint64, maxMissing uint64) bool {
	p := v.Progress[learner]
	return v.Members[learner].Name != "" && p.IsActive && !p.InSnapshot && p.Match != 0 && p.Match+maxMissing >= v.Commit
}

// Remove returns the change that removes a replica by an operator's order. allowLowerTolerance
// permits that the group tolerates fewer failures afterwards. An error is a *RejectedError.
func (v View) Remove(name string, allowLowerTolerance bool) (*Change, error) {
	disk := v.Disk(name)
	if disk == 0 {
		return nil, rejectf("the group has no copy %s", name)
	}
	if disk == v.Status.Disk {
		return nil, rejectf("copy %s leads: hand over first, with: stairvane copies hand-over", name)
	}
	if slices.Contains(v.Voters, disk) {
		if err := v.rejectUnsafeRemoval(name, disk, allowLowerTolerance); err != nil {
			return nil, err
		}
	}
	return &Change{[]Step{{Kind: RemoveMember, Disk: disk}}}, nil
}

// rejectUnsafeRemoval rejects the removal of a voter without which the group has no majority, or
// tolerates fewer failures.
func (v View) rejectUnsafeRemoval(name string, disk uint64, allowLowerTolerance bool) error {
	remaining := len(v.Voters) - 1
	alive := 0
	for _, d := range v.Voters {
		if d != disk && v.isAlive(d) {
			alive++
		}
	}
	if remaining == 0 {
		return rejectf("copy %s is the last one", name)
	}
	if 2*alive <= remaining {
		return rejectf("without copy %s only %d of %d copies would be there, which is no majority", name, alive, remaining)
	}
	now, after := ToleratedFailures(len(v.Voters)), ToleratedFailures(remaining)
	if after < now && !allowLowerTolerance {
		return rejectf("%d copies bear the loss of %d; without %s they bear %d. Replace it, or accept that with --fewer",
			len(v.Voters), now, name, after)
	}
	return nil
}

// Successor returns the disk that the leadership can be transferred to: that of a name, or the one
// whose log is longest if the name is empty. An error is a *RejectedError.
func (v View) Successor(name string) (disk uint64, err error) {
	for _, d := range v.Voters {
		if d == v.Status.Disk || !v.isAlive(d) || name != "" && v.Members[d].Name != name {
			continue
		}
		if disk == 0 || v.Progress[d].Match > v.Progress[disk].Match {
			disk = d
		}
	}
	if disk == 0 {
		return 0, rejectf("no other copy that votes and is there could lead")
	}
	return disk, nil
}
