package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func treeSettings() Settings {
	return Settings{
		Lease:        400 * ms,
		Drift:        0.02,
		Reserve:      0.2,
		FallbackFade: 3 * time.Second,
		Floor:        0.2,
		MinChange:    0.05,
		NodeLease:    1200 * ms,
	}
}

// process is a process of a tree. The rate of its clock deviates by up to 1 %, so that those of any two differ by up to 2 %.
type process struct {
	clockRate        float64
	pausedUntil      time.Duration // it handles nothing until then
	partitionedUntil time.Duration // its messages, and those to it, are lost until then
	root             *Allocator
	node             *Node
	leaf             *Holder
	parent           int // of a leaf: index of its node, or len(nodes) for the root
	demand           float64
}

// tree models a root, nodes, leaves, and messages that are delayed, lost or duplicated.
type tree struct {
	rng          *rand.Rand
	now          time.Duration
	root         *process
	oldRoot      *process      // the previous root
	oldRootUntil time.Duration // time until which the previous root still replies
	nodes        []*process
	leaves       []*process
	inFlight     []message
	started      int     // number of processes started, for their names
	faultless    bool    // messages arrive immediately
	manyFaults   bool    // many messages are delayed or lost, and demands change often
	worst        float64 // the largest sum in force, of shares or of fallbacks, relative to what is allowed
	used         float64 // sum over all steps of the shares in use
	wanted       float64 // sum over all steps of the shares that could be in use
}

type message struct {
	from, to *process
	at       time.Duration
	deliver  func()
}

func newTree(seed uint64, nodes, leaves int) *tree {
	t := &tree{rng: rand.New(rand.NewPCG(seed, 5))}
	t.root = t.process()
	t.root.root = NewAllocator(treeSettings(), 1, 0, true)
	for range nodes {
		t.nodes = append(t.nodes, t.newNode())
	}
	for range leaves {
		t.leaves = append(t.leaves, t.newLeaf())
	}
	return t
}

func (t *tree) process() *process {
	t.started++
	return &process{clockRate: 1 + float64(t.rng.IntN(3)-1)*0.01}
}

func (t *tree) newNode() *process {
	p := t.process()
	p.node = NewNode(fmt.Sprint("n", t.started), treeSettings())
	return p
}

func (t *tree) newLeaf() *process {
	p := t.process()
	p.leaf, p.parent, p.demand = NewHolder(fmt.Sprint("d", t.started), treeSettings()), t.rng.IntN(len(t.nodes)+1), t.rng.ExpFloat64()/3
	return p
}

func (t *tree) clock(p *process) time.Duration { return time.Duration(float64(t.now) * p.clockRate) }

func (t *tree) randomDuration(maxMillis int) time.Duration {
	return time.Duration(t.rng.IntN(maxMillis)) * ms
}

// send adds a message to those in flight. One in 20 is lost, one in 20 is delivered twice, and one in ten is delayed by up to 320 ms;
// more are lost or delayed if manyFaults is set.
func (t *tree) send(from, to *process, deliver func()) {
	if t.faultless {
		if t.now >= from.partitionedUntil && t.now >= to.partitionedUntil {
			deliver()
		}
		return
	}
	deliveries := 1
	switch t.rng.IntN(20) {
	case 0:
		deliveries = 0
	case 1:
		deliveries = 2
	case 2, 3, 4, 5, 6:
		if t.manyFaults {
			deliveries = 0
		}
	}
	if t.now < from.partitionedUntil || t.now < to.partitionedUntil {
		deliveries = 0
	}
	for range deliveries {
		delay := t.randomDuration(40)
		if t.rng.IntN(10) == 0 || t.manyFaults && t.rng.IntN(2) == 0 {
			delay = t.randomDuration(320)
		}
		t.inFlight = append(t.inFlight, message{from, to, t.now + delay, deliver})
	}
}

// renewRoot sends a renewal to the root or, at random while it still replies, to the previous root.
func (t *tree) renewRoot(from *process, r Renewal, apply func(Grant)) {
	root := t.root
	if t.now < t.oldRootUntil && t.rng.IntN(2) == 0 {
		root = t.oldRoot
	}
	t.send(from, root, func() {
		if root == t.root || t.now < t.oldRootUntil {
			g := root.root.Renew(r, t.clock(root))
			t.send(root, from, func() { apply(g) })
		}
	})
}

func (t *tree) renewNode(p *process) {
	t.renewRoot(p, p.node.Renewal(t.clock(p)), func(g Grant) { p.node.Apply(g, t.clock(p)) })
}

func (t *tree) renewal(p *process) Renewal {
	p.leaf.Want(Want{Limit: "box", Kind: Rate, Demand: p.demand})
	if !t.faultless && t.rng.IntN(30) == 0 { // releases its share and requests it again with the next renewal
		p.leaf.Want(Want{Limit: "box", Kind: Rate})
	}
	return p.leaf.Renewal(t.clock(p))
}

func (t *tree) renewLeaf(p *process) {
	r := t.renewal(p)
	apply := func(g Grant) { p.leaf.Apply(g, t.clock(p)) }
	if p.parent == len(t.nodes) {
		t.renewRoot(p, r, apply)
		return
	}
	node := t.nodes[p.parent]
	t.send(p, node, func() {
		g := node.node.Renew(r, t.clock(node))
		t.send(node, p, func() { apply(g) })
	})
}

func (t *tree) injectFault() {
	leaf, place := t.leaves[t.rng.IntN(len(t.leaves))], t.rng.IntN(len(t.nodes))
	node := t.nodes[place]
	event := t.rng.IntN(500)
	if t.manyFaults && t.rng.IntN(10) == 0 {
		event = 16 + t.rng.IntN(8)
	}
	switch event {
	case 0:
		t.oldRoot, t.oldRootUntil = t.root, t.now+200*ms
		t.root = t.process()
		t.root.root = NewAllocator(treeSettings(), t.oldRoot.root.epoch+1, time.Duration(float64(t.oldRootUntil)*t.root.clockRate), false)
	case 1, 2:
		leaf.pausedUntil = t.now + t.randomDuration(2000)
	case 3, 4:
		node.pausedUntil = t.now + t.randomDuration(2000)
	case 5:
		leaf.partitionedUntil = t.now + t.randomDuration(5000)
	case 6:
		node.partitionedUntil = t.now + t.randomDuration(5000)
	case 7:
		t.root.pausedUntil = t.now + t.randomDuration(1000)
	case 8:
		node.partitionedUntil = 1 << 62 // fails and is replaced
		t.nodes[place] = t.newNode()
	case 9:
		t.leaves[t.rng.IntN(len(t.leaves))] = t.newLeaf()
	case 10, 11, 12, 13, 14, 15:
		leaf.parent = t.rng.IntN(len(t.nodes) + 1)
	case 16, 17, 18, 19, 20, 21:
		leaf.demand = t.rng.ExpFloat64() / 3
	case 22, 23: // the leaves of every second node demand little, so that its share decreases at once
		for _, p := range t.leaves {
			p.demand = 0.001 + float64(p.parent%2)*t.rng.ExpFloat64()
		}
	}
}

func (t *tree) step() {
	t.now += 10 * ms
	for _, p := range t.leaves {
		if t.now >= p.pausedUntil && t.rng.IntN(10) == 0 {
			t.renewLeaf(p)
		}
	}
	for _, p := range t.nodes {
		if t.now >= p.pausedUntil && t.rng.IntN(5) == 0 {
			t.renewNode(p)
		}
	}
	net := t.inFlight
	t.inFlight = nil
	for _, m := range net {
		if t.now < m.at || t.now < m.to.pausedUntil {
			t.inFlight = append(t.inFlight, m)
		} else if t.now >= m.to.partitionedUntil {
			m.deliver()
		}
	}
	t.recordInForce()
}

// inForce returns the sums of the shares and of the fallbacks in force.
func (t *tree) inForce(leaves ...*process) (shares, fallbacks float64) {
	for _, p := range leaves {
		now := t.clock(p)
		if p.leaf.HasShare("box", now) {
			shares += p.leaf.Available("box", now)
		}
		fallbacks += p.leaf.fallback * max(0, 1-float64(now-p.leaf.inUseSince)/float64(treeSettings().FallbackFade))
	}
	return shares, fallbacks
}

// recordInForce records the shares and fallbacks in force. Each of the two must stay within its part of the limit, so that their sum
// does not exceed the limit.
func (t *tree) recordInForce() {
	wanted, settings := 0.0, treeSettings()
	for _, p := range t.leaves {
		wanted += p.demand
	}
	shares, fallbacks := t.inForce(t.leaves...)
	t.worst = max(t.worst, shares/(1-settings.Reserve), fallbacks/settings.Reserve)
	t.used += min(shares, wanted)
	t.wanted += min(1-settings.Reserve, wanted)
}

func runTree(seed uint64, length time.Duration) *tree {
	t := newTree(seed, 1+int(seed%3), 3+int(seed%6))
	t.manyFaults = seed%2 == 0
	for t.now < length {
		t.injectFault()
		t.step()
	}
	return t
}

// TestTreeKeepsTheLimit checks that, under faults of messages, leaves, nodes and roots, all leaves together may never use more than the
// limit, and that much of it is used.
func TestTreeKeepsTheLimit(t *testing.T) {
	first, n := uint64(intFromEnv("STAIRVANE_SEED", 1)), intFromEnv("STAIRVANE_SEEDS", 500)
	t.Logf("seeds from %d on", first)
	used, wanted, worst := 0.0, 0.0, 0.0
	for i := range n {
		seed := first + uint64(i)
		tr := runTree(seed, 20*time.Second)
		if tr.worst > 1+1e-9 {
			t.Fatalf("seed %d: %v of the allowed shares or fallbacks are in force", seed, tr.worst)
		}
		worst = max(worst, tr.worst)
		if !tr.manyFaults {
			used, wanted = used+tr.used, wanted+tr.wanted
		}
	}
	t.Logf("at worst %.3f of the allowed shares or fallbacks in force; %.1f %% of the usable shares were in use", worst, 100*used/wanted)
	if used < 0.4*wanted {
		t.Errorf("only %.1f %% of the usable shares were in use", 100*used/wanted)
	}
}
