package replica

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// world is a small group of drivers with their disks, and the messages between them. Everything that may happen next is a
// choice, so that a list of choices is a run.
type world struct {
	copies   []*simCopy
	net      []*pb.Message
	accepted map[uint64]string // batches that were answered as accepted, by index
	next     int
	fault    string
	break_   string // a guard that is taken out
}

type simCopy struct {
	disk    uint64
	driver  *Driver
	durable Durable
	taken   map[uint64]string // by index: what this copy has taken over since it first ran
	mine    map[uint64]string // proposals under way, by tag
}

func newWorld(n int) *world {
	w := &world{accepted: map[uint64]string{}}
	conf, members := &pb.ConfState{}, map[uint64]Member{}
	for i := range n {
		disk := uint64(i + 1)
		conf.Voters = append(conf.Voters, disk)
		members[disk] = Member{Name: string(rune('a' + i)), Machine: fmt.Sprint(i)}
	}
	for i := range n {
		c := &simCopy{disk: uint64(i + 1), taken: map[uint64]string{}, mine: map[uint64]string{}}
		c.durable = Durable{Term: 1, Commit: 1, Applied: Position{1, 1}, Before: Position{1, 1}, Conf: conf, Members: members}
		w.copies = append(w.copies, c)
		w.start(c)
	}
	return w
}

func (w *world) start(c *simCopy) {
	d := c.durable
	d.Entries = append([]*pb.Entry(nil), d.Entries...)
	var err error
	if c.driver, err = New(Config{Disk: c.disk, ElectionTicks: 1000, HeartbeatTicks: 1, Seed: c.disk<<40 + uint64(w.next)<<20}, d); err != nil {
		w.fault = err.Error()
	}
	clear(c.mine)
}

// write is what the shell does with a Work up to a point: 0 dies before the write, 1 dies after it and before anything that
// rests on it is sent, 2 does all.
func (w *world) write(c *simCopy, work *Work, upTo int) bool {
	w.net = append(w.net, work.Early...)
	if upTo == 0 {
		return false
	}
	keep := w.break_ != "vote" || len(work.Entries) > 0 // the guard: a vote is durable before it is sent
	if at := work.Install; at != nil {                  // the state as a whole: the log begins anew behind it
		c.durable.Before, c.durable.Entries = Position{at.GetIndex(), at.GetTerm()}, nil
		c.durable.Applied, c.durable.Conf = c.durable.Before, at.GetConfState()
	}
	if len(work.Entries) > 0 || work.Must && keep {
		if n := len(work.Entries); n > 0 && w.break_ != "entries" {
			at := work.Entries[0].GetIndex() - c.durable.Before.Index - 1
			c.durable.Entries = append(append([]*pb.Entry(nil), c.durable.Entries[:at]...), work.Entries...)
		}
		h := c.driver.HardState()
		c.durable.Term, c.durable.Vote, c.durable.Commit = h.Term, h.Vote, h.Commit
		if last := c.durable.Before.Index + uint64(len(c.durable.Entries)); c.durable.Commit > last {
			c.durable.Commit = last
		}
	}
	if upTo == 1 {
		return false
	}
	if err := c.driver.Durable(work); err != nil {
		w.fault = err.Error()
		return false
	}
	if work.Install != nil {
		c.driver.Installed(c.durable.Applied, c.driver.Members())
	}
	w.net = append(w.net, work.Late...)
	for i, b := range work.Committed {
		if _, err := c.driver.Taken(work, i); err != nil {
			w.fault = err.Error()
			return false
		}
		at, text := b.At.Index, fmt.Sprintf("%d:%s", b.At.Term, b.Data)
		for _, o := range w.copies {
			if was, is := o.taken[at]; is && was != text {
				w.fault = fmt.Sprintf("disk %d takes over %q at %d, disk %d has %q", c.disk, text, at, o.disk, was)
			}
		}
		c.taken[at] = text
		if _, mine := c.mine[b.Tag]; mine {
			w.accepted[at] = text
			delete(c.mine, b.Tag)
		}
	}
	c.driver.Done(work)
	return true
}

// settle lets a copy work until it has nothing to do.
func (w *world) settle(c *simCopy) {
	for w.fault == "" {
		work := c.driver.Work()
		if work == nil {
			return
		}
		if !w.write(c, work, 2) {
			return
		}
	}
}

// choices is how many things may happen next.
func (w *world) choices() int { return 2*len(w.net) + 5*len(w.copies) }

// do makes one of them happen.
func (w *world) do(choice int) string {
	w.next++
	if choice < 2*len(w.net) {
		m := w.net[choice/2]
		w.net = append(append([]*pb.Message(nil), w.net[:choice/2]...), w.net[choice/2+1:]...)
		if choice%2 == 1 {
			return fmt.Sprintf("lost: %v %d to %d", m.GetType(), m.GetFrom(), m.GetTo())
		}
		c := w.copies[m.GetTo()-1]
		if err := c.driver.Step(proto.Clone(m).(*pb.Message)); err != nil {
			w.fault = err.Error()
		}
		w.settle(c)
		return fmt.Sprintf("%v %d to %d, term %d, index %d", m.GetType(), m.GetFrom(), m.GetTo(), m.GetTerm(), m.GetIndex())
	}
	choice -= 2 * len(w.net)
	c := w.copies[choice/5]
	switch choice % 5 {
	case 0:
		c.driver.Campaign()
		w.settle(c)
		return fmt.Sprintf("%d stands", c.disk)
	case 1:
		if tag, err := c.driver.Propose(fmt.Appendf(nil, "b%d", w.next)); err == nil {
			c.mine[tag] = "x"
		}
		w.settle(c)
		return fmt.Sprintf("%d proposes", c.disk)
	case 2: // dies and starts again
		w.start(c)
		w.settle(c)
		return fmt.Sprintf("%d dies", c.disk)
	default: // dies in the middle of its next work, before or after the write
		c.driver.Campaign()
		if work := c.driver.Work(); work != nil {
			w.write(c, work, choice%5-3)
		}
		w.start(c)
		w.settle(c)
		return fmt.Sprintf("%d stands and dies at point %d", c.disk, choice%5-3)
	}
}

// check looks at what must hold at each moment.
func (w *world) check() string {
	if w.fault != "" {
		return w.fault
	}
	leaders := map[uint64]uint64{}
	for _, c := range w.copies {
		s := c.driver.State()
		if !s.Leads {
			continue
		}
		if other, is := leaders[s.Term]; is {
			return fmt.Sprintf("disks %d and %d both lead term %d", other, c.disk, s.Term)
		}
		leaders[s.Term] = c.disk
	}
	// What was accepted is on the disks of a majority.
	for at, text := range w.accepted {
		n := 0
		for _, c := range w.copies {
			i := int(at) - int(c.durable.Before.Index) - 1
			if i < 0 { // it is in the state that was taken over whole
				n++
			} else if i < len(c.durable.Entries) {
				if e := c.durable.Entries[i]; fmt.Sprintf("%d:%s", e.GetTerm(), batchOf(e).Data) == text {
					n++
				}
			}
		}
		if 2*n <= len(w.copies) {
			return fmt.Sprintf("%q at %d was accepted and is on %d of %d disks", text, at, n, len(w.copies))
		}
	}
	return ""
}

// run plays a seed: messages are delivered in any order, most of them, and copies die at any point.
func run(copies int, seed uint64, steps int, guard string) (fault string, accepted int, trace []string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(copies)
	w.break_ = guard
	for range steps {
		var choice int
		if n := len(w.net); n > 0 && rng.IntN(10) < 8 {
			choice = 2 * rng.IntN(n)
			if rng.IntN(12) == 0 {
				choice++
			}
		} else {
			kind := []int{0, 0, 1, 1, 1, 1, 1, 2, 3, 4}[rng.IntN(10)]
			choice = 2*len(w.net) + 5*rng.IntN(len(w.copies)) + kind
		}
		trace = append(trace, w.do(choice))
		if f := w.check(); f != "" {
			return f, len(w.accepted), trace
		}
	}
	return "", len(w.accepted), trace
}

func fromEnv(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// Random orders of delivery, loss, death at each point of a write and restart, from printed seeds. STAIRVANE_SEEDS makes it
// long.
func TestDriversAgreeInAnyOrder(t *testing.T) {
	first, accepted := uint64(fromEnv("STAIRVANE_SEED", 1)), 0
	n := fromEnv("STAIRVANE_SEEDS", 300)
	t.Logf("seeds from %d on", first)
	for i := range n {
		copies := []int{3, 3, 2, 5}[i%4]
		fault, a, trace := run(copies, first+uint64(i), 250, "")
		accepted += a
		if fault != "" {
			t.Fatalf("seed %d, %d copies: %s\n%v", first+uint64(i), copies, fault, trace)
		}
	}
	if accepted < n {
		t.Errorf("only %d batches were accepted in %d runs", accepted, n)
	}
	t.Logf("%d batches were accepted in %d runs", accepted, n)
}

// Every list of so many choices, for two copies and for three, from the moment at which one has begun to stand.
func TestDriversAgreeInEveryOrder(t *testing.T) {
	depth := fromEnv("STAIRVANE_DEPTH", 3)
	for _, copies := range []int{2, 3} {
		runs := 0
		var walk func(path []int)
		walk = func(path []int) {
			w := newWorld(copies)
			w.copies[0].driver.Campaign()
			w.settle(w.copies[0])
			for range 5 * copies { // the first leader is there, and a batch is under way
				if len(w.net) > 0 {
					w.do(0)
				}
			}
			w.do(2*len(w.net) + 1)
			for _, c := range path {
				w.do(c)
			}
			runs++
			if f := w.check(); f != "" {
				t.Fatalf("%d copies, choices %v: %s", copies, path, f)
			}
			if len(path) == depth {
				return
			}
			for c := range w.choices() {
				walk(append(path[:len(path):len(path)], c))
			}
		}
		walk(nil)
		t.Logf("%d copies: %d states", copies, runs)
	}
}

// The guards are needed: with one taken out, some seed fails.
func TestGuardsOfTheDriverAreNeeded(t *testing.T) {
	for _, guard := range []string{"vote", "entries"} {
		found := false
		for seed := uint64(1); seed <= 3000 && !found; seed++ {
			if fault, _, _ := run(3, seed, 250, guard); fault != "" {
				t.Logf("without the guard of the %s seed %d fails: %s", guard, seed, fault)
				found = true
			}
		}
		if !found {
			t.Errorf("nothing fails without the guard of the %s", guard)
		}
	}
}
