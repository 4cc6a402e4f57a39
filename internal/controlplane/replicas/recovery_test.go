package replicas_test

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// TestRecoveryFromALostMajority guards the recovery of a group that has lost the disks of its
// majority. No write may be accepted, the remaining event log must be readable, and an operator
// must be able to make the remaining replica the first member of a new group, in which disks of
// the old group can't participate.
func TestRecoveryFromALostMajority(t *testing.T) {
	cluster := startGroup(t, 3, 0)
	c, err := cluster.Client()
	check(t, err)
	for i := range 20 {
		_, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", i+1)})
		check(t, err)
	}
	check(t, cluster.AwaitComplete(waitTimeout))
	remaining := cluster.Replicas[1]
	lost := []*testharness.Replica{cluster.Replicas[0], cluster.Replicas[2]}
	image := t.TempDir()
	check(t, testharness.CopyFolder(lost[0].Folder, image))
	for _, r := range lost {
		r.Kill()
		check(t, os.RemoveAll(r.Folder))
		check(t, os.MkdirAll(r.Folder, 0o700))
	}
	if _, err := c.Purge(fleet.Purge{Object: "00000000000000aa"}); err == nil {
		t.Error("a write was accepted without a majority")
	}
	if n := len(eventsOf(t, remaining)); n != 20 {
		t.Errorf("%d of 20 events can be read", n)
	}
	recoverReplica := func(more ...string) (string, error) {
		out, err := exec.Command(fleetBinary, append([]string{"copies", "recover", remaining.Path()}, more...)...).CombinedOutput()
		return string(out), err
	}
	if out, err := recoverReplica(); err == nil || !strings.Contains(out, "held by another process") {
		t.Errorf("recovery of a running replica was not rejected: %s", out)
	}
	remaining.Kill()
	out, err := recoverReplica()
	if err == nil || !strings.Contains(out, "up to event 20") || !strings.Contains(out, "nothing was changed") {
		t.Errorf("recovery without --yes did not report the replica's state: %v %s", err, out)
	}
	out, err = recoverReplica("--yes")
	if err != nil {
		t.Fatal(err, out)
	}
	check(t, remaining.Start())
	check(t, testharness.CopyFolder(image, lost[0].Folder)) // a disk of the old group reappears
	check(t, lost[0].Start())
	check(t, lost[1].Start())
	p, err := c.Purge(fleet.Purge{Object: "00000000000000bb"})
	if err != nil || p.Revision != 21 {
		t.Fatalf("%+v %v", p, err)
	}
	if status, err := lost[0].Status(); err != nil || status.Phase == "in" && status.IsLeader {
		t.Errorf("a disk of the old group is the leader: %+v %v", status, err)
	}
	lost[0].Kill()
	check(t, lost[0].Start("--new-disk"))
	check(t, cluster.AwaitComplete(waitTimeout))
	if n := len(eventsOf(t, lost[0])); n != 21 {
		t.Errorf("%d of 21 events are on the new disk", n)
	}
}
