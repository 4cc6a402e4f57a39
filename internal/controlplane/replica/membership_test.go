package replica

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against accepting a configuration in which the loss of one machine, or of one of three or
// more sites, costs the majority.
func TestValidConfigurationKeepsMajorityAfterOneFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "replicas")
		var configured []ConfiguredReplica
		for i := range n {
			configured = append(configured, ConfiguredReplica{
				Name: fmt.Sprintf("c%d", i), Machine: fmt.Sprint("m", rapid.IntRange(0, 11).Draw(t, "machine")),
				Site: fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "site")), IsStandby: rapid.IntRange(0, 9).Draw(t, "standby") == 0,
			})
		}
		if len(ValidateConfigured(configured)) > 0 {
			return
		}
		machines := map[string]int{}
		sites := map[string]int{}
		serving := 0
		for _, p := range configured {
			machines[p.Machine]++
			if !p.IsStandby {
				sites[p.Site]++
				serving++
			}
		}
		for m, n := range machines {
			if n > 1 {
				t.Fatalf("machine %s has %d replicas", m, n)
			}
		}
		for s, n := range sites {
			if len(sites) >= 3 && 2*(serving-n) <= serving {
				t.Fatalf("without site %s %d of %d are left", s, serving-n, serving)
			}
		}
		if serving%2 == 0 {
			t.Fatalf("%d voting replicas", serving)
		}
	})
}

func TestInvalidConfigurationIsReported(t *testing.T) {
	for want, configured := range map[string][]ConfiguredReplica{
		"both on machine m1": {
			{Name: "a", Machine: "m1", Site: "x"},
			{Name: "b", Machine: "m1", Site: "y"},
			{Name: "c", Machine: "m3", Site: "z"},
		},
		"listed twice": {
			{Name: "a", Machine: "m1", Site: "x"},
			{Name: "a", Machine: "m2", Site: "y"},
			{Name: "c", Machine: "m3", Site: "z"},
		},
		"2 replicas besides standbys": {
			{Name: "a", Machine: "m1", Site: "x"},
			{Name: "b", Machine: "m2", Site: "y"},
			{Name: "c", Machine: "m3", Site: "z", IsStandby: true},
		},
		"3 of 5 replicas are in site": {
			{Name: "a", Machine: "m1", Site: "x"},
			{Name: "b", Machine: "m2", Site: "x"},
			{Name: "c", Machine: "m3", Site: "x"},
			{Name: "d", Machine: "m4", Site: "y"},
			{Name: "e", Machine: "m5", Site: "z"},
		},
	} {
		if got := strings.Join(ValidateConfigured(configured), "; "); !strings.Contains(got, want) {
			t.Errorf("%q is not reported: %q", want, got)
		}
	}
}

// groupOfThree returns the view of leader a in a group of the replicas a, b and c with a standby d.
func groupOfThree() View {
	v := View{
		Members: map[uint64]Member{},
		Status: Status{
			Disk:      1,
			IsLeader:  true,
			Voters:    []uint64{1, 2, 3},
			HardState: HardState{Commit: 1000},
			Progress:  map[uint64]Progress{},
		},
	}
	for i, name := range []string{"a", "b", "c", "d"} {
		v.Configured = append(v.Configured, ConfiguredReplica{Name: name, Machine: "m" + name, Site: "s" + name, IsStandby: name == "d"})
		if name != "d" {
			v.Members[uint64(i+1)] = Member{Name: name, Machine: "m" + name, Site: "s" + name}
			v.Progress[uint64(i+1)] = Progress{Match: 1000, IsActive: true}
		}
	}
	return v
}

// Guards the rules for admitting, replacing and removing a disk, and the reasons given for a
// rejection.
func TestMembershipChanges(t *testing.T) {
	rejected := func(what string, err error, why string) {
		t.Helper()
		var r *RejectedError
		if !errors.As(err, &r) || !strings.Contains(r.Reason, why) {
			t.Errorf("%s: %v, not %q", what, err, why)
		}
	}
	v := groupOfThree()
	if c, err := v.Admit("a", 1, nil, 0); c != nil || err != nil {
		t.Error("a member that asks again:", c, err)
	}
	_, err := v.Admit("b", 9, nil, 0)
	rejected("a machine with an empty disk under its old name", err, "copies replace b")
	_, err = v.Admit("x", 9, nil, 0)
	rejected("a name that is not listed", err, "lists no copy x")
	_, err = v.Admit("c", 2, nil, 0)
	rejected("a disk under another name", err, "not c")
	_, err = v.Admit("d", 9, map[uint64]time.Duration{2: 50 * time.Millisecond}, 100*time.Millisecond)
	rejected("a standby while all replicas are alive", err, "no copy is gone")
	_, err = v.Admit("d", 9, map[uint64]time.Duration{1: 5000 * time.Millisecond}, 100*time.Millisecond)
	rejected("a standby for the leader, which receives no messages from itself", err, "no copy is gone")
	_, err = v.Admit("d", 9, map[uint64]time.Duration{2: 500 * time.Millisecond}, 0)
	rejected("a standby while replacement by standbys is disabled", err, "by hand")
	c, err := v.Admit("d", 9, map[uint64]time.Duration{2: 500 * time.Millisecond, 3: 200 * time.Millisecond}, 100*time.Millisecond)
	if err != nil || len(c.Steps) != 1 || c.Steps[0].Kind != AddLearner || c.Steps[0].Member.Replaces != 2 {
		t.Errorf("a standby for the replica that has been silent for longest: %+v %v", c, err)
	}
	withRemoved := groupOfThree()
	withRemoved.Members[2] = Member{Name: "b", Machine: "mb", Site: "sb", Left: true}
	_, err = withRemoved.Admit("b", 2, nil, 0)
	rejected("a removed disk", err, "--new-disk")
	_, err = withRemoved.Admit("b", 9, nil, 0)
	rejected("another disk under the name of a removed one", err, "copies add b")
	_, err = withRemoved.Add("b", 2)
	rejected("a removed disk, by an operator's order", err, "--new-disk")
	_, err = withRemoved.Replace("c", "b", 2)
	rejected("a removed disk as a replacement, by an operator's order", err, "--new-disk")
	if c, err := withRemoved.Add("b", 9); err != nil || c.Steps[0].Disk != 9 {
		t.Error(c, err)
	}
	_, err = v.Remove("b", false)
	rejected("a removal that lowers the tolerated failures", err, "bear the loss of 1; without b they bear 0")
	if c, err = v.Remove("b", true); err != nil || len(c.Steps) != 1 {
		t.Error(c, err)
	}
	_, err = v.Remove("a", true)
	rejected("the leader", err, "hand over first")
	v.Progress[3] = Progress{Match: 10}
	_, err = v.Remove("b", true)
	rejected("no majority afterwards", err, "no majority")
	_, err = v.Replace("b", "b", 0)
	rejected("no disk waits", err, "start it there first")
	_, err = v.Replace("b", "c", 9)
	rejected("a replacement that is already a member", err, "in the group already")
	if _, err = v.Add("b", 9); err == nil {
		t.Error("a name is added twice")
	}
	if to, err := v.Successor(""); to != 2 || err != nil {
		t.Error("the successor is", to, err)
	}
}

// Guards against a promotion that lowers the number of tolerated failures: the replaced voter is
// removed in the same change. A learner that lacks many entries, or was never active, is not
// promoted.
func TestPromotionKeepsToleratedFailures(t *testing.T) {
	v := groupOfThree()
	v.Members[9] = Member{Name: "b", Machine: "mb", Site: "sb", Replaces: 2}
	v.Learners = []uint64{9}
	for _, p := range []Progress{{}, {Match: 10, IsActive: true}, {Match: 1000}, {Match: 1000, IsActive: true, InSnapshot: true}} {
		v.Progress[9] = p
		if c := v.Promote(100); c != nil {
			t.Errorf("a learner with progress %+v is promoted: %+v", p, c)
		}
	}
	if c, err := v.Replace("b", "b", 9); c != nil || err != nil {
		t.Errorf("the same order again: %+v %v", c, err)
	}
	removeFirst := Step{Kind: RemoveMember, Disk: 9}
	if c, err := v.Replace("b", "b", 11); err != nil || len(c.Steps) != 2 || c.Steps[0] != removeFirst || c.Steps[1].Member.Replaces != 2 {
		t.Errorf("another replacement after the first one was lost: %+v %v", c, err)
	}
	v.Progress[9] = Progress{Match: 950, IsActive: true}
	c := v.Promote(100)
	if c == nil || len(c.Steps) != 2 || !slices.ContainsFunc(c.Steps, func(s Step) bool { return s.Kind == RemoveMember && s.Disk == 2 }) ||
		!slices.ContainsFunc(c.Steps, func(s Step) bool { return s.Kind == AddVoter && s.Disk == 9 && s.Member.Replaces == 0 }) {
		t.Errorf("%+v", c)
	}
	v.IsJoint = true
	if v.Promote(100) != nil {
		t.Error("a second change was started while one is in progress")
	}
}

// Guards against accepting a disk that returns in an older state than was observed of it.
func TestRollbackDetector(t *testing.T) {
	detector := NewRollbackDetector()
	detector.Observe(5, 3, 40, 0)
	detector.Observe(5, 4, 0, 2)
	detector.Observe(5, 4, 50, 0)
	for _, c := range []struct {
		state ObservedDisk
		ok    bool
	}{
		{ObservedDisk{Term: 3, LastIndex: 90}, false},
		{ObservedDisk{Term: 4, LastIndex: 49, Vote: 2}, false},
		{ObservedDisk{Term: 4, LastIndex: 50}, false},
		{ObservedDisk{Term: 4, LastIndex: 50, Vote: 2}, true},
		{ObservedDisk{Term: 5}, true},
	} {
		if err := c.state.CheckNotOlder(detector.Introduce(5, 1, c.state)); (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.state, err)
		}
	}
	if !detector.AcceptIncarnation(5, 1) || detector.AcceptIncarnation(5, 7) {
		t.Error("only the incarnation that introduced itself may send messages")
	}
	if detector.Introduce(5, 7, ObservedDisk{Term: 1}); !detector.AcceptIncarnation(5, 1) {
		t.Error("an incarnation with an older disk state took over the right to send messages")
	}
}
