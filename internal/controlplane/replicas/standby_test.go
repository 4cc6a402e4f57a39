package replicas_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// TestStandbyReplacesALostReplica guards the automatic replacement of a lost replica by a standby,
// and the rejection of a removal after which the group would tolerate fewer failures.
func TestStandbyReplacesALostReplica(t *testing.T) {
	cluster, err := testharness.NewCluster(fleetBinary, t.TempDir(), 3, 1)
	check(t, err)
	cluster.ExtraForms = "(replace-after 1s)"
	t.Cleanup(func() {
		cluster.Close()
		if t.Failed() {
			for _, r := range cluster.Replicas {
				t.Logf("replica %s:\n%s", r.Name, strings.Join(r.Log(), "\n"))
			}
		}
	})
	check(t, cluster.Bootstrap(waitTimeout))
	c, err := cluster.Client()
	check(t, err)
	_, err = c.ChangeReplicas(api.ReplicaChange{Action: "remove", Name: "c"})
	var rejected *api.Error
	if !errors.As(err, &rejected) || rejected.Kind != api.Rejected || !strings.Contains(err.Error(), "bear") {
		t.Errorf("%v", err)
	}
	leader := cluster.Leader(waitTimeout)
	lost := cluster.Replicas[0]
	if lost == leader {
		lost = cluster.Replicas[1]
	}
	lost.Kill()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		status, err := leader.Status()
		check(t, err)
		voters := ""
		for _, m := range status.Replicas {
			if m.IsVoter {
				voters += m.Name
			}
		}
		if strings.Contains(voters, "d") && !strings.Contains(voters, lost.Name) && len(voters) == 3 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", status)
		}
	}
	check(t, lost.Start()) // the old disk is no longer a member
	if _, _, err := lost.Event("replica.excluded", 0, waitTimeout); err != nil {
		t.Errorf("the replaced disk was not excluded: %v", err)
	}
	leader.Kill() // the group must keep its majority through the standby's vote
	if _, err := c.Purge(fleet.Purge{Object: "00000000000000cc"}); err != nil {
		t.Error(err)
	}
}
