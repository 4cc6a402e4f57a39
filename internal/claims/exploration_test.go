package claims

import (
	"testing"
	"time"
)

// exploration is one shard with the replicas a and b, of three directors, two of which request the same token for different groups.
// Each step is a choice: a message arrives or is lost, a director's clock ticks, the primary dies, or a director applies that.
type exploration struct {
	nodes       map[string]*Node
	inFlight    []transit
	now         time.Duration
	primaryDead bool
	applied     map[string]bool
	groups      map[string]bool // in which the token has run
}

func newExploration() *exploration {
	e := &exploration{nodes: map[string]*Node{}, applied: map[string]bool{}, groups: map[string]bool{}, now: time.Hour}
	for _, id := range []string{"a", "b", "c"} {
		n := New(id, Settings{Shards: 1, Slack: time.Second, MaxWindow: time.Minute, MaxClaims: 10, ResendAfter: 10 * ms})
		n.ApplyMembership([]string{"a", "b", "c"}, nil, true, []ShardState{{Epoch: 1, Replicas: []string{"a", "b"}}}, e.now)
		n.Lease(e.now + time.Hour)
		e.nodes[id] = n
	}
	for i, id := range []string{"b", "c"} {
		c := Claim{Token: "t", Object: 1, Group: string(rune('x' + i)), Request: id, Window: time.Minute}
		e.nodes[id].Request(1, c, true, e.now+time.Hour, e.now)
		e.deliver(id)
	}
	return e
}

// deliver puts what a node sends in flight and records where the token runs.
func (e *exploration) deliver(id string) {
	for {
		out, outcomes, _ := e.nodes[id].Take()
		if len(out)+len(outcomes) == 0 {
			return
		}
		for _, o := range out {
			if o.To == id {
				e.nodes[id].Receive(id, o.Message, e.now)
			} else {
				e.inFlight = append(e.inFlight, transit{from: id, to: o.To, message: o.Message})
			}
		}
		for _, o := range outcomes {
			switch o.Verdict {
			case Granted:
				e.groups[map[string]string{"b": "x", "c": "y"}[id]] = true
			case HeldElsewhere:
				e.groups[o.Group] = true
			}
		}
	}
}

// choices returns how many choices there are now.
func (e *exploration) choices() int { return 2*len(e.inFlight) + 3 + 1 + 2 }

// take makes one of the choices.
func (e *exploration) take(c int) {
	if c < 2*len(e.inFlight) {
		f := e.inFlight[c/2]
		e.inFlight = append(append([]transit(nil), e.inFlight[:c/2]...), e.inFlight[c/2+1:]...)
		if c%2 == 0 && (!e.primaryDead || f.to != "a") {
			e.nodes[f.to].Receive(f.from, f.message, e.now)
			e.deliver(f.to)
		}
		return
	}
	switch c -= 2 * len(e.inFlight); {
	case c < 3:
		id := string(rune('a' + c))
		e.now += 50 * ms
		if !e.primaryDead || id != "a" {
			e.nodes[id].Tick(e.now)
			e.deliver(id)
		}
	case c == 3:
		e.primaryDead = true
	default: // a director leaves the membership only after its lease
		id := string(rune('b' + c - 4))
		if e.primaryDead && !e.applied[id] {
			e.applied[id] = true
			next := ShardState{Epoch: 2, Replicas: []string{"b", "c"}, PreviousReplicas: []string{"a", "b"}}
			e.nodes[id].ApplyMembership(nil, []string{"a"}, false, []ShardState{next}, e.now)
			e.deliver(id)
		}
	}
}

// The token runs in one group after each sequence of choices up to a depth. STAIRVANE_DEPTH sets another depth.
func TestNoTokenRunsInTwoGroupsInAnyOrder(t *testing.T) {
	depth, runs, most := fromEnv("STAIRVANE_DEPTH", 5), 0, 0
	var walk func(path []int)
	walk = func(path []int) {
		e := newExploration()
		for _, c := range path {
			e.take(c)
		}
		runs++
		most = max(most, len(e.groups))
		if len(e.groups) > 1 {
			t.Fatalf("choices %v: it runs in %v", path, e.groups)
		}
		if len(path) < depth {
			for c := range e.choices() {
				walk(append(path[:len(path):len(path)], c))
			}
		}
	}
	walk(nil)
	t.Logf("%d states", runs)
	if most != 1 {
		t.Error("it never runs")
	}
}
