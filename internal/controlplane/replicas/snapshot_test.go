package replicas_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
)

// TestSnapshotSurvivesALeadershipTransfer guards against a snapshot that is sent again because the
// leader changed during its transfer.
func TestSnapshotSurvivesALeadershipTransfer(t *testing.T) {
	cluster := startGroup(t, 3, 0)
	leader := cluster.Leader(waitTimeout)
	writers := sync.WaitGroup{}
	for w := range 16 {
		c, err := api.NewClient(leader.Write.Addr(), "test", api.Credentials{})
		check(t, err)
		writers.Go(func() {
			for n := range 400 {
				if _, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%08x%08x", w+1, n)}); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	writers.Wait()
	check(t, cluster.AwaitComplete(waitTimeout))
	lost := cluster.Replicas[0]
	if lost == leader {
		lost = cluster.Replicas[1]
	}
	lost.Kill()
	check(t, os.RemoveAll(lost.Folder))
	check(t, os.MkdirAll(lost.Folder, 0o700))
	leader.Peers[lost.Name].SetDelay(20 * time.Millisecond) // for each chunk, so that the transfer takes some seconds
	check(t, lost.Start())
	(&nemesis{t: t, cluster: cluster}).replace(lost)
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if all, _ := filepath.Glob(filepath.Join(lost.Folder, "board.db.incoming-*")); len(all) > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the transfer of a snapshot has not started")
		}
	}
	c, err := cluster.Client()
	check(t, err)
	_, err = c.ChangeReplicas(api.ReplicaChange{Action: "hand-over"})
	check(t, err)
	for end := time.Now().Add(waitTimeout); cluster.Leader(waitTimeout) == leader; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the leadership was not transferred")
		}
	}
	if lost.CountEvents("replica.snapshot_received") > 0 {
		t.Fatal("the snapshot was received before the leadership was transferred: the test can't detect the fault")
	}
	check(t, cluster.AwaitComplete(waitTimeout))
	received, installed := lost.CountEvents("replica.snapshot_received"), lost.CountEvents("replica.snapshot_installed")
	if received != 1 || installed != 1 {
		t.Errorf("the snapshot was received %d times and installed %d times", received, installed)
	}
	if n := len(eventsOf(t, lost)); n != 6400 {
		t.Errorf("%d of 6400 events are on the new disk", n)
	}
}
