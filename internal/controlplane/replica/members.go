package replica

import (
	"fmt"
	"slices"
)

// Member is a copy of the group. A name may pass from one disk to another; a disk is a member once.
type Member struct {
	Name     string `cbor:"Name"`
	Machine  string `cbor:"Machine"`
	Site     string `cbor:"Site"`
	Replaces uint64 `cbor:"Replaces,omitempty"` // the disk whose place it takes once it has caught up; 0: none
	Left     bool   `cbor:"Left,omitempty"`     // it was taken out
}

// Place is a copy as the operator's file lists it.
type Place struct {
	Name    string
	Machine string
	Site    string
	Spare   bool // stands by to take the place of a copy that is gone
}

// ValidatePlaces tells what is wrong with a list of places; empty if nothing. The group must be able to lose any one machine,
// and any one site if there are three or more, without losing the majority.
func ValidatePlaces(places []Place) (faults []string) {
	names, machines, sites := map[string]bool{}, map[string]string{}, map[string]int{}
	serving := 0
	for _, p := range places {
		if names[p.Name] {
			faults = append(faults, fmt.Sprintf("copy %s is listed twice", p.Name))
		}
		names[p.Name] = true
		if other := machines[p.Machine]; other != "" {
			faults = append(faults, fmt.Sprintf("copies %s and %s are both on machine %s, which one fault takes away", other, p.Name, p.Machine))
		}
		machines[p.Machine] = p.Name
		if !p.Spare {
			serving++
			sites[p.Site]++
		}
	}
	if serving != 1 && serving != 3 && serving != 5 && serving != 7 {
		faults = append(faults, fmt.Sprintf("%d copies besides spares; 1, 3, 5 or 7 are wanted", serving))
	}
	for site, n := range sites {
		if len(sites) >= 3 && 2*n > serving {
			faults = append(faults, fmt.Sprintf("%d of %d copies are in site %s, which takes the majority with it", n, serving, site))
		}
	}
	slices.Sort(faults)
	return faults
}

// StepKind is what becomes of a disk in a change of members.
type StepKind int

// A disk first learns, then votes, and may leave.
const (
	Learn StepKind = iota
	Vote
	Leave
)

// Step is one disk's part of a change.
type Step struct {
	Kind   StepKind
	Disk   uint64
	Member Member
}

// Change is a change of members. Several steps become valid together.
type Change struct{ Steps []Step }

// RejectedError is why a change is not made.
type RejectedError struct{ Reason string }

func (r *RejectedError) Error() string { return r.Reason }

func refuse(format string, args ...any) error { return &RejectedError{fmt.Sprintf(format, args...)} }

// ToleratedFailures is how many copies a group of so many voters can lose and go on.
func ToleratedFailures(voters int) int { return max(0, (voters-1)/2) }

// View is what decisions on members rest on: the leader's.
type View struct {
	State
	Members map[uint64]Member
	Places  []Place
}

func (v View) place(name string) *Place {
	for i := range v.Places {
		if v.Places[i].Name == name {
			return &v.Places[i]
		}
	}
	return nil
}

// Disk finds the disk that has a name: one that votes before one that learns; 0 if there is none.
func (v View) Disk(name string) (disk uint64) {
	for d, m := range v.Members {
		if m.Name == name && !m.Left && (disk == 0 || slices.Contains(v.Voters, d)) {
			disk = d
		}
	}
	return disk
}

func (v View) alive(disk uint64) bool { return disk == v.State.Disk || v.Progress[disk].Active }

// refuseRemoved refuses a disk that was taken out, which is final: replicas that are behind tell the disk so too.
func (v View) refuseRemoved(disk uint64) error {
	if m := v.Members[disk]; m.Left {
		return refuse("disk %x was taken out of the group: start copy %s with --new-disk, and have that let in", disk, m.Name)
	}
	return nil
}

// Admit decides on a disk that asks to be let in under a name. Without a hand only a disk is let in whose name never had
// one, or, if replaceAfter allows, a spare in the place of a copy that is gone. gone tells how long, in milliseconds, a copy
// was not heard of. A nil change without an error means that it is a member already.
func (v View) Admit(name string, disk uint64, gone map[uint64]int64, replaceAfterMS int64) (*Change, error) {
	if err := v.refuseRemoved(disk); err != nil {
		return nil, err
	}
	if m, is := v.Members[disk]; is {
		if m.Name != name {
			return nil, refuse("disk %x is copy %s of this group, not %s", disk, m.Name, name)
		}
		return nil, nil
	}
	p := v.place(name)
	if p == nil {
		return nil, refuse("the leader's file lists no copy %s", name)
	}
	if old := v.Disk(name); old != 0 {
		return nil, refuse("copy %s had disk %x: a machine that comes back with another disk is let in by hand, with: stairvane copies replace %s", name, old, name)
	}
	for d, m := range v.Members {
		if m.Name == name && !p.Spare {
			return nil, refuse("copy %s had disk %x, which was taken out: another one is let in by hand, with: stairvane copies add %s", name, d, name)
		}
	}
	if !p.Spare {
		return &Change{[]Step{{Learn, disk, Member{Name: p.Name, Machine: p.Machine, Site: p.Site}}}}, nil
	}
	if replaceAfterMS <= 0 {
		return nil, refuse("copy %s is a spare: it is let in by hand, with: stairvane copies replace NAME --by %s", name, name)
	}
	for _, m := range v.Members {
		if m.Replaces != 0 && !m.Left {
			return nil, refuse("copy %s is a spare, and %s is taking a place already", name, m.Name)
		}
	}
	var lost uint64
	for _, d := range v.Voters {
		if d != v.State.Disk && gone[d] >= replaceAfterMS && (lost == 0 || gone[d] > gone[lost]) {
			lost = d
		}
	}
	if lost == 0 {
		return nil, refuse("copy %s is a spare, and no copy is gone for %d ms", name, replaceAfterMS)
	}
	return v.takeOver(*p, disk, lost)
}

// Replace decides that a disk that waits takes the place of a copy, by a hand.
func (v View) Replace(name, by string, disk uint64) (*Change, error) {
	old := v.Disk(name)
	if old == 0 {
		return nil, refuse("the group has no copy %s", name)
	}
	p := v.place(by)
	if p == nil {
		return nil, refuse("the leader's file lists no copy %s", by)
	}
	if disk == 0 {
		return nil, refuse("no disk waits to be let in as copy %s: start it there first", by)
	}
	if other := v.Disk(by); other != 0 && other != old {
		return nil, refuse("copy %s is in the group already", by)
	}
	return v.takeOver(*p, disk, old)
}

// takeOver lets a disk learn that will take another's place; nil if it does already. The machines of all others must differ
// from its own.
func (v View) takeOver(p Place, disk, old uint64) (*Change, error) {
	if err := v.refuseRemoved(disk); err != nil {
		return nil, err
	}
	if _, is := v.Members[disk]; is {
		return nil, nil // it was said before
	}
	var stale []Step
	for d, m := range v.Members {
		switch {
		case d == old || m.Left:
		case m.Name == p.Name && slices.Contains(v.Learners, d): // it was to take the place, and is gone too
			stale = append(stale, Step{Kind: Leave, Disk: d})
		case m.Machine == p.Machine:
			return nil, refuse("copy %s is on machine %s as copy %s is", p.Name, p.Machine, m.Name)
		}
	}
	if !slices.Contains(v.Voters, old) { // it never counted
		return &Change{append(stale, Step{Kind: Leave, Disk: old}, Step{Learn, disk, Member{Name: p.Name, Machine: p.Machine, Site: p.Site}})}, nil
	}
	return &Change{append(stale, Step{Learn, disk, Member{Name: p.Name, Machine: p.Machine, Site: p.Site, Replaces: old}})}, nil
}

// Remove decides on taking a copy out. fewer allows the group to bear less than before.
func (v View) Remove(name string, fewer bool) (*Change, error) {
	disk := v.Disk(name)
	if disk == 0 {
		return nil, refuse("the group has no copy %s", name)
	}
	if disk == v.State.Disk {
		return nil, refuse("copy %s leads: hand over first, with: stairvane copies hand-over", name)
	}
	if !slices.Contains(v.Voters, disk) {
		return &Change{[]Step{{Kind: Leave, Disk: disk}}}, nil
	}
	left, alive := len(v.Voters)-1, 0
	for _, d := range v.Voters {
		if d != disk && v.alive(d) {
			alive++
		}
	}
	if left == 0 {
		return nil, refuse("copy %s is the last one", name)
	}
	if 2*alive <= left {
		return nil, refuse("without copy %s only %d of %d copies would be there, which is no majority", name, alive, left)
	}
	if ToleratedFailures(left) < ToleratedFailures(len(v.Voters)) && !fewer {
		return nil, refuse("%d copies bear the loss of %d; without %s they bear %d. Replace it, or accept that with --fewer", len(v.Voters), ToleratedFailures(len(v.Voters)), name, ToleratedFailures(left))
	}
	return &Change{[]Step{{Kind: Leave, Disk: disk}}}, nil
}

// Promote finds a learner that has caught up to within so many entries and is to vote; nil if there is none. If it takes a
// disk's place, that leaves in the same change, so that the group never bears less than before.
func (v View) Promote(within uint64) *Change {
	if v.Joint {
		return nil
	}
	disks := slices.Sorted(slices.Values(v.Learners))
	for _, disk := range disks {
		p, m := v.Progress[disk], v.Members[disk]
		if m.Name == "" || !p.Active || p.Whole || p.Match == 0 || p.Match+within < v.Commit {
			continue
		}
		c := &Change{}
		if m.Replaces != 0 && slices.Contains(v.Voters, m.Replaces) {
			if m.Replaces == v.State.Disk {
				continue // a leader hands over before it goes
			}
			c.Steps = append(c.Steps, Step{Kind: Leave, Disk: m.Replaces})
		}
		m.Replaces = 0
		c.Steps = append(c.Steps, Step{Vote, disk, m})
		return c
	}
	return nil
}

// Add decides on letting in a disk that waits, beside those that are there.
func (v View) Add(name string, disk uint64) (*Change, error) {
	p := v.place(name)
	switch {
	case p == nil:
		return nil, refuse("the leader's file lists no copy %s", name)
	case v.Disk(name) != 0:
		return nil, refuse("copy %s is in the group already; a new disk takes its place with: stairvane copies replace %s", name, name)
	case disk == 0:
		return nil, refuse("no disk waits to be let in as copy %s: start it there first", name)
	}
	if err := v.refuseRemoved(disk); err != nil {
		return nil, err
	}
	for _, m := range v.Members {
		if !m.Left && m.Machine == p.Machine {
			return nil, refuse("copy %s is on machine %s as copy %s is", p.Name, p.Machine, m.Name)
		}
	}
	return &Change{[]Step{{Learn, disk, Member{Name: p.Name, Machine: p.Machine, Site: p.Site}}}}, nil
}

// Successor finds the disk that the lead can be handed to: that of a name, or the one that is furthest.
func (v View) Successor(name string) (disk uint64, err error) {
	for _, d := range v.Voters {
		if d == v.State.Disk || !v.alive(d) || name != "" && v.Members[d].Name != name {
			continue
		}
		if disk == 0 || v.Progress[d].Match > v.Progress[disk].Match {
			disk = d
		}
	}
	if disk == 0 {
		return 0, refuse("no other copy that votes and is there could lead")
	}
	return disk, nil
}
