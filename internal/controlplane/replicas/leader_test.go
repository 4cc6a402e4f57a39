package replicas_test

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// TestLeaderKilled guards against a write that is lost or gets another revision when the leader is
// killed.
func TestLeaderKilled(t *testing.T) {
	cluster := startGroup(t, 3, 0)
	c, err := cluster.Client()
	check(t, err)
	for i := range 3 {
		begin := time.Now()
		p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", i+1)})
		check(t, err)
		t.Logf("event %d in %v", p.Revision, time.Since(begin))
	}
	leader := cluster.Leader(waitTimeout)
	leader.Kill()
	begin := time.Now()
	p, err := c.Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	t.Logf("event %d after %v", p.Revision, time.Since(begin))
	if p.Revision != 4 {
		t.Errorf("event %d, not 4", p.Revision)
	}
	check(t, leader.Start())
	check(t, cluster.AwaitComplete(waitTimeout))
}

// TestLeaderWithAFailedDisk guards against a leader that keeps its leadership while its disk fails
// all writes. Another replica must accept writes within a second. The replica with the failed disk
// must still serve reads, and must rejoin the group by itself once the disk can be written.
func TestLeaderWithAFailedDisk(t *testing.T) {
	cluster := startGroup(t, 3, 0)
	c, err := cluster.Client()
	check(t, err)
	for _, syncsOnly := range []bool{false, true} {
		_, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", len(cluster.Replicas)+1)})
		check(t, err)
		check(t, cluster.AwaitComplete(waitTimeout))
		leader := cluster.Leader(waitTimeout)
		lines := leader.EventCount()
		repaired := make(chan error, 1)
		begin := time.Now()
		go func() {
			failed, err := leader.FailDisk(syscall.EIO, syncsOnly, 1500*time.Millisecond)
			if err == nil && failed == 0 {
				err = errors.New("no write was attempted while the disk failed")
			}
			repaired <- err
		}()
		time.Sleep(50 * time.Millisecond) // until FailDisk has stopped the process's threads at their next write
		p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", time.Since(begin).Nanoseconds())})
		check(t, err)
		if took := time.Since(begin); took > within(time.Second) {
			t.Errorf("only syncs fail %v: the next write was accepted after %v", syncsOnly, took)
		}
		_, lost, err := leader.Event("replica.disk_failed", lines, waitTimeout)
		check(t, err)
		if status, err := leader.Status(); err != nil || status.Phase != "no-disk" || status.IsLeader {
			t.Errorf("status of the replica with the failed disk: %+v %v", status, err)
		}
		if n := len(eventsOf(t, leader)); n < int(p.Revision)-1 {
			t.Errorf("%d of the replica's %d events can be read", n, p.Revision-1)
		}
		check(t, <-repaired)
		_, _, err = leader.Event("replica.disk_recovered", lost, waitTimeout)
		check(t, err)
		check(t, cluster.AwaitComplete(waitTimeout))
		if n := len(eventsOf(t, leader)); n < int(p.Revision) {
			t.Errorf("the replica has %d of %d events", n, p.Revision)
		}
	}
}
