package replicas_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// The environment that makes the test of faults long: how many faults, how many copies, and the seed.
const (
	faultsVar = "STAIRVANE_FAULTS"
	copiesVar = "STAIRVANE_COPIES"
	seedVar   = "STAIRVANE_SEED"
	kindVar   = "STAIRVANE_KIND" // every fault is of this kind
)

func fromEnv(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// fault is one entry of a schedule: what happens to which copy, or to the leader, and for how long.
type fault struct {
	kind   string
	copy   int
	leader bool // whichever copy leads then, and not the one that is named
	length time.Duration
}

var kinds = []string{"kill", "kill", "pause", "cut", "cut there", "cut back", "full", "slow", "break", "wipe", "unlink", "old disk", "old in place", "all but a majority", "all full", "leader killed in a change", "full while it is filled", "EIO", "EIO of syncs", "read-only"}

func (f fault) String() string {
	who := string(rune('a' + f.copy))
	if f.leader {
		who = "the leader"
	}
	return fmt.Sprintf("%s %s for %v", f.kind, who, f.length)
}

func draw(rng *rand.Rand, n, copies int) (all []fault) {
	for i := range n {
		f := fault{kind: kinds[rng.IntN(len(kinds))], copy: rng.IntN(copies), leader: rng.IntN(2) == 0, length: time.Duration(200+rng.IntN(900)) * time.Millisecond}
		if i < len(kinds) && n >= len(kinds) { // a long schedule has each kind
			f.kind = kinds[i]
		}
		if k := os.Getenv(kindVar); k != "" {
			f.kind = k
		}
		all = append(all, f)
	}
	return all
}

// nemesis carries a schedule out, one fault after the other, and heals each.
type nemesis struct {
	t     *testing.T
	group *testharness.Cluster
	rng   *rand.Rand
	old   map[*testharness.Replica]string // images of disks
}

func (n *nemesis) victim(f fault) *testharness.Replica {
	if f.leader {
		if l := n.group.Leader(patience); l != nil {
			return l
		}
	}
	return n.group.Replicas[f.copy]
}

func (n *nemesis) do(f fault) {
	b := n.victim(f)
	n.t.Logf("%v: %s", f, b.Name)
	switch f.kind {
	case "kill":
		b.Kill()
		time.Sleep(f.length)
		check(n.t, b.Start())
	case "all but a majority":
		var dead []*testharness.Replica
		for i := range (len(n.group.Replicas) - 1) / 2 {
			dead = append(dead, n.group.Replicas[(f.copy+i)%len(n.group.Replicas)])
		}
		for _, d := range dead {
			d.Signal(syscall.SIGKILL)
		}
		for _, d := range dead {
			_ = d.Wait(patience)
		}
		time.Sleep(f.length)
		for _, d := range dead {
			check(n.t, d.Start())
		}
	case "pause":
		b.Signal(syscall.SIGSTOP)
		time.Sleep(f.length + time.Second)
		b.Signal(syscall.SIGCONT)
	case "cut", "cut there", "cut back":
		b.Cut(f.kind == "cut back", f.kind == "cut there")
		time.Sleep(f.length)
		b.Cut(true, true)
	case "slow":
		for _, l := range b.Links {
			l.Slow(20 * time.Millisecond)
		}
		time.Sleep(f.length)
		for _, l := range b.Links {
			l.Slow(0)
		}
	case "break":
		for _, l := range b.Links {
			l.BreakAfter(int64(n.rng.IntN(5000)))
		}
		time.Sleep(f.length)
		for _, l := range b.Links {
			l.BreakAfter(-1)
		}
	case "full":
		check(n.t, b.LimitFiles(4096))
		time.Sleep(f.length)
		check(n.t, b.LimitFiles(-1))
	case "EIO", "EIO of syncs", "read-only":
		with := syscall.EIO
		if f.kind == "read-only" {
			with = syscall.EROFS
		}
		failed, err := b.FailDisk(with, f.kind == "EIO of syncs", f.length)
		check(n.t, err)
		if failed == 0 {
			n.t.Errorf("%v: nothing was written meanwhile", f)
		}
	case "all full":
		for _, o := range n.group.Replicas {
			check(n.t, o.LimitFiles(4096))
		}
		time.Sleep(f.length)
		for _, o := range n.group.Replicas {
			check(n.t, o.LimitFiles(-1))
		}
	case "leader killed in a change":
		if l := n.group.Leader(patience); l == b { // one that does not lead is replaced
			b = n.group.Replicas[(f.copy+1)%len(n.group.Replicas)]
			if b == l {
				b = n.group.Replicas[(f.copy+2)%len(n.group.Replicas)]
			}
		}
		b.Kill()
		check(n.t, os.RemoveAll(b.Folder))
		check(n.t, os.MkdirAll(b.Folder, 0o700))
		check(n.t, b.Start())
		n.replace(b)
		l := n.group.Leader(patience)
		l.Kill()
		time.Sleep(f.length)
		check(n.t, l.Start())
	case "full while it is filled":
		b.Kill()
		check(n.t, os.RemoveAll(b.Folder))
		check(n.t, os.MkdirAll(b.Folder, 0o700))
		check(n.t, b.Start())
		check(n.t, b.LimitFiles(40_000)) // less than the state that it is sent
		n.replace(b)
		time.Sleep(f.length)
		check(n.t, b.LimitFiles(-1))
	case "wipe":
		b.Kill()
		check(n.t, os.RemoveAll(b.Folder))
		check(n.t, os.MkdirAll(b.Folder, 0o700))
		check(n.t, b.Start())
		n.replace(b)
	case "unlink": // the folder goes while the process writes to it
		check(n.t, os.RemoveAll(b.Folder))
		check(n.t, os.MkdirAll(b.Folder, 0o700))
		if _, _, err := b.Event("replica.excluded", 0, patience); err != nil {
			n.t.Errorf("a store that is gone was not told: %v", err)
		}
		b.Kill()
		check(n.t, b.Start())
		n.replace(b)
	case "old in place": // the very file, with what was in it before
		b.Kill()
		image := n.t.TempDir()
		check(n.t, testharness.CopyFolder(b.Folder, image))
		check(n.t, b.Start())
		if err := n.group.Whole(2 * patience); err != nil {
			n.t.Fatal(err)
		}
		time.Sleep(f.length)
		b.Kill()
		check(n.t, testharness.CopyFolder(image, b.Folder))
		check(n.t, b.Start())
		if _, _, err := b.Event("replica.excluded", 0, patience); err != nil {
			n.t.Errorf("an old disk was not told: %v", err)
		}
		b.Kill()
		check(n.t, b.Start("--new-disk"))
		n.replace(b)
	case "old disk":
		image := n.t.TempDir()
		check(n.t, testharness.CopyFolder(b.Folder, image)) // of a file that is being written to, as a machine's image is
		b.Kill()
		check(n.t, testharness.CopyFolder(b.Folder, image))
		check(n.t, b.Start())
		time.Sleep(f.length)
		b.Kill()
		check(n.t, os.RemoveAll(b.Folder))
		check(n.t, testharness.CopyFolder(image, b.Folder))
		check(n.t, b.Start())
		if _, _, err := b.Event("replica.excluded", 0, patience); err != nil {
			n.t.Errorf("an old disk was not told: %v", err)
		}
		b.Kill()
		check(n.t, b.Start("--new-disk"))
		n.replace(b)
	}
	if err := n.group.Whole(2 * patience); err != nil {
		n.t.Fatalf("after %v: %v", f, err)
	}
}

// replace has a new disk let in under the name of the one that is gone, as an operator does.
func (n *nemesis) replace(b *testharness.Replica) {
	c, err := n.group.Client()
	check(n.t, err)
	for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		if _, err = c.ChangeReplicas(api.ReplicaChange{Action: "replace", Name: b.Name}); err == nil {
			return
		}
		if time.Now().After(end) {
			n.t.Fatalf("copy %s is not replaced: %v", b.Name, err)
		}
	}
}

type purgeOp struct{ read bool }

// purgeResult is what a call gave: a number, or that nobody knows whether it was done.
type purgeResult struct {
	no      int64
	unknown bool
}

// calls are clients that purge and read without end, and what each call gave.
type calls struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	objects map[string]int64 // of answered purges: the event
	unknown map[string]bool
	begin   time.Time
	stop    chan struct{}
	wg      sync.WaitGroup
}

func startCalls(t *testing.T, s *testharness.Cluster, clients int, seed uint64) *calls {
	k := &calls{objects: map[string]int64{}, unknown: map[string]bool{}, begin: time.Now(), stop: make(chan struct{})}
	for id := range clients {
		c, err := s.Client()
		check(t, err)
		rng := rand.New(rand.NewPCG(seed, uint64(id)+2))
		k.wg.Go(func() {
			for {
				select {
				case <-k.stop:
					return
				case <-time.After(time.Duration(rng.IntN(15)) * time.Millisecond):
				}
				op := porcupine.Operation{ClientId: id, Input: purgeOp{rng.IntN(4) == 0}, Call: time.Since(k.begin).Nanoseconds()}
				var r purgeResult
				object := fmt.Sprintf("%016x", rng.Uint64())
				if op.Input.(purgeOp).read {
					w, err := c.State()
					if err != nil {
						continue
					}
					r.no = w.Fleet.Revision
				} else {
					p, err := c.Purge(fleet.Purge{Object: object})
					r.no, r.unknown = p.Revision, err != nil
				}
				op.Output, op.Return = r, time.Since(k.begin).Nanoseconds()
				k.mu.Lock()
				k.ops = append(k.ops, op)
				if !op.Input.(purgeOp).read {
					if r.unknown {
						k.unknown[object] = true
					} else {
						k.objects[object] = r.no
					}
				}
				k.mu.Unlock()
			}
		})
	}
	return k
}

func (k *calls) end() {
	close(k.stop)
	k.wg.Wait()
}

// linearizable tells whether the calls can have happened one after the other. Applies append events of their own, so a
// number may be higher than the one after the last; never lower or the same.
func (k *calls) linearizable(t *testing.T) {
	t.Helper()
	for i, o := range k.ops {
		if o.Output.(purgeResult).unknown {
			k.ops[i].Return = time.Since(k.begin).Nanoseconds()
		}
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			n, r := state.(int64), output.(purgeResult)
			switch {
			case input.(purgeOp).read && r.no >= n:
				return []any{r.no}
			case input.(purgeOp).read:
				return nil
			case r.unknown:
				return []any{n, n + 1}
			case r.no > n:
				return []any{r.no}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), k.ops, 30*time.Second) {
	case porcupine.Illegal:
		t.Error("the calls are not linearizable")
	case porcupine.Unknown:
		t.Error("whether the calls are linearizable was not decided in time")
	}
}

// historyOf reads what a copy has, byte for byte as it tells it.
func historyOf(t *testing.T, b *testharness.Replica) (events []json.RawMessage) {
	t.Helper()
	for {
		res, err := http.Get(fmt.Sprintf("http://%s/v1/history?local=1&after=%d", b.Write.Addr(), len(events)))
		check(t, err)
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		check(t, err)
		var page struct{ Events []json.RawMessage }
		check(t, json.Unmarshal(body, &page))
		if len(page.Events) == 0 {
			return events
		}
		events = append(events, page.Events...)
	}
}

// histories compares what the copies have and what was promised: equal byte for byte, every answered purge there once and
// under its number, every unanswered one once at most.
func (k *calls) histories(t *testing.T, s *testharness.Cluster) {
	t.Helper()
	var longest []json.RawMessage
	all := map[string][]json.RawMessage{}
	for _, b := range s.Replicas {
		if b.Spare {
			continue
		}
		h := historyOf(t, b)
		if all[b.Name] = h; len(h) > len(longest) {
			longest = h
		}
	}
	for name, h := range all {
		for i := range h {
			if string(h[i]) != string(longest[i]) {
				t.Fatalf("copy %s has %s where another has %s", name, h[i], longest[i])
			}
		}
		if len(h) < len(longest)-50 {
			t.Errorf("copy %s ends at event %d, another at %d", name, len(h), len(longest))
		}
	}
	seen := map[string]int64{}
	for i, raw := range longest {
		var e fleet.Event
		check(t, json.Unmarshal(raw, &e))
		if e.No != int64(i+1) {
			t.Fatalf("event %d stands where %d is wanted", e.No, i+1)
		}
		if e.Purge == nil {
			continue
		}
		if first, twice := seen[e.Purge.Object]; twice {
			t.Errorf("purge of %s is event %d and %d", e.Purge.Object, first, e.No)
		}
		seen[e.Purge.Object] = e.No
	}
	lost := 0
	for object, no := range k.objects {
		if seen[object] != no {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d accepted purges are missing or elsewhere", lost, len(k.objects))
	}
	t.Logf("%d events, %d purges answered, %d not, copies have %d", len(longest), len(k.objects), len(k.unknown), len(all))
}

// depot is a fleet of three caches, and the one that it becomes: the second is drained, and a fourth comes.
func depot(boxes []*fakes.Cache) (now, next fleet.DesiredState) {
	rules := fleet.DefaultRules()
	rules.Cache.WarmUpMS, rules.Parent.WarmUpMS = 0, 0
	w := func(running bool, which ...int) fleet.DesiredState {
		w := fleet.DesiredState{Rules: rules, Hosts: []fleet.HostSpec{{Name: "store", Role: fleet.Origin, Address: boxes[4].Addr(), Site: "hub", Class: "origin", Share: 40}}}
		for _, i := range which {
			w.Hosts = append(w.Hosts, fleet.HostSpec{Name: fmt.Sprintf("c-%d", i), Role: fleet.Cache, Address: boxes[i].Addr(), Site: "west", Class: "std", Share: 4, Running: i < 3})
		}
		w.Locations = []fleet.Location{{Name: "west", Floor: 4, Load: 4, Sources: []string{"store"}}}
		w.Normalize()
		return w
	}
	return w(true, 0, 1, 2), w(true, 0, 2, 3)
}

// carryOut plans the way to a wish and has it applied.
func carryOut(t *testing.T, s *testharness.Cluster, wish fleet.DesiredState) int64 {
	t.Helper()
	c, err := s.Client()
	check(t, err)
	for end := time.Now().Add(2 * patience); ; time.Sleep(20 * time.Millisecond) {
		world, err := c.State()
		if err == nil {
			var w fleet.ObservedState
			w, err = world.ObservedState()
			check(t, err)
			p, err := plan.Make(w, wish, "")
			check(t, err)
			file, err := plan.Encode(p)
			check(t, err)
			a, err := c.Submit(file)
			if err == nil {
				return a.ID
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the plan is not taken: %v", err)
		}
	}
}

// applied waits for the end of an apply and tells when that was seen.
func applied(t *testing.T, s *testharness.Cluster, id int64) {
	t.Helper()
	c, err := s.Client()
	check(t, err)
	var now api.Apply
	for end := time.Now().Add(3 * patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if now, err = c.Apply(id); err == nil && now.Status == apply.Done {
			return
		}
	}
	t.Fatalf("apply %d is not done: %+v %v", id, now.Record, err)
}

// Copies, six directors, stand-in caches and clients are processes of their own, and a schedule of faults from a printed
// seed goes over the copies: killed, paused, cut off, cut one way, slowed, lines broken in the middle, disks full, gone
// and put back old. Meanwhile purges and reads go on, and an apply drains a box. What clients, stand-ins and copies
// saw must fit: the calls are linearizable, nothing accepted is missing or there twice, all copies have one history, each
// request has one final answer, and the drained box gets nothing once all are told.
func TestFaults(t *testing.T) {
	copies, faults, seed := fromEnv(copiesVar, 3), fromEnv(faultsVar, 4), uint64(fromEnv(seedVar, 3)) // CI plays one schedule; others by command
	t.Logf("%s=%d %s=%d %s=%d", seedVar, seed, faultsVar, faults, copiesVar, copies)
	rng := rand.New(rand.NewPCG(seed, 1))
	schedule := draw(rng, faults, copies)

	s := group(t, copies, 0)
	boxes := startBoxes(t, 5)
	now, next := depot(boxes)
	applied(t, s, carryOut(t, s, now))
	load := startFleet(t, s, 6, "", 200, 10*time.Millisecond)
	k := startCalls(t, s, 4, seed)
	nem := &nemesis{t: t, group: s, rng: rng}
	var id int64
	for i, f := range schedule {
		if i == len(schedule)/2 {
			id = carryOut(t, s, next)
		}
		nem.do(f)
	}
	applied(t, s, id)
	told := time.Now()
	time.Sleep(700 * time.Millisecond)
	k.end()
	sum := load.end()
	t.Logf("requests: %+v", sum)
	if sum.Doubled+sum.Lost+sum.Failed > 0 || sum.Served == 0 {
		t.Errorf("requests without one good final answer: %+v", sum)
	}
	for _, o := range boxes[1].Attempts() {
		if late := o.At.Sub(told); late > 0 {
			t.Errorf("an attempt came to the drained box %v after its apply was done", late)
			break
		}
	}
	k.linearizable(t)
	k.histories(t, s)
}
