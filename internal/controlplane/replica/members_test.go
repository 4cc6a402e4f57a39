package replica

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A list of places that is taken bears the loss of any machine, and of any site if there are three.
func TestPlacesBearTheLossOfAnyOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "copies")
		var places []Place
		for i := range n {
			places = append(places, Place{
				Name: fmt.Sprintf("c%d", i), Machine: fmt.Sprint("m", rapid.IntRange(0, 11).Draw(t, "machine")),
				Site: fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "site")), Spare: rapid.IntRange(0, 9).Draw(t, "spare") == 0,
			})
		}
		if len(ValidatePlaces(places)) > 0 {
			return
		}
		machines, sites, serving := map[string]int{}, map[string]int{}, 0
		for _, p := range places {
			machines[p.Machine]++
			if !p.Spare {
				sites[p.Site]++
				serving++
			}
		}
		for m, n := range machines {
			if n > 1 {
				t.Fatalf("machine %s has %d copies", m, n)
			}
		}
		for s, n := range sites {
			if len(sites) >= 3 && 2*(serving-n) <= serving {
				t.Fatalf("without site %s %d of %d are left", s, serving-n, serving)
			}
		}
		if serving%2 == 0 {
			t.Fatalf("%d copies", serving)
		}
	})
}

func TestFaultyPlacesAreNamed(t *testing.T) {
	for want, places := range map[string][]Place{
		"both on machine m1":        {{Name: "a", Machine: "m1", Site: "x"}, {Name: "b", Machine: "m1", Site: "y"}, {Name: "c", Machine: "m3", Site: "z"}},
		"listed twice":              {{Name: "a", Machine: "m1", Site: "x"}, {Name: "a", Machine: "m2", Site: "y"}, {Name: "c", Machine: "m3", Site: "z"}},
		"2 copies besides spares":   {{Name: "a", Machine: "m1", Site: "x"}, {Name: "b", Machine: "m2", Site: "y"}, {Name: "c", Machine: "m3", Site: "z", Spare: true}},
		"3 of 5 copies are in site": {{Name: "a", Machine: "m1", Site: "x"}, {Name: "b", Machine: "m2", Site: "x"}, {Name: "c", Machine: "m3", Site: "x"}, {Name: "d", Machine: "m4", Site: "y"}, {Name: "e", Machine: "m5", Site: "z"}},
	} {
		if got := strings.Join(ValidatePlaces(places), "; "); !strings.Contains(got, want) {
			t.Errorf("%q is not told: %q", want, got)
		}
	}
}

func three() View {
	v := View{Members: map[uint64]Member{}, State: State{Disk: 1, Leads: true, Voters: []uint64{1, 2, 3}, HardState: HardState{Commit: 1000}, Progress: map[uint64]Progress{}}}
	for i, name := range []string{"a", "b", "c", "d"} {
		v.Places = append(v.Places, Place{Name: name, Machine: "m" + name, Site: "s" + name, Spare: name == "d"})
		if name != "d" {
			v.Members[uint64(i+1)] = Member{Name: name, Machine: "m" + name, Site: "s" + name}
			v.Progress[uint64(i+1)] = Progress{Match: 1000, Active: true}
		}
	}
	return v
}

// Who is let in, replaced and taken out, and why not.
func TestChangesOfMembers(t *testing.T) {
	refused := func(what string, err error, why string) {
		t.Helper()
		var r *RejectedError
		if !errors.As(err, &r) || !strings.Contains(r.Reason, why) {
			t.Errorf("%s: %v, not %q", what, err, why)
		}
	}
	v := three()
	if c, err := v.Admit("a", 1, nil, 0); c != nil || err != nil {
		t.Error("a member asks again:", c, err)
	}
	_, err := v.Admit("b", 9, nil, 0)
	refused("a machine with an empty disk under its old name", err, "copies replace b")
	_, err = v.Admit("x", 9, nil, 0)
	refused("a name that is not listed", err, "lists no copy x")
	_, err = v.Admit("c", 2, nil, 0)
	refused("a disk under another name", err, "not c")
	_, err = v.Admit("d", 9, map[uint64]int64{2: 50}, 100)
	refused("a spare while all are there", err, "no copy is gone")
	_, err = v.Admit("d", 9, map[uint64]int64{1: 5000}, 100)
	refused("a spare for the leader, who does not hear itself", err, "no copy is gone")
	_, err = v.Admit("d", 9, map[uint64]int64{2: 500}, 0)
	refused("a spare without leave", err, "by hand")
	c, err := v.Admit("d", 9, map[uint64]int64{2: 500, 3: 200}, 100)
	if err != nil || len(c.Steps) != 1 || c.Steps[0].Kind != Learn || c.Steps[0].Member.Replaces != 2 {
		t.Errorf("a spare for the copy that is gone longest: %+v %v", c, err)
	}
	was := three()
	was.Members[2] = Member{Name: "b", Machine: "mb", Site: "sb", Left: true}
	_, err = was.Admit("b", 2, nil, 0)
	refused("a disk that was taken out", err, "--new-disk")
	_, err = was.Admit("b", 9, nil, 0)
	refused("another disk of a name whose disk was taken out", err, "copies add b")
	_, err = was.Add("b", 2)
	refused("a disk that was taken out, by hand", err, "--new-disk")
	_, err = was.Replace("c", "b", 2)
	refused("a disk that was taken out in another's place, by hand", err, "--new-disk")
	if c, err := was.Add("b", 9); err != nil || c.Steps[0].Disk != 9 {
		t.Error(c, err)
	}
	_, err = v.Remove("b", false)
	refused("fewer", err, "bear the loss of 1; without b they bear 0")
	if c, err = v.Remove("b", true); err != nil || len(c.Steps) != 1 {
		t.Error(c, err)
	}
	_, err = v.Remove("a", true)
	refused("the leader", err, "hand over first")
	v.Progress[3] = Progress{Match: 10}
	_, err = v.Remove("b", true)
	refused("no majority afterwards", err, "no majority")
	_, err = v.Replace("b", "b", 0)
	refused("no disk waits", err, "start it there first")
	_, err = v.Replace("b", "c", 9)
	refused("a place that is taken", err, "in the group already")
	if _, err = v.Add("b", 9); err == nil {
		t.Error("a name is added twice")
	}
	if to, err := v.Successor(""); to != 2 || err != nil {
		t.Error("the lead goes to", to, err)
	}
}

// Who takes another's place votes in the change in which that one leaves; a learner that lacks much, or was never heard
// of, does not vote.
func TestPromotionKeepsWhatTheGroupBears(t *testing.T) {
	v := three()
	v.Members[9] = Member{Name: "b", Machine: "mb", Site: "sb", Replaces: 2}
	v.Learners = []uint64{9}
	for _, p := range []Progress{{}, {Match: 10, Active: true}, {Match: 1000}, {Match: 1000, Active: true, Whole: true}} {
		v.Progress[9] = p
		if c := v.Promote(100); c != nil {
			t.Errorf("%+v votes: %+v", p, c)
		}
	}
	if c, err := v.Replace("b", "b", 9); c != nil || err != nil {
		t.Errorf("said again: %+v %v", c, err)
	}
	if c, err := v.Replace("b", "b", 11); err != nil || len(c.Steps) != 2 || c.Steps[0] != (Step{Kind: Leave, Disk: 9}) || c.Steps[1].Member.Replaces != 2 {
		t.Errorf("another disk, for the first one is gone too: %+v %v", c, err)
	}
	v.Progress[9] = Progress{Match: 950, Active: true}
	c := v.Promote(100)
	if c == nil || len(c.Steps) != 2 || !slices.ContainsFunc(c.Steps, func(s Step) bool { return s.Kind == Leave && s.Disk == 2 }) ||
		!slices.ContainsFunc(c.Steps, func(s Step) bool { return s.Kind == Vote && s.Disk == 9 && s.Member.Replaces == 0 }) {
		t.Errorf("%+v", c)
	}
	v.Joint = true
	if v.Promote(100) != nil {
		t.Error("two changes at once")
	}
}

// A disk that shows less than it has shown is told.
func TestWitness(t *testing.T) {
	w := NewWitness()
	w.Shown(5, 3, 40, 0)
	w.Shown(5, 4, 0, 2)
	w.Shown(5, 4, 50, 0)
	for _, c := range []struct {
		says Seen
		ok   bool
	}{{Seen{Term: 3, Last: 90}, false}, {Seen{Term: 4, Last: 49, Vote: 2}, false}, {Seen{Term: 4, Last: 50}, false}, {Seen{Term: 4, Last: 50, Vote: 2}, true}, {Seen{Term: 5}, true}} {
		if err := c.says.Contradicts(w.Greet(5, 1, c.says)); (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.says, err)
		}
	}
	if !w.Speaks(5, 1) || w.Speaks(5, 7) {
		t.Error("the start that has presented itself speaks, and no other")
	}
	if w.Greet(5, 7, Seen{Term: 1}); !w.Speaks(5, 1) {
		t.Error("an old disk has ended the one that is right")
	}
}
