package replicas_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

const patience = 30 * time.Second

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "copies")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "stairvane-fleet")
	build := []string{"build", "-o", program}
	if os.Getenv("STAIRVANE_RACE") != "" { // the processes look for races too; a report ends one with 66
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, "stairvane.org/stairvane/cmd/stairvane-fleet")...).CombinedOutput(); err != nil {
		fmt.Printf("%v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(folder)
	os.Exit(status)
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// group starts a group of copies, and prints what they logged if the test fails.
func group(t testing.TB, copies, spares int, options ...func(*testharness.Cluster)) *testharness.Cluster {
	t.Helper()
	s, err := testharness.NewCluster(program, t.TempDir(), copies, spares)
	check(t, err)
	for _, option := range options {
		option(s)
	}
	if os.Getenv("STAIRVANE_MEASURE") != "" {
		s.Every = 10_000
	}
	t.Cleanup(func() {
		s.Close()
		if t.Failed() {
			for _, b := range s.Replicas {
				if b.Process != nil {
					t.Logf("copy %s:\n%s", b.Name, strings.Join(b.Log(), "\n"))
				}
			}
		}
	})
	check(t, s.Found(patience))
	return s
}

// within is a time that holds by command (STAIRVANE_TIMES), on a machine that has nothing else to do; CI, where other tests run
// beside, allows four times as much, which still tells a fault from none.
func within(d time.Duration) time.Duration {
	if os.Getenv("STAIRVANE_TIMES") == "" {
		return 4 * d
	}
	return d
}

func startBoxes(t *testing.T, n int) (boxes []*fakes.Cache) {
	t.Helper()
	for range n {
		b, err := fakes.NewCache("127.0.0.1:0")
		check(t, err)
		t.Cleanup(b.Close)
		boxes = append(boxes, b)
	}
	return boxes
}

// served waits until a director serves.
func served(t *testing.T, d *testharness.Director) {
	t.Helper()
	for end := time.Now().Add(patience); ; {
		if tally, err := fakes.Load(d.Addr, 100, 30*time.Millisecond); err == nil && tally.Served > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s serves nothing", d.Name)
		}
	}
}

// fleetUnderLoad are directors with a client at each that asks without end.
type fleetUnderLoad struct {
	directors []*testharness.Director
	clients   []*fakes.Client
	stop      chan struct{}
	load      sync.WaitGroup
}

// startFleet starts directors that follow the copies, spread over them, waits until each serves, and has a client ask each for
// random objects of so many, with random pauses of a mean.
func startFleet(t *testing.T, s *testharness.Cluster, n int, forms string, objects int, pause time.Duration) *fleetUnderLoad {
	t.Helper()
	f := &fleetUnderLoad{stop: make(chan struct{})}
	for i := range n {
		d, err := s.StartDirector(fmt.Sprintf("d-%d", i), "west", i%len(s.Replicas), forms)
		check(t, err)
		t.Cleanup(d.Kill)
		f.directors = append(f.directors, d)
		served(t, d)
	}
	for i, d := range f.directors {
		c, err := fakes.Connect(d.Addr)
		check(t, err)
		f.clients = append(f.clients, c)
		rng := rand.New(rand.NewPCG(uint64(i), 21))
		f.load.Go(func() {
			for {
				select {
				case <-f.stop:
					return
				case <-time.After(time.Duration(rng.ExpFloat64() * float64(pause))):
					if c.Send(objects, 5*time.Second) != nil {
						return
					}
				}
			}
		})
	}
	return f
}

// end stops the load and adds up what the clients got.
func (f *fleetUnderLoad) end() (sum fakes.Tally) {
	close(f.stop)
	f.load.Wait()
	for _, c := range f.clients {
		one := c.Finish(patience)
		sum.Sent, sum.Served, sum.Refused, sum.Failed = sum.Sent+one.Sent, sum.Served+one.Served, sum.Refused+one.Refused, sum.Failed+one.Failed
		sum.Doubled, sum.Lost = sum.Doubled+one.Doubled, sum.Lost+one.Lost
	}
	return sum
}

// The majority is lost with its disks: nothing is accepted, what is there is still told, and the copy that is left becomes by
// hand the first of a new group, which the old one's disks can't take part in.
func TestMajorityLost(t *testing.T) {
	s := group(t, 3, 0)
	c, err := s.Client()
	check(t, err)
	for i := range 20 {
		_, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", i+1)})
		check(t, err)
	}
	check(t, s.Whole(patience))
	left, lost := s.Replicas[1], []*testharness.Replica{s.Replicas[0], s.Replicas[2]}
	image := t.TempDir()
	check(t, testharness.CopyFolder(lost[0].Folder, image))
	for _, b := range lost {
		b.Kill()
		check(t, os.RemoveAll(b.Folder))
		check(t, os.MkdirAll(b.Folder, 0o700))
	}
	if _, err := c.Purge(fleet.Purge{Object: "00000000000000aa"}); err == nil {
		t.Error("a write was accepted without a majority")
	}
	if n := len(historyOf(t, left)); n != 20 {
		t.Errorf("%d of 20 events are told", n)
	}
	recoverCopy := func(more ...string) (string, error) {
		out, err := exec.Command(program, append([]string{"copies", "recover", left.Path()}, more...)...).CombinedOutput()
		return string(out), err
	}
	if out, err := recoverCopy(); err == nil || !strings.Contains(out, "held by another process") {
		t.Errorf("a running copy is recovered: %s", out)
	}
	left.Kill()
	if out, err := recoverCopy(); err == nil || !strings.Contains(out, "up to event 20") || !strings.Contains(out, "nothing was changed") {
		t.Errorf("it does not say what there is: %v %s", err, out)
	}
	out, err := recoverCopy("--yes")
	if err != nil {
		t.Fatal(err, out)
	}
	check(t, left.Start())
	check(t, testharness.CopyFolder(image, lost[0].Folder)) // a disk of the old group is found again
	check(t, lost[0].Start())
	check(t, lost[1].Start())
	p, err := c.Purge(fleet.Purge{Object: "00000000000000bb"})
	if err != nil || p.Revision != 21 {
		t.Fatalf("%+v %v", p, err)
	}
	if k, err := lost[0].Status(); err != nil || k.Phase == "in" && k.IsLeader {
		t.Errorf("a disk of the old group leads: %+v %v", k, err)
	}
	lost[0].Kill()
	check(t, lost[0].Start("--new-disk"))
	check(t, s.Whole(patience))
	if n := len(historyOf(t, lost[0])); n != 21 {
		t.Errorf("%d of 21 events are on the new disk", n)
	}
}

// A spare takes the place of a copy that is gone, by itself; a copy that would leave the group bearing less is not taken out.
func TestSpareTakesThePlaceOfALostCopy(t *testing.T) {
	s, err := testharness.NewCluster(program, t.TempDir(), 3, 1)
	check(t, err)
	s.Extra = "(replace-after 1s)"
	t.Cleanup(func() {
		s.Close()
		if t.Failed() {
			for _, b := range s.Replicas {
				t.Logf("copy %s:\n%s", b.Name, strings.Join(b.Log(), "\n"))
			}
		}
	})
	check(t, s.Found(patience))
	c, err := s.Client()
	check(t, err)
	_, err = c.ChangeReplicas(api.ReplicaChange{Action: "remove", Name: "c"})
	var refused *api.Error
	if !errors.As(err, &refused) || refused.Kind != api.Rejected || !strings.Contains(err.Error(), "bear") {
		t.Errorf("%v", err)
	}
	l := s.Leader(patience)
	lost := s.Replicas[0]
	if lost == l {
		lost = s.Replicas[1]
	}
	lost.Kill()
	for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		k, err := l.Status()
		check(t, err)
		votes := ""
		for _, m := range k.Replicas {
			if m.IsVoter {
				votes += m.Name
			}
		}
		if strings.Contains(votes, "d") && !strings.Contains(votes, lost.Name) && len(votes) == 3 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", k)
		}
	}
	check(t, lost.Start()) // the old disk is no member any more
	if _, _, err := lost.Event("replica.excluded", 0, patience); err != nil {
		t.Errorf("a disk that was replaced is not told: %v", err)
	}
	l.Kill() // with the spare's vote the group goes on
	if _, err := c.Purge(fleet.Purge{Object: "00000000000000cc"}); err != nil {
		t.Error(err)
	}
}

func TestLeaderKilled(t *testing.T) {
	s := group(t, 3, 0)
	c, err := s.Client()
	check(t, err)
	for i := range 3 {
		begin := time.Now()
		p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", i+1)})
		check(t, err)
		t.Logf("event %d in %v", p.Revision, time.Since(begin))
	}
	l := s.Leader(patience)
	l.Kill()
	begin := time.Now()
	p, err := c.Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	t.Logf("event %d after %v", p.Revision, time.Since(begin))
	if p.Revision != 4 {
		t.Errorf("event %d, not 4", p.Revision)
	}
	check(t, l.Start())
	check(t, s.Whole(patience))
}

// The leader's disk answers every write with EIO for a while: within a second another copy accepts writes, the one with the broken
// disk says so and tells what it has, and once the disk is well it takes part again by itself.
func TestBrokenDisk(t *testing.T) {
	s := group(t, 3, 0)
	c, err := s.Client()
	check(t, err)
	for _, syncs := range []bool{false, true} {
		_, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", len(s.Replicas)+1)})
		check(t, err)
		check(t, s.Whole(patience))
		l := s.Leader(patience)
		lines, mended := l.Lines(), make(chan error, 1)
		begin := time.Now()
		go func() {
			failed, err := l.FailDisk(syscall.EIO, syncs, 1500*time.Millisecond)
			if err == nil && failed == 0 {
				err = errors.New("nothing was written meanwhile")
			}
			mended <- err
		}()
		time.Sleep(50 * time.Millisecond) // its threads are held
		p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", time.Since(begin).Nanoseconds())})
		check(t, err)
		if took := time.Since(begin); took > within(time.Second) {
			t.Errorf("syncs alone %v: the next write was accepted after %v", syncs, took)
		}
		_, lost, err := l.Event("replica.disk_failed", lines, patience)
		check(t, err)
		if k, err := l.Status(); err != nil || k.Phase != "no-disk" || k.IsLeader {
			t.Errorf("the copy with the broken disk says %+v %v", k, err)
		}
		if n := len(historyOf(t, l)); n < int(p.Revision)-1 {
			t.Errorf("it tells %d events of the %d that it had", n, p.Revision-1)
		}
		check(t, <-mended)
		_, _, err = l.Event("replica.disk_recovered", lost, patience)
		check(t, err)
		check(t, s.Whole(patience))
		if n := len(historyOf(t, l)); n < int(p.Revision) {
			t.Errorf("it has %d of %d events", n, p.Revision)
		}
	}
}

// An event that was accepted reaches every director, also those that follow a copy which is cut off from the others: within 300 ms
// for a purge, by the directors' own logs, and within 500 ms for a drain, by what comes to the box. Under a lease that is far
// longer they are late, so that the test can fail.
func TestNewsReachAllThoughACopyIsCutOff(t *testing.T) {
	seed := uint64(fromEnv(seedVar, 1))
	t.Logf("%s=%d", seedVar, seed)
	for _, lease := range []string{"", "(lease 3s)"} {
		rng := rand.New(rand.NewPCG(seed, 5))
		s, err := testharness.NewCluster(program, t.TempDir(), 3, 0)
		check(t, err)
		s.Extra = lease
		t.Cleanup(s.Close)
		check(t, s.Found(patience))
		boxes := startBoxes(t, 5)
		now, next := depot(boxes)
		applied(t, s, carryOut(t, s, now))
		f := startFleet(t, s, 6, "", 200, 10*time.Millisecond)
		c, err := s.Client()
		check(t, err)
		rounds := fromEnv("STAIRVANE_TIMES", 6)
		if lease != "" {
			rounds = 1
		}
		var worst time.Duration
		for n := range rounds {
			cut := s.Replicas[rng.IntN(3)]
			ways := [][2]bool{{false, false}, {false, true}, {true, false}}[rng.IntN(3)]
			cut.Cut(ways[0], ways[1])
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			begin := time.Now()
			p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n+1)})
			check(t, err)
			accepted := time.Now()
			latest := time.Duration(0)
			for _, d := range f.directors {
				for at := 0; ; {
					e, next, err := d.Event("bulletin.purge", at, patience)
					check(t, err)
					if at = next; int64(e["no"].(float64)) == p.Revision {
						when, err := time.Parse(time.RFC3339Nano, e["time"].(string))
						check(t, err)
						latest = max(latest, when.Sub(accepted))
						break
					}
				}
			}
			worst = max(worst, latest)
			t.Logf("lease %q: %s cut off (there %v, back %v): accepted after %v, the last director had it %v later", lease, cut.Name, ways[0], ways[1], accepted.Sub(begin), latest)
			cut.Cut(true, true)
			check(t, s.Whole(patience))
		}
		if lease == "" && worst > within(300*time.Millisecond) || lease != "" && worst < within(300*time.Millisecond) {
			t.Errorf("lease %q: the last director had a purge %v after it was accepted", lease, worst)
		}
		if lease != "" {
			s.Close()
			continue
		}
		follower := s.Replicas[0]
		if follower == s.Leader(patience) {
			follower = s.Replicas[1]
		}
		follower.Cut(false, false)
		carryOut(t, s, next)
		var drained time.Time
		for end := time.Now().Add(patience); drained.IsZero() && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			w, err := c.State()
			check(t, err)
			for _, m := range w.Fleet.Hosts {
				if m.Name == "c-1" && m.State == fleet.Terminating {
					drained = time.Now()
				}
			}
		}
		time.Sleep(1500 * time.Millisecond)
		sum := f.end()
		t.Logf("requests: %+v", sum)
		if drained.IsZero() || sum.Doubled+sum.Lost+sum.Failed > 0 || sum.Served == 0 {
			t.Errorf("drained at %v; requests without one good final answer: %+v", drained, sum)
		}
		before, last := 0, time.Duration(-1)
		for _, o := range boxes[1].Attempts() {
			if o.At.Before(drained) {
				before++
			}
			last = max(last, o.At.Sub(drained))
		}
		t.Logf("the drained box had %d attempts before, the last %v after the drain", before, last)
		if before == 0 || last > within(500*time.Millisecond) {
			t.Errorf("%d attempts before the drain, the last %v after it", before, last)
		}
		s.Close()
	}
}

// The leader hands over while it sends a new disk the whole state: what came counts, and is not sent again by the next one.
func TestWholeStateOutlivesItsLeader(t *testing.T) {
	s := group(t, 3, 0)
	l := s.Leader(patience)
	writers := sync.WaitGroup{}
	for w := range 16 {
		c, err := api.NewClient(l.Write.Addr(), "test", api.Credentials{})
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
	check(t, s.Whole(patience))
	lost := s.Replicas[0]
	if lost == l {
		lost = s.Replicas[1]
	}
	lost.Kill()
	check(t, os.RemoveAll(lost.Folder))
	check(t, os.MkdirAll(lost.Folder, 0o700))
	l.Links[lost.Name].Slow(20 * time.Millisecond) // of each piece: the state is some seconds on its way
	check(t, lost.Start())
	(&nemesis{t: t, group: s}).replace(lost)
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if all, _ := filepath.Glob(filepath.Join(lost.Folder, "board.db.incoming-*")); len(all) > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no state is on its way")
		}
	}
	c, err := s.Client()
	check(t, err)
	_, err = c.ChangeReplicas(api.ReplicaChange{Action: "hand-over"})
	check(t, err)
	for end := time.Now().Add(patience); s.Leader(patience) == l; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the lead is not handed over")
		}
	}
	if lost.Count("replica.snapshot_received") > 0 {
		t.Fatal("the state came before the lead was handed over: the test shows nothing")
	}
	check(t, s.Whole(patience))
	if came, took := lost.Count("replica.snapshot_received"), lost.Count("replica.snapshot_installed"); came != 1 || took != 1 {
		t.Errorf("the state came %d times and was taken over %d times", came, took)
	}
	if n := len(historyOf(t, lost)); n != 6400 {
		t.Errorf("%d of 6400 events are on the new disk", n)
	}
}
