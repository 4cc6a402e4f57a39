package replicas_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// fault is an entry of a schedule: a kind of fault, the affected replica, and the duration.
type fault struct {
	kind     string
	replica  int  // index in the cluster
	isLeader bool // affects the current leader instead
	length   time.Duration
}

// faultKinds lists the kinds of faults. A kind that is listed twice is drawn twice as often.
var faultKinds = []string{
	"kill", "kill", "pause", "cut", "cut there", "cut back", "full", "slow", "break", "wipe", "unlink", "old disk", "old in place",
	"all but a majority", "all full", "leader killed in a change", "full while it is filled", "EIO", "EIO of syncs", "read-only",
}

func (f fault) String() string {
	victim := string(rune('a' + f.replica))
	if f.isLeader {
		victim = "the leader"
	}
	return fmt.Sprintf("%s %s for %v", f.kind, victim, f.length)
}

// drawSchedule draws n faults. A schedule of at least len(faultKinds) faults includes every kind.
func drawSchedule(rng *rand.Rand, n, replicas int) (schedule []fault) {
	for i := range n {
		f := fault{
			kind:     faultKinds[rng.IntN(len(faultKinds))],
			replica:  rng.IntN(replicas),
			isLeader: rng.IntN(2) == 0,
			length:   time.Duration(200+rng.IntN(900)) * time.Millisecond,
		}
		if i < len(faultKinds) && n >= len(faultKinds) {
			f.kind = faultKinds[i]
		}
		if k := os.Getenv(kindVar); k != "" {
			f.kind = k
		}
		schedule = append(schedule, f)
	}
	return schedule
}

// nemesis injects the faults of a schedule one after another, and repairs each.
type nemesis struct {
	t       *testing.T
	cluster *testharness.Cluster
	rng     *rand.Rand
}

func (n *nemesis) victim(f fault) *testharness.Replica {
	if f.isLeader {
		if leader := n.cluster.Leader(waitTimeout); leader != nil {
			return leader
		}
	}
	return n.cluster.Replicas[f.replica]
}

// inject injects a fault, repairs it, and waits until all replicas participate again.
func (n *nemesis) inject(f fault) {
	victim := n.victim(f)
	n.t.Logf("%v: %s", f, victim.Name)
	switch f.kind {
	case "kill":
		victim.Kill()
		time.Sleep(f.length)
		check(n.t, victim.Start())
	case "all but a majority":
		n.killMinority(f)
	case "pause":
		victim.Signal(syscall.SIGSTOP)
		time.Sleep(f.length + time.Second)
		victim.Signal(syscall.SIGCONT)
	case "cut", "cut there", "cut back":
		victim.Cut(f.kind == "cut back", f.kind == "cut there")
		time.Sleep(f.length)
		victim.Cut(true, true)
	case "slow", "break":
		n.disturbLinks(f, victim)
	case "full":
		check(n.t, victim.LimitFiles(4096))
		time.Sleep(f.length)
		check(n.t, victim.LimitFiles(-1))
	case "EIO", "EIO of syncs", "read-only":
		n.failDisk(f, victim)
	case "all full":
		n.fillAllDisks(f)
	case "leader killed in a change":
		n.killLeaderInChange(f, victim)
	case "full while it is filled":
		victim.Kill()
		n.emptyFolder(victim)
		check(n.t, victim.Start())
		check(n.t, victim.LimitFiles(40_000)) // smaller than the snapshot that it receives
		n.replace(victim)
		time.Sleep(f.length)
		check(n.t, victim.LimitFiles(-1))
	case "wipe":
		victim.Kill()
		n.emptyFolder(victim)
		check(n.t, victim.Start())
		n.replace(victim)
	case "unlink":
		n.unlinkStore(victim)
	case "old in place":
		n.restoreInPlace(f, victim)
	case "old disk":
		n.restoreImage(f, victim)
	}
	if err := n.cluster.AwaitComplete(2 * waitTimeout); err != nil {
		n.t.Fatalf("after %v: %v", f, err)
	}
}

// killMinority kills all replicas but a majority at the same time.
func (n *nemesis) killMinority(f fault) {
	var killed []*testharness.Replica
	for i := range (len(n.cluster.Replicas) - 1) / 2 {
		killed = append(killed, n.cluster.Replicas[(f.replica+i)%len(n.cluster.Replicas)])
	}
	for _, r := range killed {
		r.Signal(syscall.SIGKILL)
	}
	for _, r := range killed {
		_ = r.Wait(waitTimeout) // the exit status of a killed process is an error
	}
	time.Sleep(f.length)
	for _, r := range killed {
		check(n.t, r.Start())
	}
}

// disturbLinks slows the connections to a replica, or breaks each after a random number of bytes.
func (n *nemesis) disturbLinks(f fault, victim *testharness.Replica) {
	for _, link := range victim.Peers {
		if f.kind == "slow" {
			link.SetDelay(20 * time.Millisecond)
		} else {
			link.BreakAfter(int64(n.rng.IntN(5000)))
		}
	}
	time.Sleep(f.length)
	for _, link := range victim.Peers {
		if f.kind == "slow" {
			link.SetDelay(0)
		} else {
			link.BreakAfter(-1)
		}
	}
}

func (n *nemesis) failDisk(f fault, victim *testharness.Replica) {
	with := syscall.EIO
	if f.kind == "read-only" {
		with = syscall.EROFS
	}
	failed, err := victim.FailDisk(with, f.kind == "EIO of syncs", f.length)
	check(n.t, err)
	if failed == 0 {
		n.t.Errorf("%v: no write was attempted during the fault", f)
	}
}

func (n *nemesis) fillAllDisks(f fault) {
	for _, r := range n.cluster.Replicas {
		check(n.t, r.LimitFiles(4096))
	}
	time.Sleep(f.length)
	for _, r := range n.cluster.Replicas {
		check(n.t, r.LimitFiles(-1))
	}
}

// killLeaderInChange kills the leader while the disk of a follower is being replaced.
func (n *nemesis) killLeaderInChange(f fault, victim *testharness.Replica) {
	if leader := n.cluster.Leader(waitTimeout); leader == victim {
		victim = n.cluster.Replicas[(f.replica+1)%len(n.cluster.Replicas)]
		if victim == leader {
			victim = n.cluster.Replicas[(f.replica+2)%len(n.cluster.Replicas)]
		}
	}
	victim.Kill()
	n.emptyFolder(victim)
	check(n.t, victim.Start())
	n.replace(victim)
	leader := n.cluster.Leader(waitTimeout)
	leader.Kill()
	time.Sleep(f.length)
	check(n.t, leader.Start())
}

// unlinkStore removes a replica's store while the process writes to it.
func (n *nemesis) unlinkStore(victim *testharness.Replica) {
	n.emptyFolder(victim)
	n.awaitExcluded(victim, "a missing store")
	victim.Kill()
	check(n.t, victim.Start())
	n.replace(victim)
}

// restoreInPlace overwrites the files of a replica, in place, with their earlier content.
func (n *nemesis) restoreInPlace(f fault, victim *testharness.Replica) {
	victim.Kill()
	image := n.t.TempDir()
	check(n.t, testharness.CopyFolder(victim.Folder, image))
	check(n.t, victim.Start())
	if err := n.cluster.AwaitComplete(2 * waitTimeout); err != nil {
		n.t.Fatal(err)
	}
	time.Sleep(f.length)
	victim.Kill()
	check(n.t, testharness.CopyFolder(image, victim.Folder))
	check(n.t, victim.Start())
	n.awaitExcluded(victim, "an old disk")
	n.startNewDisk(victim)
}

// restoreImage replaces the files of a replica by earlier copies. They were first copied while the
// process was writing to them, as in an image of a running machine, and again after it was killed.
func (n *nemesis) restoreImage(f fault, victim *testharness.Replica) {
	image := n.t.TempDir()
	check(n.t, testharness.CopyFolder(victim.Folder, image))
	victim.Kill()
	check(n.t, testharness.CopyFolder(victim.Folder, image))
	check(n.t, victim.Start())
	time.Sleep(f.length)
	victim.Kill()
	check(n.t, os.RemoveAll(victim.Folder))
	check(n.t, testharness.CopyFolder(image, victim.Folder))
	check(n.t, victim.Start())
	n.awaitExcluded(victim, "an old disk")
	n.startNewDisk(victim)
}

func (n *nemesis) emptyFolder(r *testharness.Replica) {
	check(n.t, os.RemoveAll(r.Folder))
	check(n.t, os.MkdirAll(r.Folder, 0o700))
}

func (n *nemesis) awaitExcluded(r *testharness.Replica, what string) {
	if _, _, err := r.Event("replica.excluded", 0, waitTimeout); err != nil {
		n.t.Errorf("%s was not excluded: %v", what, err)
	}
}

func (n *nemesis) startNewDisk(r *testharness.Replica) {
	r.Kill()
	check(n.t, r.Start("--new-disk"))
	n.replace(r)
}

// replace requests the admission of a new disk under the name of the lost one, as an operator does.
func (n *nemesis) replace(r *testharness.Replica) {
	c, err := n.cluster.Client()
	check(n.t, err)
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if _, err = c.ChangeReplicas(api.ReplicaChange{Action: "replace", Name: r.Name}); err == nil {
			return
		}
		if time.Now().After(end) {
			n.t.Fatalf("replica %s was not replaced: %v", r.Name, err)
		}
	}
}
