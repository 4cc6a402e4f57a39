package replica

import (
	"fmt"
	"slices"
)

// Member is a replica of the group. Another disk may take over a member's name; a disk that was
// removed never becomes a member again.
type Member struct {
	Name     string `cbor:"Name"`
	Machine  string `cbor:"Machine"`
	Site     string `cbor:"Site"`
	Replaces uint64 `cbor:"Replaces,omitempty"` // the disk that it replaces once it has caught up; 0: none
	Left     bool   `cbor:"Left,omitempty"`     // removed from the group
}

// StepKind is the kind of a step of a membership change.
type StepKind int

// A disk joins as a learner, is promoted to voter once it has caught up, and may be removed.
const (
	AddLearner StepKind = iota
	AddVoter
	RemoveMember
)

// Step is the part of a membership change that concerns one disk.
type Step struct {
	Kind   StepKind
	Disk   uint64
	Member Member // unused by RemoveMember
}

// Change is a membership change. All its steps take effect together.
type Change struct{ Steps []Step }

// RejectedError is returned to an operator or a joining disk if a membership change is rejected.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return e.Reason }

func rejectf(format string, args ...any) error { return &RejectedError{fmt.Sprintf(format, args...)} }

// View is the state on which the leader bases its decisions about membership changes.
type View struct {
	Status
	Members    map[uint64]Member
	Configured []ConfiguredReplica // the replicas in the operator's configuration
}

func (v View) configuredReplica(name string) *ConfiguredReplica {
	for i := range v.Configured {
		if v.Configured[i].Name == name {
			return &v.Configured[i]
		}
	}
	return nil
}

// Disk returns the disk that has a name, preferring a voter to a learner; 0 if there is none.
func (v View) Disk(name string) (disk uint64) {
	for d, m := range v.Members {
		if m.Name == name && !m.Left && (disk == 0 || slices.Contains(v.Voters, d)) {
			disk = d
		}
	}
	return disk
}

func (v View) isAlive(disk uint64) bool { return disk == v.Status.Disk || v.Progress[disk].IsActive }

// rejectRemoved returns a *RejectedError if a disk was removed from the group. A removal is final,
// because a replica whose log is behind would go on telling a readmitted disk that it was removed.
func (v View) rejectRemoved(disk uint64) error {
	if m := v.Members[disk]; m.Left {
		return rejectf("disk %x was taken out of the group: start copy %s with --new-disk, and have that let in", disk, m.Name)
	}
	return nil
}

// Promote returns the change that promotes a learner to voter if the learner lacks at most
// maxMissing entries; nil if there is no such learner. The same change removes the disk that the
// learner replaces, so that the group never tolerates fewer failures than before.
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
			continue // the leader must transfer its leadership before it is removed
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

// Remove returns the change for an operator's order to remove a replica. allowLowerTolerance permits
// the group to tolerate fewer failures afterwards. A non-nil error is a *RejectedError.
func (v View) Remove(name string, allowLowerTolerance bool) (*Change, error) {
	disk := v.Disk(name)
	if disk == 0 {
		return nil, rejectf("the group has no replica %s", name)
	}
	if disk == v.Status.Disk {
		return nil, rejectf("replica %s is the leader: hand over first, with: stairvane copies hand-over", name)
	}
	if slices.Contains(v.Voters, disk) {
		if err := v.rejectUnsafeRemoval(name, disk, allowLowerTolerance); err != nil {
			return nil, err
		}
	}
	return &Change{[]Step{{Kind: RemoveMember, Disk: disk}}}, nil
}

// rejectUnsafeRemoval returns a *RejectedError if the group would have no majority without the
// given voter, or if it would tolerate fewer failures and allowLowerTolerance is false.
func (v View) rejectUnsafeRemoval(name string, disk uint64, allowLowerTolerance bool) error {
	remaining := len(v.Voters) - 1
	alive := 0
	for _, d := range v.Voters {
		if d != disk && v.isAlive(d) {
			alive++
		}
	}
	if remaining == 0 {
		return rejectf("replica %s is the last one", name)
	}
	if 2*alive <= remaining {
		return rejectf("without replica %s only %d of %d replicas would be alive, which is no majority", name, alive, remaining)
	}
	now, after := ToleratedFailures(len(v.Voters)), ToleratedFailures(remaining)
	if after < now && !allowLowerTolerance {
		return rejectf("%d replicas bear the loss of %d; without %s they bear %d. Replace it, or accept that with --fewer",
			len(v.Voters), now, name, after)
	}
	return nil
}

// Successor returns the disk to which the leadership can be transferred: the one with the given
// name or, if the name is empty, the one with the longest log. A non-nil error is a *RejectedError.
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
		return 0, rejectf("no other replica that is a voter and alive can become the leader")
	}
	return disk, nil
}
